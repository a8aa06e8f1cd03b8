"""Run keyed (non-idempotent) requests at most once and record how they end."""

from __future__ import annotations

import hashlib
import uuid
from dataclasses import dataclass
from functools import partial

import trio

from ..clock import MS_PER_SECOND, move_on_after, sleep
from ..outcomes import Outcome, Reason, Refusal, not_run, unknown_outcome
from ..records import AttemptState, Intent, Resolution
from ..types import IdempotencyKey
from .call import Call, DispatchTarget, make_dispatch
from .conclusions import (
    CallResult,
    ConclusionRecorder,
    key_reused_refusal,
    recorded_result,
)
from .context import EntryContext
from .inquiries import SidecarInquiries
from .keytable import KeyRecord
from .peers import Peer
from .settlement import RECORD_WAIT_MS, AttemptSettlement

#: How long another entry may take to conclude its intent before the sidecar is
#: queried.
OWNER_WAIT_MS = 1000.0
#: Part of the time to a call's deadline that is reserved for the refusal when
#: nothing was recorded.
REFUSAL_RESERVE_MS = 100.0
#: An intent claimed later than this after its creation is not dispatched. A
#: sidecar remembers voided intents for longer (gate.VOID_RETENTION_MS), so that
#: none is dispatched after the sidecar has forgotten that it was voided.
MAX_CLAIM_MS = 4500.0
#: Attempts of one job, including the first; each has an intent of its own.
MAX_ATTEMPTS = 3
_SWEEP_MS = 500.0


@dataclass(slots=True)
class _Job:
    """Share the work on one key between all its concurrent callers here.

    ``deadline`` is the deadline of the call that started the job, in monotonic
    milliseconds.
    """

    digest: str
    done: trio.Event
    call_result: CallResult
    deadline: float = 0


