"""Settle what became of attempts, by the record or by the sidecar's word."""

from __future__ import annotations

from ..adapters.httpclient import HttpResponse
from ..clock import MS_PER_SECOND, move_on_after, sleep
from ..logs import part_logger
from ..outcomes import Outcome, Reason, not_run, unknown_outcome
from ..policy.balancing import rendezvous
from ..records import AttemptState, Intent
from ..types import IdempotencyKey
from .conclusions import Answer, Conclusions, recorded_answer
from .core import EntryCore
from .inquiries import ASK_TIMEOUT_MS, Inquiries
from .keytable import KeyRecord

#: How long an intent or a void may take to appear in the log.
RECORD_WAIT_MS = 4000.0
_ASK_AGAIN_MS = 100.0
_SPREAD_MS = 1000
_log = part_logger('filings')


class Settlement:
    """Bring every attempt that has been claimed to its conclusion."""

    def __init__(
        self,
        core: EntryCore,
        conclusions: Conclusions,
        inquiries: Inquiries,
    ) -> None:
        """Take who writes conclusions and who asks sidecars."""
        self._core = core
        self._runtime = core.runtime
        self._ledger = core.shards.ledger
        self._conclusions = conclusions
        self._inquiries = inquiries

    def is_overdue(self, filing: KeyRecord) -> bool:
        """Tell whether nobody has concluded an open key in time."""
        # Entries take turns, so that one settles while the others look on.
        turn = rendezvous(filing.intent.id, self._runtime.incarnation)
        grace = self._core.settings.lost_grace_ms + turn % _SPREAD_MS
        return self._runtime.clock.wall() > filing.intent.deadline + grace

    async def wait_concluded(self, intent: Intent, bound_ms: float) -> bool:
        """Wait while an attempt holds its key open; tell if it ended."""
        with move_on_after(bound_ms):
            while self._is_open(intent):
                await self._ledger.wait_changed()
        return not self._is_open(intent)

    async def take_outcome(self, intent: Intent, answer: Answer) -> Answer:
        """Conclude an attempt by the answer of its dispatch or inquiry."""
        if isinstance(answer, HttpResponse):
            self._conclusions.ran(intent, answer)
            return answer
        if answer.outcome is Outcome.NOT_RUN:
            self._conclusions.void(intent, answer.reason.value)
            return await self.voided(intent, answer.reason)
        if answer.reason is Reason.PEER_GONE:
            return await self.settle(intent)
        self._conclusions.lost(intent, answer.reason.value)
        return answer

    async def settle(self, intent: Intent) -> Answer:
        """Ask the sidecar until it answers, is gone, or time is up."""
        give_up_ms = (
            self._conclusions.left_ms(intent)
            + self._core.settings.lost_grace_ms
        )
        give_up = self._runtime.clock.now() + max(ASK_TIMEOUT_MS, give_up_ms)
        while self._runtime.clock.now() < give_up:
            filing = self._ledger.find(IdempotencyKey(intent.key))
            if filing is not None and filing.state is not AttemptState.OPEN:
                return recorded_answer(filing)
            peer = self._core.roster.find(intent.upstream)
            if peer is not None and peer.is_gone(intent.incarnation):
                break
            answer = await self._inquiries.ask_intent(peer, intent)
            if answer is not None:
                return await self.take_outcome(intent, answer)
            await sleep(_ASK_AGAIN_MS)
        self._conclusions.lost(intent, 'sidecar gone')
        _log.warning('filing lost', key=intent.key, upstream=intent.upstream)
        return unknown_outcome(
            Reason.PEER_GONE,
            f'{intent.upstream} ended before it told the outcome',
        )

    async def voided(self, intent: Intent, reason: Reason) -> Answer:
        """Return "not run" once it is on record, so that all may try again."""
        await self.wait_concluded(intent, RECORD_WAIT_MS)
        return not_run(reason, 'voided before its start', int(MS_PER_SECOND))

    def _is_open(self, intent: Intent) -> bool:
        filing = self._ledger.find(IdempotencyKey(intent.key))
        return (
            filing is not None
            and filing.intent.id == intent.id
            and filing.state is AttemptState.OPEN
        )
