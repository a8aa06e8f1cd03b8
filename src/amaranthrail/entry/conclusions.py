"""Record the conclusions of keyed attempts and respond from the record."""

from __future__ import annotations

from ..adapters.httpclient import HttpResponse
from ..outcomes import (
    Outcome,
    Reason,
    Refusal,
    is_final_status,
    not_run,
    unknown_outcome,
)
from ..records import AttemptState, Conclusion, Intent
from ..runtime import Runtime
from ..types import IdempotencyKey
from .keytable import KeyRecord
from .shards import Shards

#: Largest response body that is recorded for retries with the key.
MAX_RECORDED_BODY_BYTES = 262_144

CallResult = HttpResponse | Refusal


class ConclusionRecorder:
    """Append the conclusions of keyed attempts to the shards."""

    def __init__(self, runtime: Runtime, shards: Shards) -> None:
        """Use the process's clock, timeline and metrics, and the shards."""
        self._runtime = runtime
        self._shards = shards

    def remaining_ms(self, intent: Intent) -> float:
        """Return the milliseconds until an intent's deadline, by wall clock."""
        return intent.deadline - self._runtime.clock.wall()

    def record_void(self, intent: Intent, reason: str) -> None:
        """Record that an attempt did not run and never will."""
        self._write_without_response(intent, AttemptState.VOID, reason)

    def record_lost(self, intent: Intent, reason: str) -> None:
        """Record that the outcome of an attempt cannot be determined."""
        self._write_without_response(intent, AttemptState.LOST, reason)

    def record_ran(self, intent: Intent, response: HttpResponse) -> None:
        """Record that an attempt ran, with its response.

        A body of more than ``MAX_RECORDED_BODY_BYTES`` is left out; retries
        with the key then get ``answer-too-large``.
        """
        is_too_large = len(response.body) > MAX_RECORDED_BODY_BYTES
        self._write(
            Conclusion(
                key=intent.key,
                intent=intent.id,
                state=AttemptState.RAN,
                reason=Reason.RESPONSE_TOO_LARGE.value if is_too_large else '',
                status=response.status,
                headers=response.headers,
                body=b'' if is_too_large else response.body,
            ),
        )

    def _write_without_response(
        self,
        intent: Intent,
        state: AttemptState,
        reason: str,
    ) -> None:
        self._write(
            Conclusion(
                key=intent.key,
                intent=intent.id,
                state=state,
                reason=reason,
            ),
        )

    def _write(self, conclusion: Conclusion) -> None:
        state = conclusion.state.value
        self._runtime.timeline.add(
            f'filing-{state}',
            conclusion.intent,
            conclusion.reason,
        )
        self._runtime.metrics.count('filings', state=state)
        self._shards.add(conclusion)


def recorded_result(record: KeyRecord) -> CallResult:
    """Return the recorded response of a key, or the refusal for its state."""
    conclusion = record.conclusion
    if record.resolution is not None:
        return unknown_outcome(
            Reason.KEY_LOST,
            f'resolved as {record.state.value} by {record.resolution.author}',
        )
    if record.state is AttemptState.VOID:
        return not_run(Reason.VOIDED, 'voided before its start')
    if record.state is AttemptState.RAN and conclusion is not None:
        if conclusion.reason:
            return Refusal(Outcome.RAN, Reason.RESPONSE_TOO_LARGE, 'not kept')
        if not is_final_status(conclusion.status):
            # Another program wrote the record, or one was damaged.
            cause = f'recorded status {conclusion.status} is not final'
            return Refusal(Outcome.RAN, Reason.UPSTREAM_BROKEN, cause)
        return HttpResponse(
            conclusion.status,
            conclusion.headers,
            conclusion.body,
        )
    return unknown_outcome(Reason.KEY_LOST, 'an operator must resolve this key')


def key_reused_refusal(key: IdempotencyKey) -> Refusal:
    """Return the refusal of a key used before with a different request."""
    return not_run(
        Reason.KEY_REUSED,
        f'key {key} came with another request',
    )
