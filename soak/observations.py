"""Hold what a soak run observed."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from .callers import CallRecord

#: Subjects of faults that are not one entry or one replica.
STORE = ''
ALL_PROCESSES = 'everyone'
#: Time for which no fault may have been present before an event for a
#: guarantee with a time bound to hold, in seconds.
FAULT_FREE_S = 3.0


@dataclass(frozen=True, slots=True)
class Execution:
    """Record that a replica started to execute a call.

    ``started_at`` is in seconds of the wall clock.
    """

    attempt: str
    path: str
    replica: str
    started_at: float
    organisation: str


@dataclass(frozen=True, slots=True)
class Interval:
    """Hold a period in seconds of the wall clock, and what it concerns.

    ``subject`` is a host, a replica, a failure domain, STORE or ALL_PROCESSES.
    """

    starts_at: float
    ends_at: float
    subject: str = ''

    def overlaps(self, starts_at: float, ends_at: float) -> bool:
        """Tell whether the period overlaps with another, ends included."""
        return self.starts_at <= ends_at and starts_at <= self.ends_at


@dataclass
class Observations:
    """Collect what the checks of a run need.

    ``unplanned_faults`` has each fault that excuses failures, by the host or
    replica that it hit, or STORE or ALL_PROCESSES; ``drains`` the replicas that
    announced that they drain, ``limits`` those that named LIMIT_PER_S, ``cold``
    those that said that they are cold;
    ``shutdowns`` the entries that got SIGTERM, from a check before it to their
    exit; ``sigterms`` and ``reloads`` those that got SIGTERM and SIGHUP, from
    the moment at which the signal had been sent; ``work_ends`` the last time at
    which a replica ended its work on a call, by its attempt; ``evacuations``
    the failure domains whose evacuation was in the store, ``domains`` the
    failure domain of each replica; ``withdrawn_versions`` the entries that
    ceased to serve the newest configuration; ``slow_readers`` the entries with
    callers that read slowly or not at all until the end; ``outdated_entries``
    those that do not serve the newest configuration at
    the end. Calls from ``recovered_from`` on must be served. ``logs`` has the
    logs of the entries, by host.
    """

    calls: list[CallRecord] = field(default_factory=list)
    executions: list[Execution] = field(default_factory=list)
    unplanned_faults: list[Interval] = field(default_factory=list)
    drains: list[Interval] = field(default_factory=list)
    limits: list[Interval] = field(default_factory=list)
    cold: list[Interval] = field(default_factory=list)
    shutdowns: list[Interval] = field(default_factory=list)
    sigterms: list[Interval] = field(default_factory=list)
    reloads: list[Interval] = field(default_factory=list)
    work_ends: dict[str, float] = field(default_factory=dict)
    evacuations: list[Interval] = field(default_factory=list)
    domains: dict[str, str] = field(default_factory=dict)
    withdrawn_versions: list[str] = field(default_factory=list)
    slow_readers: list[str] = field(default_factory=list)
    recovered_from: float = 0
    unready_entries: list[str] = field(default_factory=list)
    outdated_entries: list[str] = field(default_factory=list)
    faults_without_effect: list[str] = field(default_factory=list)
    logs: dict[str, str] = field(default_factory=dict)


def is_disturbed(
    observations: Observations,
    starts_at: float,
    ends_at: float,
    subjects: Iterable[str],
) -> bool:
    """Tell whether a fault hit any of these subjects during a period."""
    names = frozenset(subjects)
    return any(
        fault.subject in names and fault.overlaps(starts_at, ends_at)
        for fault in observations.unplanned_faults
    )
