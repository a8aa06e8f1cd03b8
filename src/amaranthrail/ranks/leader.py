"""Lead a group: watch demand, plan maps and change them."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable, Mapping

import msgspec
import trio

from ..clock import Clock
from ..direct.deployment import ExpertLayout
from ..logs import part_logger
from ..policy.demand import ExpertDemand
from ..policy.expertplan import (
    PlanLimits,
    default_placement,
    layer_set_skew,
    plan_layer_set,
)
from ..policy.rebalancing import (
    has_moderate_load,
    should_change_map,
    should_read_counts,
)
from .change import ChangeOutcome, MapChange, Target, ask_all
from .ports import (
    MapOrder,
    OrderResult,
    Placement,
    RankPort,
    RankReport,
    Verb,
)

#: Ranks whose counts are read in turn; each count read is billed, and demand is
#: much the same at all ranks.
COUNTED_RANKS = 2
#: Time without a pass after which a leader looks for a pass held back, in ms.
STALL_MS = 700.0
#: Time without a pass after which a group counts as idle, in ms.
IDLE_MS = 600.0
#: Time for which a leader makes no change after it has seen another's, in ms:
#: entries that are cut off from each other may all lead.
YIELD_MS = 3000.0
#: Versions are drawn at random in steps of this many, so that two leaders do
#: not use the same; every other number is kept for undoing.
VERSION_STEP = 1024
_DRAWS = VERSION_STEP // 2
_log = part_logger('leader')


class _Formation(msgspec.Struct):
    """Hold what is known of a group's present formation."""

    epoch: int = -1
    version: int = -1
    highest: int = -1
    placement: Placement | None = None
    last_step: int = 0
    last_step_at: float = 0
    pass_ms: float = 0
    counted: list[int] = msgspec.field(default_factory=list)
    counted_at: float | None = None
    counts: int = 0


