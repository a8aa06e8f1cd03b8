"""Adapt the expert map of a rank group to the demand for experts."""

from __future__ import annotations

import math
import random
from collections.abc import Collection, Iterable, Mapping

import msgspec
import trio

from ..clock import Clock
from ..direct.deployment import ExpertLayout
from ..logs import part_logger
from ..policy.demand import ExpertDemand, has_partly_shifted, has_shifted
from ..policy.expertplan import (
    PlanLimits,
    default_placement,
    layer_set_skew,
    plan_layer_set,
)
from ..policy.rebalancing import (
    has_high_load,
    has_moderate_load,
    has_small_map,
    should_change_map,
    should_read_counts,
)
from ..types import GroupName
from .change import ChangeOutcome, ChangeRequest, MapChange, query_ranks
from .largegroups import LargeGroup, LargeGroupControl, LeaderContext
from .planning import MapPlanner
from .ports import (
    MapOrder,
    OrderKind,
    OrderResult,
    Placement,
    RankExperts,
    RankPort,
    RankReport,
)

#: Ranks whose counts are read in turn; each read is billed, and demand is much
#: the same at all ranks.
SAMPLED_RANKS = 2
#: Time without a new step after which a leader looks for a held step, in ms.
STALL_MS = 700.0
#: Time without a new step from which a group counts as idle, in ms; the step
#: duration is not estimated across it.
IDLE_MS = 600.0
#: Time for which a leader makes no change after it has seen another leader's,
#: in ms: entries that are cut off from each other may all be leaders.
BACKOFF_MS = 3000.0
#: Longest time from the end of a change until a report shows its version, in
#: ms: its step is held up to 1,000 ahead, and reports are 200 old. A version
#: that is not shown by then has been rolled back by another leader.
SETTLE_MS = 1500.0
#: Time after a leader's first report of a large group within which changes by
#: others are taken for those of its predecessor or of a recovery, in ms, and
#: the time without own changes after one of them. BACKOFF_MS would leave the
#: group without changes for seconds after each change of leader.
TAKEOVER_MS = 2500.0
TAKEOVER_BACKOFF_MS = 200.0
#: Each new version is drawn at random from the next range of this size, so that
#: two leaders do not use the same one: a rank that has a version prepared takes
#: an order for it as done, whatever its map. Only even offsets are drawn: the
#: odd number after a version is kept for rolling its change back.
VERSION_RANGE = 1_048_576
_VERSIONS_PER_RANGE = VERSION_RANGE // 2
_log = part_logger('leader')


class _GroupState(msgspec.Struct):
    """Hold the cached state of a group in its current epoch."""

    epoch: int = -1
    version: int = -1
    highest_version: int = -1
    placement: Placement | None = None
    last_step: int = 0
    last_step_at: float = 0
    step_ms: float = 0
    sampled_ranks: list[int] = msgspec.field(default_factory=list)
    sampled_at: float | None = None
    sample_count: int = 0
    # Until then, reports may still show the map from before the last change.
    settles_at: float = 0
    name: GroupName = GroupName('')
    size: int = 0
    first_report_at: float = 0


class _PlannedMap(msgspec.Struct, frozen=True):
    """Hold the map in use and the planned one, and the mean skew of both."""

    current: Placement
    planned: Placement
    skew_before: float
    skew_after: float