class KeyedRequests:
    """Run the keyed requests of one entry, one job for each key."""

    def __init__(self, context: EntryContext, nursery: trio.Nursery) -> None:
        """Take the nursery for jobs, which go on when a caller disconnects."""
        self._context = context
        self._runtime = context.runtime
        self._key_table = context.shards.key_table
        self._nursery = nursery
        self._conclusions = ConclusionRecorder(context.runtime, context.shards)
        self._inquiries = SidecarInquiries(context)
        self._settlement = AttemptSettlement(
            context,
            self._conclusions,
            self._inquiries,
        )
        self._jobs: dict[IdempotencyKey, _Job] = {}

    @property
    def in_progress(self) -> int:
        """Return the number of keys with a running job."""
        return len(self._jobs)

    async def execute(self, call: Call) -> CallResult:
        """Return the result of a keyed request, new or from its record.

        Concurrent calls with one key share a job. When a job has run nothing
        only because its first call's deadline was near, a call with a later
        deadline starts another job.
        """
        key = call.key
        if key is None:
            return not_run(
                Reason.KEY_REQUIRED,
                f'{call.operation_name} may run only once: '
                'send an Idempotency-Key',
            )
        digest = request_digest(call)
        while True:
            job = self._join_job(key, call, digest)
            if job.digest != digest:
                return key_reused_refusal(key)
            with move_on_after(call.remaining_ms(self._runtime.clock)):
                await job.done.wait()
            if not job.done.is_set():
                return unknown_outcome(
                    Reason.STILL_RUNNING, 'ask again with this key'
                )
            if not _ended_by_earlier_deadline(job, call):
                return job.call_result

    async def settle_overdue(self) -> None:
        """Settle the open keys that no entry has concluded in time, forever."""
        while True:
            await sleep(_SWEEP_MS)
            self._context.shards.forget_expired()
            for record in self._key_table.open_records():
                key = IdempotencyKey(record.intent.key)
                is_overdue = self._settlement.is_overdue(record)
                if is_overdue and key not in self._jobs:
                    still_running = unknown_outcome(Reason.STILL_RUNNING)
                    job = _Job(
                        record.intent.digest, trio.Event(), still_running
                    )
                    self._jobs[key] = job
                    self._nursery.start_soon(self._settle_job, key, job)

    async def resolve(
        self,
        key: IdempotencyKey,
        state: AttemptState,
        author: str,
        timeout_ms: float,
    ) -> bool:
        """Record an operator's resolution of a lost key.

        ``state`` is ``RAN`` or ``VOID``. Return True once the log shows the key
        in this state, False for a key that is not lost or after ``timeout_ms``.
        """
        record = self._key_table.find(key)
        if record is None or record.state is not AttemptState.LOST:
            return False
        self._context.shards.add(
            Resolution(
                key=key,
                intent=record.intent.id,
                state=state,
                author=author,
            ),
        )
        with move_on_after(timeout_ms):
            while self._state_of(key) is AttemptState.LOST:
                await self._key_table.wait_changed()
        return self._state_of(key) is state

    def _join_job(self, key: IdempotencyKey, call: Call, digest: str) -> _Job:
        """Return the job of a key, started for this call if there is none."""
        job = self._jobs.get(key)
        if job is None:
            refusal = not_run(
                Reason.LOG_UNAVAILABLE, 'the log has not answered'
            )
            job = _Job(digest, trio.Event(), refusal, call.deadline)
            self._jobs[key] = job
            self._nursery.start_soon(self._run_job, key, call, job)
        return job

    def _state_of(self, key: IdempotencyKey) -> AttemptState | None:
        record = self._key_table.find(key)
        return None if record is None else record.state

    async def _settle_job(self, key: IdempotencyKey, job: _Job) -> None:
        record = self._key_table.find(key)
        if record is not None and record.state is AttemptState.OPEN:
            job.call_result = await self._settlement.settle(record.intent)
        self._finish_job(key, job)

    async def _run_job(
        self, key: IdempotencyKey, call: Call, job: _Job
    ) -> None:
        job.call_result = await self._run_attempts(key, call, job.digest)
        self._finish_job(key, job)

    def _finish_job(self, key: IdempotencyKey, job: _Job) -> None:
        self._jobs.pop(key, None)
        job.done.set()

    async def _run_attempts(
        self, key: IdempotencyKey, call: Call, digest: str
    ) -> CallResult:
        if not await self._wait_caught_up(key, call):
            return await self._inquire_or_refuse(call, 'the log cannot be read')
        call_result: CallResult = not_run(Reason.NO_CAPACITY)
        for _ in range(MAX_ATTEMPTS):
            record = self._key_table.find(key)
            if record is not None and record.state is not AttemptState.VOID:
                return await self._result_of_claimed(record, digest)
            call_result = await self._claim_and_dispatch(key, call, digest)
            if not _can_retry(call_result):
                break
            self._runtime.metrics.count('filing_attempts_again')
        return call_result

    async def _wait_caught_up(self, key: IdempotencyKey, call: Call) -> bool:
        with move_on_after(self._record_wait_ms(call)):
            await self._context.shards.wait_caught_up(key)
            return True
        return False

    def _record_wait_ms(self, call: Call) -> float:
        remaining_ms = call.remaining_ms(self._runtime.clock)
        return min(RECORD_WAIT_MS, remaining_ms - REFUSAL_RESERVE_MS)

    async def _inquire_or_refuse(self, call: Call, detail: str) -> CallResult:
        """Return a result while the key's record may be out of date.

        This request is not run, but its key may have run through another
        entry: a sidecar that knows the key has the response.
        """
        call_result = await self._inquiries.inquire_key(call)
        if call_result is not None:
            return call_result
        return not_run(Reason.LOG_UNAVAILABLE, detail, int(MS_PER_SECOND))

    async def _result_of_claimed(
        self, record: KeyRecord, digest: str
    ) -> CallResult:
        """Return the result of the attempt that already holds the key."""
        if record.intent.digest != digest:
            return key_reused_refusal(IdempotencyKey(record.intent.key))
        if record.state is AttemptState.OPEN:
            return await self._await_conclusion(record.intent)
        return recorded_result(record)

    async def _await_conclusion(self, intent: Intent) -> CallResult:
        """Wait for the claiming entry's conclusion, then query the sidecar."""
        key = IdempotencyKey(intent.key)
        if not await self._settlement.wait_concluded(intent, OWNER_WAIT_MS):
            return await self._settlement.settle(intent)
        record = self._key_table.find(key)
        if record is None:
            return unknown_outcome(Reason.KEY_LOST, 'the record has expired')
        return recorded_result(record)

    async def _claim_and_dispatch(
        self,
        key: IdempotencyKey,
        call: Call,
        digest: str,
    ) -> CallResult:
        peer = self._context.choose_peer(call, frozenset())
        if isinstance(peer, Refusal):
            return peer
        if not self._context.shards.reachable:
            return await self._inquire_or_refuse(
                call, 'the log cannot be reached'
            )
        started_at = self._runtime.clock.now()
        intent = self._make_intent(key, call, digest, peer)
        self._context.shards.add(intent)
        claimed = await self._wait_claimed(intent, call)
        if claimed is None:
            # Only this entry may dispatch the intent, and it will not.
            self._conclusions.record_void(intent, 'not recorded in time')
            return await self._inquire_or_refuse(call, 'not recorded in time')
        if claimed.intent.id != intent.id:
            return await self._result_of_claimed(claimed, digest)
        return await self._dispatch(intent, call, peer, started_at)

    def _make_intent(
        self,
        key: IdempotencyKey,
        call: Call,
        digest: str,
        peer: Peer,
    ) -> Intent:
        previous = self._key_table.find(key)
        remaining_ms = call.remaining_ms(self._runtime.clock)
        return Intent(
            key=key,
            id=uuid.uuid4().hex,
            attempt=1 if previous is None else previous.intent.attempt + 1,
            digest=digest,
            service=call.route.service.name,
            upstream=peer.name,
            incarnation=peer.incarnation or '',
            entry=self._runtime.incarnation,
            deadline=self._runtime.clock.wall() + int(remaining_ms),
            operation=call.operation_name,
        )

    async def _wait_claimed(
        self, intent: Intent, call: Call
    ) -> KeyRecord | None:
        """Return the key's record once it shows who holds the key.

        Return None when the intent is not read back in time.
        """
        with move_on_after(self._record_wait_ms(call)):
            while True:
                record = self._key_table.find(IdempotencyKey(intent.key))
                is_decided = record and record.intent.attempt >= intent.attempt
                if record is not None and is_decided:
                    return record
                await self._key_table.wait_changed()
        return None

    async def _dispatch(
        self,
        intent: Intent,
        call: Call,
        peer: Peer,
        started_at: float,
    ) -> CallResult:
        # An entry that was paused since the claim must not dispatch: the
        # sidecar may have voided the intent and already forgotten the void.
        elapsed_ms = self._runtime.clock.now() - started_at
        is_late = (
            elapsed_ms > MAX_CLAIM_MS
            or self._conclusions.remaining_ms(intent) <= 0
        )
        is_restarted = peer.incarnation != intent.incarnation
        if is_late or is_restarted or not peer.accepts_work:
            self._conclusions.record_void(intent, 'never dispatched')
            return await self._settlement.confirm_void(
                intent, Reason.WRONG_INCARNATION
            )
        version = self._runtime.configuration.version
        target = DispatchTarget(intent.incarnation, version, intent.id)
        clock = self._runtime.clock
        exchange = peer.dispatch(partial(make_dispatch, call, clock, target))
        detail = f'{intent.key} to {peer.name}'
        self._runtime.timeline.add('filing-dispatched', intent.id, detail)
        call_result = await self._inquiries.collect_result(
            peer, exchange, self._conclusions.remaining_ms(intent)
        )
        return await self._settlement.conclude(intent, call_result)


def _ended_by_earlier_deadline(job: _Job, call: Call) -> bool:
    """Tell whether a job ran nothing only because of its first call's deadline.

    True when it lacked time and this call's deadline is later.
    """
    call_result = job.call_result
    if (
        not isinstance(call_result, Refusal)
        or call_result.outcome is not Outcome.NOT_RUN
    ):
        return False
    is_time_limited = call_result.reason in {
        Reason.EXPIRED,
        Reason.LOG_UNAVAILABLE,
    }
    return is_time_limited and job.deadline < call.deadline


def _can_retry(call_result: CallResult) -> bool:
    return isinstance(call_result, Refusal) and call_result.reason in {
        Reason.WRONG_INCARNATION,
        Reason.STALE_DISPATCH,
        Reason.STALE_MANIFEST,
        Reason.DRAINING,
        Reason.VOIDED,
        Reason.UPSTREAM_UNREACHABLE,
    }


def request_digest(call: Call) -> str:
    """Return a SHA-256 by which retries with one key are compared.

    It covers the method, the target and the body.
    """
    request = call.request
    head = f'{request.method} {request.target}\n'.encode()
    return hashlib.sha256(head + request.body).hexdigest()
