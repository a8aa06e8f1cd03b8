"""Decide when the leader changes the map of a large group."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import msgspec

from ..clock import Clock
from ..direct.mapchanges import MapChangeNotices
from ..logs import part_logger
from ..metrics import Metrics
from ..policy.mapchoice import HoldTimes, MapSkew
from ..policy.rebalancing import (
    ChangeRoom,
    judge_room,
    large_group_min_saving,
)
from ..types import GroupName
from .planning import MapPlanner, Plan
from .ports import Placement

#: Time for which a leader waits for admission to make room for a change, in ms:
#: half of the streams of a load peak end in it. Without room by then, it tries
#: again after ROOM_RETRY_MS.
ROOM_WAIT_MS = 1500.0
ROOM_RETRY_MS = 4000.0
#: Time without a change after one that failed, in ms: while a rank cannot be
#: reached, each attempt has admission keep room for 2.5 s.
FAILED_RETRY_MS = 3000.0
#: Least time between two log lines on why a map is not changed, in ms; that is
#: decided four times a second.
SKIP_LOG_MS = 2000.0
_log = part_logger('leader')


class LeaderContext(msgspec.Struct, frozen=True):
    """Hold what a leader uses of its entry.

    ``fetch_link_mbps`` returns the speed of the host's own link, and
    ``fetch_step_ms`` the group's recent step time by this entry's own streams,
    None without any.
    """

    notices: MapChangeNotices
    metrics: Metrics
    fetch_link_mbps: Callable[[], float]
    fetch_step_ms: Callable[[], float | None]


class LargeGroup(msgspec.Struct, frozen=True):
    """Describe a group, its recent step time and its map in use."""

    name: GroupName
    size: int
    epoch: int
    version: int
    step_ms: float
    placement: Placement


class LargeGroupControl:
    """Plan maps of one group when there is room, or have room made."""

    def __init__(
        self,
        planner: MapPlanner,
        target_gap_ms: float,
        clock: Clock,
        context: LeaderContext,
    ) -> None:
        """Set the planner and the target gap between events, in ms."""
        self._planner = planner
        self._target_gap_ms = target_gap_ms
        self._clock = clock
        self._context = context
        self._announced: GroupName | None = None
        self._wants_room_since: float | None = None
        self._no_room_until = -math.inf
        self._failed_until = -math.inf
        self._skip_reason = ''
        self._skip_logged_at = -math.inf

    @property
    def planner(self) -> MapPlanner:
        """Return the planner, which keeps the group's demands."""
        return self._planner

    def end_term(self) -> None:
        """Withdraw what was announced; called without a change in progress."""
        self._withdraw()

    async def plan(self, group: LargeGroup) -> Plan | None:
        """Return a change to make now, None if there is none."""
        if not self._planner.has_demand:
            return None
        now = self._clock.now()
        link_mbps = self._context.fetch_link_mbps()
        hold = self._planner.hold_times(now, group.size, link_mbps)
        current = self._planner.current_skew(group.placement)
        reason = self._reason_to_skip(group, current, hold)
        if reason is not None:
            self._skip(group, reason)
            return None
        plan = await self._planner.plan(now, group.placement, current, hold)
        if plan is None or plan.saving < self._min_saving(group):
            self._skip(group, 'saving')
            return None
        self._skip_reason = ''
        _log.info(
            'map chosen',
            group=group.name,
            planned_for=plan.offer.name,
            saving=round(plan.saving, 2),
            latest_ms=int(hold.latest_ms),
            later_ms=int(hold.later_ms),
            skew_recent=round(plan.current.recent, 2),
            rank_copies=plan.offer.rank_copies,
        )
        return plan

    @contextmanager
    def announced_change(self, name: GroupName) -> Iterator[None]:
        """Announce a change while it is made."""
        self._announce(name)
        try:
            yield
        finally:
            self._withdraw()

    def record_failure(self) -> None:
        """Make no change for a while, as the latest one was not completed."""
        self._failed_until = self._clock.now() + FAILED_RETRY_MS

    def _reason_to_skip(
        self, group: LargeGroup, current: MapSkew, hold: HoldTimes
    ) -> str | None:
        """Return why no change is planned now, None to plan one."""
        if self._context.notices.is_changing_elsewhere(group.name):
            return 'other-leader'
        if self._clock.now() < self._failed_until:
            return 'failed'
        room = judge_room(group.step_ms, self._target_gap_ms)
        if room is ChangeRoom.IN_TIME:
            return str(room.value)
        if not self._planner.is_plan_due(self._clock.now()):
            return 'planned'
        best = self._planner.best_saving(current, hold)
        if best < self._min_saving(group):
            return 'saving'
        return None if room.allows_change else str(room.value)

    def _min_saving(self, group: LargeGroup) -> float:
        return large_group_min_saving(group.step_ms, self._target_gap_ms)

    def _skip(self, group: LargeGroup, reason: str) -> None:
        """Record why the map is not changed, and request room if that is it."""
        now = self._clock.now()
        if reason == ChangeRoom.NO_ROOM.value:
            self._request_room(now, group.name)
        else:
            self._withdraw()
        self._context.metrics.count('map_changes_skipped', reason=reason)
        if reason == self._skip_reason:
            return
        if now - self._skip_logged_at < SKIP_LOG_MS:
            return
        self._skip_reason = reason
        self._skip_logged_at = now
        _log.info(
            'map not changed',
            reason=reason,
            group=group.name,
            epoch=group.epoch,
            version=group.version,
            pass_ms=int(group.step_ms),
        )

    def _request_room(self, now: float, name: GroupName) -> None:
        """Announce a change for a while, so that admission makes room."""
        if now < self._no_room_until:
            return
        if self._wants_room_since is None:
            self._wants_room_since = now
            self._announce(name)
        elif now - self._wants_room_since >= ROOM_WAIT_MS:
            self._no_room_until = now + ROOM_RETRY_MS
            self._withdraw()

    def _announce(self, name: GroupName) -> None:
        self._announced = name
        self._context.notices.announce(name)

    def _withdraw(self) -> None:
        self._wants_room_since = None
        if self._announced is not None:
            self._context.notices.withdraw(self._announced)
            self._announced = None
