"""Forward a call to an upstream and retry it where that is safe."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import closing
from functools import partial

import msgspec

from ..adapters.buffers import BufferBudget, BufferLease
from ..adapters.httpserver import ResponseWriter
from ..adapters.problem import send_refusal
from ..clock import Clock
from ..outcomes import Refusal
from ..types import DomainName, HeaderList
from .call import BufferedResponse, Call, Failure, StreamTiming
from .calllog import CallLog
from .choice import UpstreamChooser
from .clusterstate import ClusterState
from .hedges import HedgeChooser, HedgeRecords, HedgeSources, ReadLimits
from .loads import SharedLoads
from .promptguard import PromptGuard
from .refusals import RefusalChooser
from .relay import RelayedAttempt, StreamRelay
from .rescue import AttemptRace, AttemptResult
from .retrybudgets import RetryBudgets
from .shutdown import GracefulShutdown
from .stalls import StallDetector
from .steptimes import StepTimes
from .upstreams import Upstream

_FIRST_SERVER_ERROR = 500
#: Time after a call's deadline at which the entry refuses it, in ms, so that a
#: response that the upstream sends at the deadline is still passed on.
DEADLINE_SLACK_MS = 60.0
#: Least time to the deadline with which a call is retried, in ms: a plain call
#: takes 23 ms.
MIN_ATTEMPT_MS = 30.0
#: Upstreams that a call may fail to reach before it is refused.
MAX_UNDELIVERED = 4


class ForwarderSettings(msgspec.Struct, frozen=True):
    """Bundle what forwarding needs besides upstreams and retry budgets.

    ``domain`` is this entry's failure domain, ``loads`` holds other entries'
    calls in flight, ``stalls`` finds streams of a stalled upstream, ``hedging``
    returns the limits of second sends, ``buffers`` bounds the bodies that are
    held, and ``refusal_headers`` makes the headers of a refusal. ``stall_ms``
    is as in DirectSettings, and ``shutdown`` ends calls at its deadline.
    """

    domain: DomainName
    loads: SharedLoads
    stalls: StallDetector
    hedging: ReadLimits
    buffers: BufferBudget
    refusal_headers: Callable[[Refusal], HeaderList]
    stall_ms: float
    shutdown: GracefulShutdown


class Forwarder:
    """Choose upstreams for calls, send them and retry failed attempts."""

    def __init__(
        self,
        cluster: ClusterState,
        prompt_guard: PromptGuard,
        retry_budgets: RetryBudgets,
        call_log: CallLog,
        settings: ForwarderSettings,
    ) -> None:
        """Send calls with the shared components of one entry."""
        self._cluster = cluster
        self._prompt_guard = prompt_guard
        self._retry_budgets = retry_budgets
        self._call_log = call_log
        self._stalls = settings.stalls
        self._buffers = settings.buffers
        self._returns = settings.loads.returns
        self._refusals = RefusalChooser(
            cluster, self._returns, settings.shutdown, settings.stall_ms
        )
        self._refusal_headers = settings.refusal_headers
        self._shutdown = settings.shutdown
        self._clock = Clock()
        self._chooser = UpstreamChooser(
            cluster, settings.domain, settings.loads
        )
        self._hedges = HedgeRecords(self._clock, settings.hedging)
        self._hedge_chooser = HedgeChooser(
            cluster,
            HedgeSources(
                settings.domain,
                settings.loads,
                self._hedges,
                self._may_send_again,
            ),
            self._chooser,
            retry_budgets,
            call_log,
        )

    async def forward(self, call: Call, reply: ResponseWriter) -> None:
        """Send a call's response or, by its deadline, a refusal."""
        with closing(BufferLease(self._buffers)) as buffers:
            await self._forward(call, reply, buffers)

    async def _forward(
        self, call: Call, reply: ResponseWriter, buffers: BufferLease
    ) -> None:
        self._retry_budgets.record_call(call.service)
        self._hedges.record_call(call)
        relay = StreamRelay(
            reply,
            call.metadata.last_event_id,
            StreamTiming(call.arrived_at),
            buffers,
            partial(self._prompt_guard.record_answer, call),
        )
        outcome: BufferedResponse | Refusal | None = None
        remaining_ms = call.deadline - self._clock.now()
        is_expired = True
        is_connected = False
        try:
            with self._shutdown.bound_call(remaining_ms + DEADLINE_SLACK_MS):
                outcome = await self._try_upstreams(call, relay)
                is_expired = False
            is_connected = True
        finally:
            if not is_connected:
                self._call_log.record_disconnect(call, relay.events)
        if is_expired:
            outcome = self._refusals.refuse_unfinished(call)
        if isinstance(outcome, Refusal):
            self._hedges.record_refusal(call.service, outcome)
        if isinstance(outcome, Refusal) and not reply.started:
            # A retry without a response does not replace one that was read.
            outcome = call.failed_response or outcome
        self._call_log.record_end(call, outcome, relay.events, relay.timing)
        if outcome is None:
            self._record_stream(call)
        with self._call_log.watch_response(call):
            await self._respond(outcome, reply)

    async def _respond(
        self,
        outcome: BufferedResponse | Refusal | None,
        reply: ResponseWriter,
    ) -> None:
        if isinstance(outcome, BufferedResponse):
            await reply.send(outcome.status, outcome.headers, outcome.body)
        elif isinstance(outcome, Refusal) and not reply.started:
            await send_refusal(reply, outcome, self._refusal_headers(outcome))

    def _record_stream(self, call: Call) -> None:
        """Record the duration of a stream that is complete for forecasts."""
        if call.stream is None or call.stream.is_resumed:
            return
        directory = self._cluster.directory
        upstream = directory.find(call.choices[-1].upstream)
        group = None if upstream is None else upstream.group
        last_step_ms = directory.step_times(call.service, group).step_ms
        first_step_ms = call.engine_load and call.engine_load.step_ms
        step_ms: float | None = None
        if first_step_ms and last_step_ms:
            step_ms = (first_step_ms + last_step_ms) / 2
        self._returns.record_stream(
            call.service,
            call.stream,
            step_ms,
            self._clock.now() - call.arrived_at,
        )

    async def _try_upstreams(
        self,
        call: Call,
        relay: StreamRelay,
    ) -> BufferedResponse | Refusal | None:
        """Return what the caller gets, None for a stream that is complete."""
        failed: BufferedResponse | Failure | None = None
        while True:
            call.held_ms = self._prompt_guard.held_ms(call)
            if call.held_ms is not None:
                return self._refusals.final_result(call, failed)
            refusal = self._refuse_retry(call, failed)
            if refusal is not None:
                return refusal
            upstream = self._chooser.choose(call)
            if upstream is None:
                return self._refusals.final_result(call, failed)
            attempt = await self._send(call, upstream, relay)
            if attempt is None:
                return None
            if not self._should_retry(call, attempt):
                return self._refusals.final_result(call, attempt)
            self._call_log.record_retry(
                call, upstream.record, attempt, relay.events
            )
            failed = attempt

    def _refuse_retry(
        self, call: Call, failed: BufferedResponse | Failure | None
    ) -> Refusal | None:
        """Return why a shutdown leaves no time for a retry, if so.

        A call that may have run is retried here, as the caller may not.
        """
        if failed is None or call.may_have_run:
            return None
        return self._shutdown.refuse_retry(call)

    async def _send(
        self, call: Call, upstream: Upstream, relay: StreamRelay
    ) -> AttemptResult:
        """Send a call once, one that stalls or is slow to a second one too."""
        can_resume = call.route.streaming and call.route.retryable
        if can_resume or self._hedges.may_hedge(call):
            race = AttemptRace(
                relay,
                partial(self._step_times, call),
                partial(self._send_once, call),
                partial(self._choose_second, call, relay),
                self._stalls if call.route.streaming else None,
                self._hedge_chooser.plan(call, relay),
            )
            return await race.run(upstream, partial(_count_attempt, call))
        step_times = self._step_times(call, upstream)
        with relay.open_attempt(step_times) as relayed:
            return await self._send_once(call, upstream, relayed)
        raise AssertionError('nothing cancels an only attempt')

    async def _send_once(
        self, call: Call, upstream: Upstream, relayed: RelayedAttempt
    ) -> AttemptResult:
        call.open_attempts += 1
        attempt = await self._prompt_guard.send(call, upstream, relayed)
        # An attempt that the deadline cancels before stays open.
        call.open_attempts -= 1
        call.has_run = call.has_run or _may_have_run(attempt)
        return attempt

    def _step_times(self, call: Call, upstream: Upstream) -> StepTimes:
        directory = self._cluster.directory
        return directory.step_times(call.service, upstream.group)

    def _choose_second(self, call: Call, relay: StreamRelay) -> Upstream | None:
        """Choose an upstream for a stream that has stalled at another one.

        The retry is taken from the budget. Return None where the call may not
        be sent again now or no other upstream takes it.
        """
        others = self._cluster.directory.ready_upstreams(
            call.service, call.tried_upstreams, call.allowed_regions
        )
        is_last = call.delivered_attempts + 1 >= call.route.max_attempts
        if is_last or not any(not other.wait_ms for other in others):
            return None
        if not self._has_time(call) or self._prompt_guard.held_ms(call):
            return None
        stalled = call.choices[-1]
        upstream = self._chooser.choose(call)
        if upstream is None:
            return None
        if not self._retry_budgets.try_withdraw(call.service):
            call.choices.pop()
            return None
        self._call_log.record_stall(call, stalled.upstream, relay.events)
        return upstream

    def _should_retry(
        self, call: Call, attempt: BufferedResponse | Failure
    ) -> bool:
        """Tell whether a call is retried; take the retry from the budget."""
        if isinstance(attempt, BufferedResponse):
            call.delivered_attempts += 1
            if attempt.status < _FIRST_SERVER_ERROR:
                return False
            call.failed_response = attempt
        elif attempt.misdirected or not attempt.delivered:
            return self._should_redirect(call, attempt)
        else:
            call.delivered_attempts += 1
        if call.may_have_run and not call.route.retryable:
            return False
        if (
            call.delivered_attempts >= call.route.max_attempts
            or not self._has_time(call)
        ):
            return False
        return self._retry_budgets.try_withdraw(call.service)

    def _should_redirect(self, call: Call, attempt: Failure) -> bool:
        """Tell whether a call not delivered as addressed is sent elsewhere.

        Only an attempt that some upstream received is taken from the budget.
        """
        call.undelivered_attempts += 1
        if call.undelivered_attempts >= MAX_UNDELIVERED or not self._has_time(
            call
        ):
            return False
        return not attempt.delivered or self._retry_budgets.try_withdraw(
            call.service
        )

    def _may_send_again(self, call: Call) -> bool:
        is_held = self._prompt_guard.held_ms(call) is not None
        return self._has_time(call) and not is_held

    def _has_time(self, call: Call) -> bool:
        return call.deadline - self._clock.now() > MIN_ATTEMPT_MS


def _may_have_run(attempt: AttemptResult) -> bool:
    return not isinstance(attempt, Failure) or attempt.may_have_run


def _count_attempt(call: Call, attempt: AttemptResult) -> None:
    """Count an attempt that has failed while another goes on."""
    if isinstance(attempt, BufferedResponse):
        call.failed_response = attempt
    if isinstance(attempt, Failure) and not attempt.delivered:
        call.undelivered_attempts += 1
    else:
        call.delivered_attempts += 1
