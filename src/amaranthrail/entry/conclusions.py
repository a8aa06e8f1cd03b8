"""Record how attempts ended and answer from the record."""

from __future__ import annotations

from ..adapters.httpclient import HttpResponse
from ..outcomes import Outcome, Reason, Refusal, not_run, unknown_outcome
from ..records import AttemptState, Conclusion, Intent
from ..runtime import Runtime
from ..types import IdempotencyKey
from .keytable import KeyRecord
from .shards import Shards

MAX_KEPT_BODY_BYTES = 262_144

Answer = HttpResponse | Refusal


class Conclusions:
    """Write the conclusions of attempts to the filing record."""

    def __init__(self, runtime: Runtime, shards: Shards) -> None:
        """Take the record."""
        self._runtime = runtime
        self._shards = shards

    def left_ms(self, intent: Intent) -> float:
        """Return the time left until an intent's deadline, by wall time."""
        return intent.deadline - self._runtime.clock.wall()

    def void(self, intent: Intent, reason: str) -> None:
        """Record that an attempt did not run and never will."""
        self._conclude(intent, AttemptState.VOID, reason)

    def lost(self, intent: Intent, reason: str) -> None:
        """Record that what became of an attempt cannot be known."""
        self._conclude(intent, AttemptState.LOST, reason)

    def ran(self, intent: Intent, answer: HttpResponse) -> None:
        """Record that an attempt ran, and its answer."""
        too_large = len(answer.body) > MAX_KEPT_BODY_BYTES
        self._add(
            Conclusion(
                key=intent.key,
                intent=intent.id,
                state=AttemptState.RAN,
                reason=Reason.ANSWER_TOO_LARGE.value if too_large else '',
                status=answer.status,
                headers=answer.headers,
                body=b'' if too_large else answer.body,
            ),
        )

    def _conclude(
        self,
        intent: Intent,
        state: AttemptState,
        reason: str,
    ) -> None:
        self._add(
            Conclusion(
                key=intent.key,
                intent=intent.id,
                state=state,
                reason=reason,
            ),
        )

    def _add(self, conclusion: Conclusion) -> None:
        state = conclusion.state.value
        self._runtime.timeline.add(
            f'filing-{state}',
            conclusion.intent,
            conclusion.reason,
        )
        self._runtime.metrics.count('filings', state=state)
        self._shards.add(conclusion)


def recorded_answer(filing: KeyRecord) -> Answer:
    """Return the answer that the record holds for a key."""
    conclusion = filing.conclusion
    if filing.resolution is not None:
        return unknown_outcome(
            Reason.KEY_LOST,
            f'resolved as {filing.state.value} by {filing.resolution.author}',
        )
    if filing.state is AttemptState.VOID:
        return not_run(Reason.VOIDED, 'voided before its start')
    if filing.state is AttemptState.RAN and conclusion is not None:
        if conclusion.reason:
            return Refusal(Outcome.RAN, Reason.ANSWER_TOO_LARGE, 'not kept')
        return HttpResponse(
            conclusion.status,
            conclusion.headers,
            conclusion.body,
        )
    return unknown_outcome(Reason.KEY_LOST, 'an operator must resolve this key')


def key_reused(key: IdempotencyKey) -> Refusal:
    """Return the refusal of a key that came with another request before."""
    return not_run(Reason.KEY_REUSED, f'key {key} came with another request')
