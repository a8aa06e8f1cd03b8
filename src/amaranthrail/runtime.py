"""Define the objects that all parts of one process share."""

from __future__ import annotations

import secrets
from dataclasses import dataclass, field

from .clock import Clock
from .configpulls import PullLimiter
from .configuration import Configuration
from .metrics import Metrics
from .timeline import Timeline
from .types import DomainName, Incarnation, ProcessName

_INCARNATION_BYTES = 6


def new_incarnation() -> Incarnation:
    """Return a random identity for one run of a process."""
    return Incarnation(secrets.token_hex(_INCARNATION_BYTES))


@dataclass(frozen=True)
class Runtime:
    """Hold one process's identity, clock, metrics, events, configuration."""

    process: ProcessName
    domain: DomainName
    clock: Clock = field(default_factory=Clock)
    metrics: Metrics = field(default_factory=Metrics)
    configuration: Configuration = field(default_factory=Configuration)
    incarnation: Incarnation = field(default_factory=new_incarnation)
    timeline: Timeline = field(init=False)
    pulls: PullLimiter = field(init=False)

    def __post_init__(self) -> None:
        """Create the timeline and the pull limiter from the other fields."""
        timeline = Timeline(self.clock, self.process, self.incarnation)
        object.__setattr__(self, 'timeline', timeline)
        pulls = PullLimiter(self.clock, self.configuration)
        object.__setattr__(self, 'pulls', pulls)
