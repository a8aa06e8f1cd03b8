"""Relay an event stream in whole events from one or more upstreams."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import (
    AbstractContextManager,
    aclosing,
    contextmanager,
    nullcontext,
)

import trio

from ..adapters.buffers import BufferLease, BufferShare
from ..adapters.httpclient import HttpExchange
from ..adapters.httpserver import ResponseWriter
from ..clock import Clock
from ..exceptions import HttpError
from ..types import HeaderList, Millis
from .call import Failure, StreamTiming
from .steptimes import StepTimes
from .streams import EventSplitter

#: Longest event stream in bytes on the wire; each event is passed on at once.
MAX_STREAM_BYTES = 67_108_864
#: Bytes of a stream from which events are split in one step.
_STEP_BYTES = 4096
#: Makes a context manager that surrounds one wait of an attempt.
WatchWait = Callable[['RelayedAttempt'], AbstractContextManager[object]]


class StreamRelay:
    """Relay one caller's stream from the attempts that produce it.

    The response head is that of the first attempt that has an event; a later
    attempt resumes after the last whole event that the caller has received.
    Attempts may run side by side: the first to have an event goes on, and the
    others are cancelled.
    """

    def __init__(
        self,
        reply: ResponseWriter,
        last_id: str | None,
        timing: StreamTiming,
        buffers: BufferLease,
        record_begin: Callable[[], None],
    ) -> None:
        """Relay to ``reply``, starting after the event ``last_id``.

        ``buffers`` bounds partial events. ``record_begin`` is called at the
        first event of each attempt.
        """
        self._buffers = buffers
        self._reply = reply
        self._timing = timing
        self._record_begin = record_begin
        self._last_id = last_id
        self._events = 0
        self._attempts: dict[RelayedAttempt, trio.CancelScope] = {}
        self._clock = Clock()

    @property
    def timing(self) -> StreamTiming:
        """Return the arrival times of the stream's events."""
        return self._timing

    @property
    def last_id(self) -> str | None:
        """Return the id of the last event that the caller has received."""
        return self._last_id

    @property
    def events(self) -> int:
        """Return how many whole events have been relayed."""
        return self._events

    @property
    def has_started(self) -> bool:
        """Tell whether the caller has the head of the stream."""
        return self._reply.started

    def now(self) -> Millis:
        """Return the time on the clock that times events."""
        return self._clock.now()

    @contextmanager
    def open_attempt(
        self, step_times: StepTimes, watch_wait: WatchWait = nullcontext
    ) -> Iterator[RelayedAttempt]:
        """Yield a new attempt; leave the block if another one goes on first.

        Gaps between its events are recorded in ``step_times``, those of the
        group that serves it. Each wait for its upstream runs inside
        ``watch_wait(attempt)``.
        """
        with trio.CancelScope() as scope:
            attempt = RelayedAttempt(self, step_times, watch_wait)
            self._attempts[attempt] = scope
            try:
                yield attempt
            finally:
                self._attempts.pop(attempt, None)

    def is_running(self, attempt: RelayedAttempt) -> bool:
        """Tell whether an attempt has neither ended nor been cancelled."""
        return attempt in self._attempts

    async def select(self, attempt: RelayedAttempt) -> None:
        """Cancel all attempts but the given one, which has more to relay.

        Raises trio.Cancelled if it has been cancelled itself: its upstream has
        not failed.
        """
        if attempt not in self._attempts:
            await trio.lowlevel.checkpoint()
        for other in tuple(self._attempts):
            if other is not attempt:
                self._attempts.pop(other).cancel()

    def record_events(self, splitter: EventSplitter) -> float | None:
        """Record the events that the selected attempt has just split off.

        Return the gap since the events before them in ms, divided by their
        number, None for the first ones.
        """
        count = splitter.events - self._events
        self._events = splitter.events
        self._last_id = splitter.last_id
        gap_ms = self._timing.record_events(self._clock.now())
        return None if gap_ms is None else gap_ms / count

    async def send_events(
        self, exchange: HttpExchange, headers: HeaderList, events: bytes
    ) -> None:
        """Send whole events of the selected attempt to the caller."""
        if not self._reply.started:
            await self._reply.start(exchange.status, headers)
        await self._reply.send_chunk(events)

    async def finish(self, exchange: HttpExchange, headers: HeaderList) -> None:
        """End the caller's response as complete."""
        if not self._reply.started:
            await self._reply.start(exchange.status, headers)
        await self._reply.finish()

    def open_share(self) -> BufferShare:
        """Return the share of the partial events of an attempt."""
        return self._buffers.open_share()

    def record_begin(self) -> None:
        """Record that an attempt has its first event."""
        self._record_begin()


