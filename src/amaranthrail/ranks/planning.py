"""Plan the map of a large group for its latest and its recent demands."""

from __future__ import annotations

import random

import msgspec
import trio

from ..direct.deployment import ExpertLayout
from ..policy.demand import Demand
from ..policy.expertplan import GroupPlan, GroupPlanLimits
from ..policy.mapchoice import (
    ChangeDuration,
    DemandHistory,
    HoldTimes,
    MapOffer,
    MapSkew,
    choose_map,
    net_saving,
)
from ..policy.rebalancing import (
    MAX_COPYING_MS,
    max_rank_copies,
    send_time_ms,
)
from .ports import Placement

#: Least that each copied replica must lower the skew of its layer set by. In
#: the model of tests/largegroup.py, half of the demand shifting every 3 s, the
#: mean skew is 1.72 with it (8 changes of 154 copies), 1.86 with 0.03 (8 of
#: 116) and 2.75 without changes.
MIN_SAVING_PER_COPY = 0.012
#: Least share of a map's expected use under the latest demand, or under the
#: remembered ones, for which a map is planned; each plan takes some 20 ms.
MIN_SHARE = 0.2
#: Skew that a plan is expected to reach at best; nothing is planned where even
#: that would save too little.
BEST_SKEW = 1.4
#: Time between two plans for the same demand, in ms: a plan takes some 50 ms of
#: the one core that also serves callers.
REPLAN_MS = 1000.0
#: Times of a change beside sending and copying, in ms: from a shift of demand
#: to its reading and plan, and from a report to the step that is held.
READING_MS = 250.0
HOLD_MS = 350.0


class Plan(msgspec.Struct, frozen=True):
    """Hold a planned map, the skew of the current one and the net saving."""

    offer: MapOffer
    current: MapSkew
    saving: float


class MapPlanner:
    """Keep the demands of one group and plan maps for them."""

    def __init__(
        self, layout: ExpertLayout, random_source: random.Random
    ) -> None:
        """Set the shape of maps; ``random_source`` breaks ties."""
        self._layout = layout
        self._random = random_source
        self._history = DemandHistory()
        self._duration = ChangeDuration()
        self._planned_at: float | None = None

    @property
    def has_demand(self) -> bool:
        """Tell whether any demand is known."""
        return self._history.latest is not None

    def clear(self) -> None:
        """Forget all demands; called when the group has a new epoch."""
        self._history.clear()
        self._planned_at = None

    def record_demand(self, now: float, demand: Demand) -> bool:
        """Add a reading of demand; return whether it has shifted."""
        is_shift = self._history.record(now, demand)
        if is_shift:
            self._planned_at = None
        return is_shift

    def record_change(self, duration_ms: float) -> None:
        """Add how long a change took."""
        self._duration.record(duration_ms)
        self._planned_at = None

    def is_plan_due(self, now: float) -> bool:
        """Tell whether a plan could differ from the latest one."""
        planned_at = self._planned_at
        return planned_at is None or now - planned_at >= REPLAN_MS

    def hold_times(self, now: float, ranks: int, link_mbps: float) -> HoldTimes:
        """Return what a map serves that is planned now."""
        layout = self._layout
        numbers = layout.sets * layout.placements * ranks
        planned_ms = send_time_ms(numbers, ranks, link_mbps) + MAX_COPYING_MS
        change_ms = self._duration.estimate_ms(planned_ms + HOLD_MS)
        return self._history.hold_times(now, change_ms + READING_MS)

    def current_skew(self, placement: Placement) -> MapSkew:
        """Return the skew of the map in use under the known demands."""
        return self._history.skew_of(placement)

    def best_saving(self, current: MapSkew, hold: HoldTimes) -> float:
        """Return the net saving of the best map that could be planned."""
        best = MapSkew(
            min(BEST_SKEW, current.latest), min(BEST_SKEW, current.recent)
        )
        offer = MapOffer('best', (), best, 0, 0)
        return net_saving(current, offer, hold, self._layout.copy_ms)

    async def plan(
        self,
        now: float,
        placement: Placement,
        current: MapSkew,
        hold: HoldTimes,
    ) -> Plan | None:
        """Return the map that saves most, None without a known demand.

        ``current`` is the skew of the placement in use.
        """
        self._planned_at = now
        offers = []
        latest = self._history.latest
        mix = self._history.mix(hold)
        share = hold.latest_share
        if latest is not None and share >= MIN_SHARE:
            offers.append(await self._offer('latest', placement, latest))
        if mix is not None and 1 - share >= MIN_SHARE:
            offers.append(await self._offer('mix', placement, mix))
        if not offers:
            return None
        chosen = choose_map(current, offers, hold, self._layout.copy_ms)
        if chosen is None:
            return None
        saving, offer = chosen
        return Plan(offer, current, saving)

    async def _offer(
        self,
        name: str,
        placement: Placement,
        demand: Demand,
    ) -> MapOffer:
        layout = self._layout
        limits = GroupPlanLimits(
            layout.placements,
            layout.spare,
            max_rank_copies(layout.copy_ms, layout.sets, layout.spare),
            MIN_SAVING_PER_COPY,
        )
        planned = GroupPlan(placement, demand, limits, self._random)
        while planned.run_round():
            # Let other tasks serve callers between the rounds.
            await trio.lowlevel.checkpoint()
        return MapOffer(
            name,
            planned.placement,
            self.current_skew(planned.placement),
            sum(planned.rank_copies),
            max(planned.rank_copies),
        )