class Leader:
    """Keep the expert map of one group fit for the demand."""

    def __init__(
        self,
        layout: ExpertLayout,
        target_gap_ms: float,
        clock: Clock,
    ) -> None:
        """Take the maps' shape and the pause that streams may have."""
        self._layout = layout
        self._target_gap_ms = target_gap_ms
        self._clock = clock
        self._ranks: Mapping[int, RankPort] = {}
        self._formation = _Formation()
        self._demand = ExpertDemand(layout.sets, layout.experts)
        self._random = random.Random()
        # Another leader holds passes back at another rank, so that neither
        # lets go what the other still needs held.
        self._holder = 0
        self._yields_until = 0.0
        self._change = MapChange(0, self._report, self._order, clock)

    @property
    def epoch(self) -> int:
        """Return the formation that was seen last, -1 for none."""
        return self._formation.epoch

    @property
    def yields(self) -> bool:
        """Tell whether another leader's changes keep this one from any."""
        return self._clock.now() < self._yields_until

    def meet(self, ranks: Mapping[int, RankPort]) -> None:
        """Take the way to each rank."""
        self._ranks = ranks
        self._holder = self._random.choice(list(ranks) or [0])
        self._change = MapChange(
            self._holder,
            self._report,
            self._order,
            self._clock,
        )

    async def run_once(self) -> bool:
        """Look at the group once; tell whether its holder could be reached."""
        report = await self._report(self._holder)
        if report is None:
            return False
        if not report.open:
            return True
        self._note_report(report)
        if self._clock.now() - self._formation.last_step_at > STALL_MS:
            await self.release_held()
        elif not report.held:
            await self._lead(report)
        return True

    async def release_held(self) -> None:
        """Finish or undo what a leader began that has gone.

        Also called by an entry that does not lead but whose streams stopped.
        """
        reports = await ask_all(self._ranks, self._report)
        held = {
            rank
            for rank, one in reports.items()
            if one.held and one.step == one.held - 1
        }
        if not held:
            return
        report = reports[min(held)]
        step = report.held
        self._note_report(report)
        _log.warning('held pass found', step=step, ranks=sorted(held))
        free = sorted(set(self._ranks) - held)
        if not free:
            _log.error('every rank holds a pass', step=step)
            return
        guard = self._random.choice(free)
        # The other leader may still let go what it holds.
        hold = MapOrder(Verb.HOLD, report.epoch, step=step)
        if not (await self._order(guard, hold)).accepted:
            return
        if len(reports) == report.size and _all_armed(reports.values(), step):
            outcome = ChangeOutcome.DONE
        else:
            outcome = await self._undo(report)
        _log.warning('held pass looked after', outcome=outcome.value)
        if outcome is ChangeOutcome.DONE:
            await self._let_go({*held, guard}, report.epoch, step)

    async def _lead(self, report: RankReport) -> None:
        if self._formation.placement is None:
            await self._learn_placement(report)
        await self._count()
        if self.yields or report.armed:
            return
        if self._demand.has_enough_counts:
            await self._improve(report)

    async def _count(self) -> None:
        """Read how often experts were chosen, where that is due."""
        formation = self._formation
        now = self._clock.now()
        since = formation.counted_at
        age_ms = None if since is None else now - since
        if not should_read_counts(
            age_ms, formation.pass_ms, self._target_gap_ms
        ):
            return
        formation.counted_at = now
        self._demand.decay(now)
        ranks = [self._next_counted()]
        if since is None:
            # What counts grow by says something from the second reading on.
            ranks = self._counted_ranks()
        for rank in ranks:
            counts = await self._ranks[rank].counts()
            if counts is not None:
                self._demand.update_counts(rank, counts.chosen)

    def _next_counted(self) -> int:
        """Return the rank to count, each of a few in turn."""
        ranks = self._counted_ranks()
        self._formation.counts += 1
        return ranks[self._formation.counts % len(ranks)]

    def _counted_ranks(self) -> list[int]:
        """Return the ranks to count, the same ones while all can be met."""
        formation = self._formation
        lost = set(formation.counted) - set(self._ranks)
        if lost or not formation.counted:
            wanted = min(len(self._ranks), COUNTED_RANKS)
            formation.counted = self._random.sample(list(self._ranks), wanted)
        return formation.counted

    async def _report(self, rank: int) -> RankReport | None:
        port = self._ranks.get(rank)
        return None if port is None else await port.report()

    async def _order(self, rank: int, order: MapOrder) -> OrderResult:
        port = self._ranks.get(rank)
        if port is None:
            return OrderResult.REFUSED
        return await port.order(order)

    def _note_report(self, report: RankReport) -> None:
        now = self._clock.now()
        if report.epoch != self._formation.epoch:
            _log.info('group formed', group=report.group, epoch=report.epoch)
            self._demand.reset()
            self._formation = _Formation(report.epoch, last_step_at=now)
            self._formation.last_step = report.step
        formation = self._formation
        if report.step > formation.last_step:
            passes = report.step - formation.last_step
            elapsed_ms = now - formation.last_step_at
            if elapsed_ms < IDLE_MS:
                formation.pass_ms = elapsed_ms / passes
            formation.last_step = report.step
            formation.last_step_at = now
        self._note_others_change(report)
        if report.version != formation.version:
            formation.version = report.version
            formation.placement = None

    def _note_others_change(self, report: RankReport) -> None:
        """Leave the map to another leader that has begun to change it."""
        formation = self._formation
        highest = max(report.version, report.prepared, report.armed)
        is_first_look = formation.highest < 0
        if highest > formation.highest and not is_first_look:
            self._yields_until = self._clock.now() + YIELD_MS
            _log.info('map changed by another', version=highest)
        formation.highest = max(formation.highest, highest)

    async def _learn_placement(self, report: RankReport) -> None:
        """Find out which experts the ranks hold in the map in use."""
        layout = self._layout
        if report.version == 0:
            first = default_placement(layout.experts, report.size)
            self._formation.placement = (first,) * layout.sets
            return
        found = await ask_all(
            self._ranks,
            lambda rank: self._ranks[rank].lists(),
        )
        columns = []
        for rank in range(report.size):
            held = found.get(rank)
            if held is None or held.version != report.version:
                return
            columns.append(held.experts)
        self._formation.placement = tuple(
            tuple(column[index] for column in columns)
            for index in range(layout.sets)
        )

    async def _improve(self, report: RankReport) -> None:
        formation = self._formation
        placement = formation.placement
        if not has_moderate_load(formation.pass_ms, self._target_gap_ms):
            return
        if placement is None or len(self._ranks) != report.size:
            return
        planned = await self._plan(placement)
        before = self._skew(placement)
        after = self._skew(planned)
        saving = 1 - after / before
        if not should_change_map(
            saving, self._formation.pass_ms, self._target_gap_ms
        ):
            return
        copies = _copies_by_rank(placement, planned)
        target = Target(
            report.epoch,
            self._next_version(report),
            planned,
            placement,
            self._formation.pass_ms,
            max(copies) * self._layout.copy_ms,
        )
        # An undone change has used the next version as well.
        formation.highest = target.version + 1
        outcome = await self._change.run(list(self._ranks), target)
        _log.info(
            'map changed',
            outcome=outcome.value,
            group=report.group,
            epoch=report.epoch,
            version=target.version,
            skew_before=round(before, 2),
            skew_after=round(after, 2),
            copies=sum(copies),
            pass_ms=int(target.pass_ms),
        )
        if outcome is ChangeOutcome.DONE:
            self._formation.version = target.version
            self._formation.placement = planned

    async def _plan(self, placement: Placement) -> Placement:
        limits = PlanLimits(self._layout.placements, self._layout.spare)
        planned = []
        for index, held in enumerate(placement):
            weights = self._demand.layer_set_weights(index)
            planned.append(plan_layer_set(held, weights, limits, self._random))
            # Callers are served between the sets of a large group.
            await trio.lowlevel.checkpoint()
        return tuple(planned)

    def _skew(self, placement: Placement) -> float:
        skews = [
            layer_set_skew(held, self._demand.layer_set_weights(index))
            for index, held in enumerate(placement)
        ]
        return sum(skews) / len(skews)

    def _next_version(self, report: RankReport) -> int:
        highest = max(report.version, report.prepared, report.armed)
        steps = highest // VERSION_STEP + 1
        # The odd number above it is kept for undoing the change.
        return steps * VERSION_STEP + 2 * self._random.randrange(1, _DRAWS)

    async def _undo(self, report: RankReport) -> ChangeOutcome:
        placement = self._formation.placement
        if placement is None:
            await self._learn_placement(report)
            placement = self._formation.placement
        if placement is None:
            return ChangeOutcome.STUCK
        target = Target(
            report.epoch,
            self._next_version(report),
            placement,
            placement,
            self._formation.pass_ms,
            replaces_all=True,
        )
        self._formation.highest = target.version + 1
        return await self._change.disarm_all(list(self._ranks), target)

    async def _let_go(
        self,
        ranks: Iterable[int],
        epoch: int,
        step: int,
    ) -> None:
        go = MapOrder(Verb.GO, epoch, step=step)
        for rank in ranks:
            outcome = await self._order(rank, go)
            if not outcome.accepted:
                # The next look finds the pass still held and tries again.
                _log.warning('pass not let go', rank=rank, step=step)


def _all_armed(reports: Collection[RankReport], step: int) -> bool:
    """Tell whether all ranks would take the same map with a pass."""
    armed = {(report.armed, report.armed_step) for report in reports}
    if len(armed) != 1:
        return False
    version, armed_step = armed.pop()
    return version > 0 and armed_step == step


def _copies_by_rank(before: Placement, after: Placement) -> list[int]:
    """Return how many experts each rank has to copy, over all sets."""
    by_set = [
        [
            len(set(new) - set(old))
            for new, old in zip(new_set, old_set, strict=True)
        ]
        for new_set, old_set in zip(after, before, strict=True)
    ]
    return [sum(copies) for copies in zip(*by_set, strict=True)]
