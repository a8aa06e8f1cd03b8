"""Track the exchanges in flight to one peer and deliver frames to them."""

from __future__ import annotations

import trio

from ..decoding import Undecodable
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
from ..logs import part_logger
from ..metrics import Metrics
from ..outcomes import Refusal
from ..timeline import Event, decode_events
from .exchange import Exchange

_log = part_logger('peer')


class EventsWaiter:
    """Wait for the timeline events requested from a peer."""

    def __init__(self) -> None:
        """Start without events."""
        self._arrived = trio.Event()
        self._events: list[Event] = []

    @property
    def events(self) -> list[Event]:
        """Return the events received, empty before the response."""
        return self._events

    def deliver(self, payload: bytes) -> None:
        """Decode the events of a frame and wake the waiter."""
        events = decode_events(payload)
        if isinstance(events, Undecodable):
            _log.warning('events not decoded', cause=events.cause)
        else:
            self._events.extend(events)
        self._arrived.set()

    async def wait(self) -> None:
        """Wait until the events have been received."""
        await self._arrived.wait()


class InFlight:
    """Map request ids to the open exchanges and event waiters of one peer."""

    def __init__(self, metrics: Metrics) -> None:
        """Take the metrics, which count frames for unknown requests."""
        self._metrics = metrics
        self._exchanges: dict[str, Exchange] = {}
        self._waiters: dict[str, EventsWaiter] = {}

    def __len__(self) -> int:
        """Return the number of open exchanges."""
        return len(self._exchanges)

    def add(self, exchange: Exchange) -> None:
        """Deliver the frames of an exchange's request id to it from now on."""
        self._exchanges[exchange.request] = exchange

    def remove(self, exchange: Exchange) -> None:
        """Stop delivering frames to an exchange."""
        self._exchanges.pop(exchange.request, None)

    def add_waiter(self, request: str) -> EventsWaiter:
        """Return a new waiter for the events requested under an id."""
        waiter = EventsWaiter()
        self._waiters[request] = waiter
        return waiter

    def remove_waiter(self, request: str) -> None:
        """Stop waiting for the events of a request."""
        self._waiters.pop(request, None)

    def deliver(
        self,
        frame: ResponseHead | ResponseData | ResponseEnd | Refused | Failed,
    ) -> None:
        """Deliver a frame to its exchange.

        A frame for an unknown request, such as one that arrives after its
        exchange was closed, is dropped and counted.
        """
        exchange = self._exchanges.get(frame.request)
        if exchange is None:
            self._metrics.count('frames_unknown')
            return
        exchange.accept_frame(frame)

    def deliver_events(self, frame: EventsResponse) -> None:
        """Deliver a frame of timeline events, if its waiter still waits."""
        waiter = self._waiters.get(frame.request)
        if waiter is not None:
            waiter.deliver(frame.payload)

    def resume_frames(self) -> list[Resume | AttemptQuery | KeyQuery]:
        """Return the frames that resume all exchanges on a new connection."""
        return [
            _resume_frame(exchange) for exchange in self._exchanges.values()
        ]

    def fail_all(self, failure: Refusal) -> None:
        """End all exchanges with a failure and forget them."""
        for exchange in self._exchanges.values():
            exchange.fail(failure)
        self._exchanges.clear()


def _resume_frame(exchange: Exchange) -> Resume | AttemptQuery | KeyQuery:
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
