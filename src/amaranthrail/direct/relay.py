"""Relay an event stream in whole events from one or more upstreams."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import AbstractContextManager, aclosing

from ..adapters.httpclient import HttpExchange
from ..adapters.httpserver import ResponseWriter
from ..clock import Clock
from ..exceptions import HttpError
from ..types import HeaderList
from .call import Failure, StreamTiming
from .steptimes import StepTimes
from .streams import EventSplitter

#: Longest event stream in bytes on the wire; each event is passed on at once.
MAX_STREAM_BYTES = 67_108_864
#: Makes a context manager for one wait for an upstream of the group whose step
#: times it gets. It may cancel the wait and suppresses the cancellation.
StallGuardFactory = Callable[[StepTimes], AbstractContextManager[None]]


class StreamRelay:
    """Relay one caller's stream across the attempts that produce it.

    The response head is that of the first attempt; a later attempt resumes
    after the last whole event that the caller has received.
    """

    def __init__(
        self,
        reply: ResponseWriter,
        last_id: str | None,
        timing: StreamTiming,
        step_times: StepTimes,
        make_stall_guard: StallGuardFactory,
        record_begin: Callable[[], None],
    ) -> None:
        """Relay to ``reply``, starting after the event ``last_id``.

        Gaps between events are recorded in ``step_times`` until another group
        is followed; each wait for an upstream runs inside a guard from
        ``make_stall_guard``. ``record_begin`` is called at the first event of
        each attempt.
        """
        self._reply = reply
        self._splitter = EventSplitter(last_id)
        self._timing = timing
        self._step_times = step_times
        self._make_stall_guard = make_stall_guard
        self._record_begin = record_begin
        self._has_begun = False
        self._clock = Clock()

    @property
    def timing(self) -> StreamTiming:
        """Return the arrival times of the stream's events."""
        return self._timing

    @property
    def last_id(self) -> str | None:
        """Return the id of the last event that the caller has received."""
        return self._splitter.last_id

    @property
    def events(self) -> int:
        """Return how many whole events have been relayed."""
        return self._splitter.events

    @property
    def has_started(self) -> bool:
        """Tell whether the caller has the head of the stream."""
        return self._reply.started

    @property
    def has_begun(self) -> bool:
        """Tell whether an event of the latest attempt has been relayed."""
        return self._has_begun

    def begin_attempt(self, step_times: StepTimes) -> None:
        """Record gaps of the next attempt in its group's step times."""
        self._step_times = step_times
        self._has_begun = False

    def make_stall_guard(self) -> AbstractContextManager[None]:
        """Return a guard for one wait for the upstream."""
        return self._make_stall_guard(self._step_times)

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
                    await self._relay_part(exchange.status, headers, part)
                    part = await self._next_part(parts)
        except (HttpError, ValueError) as error:
            self._splitter.discard_partial()
            return Failure(
                f'stream cut: {error}',
                may_have_run=True,
                delivered=True,
            )
        if self._splitter.has_partial:
            self._splitter.discard_partial()
            return Failure(
                'stream ended in an event',
                may_have_run=True,
                delivered=True,
            )
        if not self._reply.started:
            await self._reply.start(exchange.status, headers)
        await self._reply.finish()
        return None

    async def _next_part(self, parts: AsyncIterator[bytes]) -> bytes | None:
        """Return the next bytes, None at the end.

        Raises HttpError where the stall guard cancels the wait.
        """
        # The guard covers only the wait for the upstream, never a write.
        with self.make_stall_guard():
            return await anext(parts, None)
        raise HttpError('no event has come', sent=True)

    async def _relay_part(
        self,
        status: int,
        headers: HeaderList,
        part: bytes,
    ) -> None:
        events_before = self._splitter.events
        events = self._splitter.feed(part)
        if not events:
            return
        if not self._has_begun:
            self._has_begun = True
            self._record_begin()
        gap_ms = self._timing.record_events(self._clock.now())
        if gap_ms is not None:
            self._step_times.record_gap(
                gap_ms / (self._splitter.events - events_before),
            )
        if not self._reply.started:
            await self._reply.start(status, headers)
        await self._reply.send_chunk(events)
