"""Hold one caller's request while it is served."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from ..adapters.httpserver import HttpRequest
from ..policy.streamadmission import EngineLoad
from ..types import HeaderList, Millis, OrganisationName, ServiceName
from .deployment import Route
from .ports import RequestMetadata


class UpstreamChoice(msgspec.Struct, frozen=True):
    """Hold why an upstream was chosen: its calls when it was.

    ``others`` is the estimate of other entries' calls.
    """

    upstream: str
    sequence: int
    own: int
    others: float
    avoided: bool


class Call(msgspec.Struct):
    """Hold a routed request and how far it has come.

    ``deadline`` is the time of the clock by which the answer must be out;
    ``sent`` counts the upstreams that have seen the request, and
    ``may_have_run`` says whether one of them may have run it.
    """

    request: HttpRequest
    facts: RequestMetadata
    route: Route
    service: ServiceName
    organisation: OrganisationName | None
    priority: int
    arrived_at: Millis
    deadline: Millis
    version: int
    sent: int = 0
    unreached: int = 0
    may_have_run: bool = False
    choices: list[UpstreamChoice] = msgspec.field(default_factory=list)
    crest: EngineLoad | None = None
    repeat_counted: bool = False

    @property
    def tried(self) -> frozenset[str]:
        """Return the names of the upstreams that were chosen."""
        return frozenset(choice.upstream for choice in self.choices)


class BufferedResponse(msgspec.Struct, frozen=True):
    """Hold an upstream's complete answer."""

    status: int
    headers: HeaderList
    body: bytes


class Failure(msgspec.Struct, frozen=True):
    """Say why an attempt gave no answer, and whether it may have run.

    ``arrived`` tells whether an upstream has seen the request, ``misdirected``
    whether it was another than the one meant.
    """

    cause: str
    ran: bool
    arrived: bool
    misdirected: bool = False


@dataclass(slots=True)
class StreamTiming:
    """Hold when the events of a caller's stream came, in ms.

    ``first_ms`` counts from the call's arrival, ``longest_gap_ms`` is the
    longest pause between two; 0 until there is one.
    """

    arrived_at: Millis
    first_ms: float = 0
    longest_gap_ms: float = 0
    _last_at: Millis | None = None

    def note(self, now: Millis) -> float | None:
        """Note that events have come; return the pause since those before."""
        gap_ms: float | None = None
        if self._last_at is None:
            self.first_ms = now - self.arrived_at
        else:
            gap_ms = now - self._last_at
            self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
        self._last_at = now
        return gap_ms
