"""Track the work at one replica: our own exactly, that of others as told."""

from __future__ import annotations

from ..frames import Dispatch, Heartbeat
from ..policy.balancing import Candidate
from ..policy.loads import (
    NO_WORK,
    ReplicaLoad,
    Work,
    expected_wait_ms,
    report_weight,
)


class LoadTracker:
    """Hold what is queued and running at one replica, short and long."""

    def __init__(self, name: str) -> None:
        """Take the replica's name."""
        self._name = name
        self._slots = 1
        self._told_at = 0.0
        self._own = {False: NO_WORK, True: NO_WORK}
        self._others = {False: NO_WORK, True: NO_WORK}

    def hear(self, told: Heartbeat) -> None:
        """Keep what others have there: what is told beyond what we sent."""
        interval_ms = told.clock - self._told_at
        self._told_at = told.clock
        self._slots = told.slots
        self._hear(
            Work(told.short_count, told.short_ms), interval_ms, long=False
        )
        self._hear(Work(told.long_count, told.long_ms), interval_ms, long=True)

    def begin(self, sent: Dispatch) -> None:
        """Count our own work in."""
        work = Work(1, sent.cost_ms)
        self._own[sent.long] = self._own[sent.long].add(work)

    def end(self, sent: Dispatch) -> None:
        """Count our own work out."""
        work = Work(1, sent.cost_ms)
        self._own[sent.long] = self._own[sent.long].subtract(work)

    def candidate(self, long_share: float, *, long: bool) -> Candidate:
        """Return the expected wait of new work there."""
        load = ReplicaLoad(
            self._others[False].add(self._own[False]),
            self._others[True].add(self._own[True]),
            self._slots,
        )
        wait_ms = expected_wait_ms(load, long_share, long=long)
        return Candidate(self._name, wait_ms, load.backlog_ms)

    def _hear(self, told: Work, interval_ms: float, *, long: bool) -> None:
        known = self._others[long]
        fresh = told.subtract(self._own[long])
        most_ms = max(known.cost_ms, fresh.cost_ms)
        weight = report_weight(most_ms, self._slots, interval_ms)
        self._others[long] = known.blend(fresh, weight)
