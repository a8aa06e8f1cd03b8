"""Lead a group in memory: plan, change, survive lost ranks and leaders."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable

import trio
from trio.testing import MockClock

from amaranthrail.clock import Clock
from amaranthrail.direct.deployment import ExpertLayout
from amaranthrail.ranks.leader import YIELD_MS, Leader
from amaranthrail.ranks.ports import (
    MapOrder,
    OrderResult,
    RankCounts,
    RankLists,
    RankReport,
    Verb,
)

from .lockstep import PASS_S, FakeGroup
from .rankbench import schedule_by

RANKS = 4
EXPERTS = 8
LAYOUT = ExpertLayout(1, EXPERTS, placements=3, spare=2, copy_ms=10)
#: A pause of which a pass of the group takes five sixths.
GAP_MS = 1.2 * PASS_S * 1000


class FakePort:
    """Reach one rank of the group; its calls like the first two experts."""

    def __init__(self, group: FakeGroup, rank: int) -> None:
        self._group = group
        self._rank = rank

    async def report(self) -> RankReport | None:
        return await self._group.ask(self._rank)

    async def order(self, order: MapOrder) -> OrderResult:
        return await self._group.order(self._rank, order)

    async def counts(self) -> RankCounts | None:
        liked = [1000 if expert in {0, 4} else 50 for expert in range(EXPERTS)]
        passes = self._group.step
        chosen = tuple(passes * one for one in liked)
        return RankCounts(self._group.epoch, passes, chosen)

    async def lists(self) -> RankLists | None:
        rank = self._group.ranks[self._rank]
        held = tuple(range(self._rank, EXPERTS, RANKS))
        if rank.content:
            held = rank.content[0][self._rank]
        return RankLists(self._group.epoch, rank.version, (held,))


def lead(
    scenario: Callable[[FakeGroup, Leader], Awaitable[None]],
) -> FakeGroup:
    group = FakeGroup(RANKS, random.Random(1))

    async def main() -> None:
        schedule_by(1)
        leader = new_leader(group)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(group.run, nursery)
            await scenario(group, leader)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))
    assert not group.split
    return group


def new_leader(group: FakeGroup, ranks: int = RANKS) -> Leader:
    leader = Leader(LAYOUT, GAP_MS, Clock(trio.current_time))
    leader.meet({rank: FakePort(group, rank) for rank in range(ranks)})
    return leader


async def look(leader: Leader, times: int) -> None:
    for _ in range(times):
        await leader.run_once()
        await trio.sleep(0.25)


def test_a_hot_pair_of_experts_is_spread() -> None:
    async def scenario(_group: FakeGroup, leader: Leader) -> None:
        await look(leader, 20)

    group = lead(scenario)
    assert group.versions != {0}
    holders = [0 in held for held in group.ranks[0].content[0]]
    assert sum(holders) > 1


def test_a_new_leader_learns_the_map_in_use() -> None:
    async def scenario(group: FakeGroup, leader: Leader) -> None:
        await look(leader, 20)
        versions = group.versions
        await look(new_leader(group), 20)
        # The map fits the demand, so it stays.
        assert group.versions == versions

    lead(scenario)


def test_a_rank_that_is_met_no_more_is_not_counted() -> None:
    async def scenario(group: FakeGroup, leader: Leader) -> None:
        await look(leader, 8)
        leader.meet({0: FakePort(group, 0)})
        await look(leader, 12)

    lead(scenario)


def test_of_two_leaders_that_cannot_meet_one_changes_maps() -> None:
    """Replays two entries that are cut off from each other and both lead."""

    async def scenario(group: FakeGroup, leader: Leader) -> None:
        other = new_leader(group)
        await look(leader, 1)
        await look(other, 1)
        await look(leader, 8)
        changed = max(group.versions)
        assert changed
        await look(other, 8)
        assert max(group.versions) == changed
        # The other one's map would fit as well, and it goes on later.
        assert other.yields
        await trio.sleep(YIELD_MS / 1000)
        assert not other.yields

    lead(scenario)


def test_a_pass_held_by_a_lost_leader_is_let_go() -> None:
    async def scenario(group: FakeGroup, leader: Leader) -> None:
        await look(leader, 2)
        hold = MapOrder(Verb.HOLD, group.epoch, step=group.step + 5)
        await group.order(2, hold)
        await trio.sleep(2)
        stalled_at = group.step
        await new_leader(group).release_held()
        await trio.sleep(1)
        assert group.step > stalled_at + 5
        assert not any(rank.held for rank in group.ranks)

    lead(scenario)


def test_a_pass_held_at_every_rank_is_left_alone() -> None:
    async def scenario(group: FakeGroup, leader: Leader) -> None:
        step = group.step + 5
        for rank in range(RANKS):
            await group.order(rank, MapOrder(Verb.HOLD, group.epoch, step=step))
        await trio.sleep(2)
        await leader.release_held()
        assert any(rank.held for rank in group.ranks)

    lead(scenario)


def test_half_armed_ranks_of_a_lost_leader_are_disarmed() -> None:
    async def scenario(group: FakeGroup, leader: Leader) -> None:
        await look(leader, 1)
        planned = (((0, 4, 1), (1, 5), (2, 6), (3, 7)),)
        for rank in range(RANKS):
            prepare = MapOrder(Verb.PREPARE, 1, 2000, placement=planned)
            await group.order(rank, prepare)
        await trio.sleep(0.5)
        step = group.step + 10
        await group.order(1, MapOrder(Verb.HOLD, 1, step=step))
        for rank in (0, 1):
            await group.order(rank, MapOrder(Verb.ARM, 1, 2000, step))
        await trio.sleep(2)
        await new_leader(group).release_held()
        await trio.sleep(1)
        assert group.step > step
        assert group.versions == {0}

    lead(scenario)
