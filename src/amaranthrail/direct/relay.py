"""Relay event streams, whole events only, from one upstream or several."""

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

#: Makes what bounds one wait for an upstream; it swallows the end of a wait.
Patience = Callable[[], AbstractContextManager[None]]


class StreamRelay:
    """Carry one caller's stream over the attempts that make it up.

    The head is that of the first attempt; a later one goes on after the last
    whole event that the caller has got.
    """

    def __init__(
        self,
        reply: ResponseWriter,
        last_id: str | None,
        pace: StreamTiming,
        engines: StepTimes,
        patience: Patience,
    ) -> None:
        """Take where the stream goes and the id that it begins after.

        ``engines`` is told of each pause between events, ``patience`` bounds
        each wait for one.
        """
        self._reply = reply
        self._splitter = EventSplitter(last_id)
        self._pace = pace
        self._engines = engines
        self._patience = patience
        self._clock = Clock()

    @property
    def pace(self) -> StreamTiming:
        """Return when events came."""
        return self._pace

    @property
    def last_id(self) -> str | None:
        """Return the id of the last event that the caller has."""
        return self._splitter.last_id

    @property
    def events(self) -> int:
        """Return how many events have been passed on."""
        return self._splitter.events

    def patience(self) -> AbstractContextManager[None]:
        """Return what bounds one wait for the upstream."""
        return self._patience()

    async def take(
        self,
        exchange: HttpExchange,
        headers: HeaderList,
        note_heard: Callable[[], None],
    ) -> Failure | None:
        """Pass on a stream to its end; return why it was cut, if it was."""
        try:
            async with aclosing(exchange.body_chunks()) as parts:
                part = await self._next(parts)
                while part is not None:
                    note_heard()
                    await self._pass_on(exchange.status, headers, part)
                    part = await self._next(parts)
        except (HttpError, ValueError) as error:
            self._splitter.forget_torn()
            return Failure(f'stream cut: {error}', ran=True, arrived=True)
        if self._splitter.torn:
            self._splitter.forget_torn()
            return Failure('stream ended in an event', ran=True, arrived=True)
        if not self._reply.started:
            await self._reply.start(exchange.status, headers)
        await self._reply.finish()
        return None

    async def _next(self, parts: AsyncIterator[bytes]) -> bytes | None:
        """Return the next bytes, None at the end. Raises HttpError."""
        # Only the wait for the upstream is ended by the watch, never a write.
        with self.patience():
            return await anext(parts, None)
        raise HttpError('no event has come', sent=True)

    async def _pass_on(
        self,
        status: int,
        headers: HeaderList,
        part: bytes,
    ) -> None:
        known = self._splitter.events
        events = self._splitter.feed(part)
        if not events:
            return
        gap_ms = self._pace.note(self._clock.now())
        if gap_ms is not None:
            self._engines.note(gap_ms / (self._splitter.events - known))
        if not self._reply.started:
            await self._reply.start(status, headers)
        await self._reply.send_chunk(events)
