"""Run requests against the upstream, each in its slot."""

from __future__ import annotations

from contextlib import aclosing

import trio

from ..adapters.httpclient import HttpClient, HttpExchange
from ..clock import MS_PER_SECOND, move_on_after
from ..exceptions import HttpError
from ..logs import part_logger
from ..outcomes import Reason, Refusal, not_run, unknown_outcome
from ..policy.queueing import QueuedWork
from ..runtime import Runtime
from ..types import HeaderList
from .run import MAX_KEYED_BYTES, Run
from .slots import Slots

#: Silence of the upstream in the middle of an answer that counts as broken.
UPSTREAM_SILENCE_MS = 15_000.0
_HOP_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'host',
        'keep-alive',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)
_log = part_logger('worker')


class Worker:
    """Run what the gate lets in."""

    def __init__(
        self,
        runtime: Runtime,
        slots: Slots,
        upstream: HttpClient,
    ) -> None:
        """Take the upstream and its slots."""
        self._runtime = runtime
        self._slots = slots
        self._upstream = upstream

    async def run(self, run: Run) -> None:
        """Run one request to its end, whatever that is."""
        with run.scope:
            run.scope.deadline = (
                trio.current_time() + run.dispatch.left_ms / MS_PER_SECOND
            )
            await self._queue_and_call(run)
        if not run.ended:
            self._fail(run, _cut_short(run))
        self._note_end(run)

    async def _queue_and_call(self, run: Run) -> None:
        work = QueuedWork(
            run.arrived_at,
            run.dispatch.cost_ms,
            run.dispatch.long,
        )
        async with self._slots.hold(work):
            waited = self._runtime.clock.now() - run.arrived_at
            self._runtime.metrics.latency('queue_wait').record(waited)
            if self._is_too_late(run):
                detail = 'too little time was left at its turn'
                self._fail(run, not_run(Reason.EXPIRED, detail))
                return
            await self._call(run)

    def _is_too_late(self, run: Run) -> bool:
        """Tell whether the work would only take a slot from work in time."""
        left_ms = run.deadline - self._runtime.clock.now()
        return left_ms < run.dispatch.cost_ms

    async def _call(self, run: Run) -> None:
        # A keyed run goes on past its deadline once it has started: its
        # outcome must be learnt, and cutting it off would not undo it.
        run.mark_started()
        if run.dispatch.intent:
            run.scope.deadline = float('inf')
            self._runtime.timeline.add('run-started', run.dispatch.intent)
        try:
            await self._relay_retrying(run)
        except HttpError as error:
            self._fail(run, _refusal_of(error))

    async def _relay_retrying(self, run: Run) -> None:
        """Relay the answer; a pooled connection may have been closed."""
        if run.dispatch.intent:
            await self._relay(run, fresh=True)
            return
        try:
            await self._relay(run, fresh=False)
        except HttpError as error:
            if run.begun or not error.pooled:
                raise
            await self._relay(run, fresh=True)

    async def _relay(self, run: Run, *, fresh: bool) -> None:
        dispatch = run.dispatch
        with move_on_after(_head_bound(run)):
            async with self._upstream.exchange(
                dispatch.method,
                dispatch.target,
                forwarded_headers(dispatch.headers),
                dispatch.body,
                new_connection=fresh,
            ) as exchange:
                run.begin(exchange.status, forwarded_headers(exchange.headers))
                await self._relay_body(run, exchange)

    async def _relay_body(self, run: Run, exchange: HttpExchange) -> None:
        async with aclosing(exchange.body_chunks()) as parts:
            async for part in parts:
                run.add(part)
                if run.dispatch.intent and run.length > MAX_KEYED_BYTES:
                    detail = f'over {MAX_KEYED_BYTES} bytes'
                    self._fail(
                        run,
                        unknown_outcome(Reason.RESPONSE_TOO_LARGE, detail),
                    )
                    return
                await run.wait_window()
        run.complete(self._runtime.clock.now())

    def _fail(self, run: Run, failure: Refusal) -> None:
        run.fail(failure, self._runtime.clock.now())

    def _note_end(self, run: Run) -> None:
        ended_as = 'whole'
        if run.failure is not None:
            ended_as = run.failure.reason.value
            _log.info(
                'run failed',
                request=run.dispatch.request,
                reason=ended_as,
                detail=run.failure.detail,
            )
        self._runtime.metrics.count('runs', ended=ended_as)
        if run.dispatch.intent:
            self._runtime.timeline.add(
                'run-ended',
                run.dispatch.intent,
                ended_as,
            )


def _head_bound(run: Run) -> float:
    if run.dispatch.intent:
        return UPSTREAM_SILENCE_MS
    return float('inf')


def _refusal_of(error: HttpError) -> Refusal:
    if error.sent:
        return unknown_outcome(Reason.UPSTREAM_BROKEN, str(error))
    return not_run(Reason.UPSTREAM_UNREACHABLE, str(error))


def _cut_short(run: Run) -> Refusal:
    """Return what became of a run that was cancelled or ran out of time."""
    if run.started:
        return unknown_outcome(
            Reason.EXPIRED, 'the upstream did not finish in time'
        )
    return not_run(Reason.EXPIRED, 'the deadline passed before the start')


def forwarded_headers(headers: HeaderList) -> HeaderList:
    """Return the end-to-end fields among header fields."""
    return tuple(pair for pair in headers if pair[0] not in _HOP_HEADERS)
