"""Determine the outcome of claimed attempts from the log or the sidecar."""

from __future__ import annotations

from ..adapters.httpclient import HttpResponse
from ..clock import MS_PER_SECOND, move_on_after, sleep
from ..logs import part_logger
from ..outcomes import Outcome, Reason, not_run, unknown_outcome
from ..policy.balancing import rendezvous_score
from ..records import AttemptState, Intent
from ..types import IdempotencyKey
from .conclusions import CallResult, ConclusionRecorder, recorded_result
from .context import EntryContext
from .inquiries import INQUIRY_TIMEOUT_MS, SidecarInquiries
from .keytable import KeyRecord

#: How long to wait for an intent or a void to be read back from the log.
RECORD_WAIT_MS = 4000.0
_INQUIRY_RETRY_MS = 100.0
_STAGGER_MS = 1000
_log = part_logger('filings')


class AttemptSettlement:
    """Bring every claimed attempt to a conclusion: ran, void or lost."""

    def __init__(
        self,
        context: EntryContext,
        conclusions: ConclusionRecorder,
        inquiries: SidecarInquiries,
    ) -> None:
        """Take the recorder of conclusions and the inquiries to sidecars."""
        self._context = context
        self._runtime = context.runtime
        self._key_table = context.shards.key_table
        self._conclusions = conclusions
        self._inquiries = inquiries

    def is_overdue(self, record: KeyRecord) -> bool:
        """Tell whether an open key should be settled by this entry now.

        It should once its deadline and ``lost_grace_ms`` have passed without a
        conclusion.
        """
        # Each entry adds its own delay below _STAGGER_MS, so that usually one
        # entry settles a key and the others read its conclusion.
        stagger_hash = rendezvous_score(
            record.intent.id, self._runtime.incarnation
        )
        grace_ms = (
            self._context.settings.lost_grace_ms + stagger_hash % _STAGGER_MS
        )
        return self._runtime.clock.wall() > record.intent.deadline + grace_ms

    async def wait_concluded(self, intent: Intent, timeout_ms: float) -> bool:
        """Wait for an attempt's conclusion; return False on a timeout."""
        with move_on_after(timeout_ms):
            while self._is_open(intent):
                await self._key_table.wait_changed()
        return not self._is_open(intent)

    async def conclude(
        self, intent: Intent, call_result: CallResult
    ) -> CallResult:
        """Record the conclusion that follows from a dispatch or an inquiry.

        Return the result for the caller. When the sidecar did not respond, the
        attempt is settled first.
        """
        if isinstance(call_result, HttpResponse):
            self._conclusions.record_ran(intent, call_result)
            return call_result
        if call_result.outcome is Outcome.NOT_RUN:
            self._conclusions.record_void(intent, call_result.reason.value)
            return await self.confirm_void(intent, call_result.reason)
        if call_result.reason is Reason.PEER_GONE:
            return await self.settle(intent)
        self._conclusions.record_lost(intent, call_result.reason.value)
        return call_result

    async def settle(self, intent: Intent) -> CallResult:
        """Query the sidecar until the outcome of an attempt is known.

        The attempt is recorded as lost when the sidecar's incarnation has ended
        or when ``lost_grace_ms`` after its deadline have passed, but not before
        one inquiry could time out.
        """
        timeout_ms = (
            self._conclusions.remaining_ms(intent)
            + self._context.settings.lost_grace_ms
        )
        give_up_at = self._runtime.clock.now() + max(
            INQUIRY_TIMEOUT_MS, timeout_ms
        )
        while self._runtime.clock.now() < give_up_at:
            record = self._key_table.find(IdempotencyKey(intent.key))
            if record is not None and record.state is not AttemptState.OPEN:
                return recorded_result(record)
            peer = self._context.pool.find(intent.upstream)
            if peer is not None and peer.is_gone(intent.incarnation):
                break
            call_result = await self._inquiries.inquire_intent(peer, intent)
            if call_result is not None:
                return await self.conclude(intent, call_result)
            await sleep(_INQUIRY_RETRY_MS)
        self._conclusions.record_lost(intent, 'sidecar gone')
        _log.warning(
            'outcome of keyed request lost',
            key=intent.key,
            upstream=intent.upstream,
        )
        return unknown_outcome(
            Reason.PEER_GONE,
            f'{intent.upstream} ended before it told the outcome',
        )

    async def confirm_void(self, intent: Intent, reason: Reason) -> CallResult:
        """Return "not run" once the void is in the log, or after a timeout.

        Waiting up to ``RECORD_WAIT_MS`` lets retries claim the key at any
        entry.
        """
        await self.wait_concluded(intent, RECORD_WAIT_MS)
        return not_run(reason, 'voided before its start', int(MS_PER_SECOND))

    def _is_open(self, intent: Intent) -> bool:
        record = self._key_table.find(IdempotencyKey(intent.key))
        return (
            record is not None
            and record.intent.id == intent.id
            and record.state is AttemptState.OPEN
        )