class Leader:
    """Change the expert map of one group as the demand for experts changes."""

    def __init__(
        self,
        layout: ExpertLayout,
        target_gap_ms: float,
        clock: Clock,
        random_source: random.Random,
        context: LeaderContext,
    ) -> None:
        """Set the shape of maps and the target gap between events, in ms."""
        self._context = context
        self._large_group = LargeGroupControl(
            MapPlanner(layout, random_source), target_gap_ms, clock, context
        )
        self._layout = layout
        self._target_gap_ms = target_gap_ms
        self._clock = clock
        self._ranks: Mapping[int, RankPort] = {}
        self._group = _GroupState()
        self._demand = ExpertDemand(layout.sets, layout.experts)
        self._random = random_source
        # Leaders choose the rank that holds steps at random, so that one does
        # not release a step that another still needs held.
        self._holder = 0
        self._back_off_until = -math.inf
        # Epoch and step of the latest recovery, and the rank that holds it.
        self._recovery_hold = ((-1, 0), 0)
        self._change = MapChange(
            0,
            self._fetch_report,
            self._send_order,
            clock,
        )

    @property
    def epoch(self) -> int:
        """Return the last reported group epoch, -1 for none."""
        return self._group.epoch

    @property
    def is_backing_off(self) -> bool:
        """Tell whether another leader's recent change prevents any here."""
        return self._clock.now() < self._back_off_until

    def begin_term(self) -> None:
        """Start as the leader of the group's map.

        What was seen of the group before does not count: a version that the
        former leader chose since must not look like that of a rival.
        """
        if self._is_large():
            self._group = _GroupState()
            self._demand.reset()
            self._large_group.planner.clear()

    def end_term(self) -> None:
        """Stop as the leader, without a change in progress."""
        self._large_group.end_term()

    def replace_ranks(self, ranks: Mapping[int, RankPort]) -> None:
        """Replace the ranks of the group and choose the one to hold steps."""
        self._ranks = ranks
        self._holder = self._random.choice(list(ranks) or [0])
        self._change = MapChange(
            self._holder,
            self._fetch_report,
            self._send_order,
            self._clock,
        )

    async def run_cycle(self) -> bool:
        """Update the group once; return False if its holder did not respond."""
        report = await self._fetch_report(self._holder)
        if report is None:
            return False
        if not report.open:
            return True
        self._apply_report(report)
        if self._clock.now() - self._group.last_step_at > STALL_MS:
            await self.recover_held_step()
        elif not report.held_step:
            await self._update_map(report)
        return True

    async def recover_held_step(self) -> None:
        """Roll back a change that a lost leader has begun.

        An entry that is not the leader calls this too if its streams stop.
        """
        reports = await query_ranks(self._ranks, self._fetch_report)
        holders = {
            rank
            for rank, state in reports.items()
            if state.held_step and state.step == state.held_step - 1
        }
        if not holders:
            return
        report = reports[min(holders)]
        step = report.held_step
        self._apply_report(report)
        _log.warning('held step found', step=step, ranks=sorted(holders))
        if not self._knows_all_ranks(report):
            # A rank that cannot be asked may be armed: once the step is
            # released, it would use another map than the others.
            _log.warning(
                'held step kept, ranks unknown',
                step=step,
                known=len(self._ranks),
                size=report.size,
            )
            return
        own_holder = self._choose_recovery_holder(
            report, set(reports) - holders
        )
        if own_holder is None:
            _log.error('no rank is free to hold a step', step=step)
            return
        # The other leader may still release the step at the ranks where it
        # holds it, so it is held at another rank too.
        hold = MapOrder(OrderKind.HOLD, report.epoch, step=step)
        if not (await self._send_order(own_holder, hold)).accepted:
            return
        # A complete change is rolled back too: reports are from before the
        # disarm orders that another entry is sending now.
        outcome = await self._roll_back(report)
        _log.warning('held step recovery ended', outcome=outcome.value)
        if outcome is ChangeOutcome.DONE:
            await self._release({*holders, own_holder}, report.epoch, step)

    def _choose_recovery_holder(
        self, report: RankReport, free: Collection[int]
    ) -> int | None:
        """Return the rank at which this entry holds the found step.

        It is the same one in each attempt to recover a step, at first one of
        the free ranks: those that responded and do not hold it. Without a free
        rank, None is returned.
        """
        step = report.epoch, report.held_step
        if self._recovery_hold[0] != step:
            if not free:
                return None
            self._recovery_hold = (step, self._random.choice(sorted(free)))
        return self._recovery_hold[1]

    def _knows_all_ranks(self, report: RankReport) -> bool:
        """Tell whether every rank of the group can be sent orders."""
        ranks = self._ranks
        return len(ranks) == report.size and all(
            rank in ranks for rank in range(report.size)
        )

    def _is_large(self) -> bool:
        """Tell whether the group is planned and changed as a large one."""
        layout = self._layout
        size = max(len(self._ranks), self._group.size)
        return not has_small_map(layout.sets, layout.placements, size)

    def _step_ms(self) -> float:
        """Return the recent step time, 0 where it is unknown.

        Two reports span two or three steps of a large group, an error of up to
        a third; this entry's own streams show the time of each step.
        """
        if not self._is_large():
            return self._group.step_ms
        return self._context.fetch_step_ms() or self._group.step_ms

    async def _update_map(self, report: RankReport) -> None:
        if self._group.placement is None and self._knows_all_ranks(report):
            await self._fetch_placement(report)
        await self._sample_demand()
        if self.is_backing_off or report.armed_version:
            return
        if self._precedes_change(report):
            return
        if not self._demand.has_enough_counts:
            return
        if self._is_large():
            await self._rebalance_large(report)
        else:
            await self._rebalance(report)

    async def _sample_demand(self) -> None:
        """Read how often experts were selected, if a sample is due."""
        group = self._group
        now = self._clock.now()
        sampled_at = group.sampled_at
        age_ms = None if sampled_at is None else now - sampled_at
        if not should_read_counts(age_ms, self._step_ms(), self._target_gap_ms):
            return
        group.sampled_at = now
        self._demand.decay(now)
        self._demand.replace_shift_test(
            has_partly_shifted if self._is_large() else has_shifted
        )
        samples = await query_ranks(
            self._ranks_to_sample(is_first=sampled_at is None),
            lambda rank: self._ranks[rank].fetch_counts(),
        )
        for rank, counts in sorted(samples.items()):
            self._demand.update_counts(rank, counts.selections)
        if samples and self._is_large() and self._demand.has_enough_counts:
            self._large_group.planner.record_demand(now, self._demand.shares)

    def _ranks_to_sample(self, *, is_first: bool) -> list[int]:
        """Return the ranks to sample now; ``is_first`` says that none was yet.

        Demand is the growth of a rank's counts between two samples, so each
        sampled rank needs a first one.
        """
        if is_first or has_high_load(self._step_ms(), self._target_gap_ms):
            return self._sampled_ranks()
        if self._is_large():
            # In turn, the ranks would show a shift of demand only after twice
            # the interval between two readings.
            return self._sampled_ranks()[:1]
        return [self._next_sampled_rank()]

    def _next_sampled_rank(self) -> int:
        """Return the rank to sample next, in round-robin order."""
        ranks = self._sampled_ranks()
        self._group.sample_count += 1
        return ranks[self._group.sample_count % len(ranks)]

    def _sampled_ranks(self) -> list[int]:
        """Return the ranks to sample, the same ones until one is removed."""
        group = self._group
        lost = set(group.sampled_ranks) - set(self._ranks)
        if lost or not group.sampled_ranks:
            size = min(len(self._ranks), SAMPLED_RANKS)
            group.sampled_ranks = self._random.sample(list(self._ranks), size)
        return group.sampled_ranks

    async def _fetch_report(self, rank: int) -> RankReport | None:
        port = self._ranks.get(rank)
        return None if port is None else await port.fetch_report()

    async def _send_order(self, rank: int, order: MapOrder) -> OrderResult:
        port = self._ranks.get(rank)
        if port is None:
            return OrderResult.REFUSED
        return await port.send_order(order)

    def _apply_report(self, report: RankReport) -> None:
        now = self._clock.now()
        if report.epoch != self._group.epoch:
            _log.info(
                'group epoch started', group=report.group, epoch=report.epoch
            )
            self._demand.reset()
            self._large_group.planner.clear()
            self._group = _GroupState(report.epoch, last_step_at=now)
            self._group.last_step = report.step
            self._group.name = GroupName(report.group)
            self._group.size = report.size
            self._group.first_report_at = now
        group = self._group
        if report.step > group.last_step:
            steps = report.step - group.last_step
            elapsed_ms = now - group.last_step_at
            if elapsed_ms < IDLE_MS:
                group.step_ms = elapsed_ms / steps
            group.last_step = report.step
            group.last_step_at = now
        self._detect_other_leader(report)
        if report.version != group.version and not self._precedes_change(
            report
        ):
            group.version = report.version
            group.placement = None

    def _precedes_change(self, report: RankReport) -> bool:
        """Tell whether a report is from before this leader's last change.

        Ranks refuse a preparation until the armed map is in use.
        """
        group = self._group
        is_earlier = report.version < group.version
        return is_earlier and self._clock.now() < group.settles_at

    def _detect_other_leader(self, report: RankReport) -> None:
        """Back off if a version is reported that this leader did not choose."""
        group = self._group
        highest = max(
            report.version,
            report.prepared_version,
            report.armed_version,
        )
        is_first_report = group.highest_version < 0
        if highest > group.highest_version and not is_first_report:
            back_off_ms = self._back_off_ms()
            self._back_off_until = self._clock.now() + back_off_ms
            _log.info(
                'map changed by another leader',
                version=highest,
                back_off_ms=back_off_ms,
            )
        group.highest_version = max(group.highest_version, highest)

    def _back_off_ms(self) -> float:
        """Return for how long to make no change after one by another entry."""
        age_ms = self._clock.now() - self._group.first_report_at
        if self._is_large() and age_ms < TAKEOVER_MS:
            return TAKEOVER_BACKOFF_MS
        return BACKOFF_MS

    async def _fetch_placement(self, report: RankReport) -> None:
        """Set the placement to the experts that all ranks report."""
        layout = self._layout
        if report.version == 0:
            first = default_placement(layout.experts, report.size)
            self._group.placement = (first,) * layout.sets
            return
        responses = await query_ranks(
            self._ranks,
            lambda rank: self._ranks[rank].fetch_experts(),
        )
        experts_by_rank = []
        for rank in range(report.size):
            response = responses.get(rank)
            if response is None or response.version != report.version:
                return
            if not _fits_layout(response, layout):
                _log.warning('map of a rank not valid', rank=rank)
                return
            experts_by_rank.append(response.experts)
        self._group.placement = tuple(
            tuple(experts[index] for experts in experts_by_rank)
            for index in range(layout.sets)
        )

    async def _rebalance(self, report: RankReport) -> None:
        group = self._group
        placement = group.placement
        if not has_moderate_load(group.step_ms, self._target_gap_ms):
            return
        if placement is None or not self._knows_all_ranks(report):
            return
        planned = await self._plan(placement)
        skew_before = self._mean_skew(placement)
        skew_after = self._mean_skew(planned)
        saving = 1 - skew_after / skew_before
        if not should_change_map(
            saving, self._group.step_ms, self._target_gap_ms
        ):
            return
        await self._change_map(
            report, _PlannedMap(placement, planned, skew_before, skew_after)
        )

    async def _rebalance_large(self, report: RankReport) -> None:
        """Change the map of a large group where that saves enough."""
        group = self._group
        placement = group.placement
        if placement is None or not self._knows_all_ranks(report):
            return
        control = self._large_group
        plan = await control.plan(
            LargeGroup(
                group.name,
                report.size,
                report.epoch,
                group.version,
                self._step_ms(),
                placement,
            )
        )
        if plan is None:
            return
        change = _PlannedMap(
            placement,
            plan.offer.placement,
            plan.current.latest,
            plan.offer.skew.latest,
        )
        began_at = self._clock.now()
        with control.announced_change(group.name):
            outcome = await self._change_map(report, change)
        if outcome is ChangeOutcome.DONE:
            control.planner.record_change(self._clock.now() - began_at)
        else:
            control.record_failure()

    async def _change_map(
        self, report: RankReport, change: _PlannedMap
    ) -> ChangeOutcome:
        """Bring a planned map into use, or roll the change back."""
        new_experts = _new_experts_by_rank(change.current, change.planned)
        request = ChangeRequest(
            report.epoch,
            self._next_version(report),
            change.planned,
            change.current,
            self._step_ms(),
            max(new_experts) * self._layout.copy_ms,
            slowest_rank=new_experts.index(max(new_experts)),
        )
        # A change that is rolled back uses the next version as well.
        self._group.highest_version = request.version + 1
        outcome = await self._change.run(list(self._ranks), request)
        _log.info(
            'map changed',
            outcome=outcome.value,
            group=report.group,
            epoch=report.epoch,
            version=request.version,
            skew_before=round(change.skew_before, 2),
            skew_after=round(change.skew_after, 2),
            copies=sum(new_experts),
            pass_ms=int(request.step_ms),
        )
        metrics = self._context.metrics
        metrics.count('map_changes', outcome=outcome.value)
        if outcome is ChangeOutcome.DONE:
            metrics.count('map_copies', sum(new_experts))
            metrics.gauge('map_skew_before', change.skew_before)
            metrics.gauge('map_skew_after', change.skew_after)
            self._group.version = request.version
            self._group.placement = change.planned
            self._group.settles_at = self._clock.now() + SETTLE_MS
        return outcome

    async def _plan(self, placement: Placement) -> Placement:
        limits = PlanLimits(self._layout.placements, self._layout.spare)
        planned = []
        for index, current in enumerate(placement):
            weights = self._demand.layer_set_weights(index)
            planned.append(
                plan_layer_set(current, weights, limits, self._random)
            )
            # Let other tasks serve callers between the sets of a large group.
            await trio.lowlevel.checkpoint()
        return tuple(planned)

    def _mean_skew(self, placement: Placement) -> float:
        skews = [
            layer_set_skew(set_placement, self._demand.layer_set_weights(index))
            for index, set_placement in enumerate(placement)
        ]
        return sum(skews) / len(skews)

    def _next_version(self, report: RankReport) -> int:
        # Ranks refuse a version that is not above all that they have had, and
        # an outdated report lacks this leader's own.
        highest = max(
            report.version,
            report.prepared_version,
            report.armed_version,
            self._group.highest_version,
        )
        next_range = highest // VERSION_RANGE + 1
        # The odd number after the version is kept for rolling the change back.
        return next_range * VERSION_RANGE + 2 * self._random.randrange(
            1, _VERSIONS_PER_RANGE
        )

    async def _roll_back(self, report: RankReport) -> ChangeOutcome:
        placement = self._group.placement
        if placement is None:
            await self._fetch_placement(report)
            placement = self._group.placement
        if placement is None:
            return ChangeOutcome.STUCK
        request = ChangeRequest(
            report.epoch,
            self._next_version(report),
            placement,
            placement,
            self._step_ms(),
            replaces_all=True,
        )
        self._group.highest_version = request.version + 1
        return await self._change.disarm_all(list(self._ranks), request)

    async def _release(
        self,
        ranks: Iterable[int],
        epoch: int,
        step: int,
    ) -> None:
        release = MapOrder(OrderKind.RELEASE, epoch, step=step)
        for rank in ranks:
            order_result = await self._send_order(rank, release)
            if not order_result.accepted:
                # The next cycle finds the step still held and tries again.
                _log.warning('step not released', rank=rank, step=step)


def _fits_layout(response: RankExperts, layout: ExpertLayout) -> bool:
    """Tell whether a rank names experts that exist, for each layer set."""
    if len(response.experts) != layout.sets:
        return False
    return all(
        0 <= expert < layout.experts
        for experts in response.experts
        for expert in experts
    )


def _new_experts_by_rank(before: Placement, after: Placement) -> list[int]:
    """Return how many experts each rank must copy, over all layer sets."""
    by_set = [
        [
            len(set(new) - set(old))
            for new, old in zip(new_set, old_set, strict=True)
        ]
        for new_set, old_set in zip(after, before, strict=True)
    ]
    return [sum(counts) for counts in zip(*by_set, strict=True)]
