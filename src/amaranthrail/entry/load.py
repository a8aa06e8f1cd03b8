"""Track the load of one replica: own dispatches and other entries' work.

Own work is counted exactly. The work of other entries is the load that the
replica's heartbeats report beyond the own work.
"""

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
    """Track the short and long work queued and running at one replica."""

    def __init__(self, name: str) -> None:
        """Take the upstream's name and start without any work."""
        self._name = name
        self._slots = 1
        self._reported_at = 0.0
        # By whether the work is long.
        self._own = {False: NO_WORK, True: NO_WORK}
        self._others = {False: NO_WORK, True: NO_WORK}

    def apply_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Update the work of other entries from a reported load."""
        interval_ms = heartbeat.clock - self._reported_at
        self._reported_at = heartbeat.clock
        self._slots = heartbeat.slots
        self._update_others(
            Work(heartbeat.short_count, heartbeat.short_ms),
            interval_ms,
            long=False,
        )
        self._update_others(
            Work(heartbeat.long_count, heartbeat.long_ms),
            interval_ms,
            long=True,
        )

    def add_dispatch(self, dispatch: Dispatch) -> None:
        """Add the work of a dispatch to this entry's own work."""
        work = Work(1, dispatch.cost_ms)
        self._own[dispatch.long] = self._own[dispatch.long].add(work)

    def remove_dispatch(self, dispatch: Dispatch) -> None:
        """Remove the work of an ended dispatch from this entry's own work."""
        work = Work(1, dispatch.cost_ms)
        self._own[dispatch.long] = self._own[dispatch.long].subtract(work)

    def candidate(self, long_share: float, *, long: bool) -> Candidate:
        """Return the replica and the expected wait of new work there.

        ``long_share`` is the share of the slots, 0 to 1, that long work may
        hold; ``long`` tells whether the new work is long.
        """
        load = ReplicaLoad(
            self._others[False].add(self._own[False]),
            self._others[True].add(self._own[True]),
            self._slots,
        )
        wait_ms = expected_wait_ms(load, long_share, long=long)
        return Candidate(self._name, wait_ms, load.backlog_ms)

    def _update_others(
        self, reported: Work, interval_ms: float, *, long: bool
    ) -> None:
        """Move the mean of other entries' work towards a report.

        Each report is weighted by how long its work takes compared with the
        interval between reports (see ``report_weight``).
        """
        previous = self._others[long]
        current = reported.subtract(self._own[long])
        max_work_ms = max(previous.cost_ms, current.cost_ms)
        weight = report_weight(max_work_ms, self._slots, interval_ms)
        self._others[long] = previous.blend(current, weight)
