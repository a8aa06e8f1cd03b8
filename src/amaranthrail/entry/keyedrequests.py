"""Run work that must not repeat, at most once, and lose none silently."""

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
from .call import Call, Target, make_dispatch
from .conclusions import Answer, Conclusions, key_reused, recorded_answer
from .core import EntryCore
from .inquiries import Inquiries
from .keytable import KeyRecord
from .peers import Peer
from .settlement import RECORD_WAIT_MS, Settlement

#: How long another entry's intent is left alone before its sidecar is asked.
ATTACH_WAIT_MS = 1000.0
#: What is left of a deadline to tell a caller that nothing was recorded.
REFUSAL_MS = 100.0
#: An intent claimed later than this after it was made is not dispatched. A
#: sidecar remembers a void for longer than that (gate.VOID_RETENTION_MS).
MAX_CLAIM_MS = 4500.0
MAX_ATTEMPTS = 3
_SWEEP_MS = 500.0


@dataclass(slots=True)
class _Job:
    """Share one key's work between the callers who ask for it here.

    ``deadline`` is that of the caller who began it, in monotonic milliseconds.
    """

    digest: str
    done: trio.Event
    answer: Answer
    deadline: float = 0


class KeyedRequests:
    """Own the keyed work of one entry."""

    def __init__(self, core: EntryCore, nursery: trio.Nursery) -> None:
        """Take the nursery in which work outlives its caller's connection."""
        self._core = core
        self._runtime = core.runtime
        self._ledger = core.shards.ledger
        self._nursery = nursery
        self._conclusions = Conclusions(core.runtime, core.shards)
        self._inquiries = Inquiries(core)
        self._settlement = Settlement(
            core,
            self._conclusions,
            self._inquiries,
        )
        self._jobs: dict[IdempotencyKey, _Job] = {}

    @property
    def in_progress(self) -> int:
        """Return how many keys are being worked on here."""
        return len(self._jobs)

    async def file(self, call: Call) -> Answer:
        """Return the answer to a keyed request, now or from the record."""
        key = call.key
        if key is None:
            return not_run(
                Reason.KEY_REQUIRED,
                f'{call.operation_name} may run only once: '
                'send an Idempotency-Key',
            )
        digest = request_digest(call)
        while True:
            job = self._join(key, call, digest)
            if job.digest != digest:
                return key_reused(key)
            with move_on_after(call.left_ms(self._runtime.clock)):
                await job.done.wait()
            if not job.done.is_set():
                return unknown_outcome(
                    Reason.STILL_RUNNING, 'ask again with this key'
                )
            if not _ended_early(job, call):
                return job.answer

    async def sweep(self) -> None:
        """Settle, for good, open keys that nobody has concluded in time."""
        while True:
            await sleep(_SWEEP_MS)
            self._core.shards.forget_expired()
            for filing in self._ledger.open():
                key = IdempotencyKey(filing.intent.key)
                overdue = self._settlement.is_overdue(filing)
                if overdue and key not in self._jobs:
                    unsure = unknown_outcome(Reason.STILL_RUNNING)
                    job = _Job(filing.intent.digest, trio.Event(), unsure)
                    self._jobs[key] = job
                    self._nursery.start_soon(self._settle_overdue, key, job)

    async def resolve(
        self,
        key: IdempotencyKey,
        state: AttemptState,
        author: str,
        timeout_ms: float,
    ) -> bool:
        """Close a lost key by an operator's word; tell if it is recorded."""
        filing = self._ledger.find(key)
        if filing is None or filing.state is not AttemptState.LOST:
            return False
        self._core.shards.add(
            Resolution(
                key=key,
                intent=filing.intent.id,
                state=state,
                author=author,
            ),
        )
        with move_on_after(timeout_ms):
            while self._state_of(key) is AttemptState.LOST:
                await self._ledger.wait_changed()
        return self._state_of(key) is state

    def _join(self, key: IdempotencyKey, call: Call, digest: str) -> _Job:
        """Return the work on a key, begun by this call if there is none."""
        job = self._jobs.get(key)
        if job is None:
            refusal = not_run(
                Reason.LOG_UNAVAILABLE, 'the log has not answered'
            )
            job = _Job(digest, trio.Event(), refusal, call.deadline)
            self._jobs[key] = job
            self._nursery.start_soon(self._work, key, call, job)
        return job

    def _state_of(self, key: IdempotencyKey) -> AttemptState | None:
        filing = self._ledger.find(key)
        return None if filing is None else filing.state

    async def _settle_overdue(self, key: IdempotencyKey, job: _Job) -> None:
        filing = self._ledger.find(key)
        if filing is not None and filing.state is AttemptState.OPEN:
            job.answer = await self._settlement.settle(filing.intent)
        self._finish(key, job)

    async def _work(self, key: IdempotencyKey, call: Call, job: _Job) -> None:
        job.answer = await self._answer(key, call, job.digest)
        self._finish(key, job)

    def _finish(self, key: IdempotencyKey, job: _Job) -> None:
        self._jobs.pop(key, None)
        job.done.set()

    async def _answer(
        self, key: IdempotencyKey, call: Call, digest: str
    ) -> Answer:
        if not await self._caught_up(key, call):
            return await self._unrecorded(call, 'the log cannot be read')
        outcome: Answer = not_run(Reason.NO_CAPACITY)
        for _ in range(MAX_ATTEMPTS):
            filing = self._ledger.find(key)
            if filing is not None and filing.state is not AttemptState.VOID:
                return await self._attach(filing, digest)
            outcome = await self._attempt(key, call, digest)
            if not _may_try_again(outcome):
                break
            self._runtime.metrics.count('filing_attempts_again')
        return outcome

    async def _caught_up(self, key: IdempotencyKey, call: Call) -> bool:
        with move_on_after(self._record_wait_ms(call)):
            await self._core.shards.wait_caught_up(key)
            return True
        return False

    def _record_wait_ms(self, call: Call) -> float:
        left_ms = call.left_ms(self._runtime.clock)
        return min(RECORD_WAIT_MS, left_ms - REFUSAL_MS)

    async def _unrecorded(self, call: Call, detail: str) -> Answer:
        """Answer while the record cannot be trusted to be up to date.

        The request itself is not run, but its key may have been, at another
        entry: a sidecar that knows the key has the answer.
        """
        known = await self._inquiries.ask_key(call)
        if known is not None:
            return known
        return not_run(Reason.LOG_UNAVAILABLE, detail, int(MS_PER_SECOND))

    async def _attach(self, filing: KeyRecord, digest: str) -> Answer:
        """Return what became of an attempt that was claimed before."""
        if filing.intent.digest != digest:
            return key_reused(IdempotencyKey(filing.intent.key))
        if filing.state is AttemptState.OPEN:
            return await self._follow(filing.intent)
        return recorded_answer(filing)

    async def _follow(self, intent: Intent) -> Answer:
        """Wait for its owner to conclude an attempt, then ask the sidecar."""
        key = IdempotencyKey(intent.key)
        if not await self._settlement.wait_concluded(intent, ATTACH_WAIT_MS):
            return await self._settlement.settle(intent)
        filing = self._ledger.find(key)
        if filing is None:
            return unknown_outcome(Reason.KEY_LOST, 'the record has expired')
        return recorded_answer(filing)

    async def _attempt(
        self,
        key: IdempotencyKey,
        call: Call,
        digest: str,
    ) -> Answer:
        peer = self._core.choose(call, frozenset())
        if isinstance(peer, Refusal):
            return peer
        if not self._core.shards.reachable:
            return await self._unrecorded(call, 'the log cannot be reached')
        began = self._runtime.clock.now()
        intent = self._make_intent(key, call, digest, peer)
        self._core.shards.add(intent)
        claimed = await self._wait_claimed(intent, call)
        if claimed is None:
            # Only this entry may dispatch the intent and it never will.
            self._conclusions.void(intent, 'not recorded in time')
            return await self._unrecorded(call, 'not recorded in time')
        if claimed.intent.id != intent.id:
            return await self._attach(claimed, digest)
        return await self._dispatch(intent, call, peer, began)

    def _make_intent(
        self,
        key: IdempotencyKey,
        call: Call,
        digest: str,
        peer: Peer,
    ) -> Intent:
        known = self._ledger.find(key)
        left_ms = call.left_ms(self._runtime.clock)
        return Intent(
            key=key,
            id=uuid.uuid4().hex,
            attempt=1 if known is None else known.intent.attempt + 1,
            digest=digest,
            service=call.route.service.name,
            upstream=peer.name,
            incarnation=peer.incarnation or '',
            entry=self._runtime.incarnation,
            deadline=self._runtime.clock.wall() + int(left_ms),
            operation=call.operation_name,
        )

    async def _wait_claimed(
        self, intent: Intent, call: Call
    ) -> KeyRecord | None:
        """Return who holds the key once the intent's place is known."""
        with move_on_after(self._record_wait_ms(call)):
            while True:
                filing = self._ledger.find(IdempotencyKey(intent.key))
                is_newer = filing and filing.intent.attempt >= intent.attempt
                if filing is not None and is_newer:
                    return filing
                await self._ledger.wait_changed()
        return None

    async def _dispatch(
        self,
        intent: Intent,
        call: Call,
        peer: Peer,
        began: float,
    ) -> Answer:
        # A process that was paused in between must not dispatch: the sidecar
        # may have voided the intent and forgotten that again.
        claimed_ms = self._runtime.clock.now() - began
        late = (
            claimed_ms > MAX_CLAIM_MS or self._conclusions.left_ms(intent) <= 0
        )
        moved = peer.incarnation != intent.incarnation
        if late or moved or not peer.takes_work:
            self._conclusions.void(intent, 'never dispatched')
            return await self._settlement.voided(
                intent, Reason.WRONG_INCARNATION
            )
        version = self._runtime.configuration.version
        target = Target(intent.incarnation, version, intent.id)
        clock = self._runtime.clock
        exchange = peer.dispatch(partial(make_dispatch, call, clock, target))
        where = f'{intent.key} to {peer.name}'
        self._runtime.timeline.add('filing-dispatched', intent.id, where)
        answer = await self._inquiries.collect(
            peer, exchange, self._conclusions.left_ms(intent)
        )
        return await self._settlement.take_outcome(intent, answer)


def _ended_early(job: _Job, call: Call) -> bool:
    """Tell whether only its beginner's deadline has ended the work."""
    answer = job.answer
    if not isinstance(answer, Refusal) or answer.outcome is not Outcome.NOT_RUN:
        return False
    timed = answer.reason in {Reason.EXPIRED, Reason.LOG_UNAVAILABLE}
    return timed and job.deadline < call.deadline


def _may_try_again(answer: Answer) -> bool:
    return isinstance(answer, Refusal) and answer.reason in {
        Reason.WRONG_INCARNATION,
        Reason.STALE_DISPATCH,
        Reason.STALE_MANIFEST,
        Reason.DRAINING,
        Reason.VOIDED,
        Reason.UPSTREAM_UNREACHABLE,
    }


def request_digest(call: Call) -> str:
    """Return what tells whether two requests of one key are the same."""
    request = call.request
    head = f'{request.method} {request.target}\n'.encode()
    return hashlib.sha256(head + request.body).hexdigest()
