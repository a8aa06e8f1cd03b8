"""Define the state of a caller's request while it is served."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from ..adapters.httpserver import HttpRequest
from ..policy.rankgroups import GroupLoad
from ..policy.reservations import Reservation
from ..policy.streamadmission import Pressure, StreamRequest
from ..types import (
    HeaderList,
    Millis,
    OrganisationName,
    RegionName,
    ServiceName,
)
from .deployment import Route
from .ports import RequestMetadata


class UpstreamChoice(msgspec.Struct, frozen=True):
    """Keep the load and health on which the choice of an upstream rested.

    ``sequence`` is that of the upstream's record. ``own_calls`` are this
    entry's calls in flight there, ``other_calls`` the estimate of those of
    other entries; ``ejected`` says that outlier detection had ejected it.
    """

    upstream: str
    sequence: int
    own_calls: int
    other_calls: float
    ejected: bool


class BufferedResponse(msgspec.Struct, frozen=True):
    """Hold a response that was read to its end before it is passed on."""

    status: int
    headers: HeaderList
    body: bytes


class Call(msgspec.Struct):
    """Hold a routed request and the progress of its attempts.

    ``deadline`` is the clock time in ms by which the response must have been
    sent, ``version`` that of the configuration that routed the request.
    ``delivered_attempts`` counts the upstreams that received the request,
    ``undelivered_attempts`` those that could not be reached or were not the
    upstream addressed, and ``open_attempts`` those whose result is unknown.
    ``has_run`` says whether a known result tells that the request may have been
    executed, and ``engine_load`` is the load of the group that decided the
    admission of a stream. ``failed_response`` is the latest failure that an
    upstream has responded with, and ``held_ms`` is the time for which the
    prompt is kept from the engines, None where it is not. ``is_hedged`` says
    that it has been sent a second time because its answer was slow. ``stream``
    and ``pressure`` are what admission was decided on besides the load, and
    ``reservation`` says when a refused caller is to return; they are None for
    calls without admission. ``allowed_regions`` are those whose upstreams may
    get the request, None for all. ``lacks_memory`` says that no ready
    upstream had room for its tokens at the last choice.
    """

    request: HttpRequest
    metadata: RequestMetadata
    route: Route
    service: ServiceName
    organisation: OrganisationName | None
    priority: int
    arrived_at: Millis
    deadline: Millis
    version: int
    delivered_attempts: int = 0
    undelivered_attempts: int = 0
    open_attempts: int = 0
    has_run: bool = False
    choices: list[UpstreamChoice] = msgspec.field(default_factory=list)
    engine_load: GroupLoad | None = None
    failed_response: BufferedResponse | None = None
    held_ms: float | None = None
    is_hedged: bool = False
    stream: StreamRequest | None = None
    pressure: Pressure | None = None
    reservation: Reservation | None = None
    allowed_regions: frozenset[RegionName] | None = None
    lacks_memory: bool = False

    @property
    def may_have_run(self) -> bool:
        """Tell whether any upstream may have executed the request."""
        return self.has_run or self.open_attempts > 0

    @property
    def tried_upstreams(self) -> frozenset[str]:
        """Return the names of all upstreams chosen so far."""
        return frozenset(choice.upstream for choice in self.choices)


class Failure(msgspec.Struct, frozen=True):
    """Describe an attempt that gave no response for the caller.

    ``may_have_run`` says whether the request may have been executed,
    ``delivered`` whether an upstream received it, and ``misdirected`` whether
    that was another upstream than the one addressed.
    """

    cause: str
    may_have_run: bool
    delivered: bool
    misdirected: bool = False


@dataclass(slots=True)
class StreamTiming:
    """Measure when the events of a caller's stream arrive, in ms.

    ``first_event_ms`` counts from the call's arrival, ``longest_gap_ms`` is the
    longest gap between two reads that held events; each is 0 until it is known.
    """

    arrived_at: Millis
    first_event_ms: float = 0
    longest_gap_ms: float = 0
    _last_at: Millis | None = None

    def record_events(self, now: Millis) -> float | None:
        """Record an arrival of events; return the gap since the last one.

        The gap is in ms, None for the first arrival.
        """
        gap_ms: float | None = None
        if self._last_at is None:
            self.first_event_ms = now - self.arrived_at
        else:
            gap_ms = now - self._last_at
            self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
        self._last_at = now
        return gap_ms
