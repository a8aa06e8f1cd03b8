"""Change a group's expert map at one pass for all ranks, or not at all.

Orders may get no answer and be carried out seconds later. What keeps a late one
from harm is what the ranks themselves refuse: an arm for a pass that has begun
or for a version that another preparation has replaced, and any order of an
earlier formation of the group. So a pass is held back first, all ranks are
armed for it, and it is let go only once each of them has confirmed. Otherwise
each is disarmed and given another preparation before the pass is let go, and
the version is never used again.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable, Mapping
from enum import Enum
from typing import TypeVar

import msgspec
import trio

from ..clock import MS_PER_SECOND, Clock, sleep
from ..logs import part_logger
from .ports import MapOrder, OrderResult, Placement, RankReport, Verb

#: Times between a report and the pass that is held, in ms, the second where the
#: first was too short: reports are 200 ms old, and a hold and an arm take some
#: 10 ms each.
LEADS_MS = (300.0, 600.0)
#: The same while orders go without an answer, in ms: three repeats fit in.
SLOW_LEAD_MS = 1000.0
#: Time for which an order without an answer is remembered, in ms.
UNANSWERED_MEMORY_MS = 10_000.0
#: Fewest and most passes in that time.
MIN_LEAD_PASSES = 3
MAX_LEAD_PASSES = 200
#: Time in which all ranks must confirm a preparation, in ms; nothing waits.
PREPARE_MS = 2500.0
#: Time in which ranks must confirm a hold or an arm, in ms: the group waits for
#: what goes beyond the lead.
CONFIRM_MS = 1100.0
#: Time by which copies may take longer than their sizes say, in ms; ranks that
#: need more refuse to be armed and are asked again for REFUSED_ARM_MS.
COPY_SLACK_MS = 30.0
REFUSED_ARM_MS = 400.0
#: Time before such an order is repeated, in ms.
REFUSED_REPEAT_MS = 25.0
#: Time before an order without an answer is repeated, in ms; a rank that cannot
#: be reached refuses connections at once.
REPEAT_MS = 80.0
#: Time that undoing a change takes at most before it is begun again, in ms.
UNDO_MS = 6000.0
_log = part_logger('change')

_Answer = TypeVar('_Answer')

AskRank = Callable[[int], Awaitable[RankReport | None]]
OrderRank = Callable[[int, MapOrder], Awaitable[OrderResult]]


class ChangeOutcome(Enum):
    """Say how a change ended."""

    DONE = 'done'
    NOT_PREPARED = 'not-prepared'
    NOT_HELD = 'not-held'
    UNDONE = 'undone'
    STUCK = 'stuck'
    FORMED_ANEW = 'formed-anew'


class Target(msgspec.Struct, frozen=True):
    """Hold what a change aims at.

    ``pass_ms`` is the time of one pass of late, ``current`` the map in use.
    ``copying_ms`` is the time that the rank with most copies needs for them.
    ``replaces_all`` says that versions of other leaders are disarmed too.
    """

    epoch: int
    version: int
    placement: Placement
    current: Placement
    pass_ms: float
    copying_ms: float = 0
    replaces_all: bool = False


class MapChange:
    """Carry out changes of one group's map."""

    def __init__(
        self,
        holder: int,
        ask: AskRank,
        order: OrderRank,
        clock: Clock,
    ) -> None:
        """Take the rank that holds passes back and how to reach all ranks."""
        self._holder = holder
        self._ask = ask
        self._order = order
        self._clock = clock
        self._unanswered_at: float | None = None

    async def run(self, ranks: Iterable[int], target: Target) -> ChangeOutcome:
        """Bring a map into use on all ranks."""
        members = tuple(ranks)
        if not await self._prepare(members, target):
            return ChangeOutcome.NOT_PREPARED
        step = await self._hold(target)
        if step is None:
            return ChangeOutcome.NOT_HELD
        arm = MapOrder(Verb.ARM, target.epoch, target.version, step)
        orders = dict.fromkeys(members, arm)
        if await self._confirm(orders, CONFIRM_MS, REFUSED_ARM_MS):
            return await self._let_go(target.epoch, step)
        outcome = await self.disarm_all(members, target)
        if outcome is ChangeOutcome.DONE:
            outcome = await self._let_go(target.epoch, step)
        if outcome is ChangeOutcome.DONE:
            return ChangeOutcome.UNDONE
        return outcome

    async def disarm_all(
        self,
        ranks: Iterable[int],
        target: Target,
    ) -> ChangeOutcome:
        """Disarm all ranks for good; their group may go on after that."""
        settled: set[int] = set()
        members = frozenset(ranks)
        with trio.move_on_after(UNDO_MS / MS_PER_SECOND):
            async with trio.open_nursery() as nursery:
                for rank in members:
                    nursery.start_soon(self._settle, rank, target, settled)
        if settled == members:
            return ChangeOutcome.DONE
        report = await self._ask(self._holder)
        if report is not None and report.epoch != target.epoch:
            return ChangeOutcome.FORMED_ANEW
        # The pass stays held: letting it go could split the ranks.
        _log.error('change stuck', ranks=sorted(members - settled))
        return ChangeOutcome.STUCK

    async def _let_go(self, epoch: int, step: int) -> ChangeOutcome:
        go = MapOrder(Verb.GO, epoch, step=step)
        if await self._confirm({self._holder: go}, UNDO_MS):
            return ChangeOutcome.DONE
        return ChangeOutcome.STUCK

    async def _settle(
        self,
        rank: int,
        target: Target,
        settled: set[int],
    ) -> None:
        """Disarm a rank and replace what it has prepared.

        Until the replacement is confirmed a late arm may take effect, and
        then the rank is disarmed once more.
        """
        fence = MapOrder(
            Verb.PREPARE,
            target.epoch,
            target.version + 1,
            placement=target.current,
        )
        while rank not in settled:
            report = await self._ask(rank)
            armed = target.version if report is None else report.armed
            # What another leader armed is disarmed only once it has gone.
            if armed and (armed == target.version or target.replaces_all):
                disarm = MapOrder(Verb.DISARM, target.epoch, armed)
                await self._order(rank, disarm)
            outcome = await self._order(rank, fence)
            if outcome.accepted or _has_moved_on(report, target):
                settled.add(rank)
            else:
                await sleep(REPEAT_MS)

    async def _prepare(
        self,
        members: tuple[int, ...],
        target: Target,
    ) -> bool:
        order = MapOrder(
            Verb.PREPARE,
            target.epoch,
            target.version,
            placement=target.placement,
        )
        if not await self._confirm(dict.fromkeys(members, order), PREPARE_MS):
            return False
        await sleep(target.copying_ms + COPY_SLACK_MS)
        return True

    async def _hold(self, target: Target) -> int | None:
        """Hold a pass back that is soon to begin; return which one."""
        for lead_ms in LEADS_MS:
            own = await self._ask(self._holder)
            if own is None or own.epoch != target.epoch:
                break
            step = own.step + self._lead_passes(lead_ms, target.pass_ms)
            hold = MapOrder(Verb.HOLD, target.epoch, step=step)
            if await self._confirm({self._holder: hold}, CONFIRM_MS):
                return step
        return None

    async def _confirm(
        self,
        orders: Mapping[int, MapOrder],
        bound_ms: float,
        refused_ms: float = 0,
    ) -> bool:
        """Give each rank its order until it has confirmed it.

        An order repeated is the same order: a rank that has carried it out
        says so. Return False where time runs out, or for a refusal once orders
        have been refused for ``refused_ms``.
        """
        last_refusal = self._clock.now() + refused_ms
        confirmed: dict[int, bool] = {}
        with trio.move_on_after(bound_ms / MS_PER_SECOND):
            async with trio.open_nursery() as nursery:
                for rank, order in orders.items():
                    nursery.start_soon(
                        self._confirm_one,
                        rank,
                        order,
                        confirmed,
                        last_refusal,
                    )
        refused = sorted(set(orders) - _accepting(confirmed))
        if refused:
            verb = next(iter(orders.values())).verb.value
            _log.warning('order not confirmed', order=verb, ranks=refused)
        return not refused

    async def _confirm_one(
        self,
        rank: int,
        order: MapOrder,
        confirmed: dict[int, bool],
        last_refusal: float,
    ) -> None:
        while rank not in confirmed:
            outcome = await self._order(rank, order)
            if outcome is OrderResult.UNANSWERED:
                self._unanswered_at = self._clock.now()
                await sleep(REPEAT_MS)
            elif outcome.accepted or self._clock.now() >= last_refusal:
                confirmed[rank] = outcome.accepted
            else:
                await sleep(REFUSED_REPEAT_MS)

    def _lead_passes(self, lead_ms: float, pass_ms: float) -> int:
        """Return how many passes ahead the held one is."""
        now = self._clock.now()
        last = self._unanswered_at
        if last is not None and now - last < UNANSWERED_MEMORY_MS:
            lead_ms = SLOW_LEAD_MS
        passes = int(lead_ms / max(1, pass_ms)) + 1
        return min(MAX_LEAD_PASSES, max(MIN_LEAD_PASSES, passes))


async def ask_all(
    ranks: Iterable[int],
    ask: Callable[[int], Awaitable[_Answer | None]],
) -> dict[int, _Answer]:
    """Return what each rank answers, asking all at the same time."""
    answers: dict[int, _Answer] = {}

    async def ask_one(rank: int) -> None:
        answer = await ask(rank)
        if answer is not None:
            answers[rank] = answer

    async with trio.open_nursery() as nursery:
        for rank in ranks:
            nursery.start_soon(ask_one, rank)
    return answers


def _has_moved_on(report: RankReport | None, target: Target) -> bool:
    """Tell whether a rank can no longer take a change's version.

    Another leader has given it a higher one since.
    """
    if report is None or report.epoch != target.epoch or report.armed:
        return False
    return max(report.version, report.prepared) > target.version


def _accepting(confirmed: Mapping[int, bool]) -> set[int]:
    return {rank for rank, accepted in confirmed.items() if accepted}
