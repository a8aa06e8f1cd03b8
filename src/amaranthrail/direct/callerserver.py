"""Serve callers' connections and finish their calls in a shutdown."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import msgspec
import trio

from ..adapters.httpserver import (
    Handler,
    ServerLimits,
    ServerState,
    serve_connection,
    wait_until_quiet,
    wait_while,
)
from ..adapters.listen import serve_until
from ..clock import Clock, move_on_after, sleep
from ..metrics import Metrics
from ..signals import StopTimes
from .callers import CallerHandler
from .calllog import CallLog
from .clusterstate import ClusterState
from .forward import Forwarder, ForwarderSettings
from .loads import SharedLoads
from .ports import WireFormat
from .promptguard import PromptGuard
from .retrybudgets import RetryBudgets
from .settings import DirectSettings
from .shutdown import GracefulShutdown
from .stalls import StallDetector

#: Time from the stop signal until idle connections are closed, in ms: the
#: balancer opens new ones until two probes, a second apart, have failed.
IDLE_CLOSE_DELAY_MS = 2500.0


class CallerSources(msgspec.Struct, frozen=True):
    """Bundle the components of an entry that serving callers needs."""

    clock: Clock
    metrics: Metrics
    cluster: ClusterState
    wire_format: WireFormat
    loads: SharedLoads
    stalls: StallDetector
    prompt_guard: PromptGuard
    retry_budgets: RetryBudgets
    shutdown: GracefulShutdown


class CallerServer:
    """Accept callers' connections and handle the requests on them."""

    def __init__(
        self,
        read_settings: Callable[[], DirectSettings],
        sources: CallerSources,
    ) -> None:
        """Read the settings each time, as they may be reloaded."""
        self._read_settings = read_settings
        self._sources = sources
        self._clock = sources.clock
        self._shutdown = sources.shutdown
        self._served = trio.Event()
        self._state = ServerState(self._limits, read_settings().memory_bytes)

    async def serve(self, listeners: list[trio.SocketListener]) -> None:
        """Serve callers until all connections are closed in a shutdown."""
        serve = partial(
            serve_connection, handler=self._make_handler(), state=self._state
        )
        await serve_until(listeners, serve, self._state.wait_until_ending)
        self._served.set()

    def record_stop(self, times: StopTimes) -> None:
        """Apply the shutdown to calls that arrive from now on.

        May be called in a signal handler.
        """
        self._shutdown.record_stop(times, self._read_settings().shutdown_ms)

    async def shut_down(
        self, times: StopTimes, is_idle: Callable[[], bool]
    ) -> None:
        """Return once no call is in progress or the time for them is over.

        Calls that are in progress then are cut off and answered as such.
        ``is_idle`` tells whether the rest of the process may end.
        """
        began_at = self._clock.now()
        deadline = self._shutdown.begin(
            times, self._read_settings().shutdown_ms, self._state.active
        )
        self._state.announce_close()
        idle_close_at = min(began_at + IDLE_CLOSE_DELAY_MS, deadline)
        await sleep(idle_close_at - self._clock.now())
        self._state.close()
        with move_on_after(deadline - self._clock.now()):
            await wait_until_quiet(lambda: not (self._can_exit() and is_idle()))
            self._state.end()
            await self._served.wait()
            await wait_while(lambda: not is_idle())
        if not self._served.is_set():
            await self._cut_calls()
        self._shutdown.end(self._state.active)

    async def _cut_calls(self) -> None:
        self._state.end()
        self._shutdown.cut_calls()
        with move_on_after(self._shutdown.send_deadline - self._clock.now()):
            await self._served.wait()

    def _can_exit(self) -> bool:
        return self._shutdown.can_exit(self._state.active)

    def _make_handler(self) -> Handler:
        sources = self._sources
        settings = self._read_settings()
        call_log = CallLog(sources.clock, sources.metrics, sources.shutdown.log)
        forwarder = Forwarder(
            sources.cluster,
            sources.prompt_guard,
            sources.retry_budgets,
            call_log,
            ForwarderSettings(
                settings.domain,
                sources.loads,
                sources.stalls,
                lambda: self._read_settings().hedging,
                self._state.buffers,
                sources.wire_format.refusal_headers,
                settings.stall_ms,
                sources.shutdown,
            ),
        )
        callers = CallerHandler(
            sources.cluster,
            sources.wire_format,
            forwarder,
            call_log,
            sources.shutdown,
        )
        return callers.handle

    def _limits(self) -> ServerLimits:
        limits = self._sources.cluster.caller_limits
        return ServerLimits(
            limits.max_body_bytes,
            limits.max_header_bytes,
            idle_timeout_ms=limits.idle_timeout_ms,
            header_timeout_ms=limits.header_timeout_ms,
        )
