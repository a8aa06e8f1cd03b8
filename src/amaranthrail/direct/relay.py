"""Relay event streams, whole events only, from one upstream or several."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import aclosing

from ..adapters.httpclient import HttpExchange
from ..adapters.httpserver import Reply
from ..clock import Clock
from ..exceptions import HttpError
from ..types import HeaderList
from .call import Failure, StreamPace
from .pace import ServicePace
from .streams import EventSplitter


class StreamRelay:
    """Carry one caller's stream over the attempts that make it up.

    The head is that of the first attempt; a later one goes on after the last
    whole event that the caller has got.
    """

    def __init__(
        self,
        reply: Reply,
        last_id: str | None,
        pace: StreamPace,
        engines: ServicePace,
        clock: Clock,
    ) -> None:
        """Take where the stream goes and the id that it begins after.

        ``engines`` is told of each pause between events.
        """
        self._reply = reply
        self._splitter = EventSplitter(last_id)
        self._pace = pace
        self._engines = engines
        self._clock = clock

    @property
    def pace(self) -> StreamPace:
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

    async def take(
        self,
        exchange: HttpExchange,
        headers: HeaderList,
        note_heard: Callable[[], None],
    ) -> Failure | None:
        """Pass on a stream to its end; return why it was cut, if it was."""
        try:
            async with aclosing(exchange.parts()) as parts:
                async for part in parts:
                    note_heard()
                    await self._pass_on(exchange.status, headers, part)
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
        await self._reply.part(events)