class RelayedAttempt:
    """Relay the response of one upstream for as long as it is selected."""

    def __init__(
        self,
        relay: StreamRelay,
        step_times: StepTimes,
        watch_wait: WatchWait,
    ) -> None:
        """Resume after the last event that the caller has received."""
        self._relay = relay
        self._step_times = step_times
        self._watch_wait = watch_wait
        self._splitter = EventSplitter(relay.last_id, relay.events)
        self._share = relay.open_share()
        self._opened_at = relay.now()
        self._head_ms: float | None = None
        self._begin_ms: float | None = None
        self._waiting_since: Millis | None = None
        self._has_stalled = False

    @property
    def last_id(self) -> str | None:
        """Return the id of the event after which the upstream is to resume."""
        return self._splitter.last_id

    @property
    def has_started(self) -> bool:
        """Tell whether the caller has the head of the stream."""
        return self._relay.has_started

    @property
    def has_head(self) -> bool:
        """Tell whether the head of this attempt's response has arrived."""
        return self._head_ms is not None

    @property
    def has_begun(self) -> bool:
        """Tell whether an event of this attempt has been relayed."""
        return self._begin_ms is not None

    @property
    def has_stalled(self) -> bool:
        """Tell whether the call was sent on because this attempt stalled."""
        return self._has_stalled

    @property
    def waited_ms(self) -> float:
        """Return the time for which the head or the next event is awaited.

        Bytes without the end of an event do not count as progress.
        """
        if self._waiting_since is None:
            return 0
        return self._relay.now() - self._waiting_since

    @property
    def age_ms(self) -> float:
        """Return the time since the attempt was opened."""
        return self._relay.now() - self._opened_at

    @property
    def answer_ms(self) -> float | None:
        """Return the time until its answer began, None before.

        An answer begins with its first event, one without events with its head.
        """
        return self._head_ms if self._begin_ms is None else self._begin_ms

    def record_head(self) -> None:
        """Record that the head of the response has arrived."""
        self._head_ms = self.age_ms
        self._waiting_since = None

    def record_stall(self) -> None:
        """Record that the call is sent on because this attempt stalls."""
        self._has_stalled = True

    def open_share(self) -> BufferShare:
        """Return the share of a response that is read whole."""
        return self._relay.open_share()

    def watch_wait(self) -> AbstractContextManager[object]:
        """Return what surrounds one wait for the upstream."""
        if self._waiting_since is None:
            self._waiting_since = self._relay.now()
        return self._watch_wait(self)

    async def relay_response(
        self,
        exchange: HttpExchange,
        headers: HeaderList,
        record_activity: Callable[[], None],
    ) -> Failure | None:
        """Relay a response to its end; return why it was cut, if it was.

        ``record_activity`` is called for each part that arrives.
        """
        try:
            async with aclosing(
                exchange.body_chunks(MAX_STREAM_BYTES)
            ) as parts:
                part = await self._next_part(parts)
                while part is not None:
                    record_activity()
                    await self._relay_part(exchange, headers, part)
                    part = await self._next_part(parts)
            if self._splitter.has_partial:
                return _cut('stream ended in an event')
            await self._relay.select(self)
        except (HttpError, ValueError) as error:
            self._share.release()
            return _cut(f'stream cut: {error}')
        await self._relay.finish(exchange, headers)
        return None

    async def _next_part(self, parts: AsyncIterator[bytes]) -> bytes | None:
        """Return the next bytes, None at the end."""
        # Only the wait for the upstream is watched, never a write.
        with self.watch_wait():
            return await anext(parts, None)

    async def _relay_part(
        self, exchange: HttpExchange, headers: HeaderList, part: bytes
    ) -> None:
        for start in range(0, len(part), _STEP_BYTES):
            earlier_events = self._splitter.events
            events = self._splitter.feed(part[start : start + _STEP_BYTES])
            self._share.hold(self._splitter.pending_bytes)
            exchange.count_stream_events(self._splitter.events - earlier_events)
            if events:
                await self._relay_events(exchange, headers, events)

    async def _relay_events(
        self, exchange: HttpExchange, headers: HeaderList, events: bytes
    ) -> None:
        await self._relay.select(self)
        if not self.has_begun:
            self._begin_ms = self.age_ms
            self._relay.record_begin()
        gap_ms = self._relay.record_events(self._splitter)
        if gap_ms is not None:
            self._step_times.record_gap(gap_ms)
        await self._relay.send_events(exchange, headers, events)
        self._waiting_since = None


def _cut(cause: str) -> Failure:
    return Failure(cause, may_have_run=True, delivered=True)
