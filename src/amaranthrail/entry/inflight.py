"""Hold the exchanges of one peer and hand them the frames that arrive."""

from __future__ import annotations

import trio

from ..frames import (
    AttemptQuery,
    Dispatch,
    EventsResponse,
    Failed,
    KeyQuery,
    Refused,
    ResponseData,
    ResponseEnd,
    ResponseHead,
    Resume,
)
from ..metrics import Metrics
from ..outcomes import Refusal
from ..timeline import Event, decode_events
from .exchange import Exchange


class EventsWaiter:
    """Wait for a peer's time line."""

    def __init__(self) -> None:
        """Start with nothing arrived."""
        self._arrived = trio.Event()
        self._events: list[Event] = []

    @property
    def events(self) -> list[Event]:
        """Return what has arrived."""
        return self._events

    def take(self, payload: bytes) -> None:
        """Take the events of a frame."""
        self._events.extend(decode_events(payload))
        self._arrived.set()

    async def wait(self) -> None:
        """Return once the events have arrived."""
        await self._arrived.wait()


class InFlight:
    """Know what has been asked of one sidecar and not ended yet."""

    def __init__(self, metrics: Metrics) -> None:
        """Take where frames for unknown requests are counted."""
        self._metrics = metrics
        self._exchanges: dict[str, Exchange] = {}
        self._waiters: dict[str, EventsWaiter] = {}

    def __len__(self) -> int:
        """Return how many exchanges have not been closed."""
        return len(self._exchanges)

    def add(self, exchange: Exchange) -> None:
        """Hand on to an exchange what arrives for it."""
        self._exchanges[exchange.request] = exchange

    def remove(self, exchange: Exchange) -> None:
        """Forget an exchange."""
        self._exchanges.pop(exchange.request, None)

    def add_waiter(self, request: str) -> EventsWaiter:
        """Return who takes the events that answer a request."""
        waiter = EventsWaiter()
        self._waiters[request] = waiter
        return waiter

    def remove_waiter(self, request: str) -> None:
        """Forget who waits for events."""
        self._waiters.pop(request, None)

    def take(
        self,
        frame: ResponseHead | ResponseData | ResponseEnd | Refused | Failed,
    ) -> None:
        """Hand on a frame; one for an unknown request is dropped."""
        exchange = self._exchanges.get(frame.request)
        if exchange is None:
            self._metrics.count('frames_unknown')
            return
        exchange.take(frame)

    def take_events(self, frame: EventsResponse) -> None:
        """Hand on a peer's time line."""
        waiter = self._waiters.get(frame.request)
        if waiter is not None:
            waiter.take(frame.payload)

    def resumptions(self) -> list[Resume | AttemptQuery | KeyQuery]:
        """Return the frames that go on with all exchanges on a new link."""
        return [_resumption(one) for one in self._exchanges.values()]

    def fail_all(self, failure: Refusal) -> None:
        """End all exchanges without a whole answer."""
        for exchange in self._exchanges.values():
            exchange.fail(failure)
        self._exchanges.clear()


def _resumption(exchange: Exchange) -> Resume | AttemptQuery | KeyQuery:
    opening = exchange.opening
    if isinstance(opening, KeyQuery):
        return opening
    if isinstance(opening, Dispatch) and not opening.intent:
        return Resume(
            exchange.request,
            exchange.received,
            exchange.has_head,
        )
    return AttemptQuery(
        exchange.request,
        opening.incarnation,
        opening.intent,
        exchange.received,
    )
