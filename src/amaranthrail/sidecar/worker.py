"""Send requests to the upstream, each while it holds a slot."""

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
from .run import MAX_KEYED_RESPONSE_BYTES, Run
from .slots import SlotQueue

#: Time limit of one exchange with the upstream for keyed work. Idempotent work
#: is bounded by the caller's deadline instead.
KEYED_EXCHANGE_TIMEOUT_MS = 15_000.0
_HOP_BY_HOP_HEADERS = frozenset(
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
    """Queue admitted runs for a slot and send them to the upstream."""

    def __init__(
        self,
        runtime: Runtime,
        slots: SlotQueue,
        upstream: HttpClient,
    ) -> None:
        """Set the slots to wait for and the client of the upstream."""
        self._runtime = runtime
        self._slots = slots
        self._upstream = upstream

    async def execute(self, run: Run) -> None:
        """Execute a run until it has a complete response or a failure."""
        with run.scope:
            run.scope.deadline = (
                trio.current_time() + run.dispatch.left_ms / MS_PER_SECOND
            )
            await self._wait_and_send(run)
        if not run.ended:
            self._fail(run, _expired_refusal(run))
        self._record_end(run)

    async def _wait_and_send(self, run: Run) -> None:
        work = QueuedWork(
            run.arrived_at,
            run.dispatch.cost_ms,
            run.dispatch.long,
        )
        async with self._slots.hold_slot(work):
            waited_ms = self._runtime.clock.now() - run.arrived_at
            self._runtime.metrics.latency('queue_wait').record(waited_ms)
            if self._would_miss_deadline(run):
                detail = 'too little time was left at its turn'
                self._fail(run, not_run(Reason.EXPIRED, detail))
                return
            await self._send(run)

    def _would_miss_deadline(self, run: Run) -> bool:
        """Tell whether the time left is shorter than the cost estimate.

        Such work would occupy a slot that other work can still use in time.
        """
        left_ms = run.deadline - self._runtime.clock.now()
        return left_ms < run.dispatch.cost_ms

    async def _send(self, run: Run) -> None:
        # A keyed run that has started is not stopped at its deadline: its
        # outcome must be known, and stopping it would not undo its effect.
        run.mark_started()
        if run.dispatch.intent:
            run.scope.deadline = float('inf')
            self._runtime.timeline.add('run-started', run.dispatch.intent)
        try:
            await self._exchange_with_retry(run)
        except HttpError as error:
            self._fail(run, _refusal_from(error))

    async def _exchange_with_retry(self, run: Run) -> None:
        """Exchange once; retry on a new connection if a pooled one failed.

        The upstream may have closed a pooled connection while it was idle. A
        response that has begun is not retried. Keyed work always uses a new
        connection and is never retried.
        """
        if run.dispatch.intent:
            await self._exchange(run, new_connection=True)
            return
        try:
            await self._exchange(run, new_connection=False)
        except HttpError as error:
            if run.has_head or not error.pooled:
                raise
            await self._exchange(run, new_connection=True)

    async def _exchange(self, run: Run, *, new_connection: bool) -> None:
        dispatch = run.dispatch
        with move_on_after(_exchange_timeout_ms(run)):
            async with self._upstream.exchange(
                dispatch.method,
                dispatch.target,
                end_to_end_headers(dispatch.headers),
                dispatch.body,
                new_connection=new_connection,
            ) as exchange:
                run.set_head(
                    exchange.status, end_to_end_headers(exchange.headers)
                )
                await self._read_body(run, exchange)

    async def _read_body(self, run: Run, exchange: HttpExchange) -> None:
        async with aclosing(exchange.body_chunks()) as chunks:
            async for chunk in chunks:
                run.append_body(chunk)
                if (
                    run.dispatch.intent
                    and run.length > MAX_KEYED_RESPONSE_BYTES
                ):
                    detail = f'over {MAX_KEYED_RESPONSE_BYTES} bytes'
                    self._fail(
                        run,
                        unknown_outcome(Reason.RESPONSE_TOO_LARGE, detail),
                    )
                    return
                await run.wait_for_window()
        run.complete(self._runtime.clock.now())

    def _fail(self, run: Run, failure: Refusal) -> None:
        run.fail(failure, self._runtime.clock.now())

    def _record_end(self, run: Run) -> None:
        end_reason = 'whole'
        if run.failure is not None:
            end_reason = run.failure.reason.value
            _log.info(
                'run failed',
                request=run.dispatch.request,
                reason=end_reason,
                detail=run.failure.detail,
            )
        self._runtime.metrics.count('runs', ended=end_reason)
        if run.dispatch.intent:
            self._runtime.timeline.add(
                'run-ended',
                run.dispatch.intent,
                end_reason,
            )


def _exchange_timeout_ms(run: Run) -> float:
    if run.dispatch.intent:
        return KEYED_EXCHANGE_TIMEOUT_MS
    return float('inf')


def _refusal_from(error: HttpError) -> Refusal:
    if error.sent:
        return unknown_outcome(Reason.UPSTREAM_BROKEN, str(error))
    return not_run(Reason.UPSTREAM_UNREACHABLE, str(error))


def _expired_refusal(run: Run) -> Refusal:
    """Return the failure of a run that was cancelled or passed its deadline."""
    if run.started:
        return unknown_outcome(
            Reason.EXPIRED, 'the upstream did not finish in time'
        )
    return not_run(Reason.EXPIRED, 'the deadline passed before the start')


def end_to_end_headers(headers: HeaderList) -> HeaderList:
    """Return header fields without the hop-by-hop ones of a connection."""
    return tuple(
        field for field in headers if field[0] not in _HOP_BY_HOP_HEADERS
    )
