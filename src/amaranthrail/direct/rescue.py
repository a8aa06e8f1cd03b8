"""Send a stalled or slow call to a second upstream without giving up the first.

Both attempts run side by side until one of them has an answer.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from contextlib import AbstractContextManager, nullcontext
from functools import partial

import msgspec
import trio

from ..clock import Clock, sleep
from ..policy.hedging import HedgeEnd
from .call import BufferedResponse, Failure
from .relay import RelayedAttempt, StreamRelay
from .stalls import StallDetector
from .steptimes import StepTimes
from .upstreams import Upstream

_FIRST_SERVER_ERROR = 500
#: The result of an attempt; None stands for a stream relayed to its end.
AttemptResult = BufferedResponse | Failure | None
_SUPERSEDED = Failure(
    'another upstream went on first', may_have_run=True, delivered=True
)


#: Chooses the upstream of a second send beside an attempt, None for no send.
ChooseHedge = Callable[[RelayedAttempt], Upstream | None]


class HedgePlan(msgspec.Struct, frozen=True):
    """Say when a slow call is sent to a second upstream, and record it.

    ``choose`` is called with the first attempt after ``delay_ms``, never where
    it is None. ``record_time`` gets the time until the answer of the first
    attempt began, or the time for which it was waited for in vain.
    """

    delay_ms: float
    choose: ChooseHedge | None
    record_time: Callable[[float], None]
    record_end: Callable[[HedgeEnd], None]


class _AttemptEnd(msgspec.Struct, frozen=True):
    attempt: RelayedAttempt
    outcome: AttemptResult


_EndChannel = trio.MemorySendChannel[_AttemptEnd]


class AttemptRace:
    """Run the attempts of one call, at most two of them side by side.

    An upstream that only pauses, as an engine that has preempted a request
    does, goes on later, and the second one may refuse the call. So the first
    attempt runs on until the second has an event or a whole response.
    """

    def __init__(
        self,
        relay: StreamRelay,
        step_times: Callable[[Upstream], StepTimes],
        send: Callable[[Upstream, RelayedAttempt], Awaitable[AttemptResult]],
        choose_second: Callable[[], Upstream | None],
        stalls: StallDetector | None,
        hedge: HedgePlan | None,
    ) -> None:
        """Send by ``send`` to the upstreams that ``choose_second`` returns.

        ``choose_second`` is called while ``stalls`` finds the call stalled, and
        returns None while no other upstream takes it. ``hedge`` says when a
        call that has not stalled is sent again, None if never.
        """
        self._relay = relay
        self._stalls = stalls
        self._step_times = step_times
        self._send = send
        self._choose_second = choose_second
        self._hedge = hedge
        self._clock = Clock()
        self._running = 0
        self._first: RelayedAttempt | None = None
        self._hedged: RelayedAttempt | None = None

    async def run(
        self, first: Upstream, count_attempt: Callable[[AttemptResult], None]
    ) -> AttemptResult:
        """Return the result of the attempt that ended last or for good.

        ``count_attempt`` gets the results of those that ended before.
        """
        channel, ends = trio.open_memory_channel[_AttemptEnd](0)
        last: _AttemptEnd | None = None
        try:
            async with trio.open_nursery() as nursery:
                start = partial(self._start, nursery, channel)
                start(first)
                nursery.start_soon(self._send_hedge, start)
                last = await self._wait_for_last(ends, count_attempt)
                nursery.cancel_scope.cancel()
        finally:
            self._record_hedge_end(last)
        return last.outcome

    async def _wait_for_last(
        self,
        ends: trio.MemoryReceiveChannel[_AttemptEnd],
        count_attempt: Callable[[AttemptResult], None],
    ) -> _AttemptEnd:
        while True:
            end = await ends.receive()
            self._running -= 1
            if not self._running or _is_final(end.outcome):
                return end
            count_attempt(end.outcome)

    def _start(
        self,
        nursery: trio.Nursery,
        channel: _EndChannel,
        upstream: Upstream,
        *,
        is_hedge: bool = False,
    ) -> None:
        self._running += 1
        start_second = partial(self._start, nursery, channel)
        run_attempt = partial(self._run_attempt, is_hedge=is_hedge)
        nursery.start_soon(run_attempt, upstream, channel, start_second)

    async def _run_attempt(
        self,
        upstream: Upstream,
        channel: _EndChannel,
        start_second: Callable[[Upstream], None],
        *,
        is_hedge: bool,
    ) -> None:
        step_times = self._step_times(upstream)

        def watch_wait(
            attempt: RelayedAttempt,
        ) -> AbstractContextManager[None]:
            if self._stalls is None:
                return nullcontext()
            rescue = partial(self._rescue, attempt, upstream, start_second)
            return self._stalls.watch(step_times, rescue, attempt.waited_ms)

        with self._relay.open_attempt(step_times, watch_wait) as attempt:
            if is_hedge:
                self._hedged = attempt
            self._first = self._first or attempt
            end = _AttemptEnd(attempt, _SUPERSEDED)
            try:
                outcome = await self._send(upstream, attempt)
                if outcome is not None and _is_final(outcome):
                    await self._relay.select(attempt)
                end = _AttemptEnd(attempt, outcome)
            finally:
                self._record_time(end)
        await channel.send(end)

    async def _send_hedge(self, start: Callable[..., None]) -> None:
        """Start a second attempt if the first has no answer in time."""
        if self._hedge is None or self._hedge.choose is None:
            return
        await sleep(self._hedge.delay_ms)
        if self._running != 1 or self._first is None:
            return
        if not self._relay.is_running(self._first):
            # Its end is counted in this moment: what comes next is a retry.
            return
        second = self._hedge.choose(self._first)
        if second is not None:
            start(second, is_hedge=True)

    def _record_time(self, end: _AttemptEnd) -> None:
        """Record how long the first attempt took to begin its answer.

        A time that was cut short counts where it was above the quantile: left
        out, slow answers would be missing, and the quantile would sink.
        """
        hedge = self._hedge
        attempt = end.attempt
        if hedge is None or attempt is not self._first:
            return
        answer_ms = attempt.answer_ms
        has_answer = attempt.has_begun or _is_final(end.outcome)
        if has_answer and answer_ms is not None:
            hedge.record_time(answer_ms)
        elif end.outcome is _SUPERSEDED and attempt.age_ms >= hedge.delay_ms:
            hedge.record_time(attempt.age_ms)

    def _record_hedge_end(self, last: _AttemptEnd | None) -> None:
        """Record which attempt gave the response of a call sent twice."""
        if self._hedge is None or self._hedged is None:
            return
        winner = next(
            (
                attempt
                for attempt in (self._hedged, self._first)
                if attempt is not None and attempt.has_begun
            ),
            None,
        )
        if last is not None and _is_final(last.outcome):
            winner = last.attempt
        end = HedgeEnd.LOST
        if winner is None:
            end = HedgeEnd.FAILED
        elif winner is self._hedged:
            end = HedgeEnd.WON
        self._hedge.record_end(end)

    def _rescue(
        self,
        attempt: RelayedAttempt,
        stalled: Upstream,
        start_second: Callable[[Upstream], None],
    ) -> None:
        """Start a second attempt beside a stalled one if there is none."""
        second = None if self._running > 1 else self._choose_second()
        if second is None:
            return
        attempt.record_stall()
        now = self._clock.now()
        if attempt.has_head:
            stalled.health.record_failure(now)
        else:
            stalled.health.record_unreachable(now)
        start_second(second)


def _is_final(attempt: AttemptResult) -> bool:
    """Tell whether a result is a response for the caller."""
    if isinstance(attempt, BufferedResponse):
        return attempt.status < _FIRST_SERVER_ERROR
    return attempt is None
