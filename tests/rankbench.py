"""Run a group's ranks and coordinators in memory, with faults by a seed."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import hypothesis
import trio
from trio._core import _run as trio_run

from amaranthrail.clock import Clock
from amaranthrail.orders import AnyOrder, AnyReply, Confirm
from amaranthrail.policy.experts import ExpertMap
from amaranthrail.ports import EngineState
from amaranthrail.runtime import new_incarnation
from amaranthrail.sidecar.coordinator import (
    ChangeResult,
    Coordinator,
    Quorum,
)
from amaranthrail.sidecar.rank import QUIET_MS, Rank
from standins.group import MapOrder, RankEngine

RANKS = 4
EXPERTS = 8
STEP_S = 0.01
RUN_S = 20.0
#: An order to an engine takes effect at most this late; see rank.QUIET_MS.
MAX_EFFECT_S = 1.0
_LATE_S = 8.0
#: From which step on a rank used which version.
Used = list[tuple[int, int]]


@dataclass
class Trouble:
    """Hold how often each thing goes wrong, as a share."""

    lost: float = 0
    reply_lost: float = 0
    repeated_late: float = 0
    effect_late: float = 0
    release_late: float = 0
    sidecar_restart: float = 0
    engine_restart: float = 0
    coordinator_dies: float = 0


@dataclass
class World:
    """Own the ranks, and let a seed decide what goes wrong."""

    seed: int
    trouble: Trouble
    fencing: bool = True
    step: int = 0
    held: int = 0
    results: list[ChangeResult] = field(default_factory=list)
    happened: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        start = tuple(expert % RANKS for expert in range(EXPERTS))
        self.engines = [
            RankEngine(number, start, self.fencing) for number in range(RANKS)
        ]
        self.ranks = [self.make_rank(number) for number in range(RANKS)]

    def make_rank(
        self,
        number: int,
        engine: MemoryEngine | None = None,
    ) -> Rank:
        clock = Clock(trio.current_time, trio.current_time)
        port = engine or MemoryEngine(self, self.engines[number])
        return Rank(number, new_incarnation(), port, MemoryWeights(), clock)

    def goes_wrong(self, kind: str) -> bool:
        if self.random.random() >= getattr(self.trouble, kind):
            return False
        self.happened[kind] = self.happened.get(kind, 0) + 1
        return True

    async def step_forever(self) -> None:
        while True:
            ready = not any(one.is_holding(self.step) for one in self.engines)
            if ready:
                for engine in self.engines:
                    engine.start_step(self.step)
                self.step += 1
            self.held += not ready
            await trio.sleep(STEP_S)

    async def disturb(self) -> None:
        while True:
            await trio.sleep(0.5)
            number = self.random.randrange(RANKS)
            if self.goes_wrong('sidecar_restart'):
                self.ranks[number] = self.make_rank(number)
            if self.goes_wrong('engine_restart'):
                self.engines[number].restart()

    async def coordinate(self, number: int, nursery: trio.Nursery) -> None:
        """Lead as rank ``number``, dying and starting again now and then."""
        while True:
            with trio.CancelScope() as life:
                nursery.start_soon(self._die, life)
                await self._lead(number, nursery)
            await trio.sleep(self.random.uniform(0, 3))

    async def _die(self, life: trio.CancelScope) -> None:
        while not life.cancel_called:
            await trio.sleep(self.random.uniform(0.01, 2))
            if self.goes_wrong('coordinator_dies'):
                life.cancel()

    async def _lead(self, number: int, nursery: trio.Nursery) -> None:
        async def send(rank: int, order: AnyOrder) -> AnyReply | None:
            return await self.send(nursery, rank, order)

        coordinator = Coordinator(number, RANKS, send)
        while True:
            await trio.sleep(self.random.uniform(0.05, 0.5))
            gathered = await coordinator.gather()
            if isinstance(gathered, ChangeResult):
                self.results.append(gathered)
                continue
            ranks = tuple(self.random.randrange(RANKS) for _ in range(EXPERTS))
            old = ExpertMap(gathered.ranks)
            result = await coordinator.change(gathered, ExpertMap(ranks), old)
            self.results.append(result)

    async def send(
        self,
        nursery: trio.Nursery,
        rank: int,
        order: AnyOrder,
    ) -> AnyReply | None:
        await trio.sleep(self.random.uniform(0, 0.01))
        if self.goes_wrong('repeated_late'):
            nursery.start_soon(self._deliver_late, rank, order)
        if self.goes_wrong('lost'):
            await trio.sleep(1)
            return None
        reply: AnyReply | None = None
        with trio.move_on_after(1.5):
            reply = await self.ranks[rank].take(order)
        return None if self.goes_wrong('reply_lost') else reply

    async def _deliver_late(self, rank: int, order: AnyOrder) -> None:
        await trio.sleep(self.random.uniform(0, _LATE_S))
        await self.ranks[rank].take(order)

    def mixed_steps(self) -> list[int]:
        """Return the steps at which ranks used different maps."""
        return mixed_steps([one.used_versions for one in self.engines])


def mixed_steps(used: list[Used]) -> list[int]:
    """Return the steps with two maps, from since when each rank used which."""
    changes = sorted({step for one in used for step, _ in one})
    return [
        step
        for step in changes
        if len({_version_at(one, step) for one in used}) > 1
    ]


def _version_at(used: Used, step: int) -> int:
    return next(version for since, version in reversed(used) if since <= step)


class MemoryEngine:
    """Implement RankEnginePort over a stand-in's rank in memory."""

    def __init__(self, world: World, engine: RankEngine) -> None:
        self._world = world
        self._engine = engine

    async def state(self) -> EngineState | None:
        await trio.lowlevel.checkpoint()
        engine = self._engine
        armed = engine.armed
        return EngineState(
            self._world.step,
            engine.version,
            engine.ranks,
            0 if armed is None else armed.version,
            () if armed is None else armed.ranks,
            engine.confirmed,
            engine.joining,
        )

    async def arm(
        self,
        fence: int,
        version: int,
        from_step: int,
        ranks: tuple[int, ...],
    ) -> bool:
        return await self._order(
            'arm', MapOrder(fence, version, from_step, ranks)
        )

    async def release(self, fence: int, version: int) -> bool:
        return await self._order('release', MapOrder(fence, version))

    async def cancel(self, fence: int, version: int) -> bool:
        return await self._order('cancel', MapOrder(fence, version))

    async def _order(self, name: str, order: MapOrder) -> bool:
        await trio.lowlevel.checkpoint()
        is_late = self._world.goes_wrong('effect_late')
        if name == 'release' and self._world.goes_wrong('release_late'):
            is_late = True
        if is_late:
            # The answer is lost, and the effect comes later, or never.
            trio.lowlevel.spawn_system_task(self._apply_late, name, order)
            return False
        return self._engine.apply_order(name, order, self._world.step)

    async def _apply_late(self, name: str, order: MapOrder) -> None:
        await trio.sleep(self._world.random.uniform(0, MAX_EFFECT_S))
        self._engine.apply_order(name, order, self._world.step)


class LateReleaseEngine(MemoryEngine):
    """Have releases take effect as late as they may, just before a cancel."""

    def __init__(self, world: World, engine: RankEngine) -> None:
        super().__init__(world, engine)
        self._on_its_way: list[tuple[float, MapOrder]] = []

    @property
    def on_its_way(self) -> int:
        return len(self._on_its_way)

    async def state(self) -> EngineState | None:
        latest = trio.current_time() - MAX_EFFECT_S
        self._apply([one for one in self._on_its_way if one[0] < latest])
        return await super().state()

    async def release(self, fence: int, version: int) -> bool:
        await trio.lowlevel.checkpoint()
        order = MapOrder(fence, version)
        self._on_its_way.append((trio.current_time(), order))
        return False

    async def cancel(self, fence: int, version: int) -> bool:
        self._apply(list(self._on_its_way))
        return await super().cancel(fence, version)

    def _apply(self, due: list[tuple[float, MapOrder]]) -> None:
        for sent in due:
            self._on_its_way.remove(sent)
            self._engine.apply_order('release', sent[1], self._world.step)


class MemoryWeights:
    """Implement WeightStorePort with weights that are always there."""

    async def fetch(self, expert: int) -> bool:
        await trio.sleep(0.02 * (expert % 3))
        return True


def schedule_by(seed: int) -> None:
    """Have trio choose among the tasks that may run by this seed.

    Trio shuffles them, from a sorted start where hypothesis is loaded.
    """
    assert hypothesis.__version__
    assert trio_run._ALLOW_DETERMINISTIC_SCHEDULING
    trio_run._r.seed(seed)


async def run_world(world_of: tuple[int, Trouble, bool]) -> World:
    """Run two coordinators over a disturbed group; return what happened."""
    seed, trouble, fencing = world_of
    schedule_by(seed)
    world = World(seed, trouble, fencing)
    with trio.move_on_after(RUN_S):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(world.step_forever)
            nursery.start_soon(world.disturb)
            nursery.start_soon(world.coordinate, 0, nursery)
            nursery.start_soon(world.coordinate, 1, nursery)
    return world


async def run_restart_before_effect(fencing: bool) -> World:
    """Restart a sidecar while its release is still on its way.

    The last rank alone is told to confirm, and the next coordinator finds
    it armed and not confirmed.
    """
    schedule_by(0)
    world = World(0, Trouble(), fencing)
    last = RANKS - 1
    engine = LateReleaseEngine(world, world.engines[last])
    world.ranks[last] = world.make_rank(last, engine)

    async def send(rank: int, order: AnyOrder) -> AnyReply | None:
        if isinstance(order, Confirm) and rank != last:
            return None
        return await world.ranks[rank].take(order)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(world.step_forever)
        await trio.sleep(QUIET_MS / 1000)
        await _change_once(world, Coordinator(0, RANKS, send))
        assert engine.on_its_way == 1
        world.ranks[last] = world.make_rank(last, engine)
        await _settle_for(5.0, world, nursery)
        nursery.cancel_scope.cancel()
    return world


async def _change_once(world: World, coordinator: Coordinator) -> None:
    gathered = await coordinator.gather()
    assert isinstance(gathered, Quorum)
    old = ExpertMap(gathered.ranks)
    new = ExpertMap(tuple(reversed(gathered.ranks)))
    world.results.append(await coordinator.change(gathered, new, old))


async def _settle_for(
    seconds: float,
    world: World,
    nursery: trio.Nursery,
) -> None:
    async def send(rank: int, order: AnyOrder) -> AnyReply | None:
        return await world.send(nursery, rank, order)

    coordinator = Coordinator(1, RANKS, send)
    with trio.move_on_after(seconds):
        while True:
            gathered = await coordinator.gather()
            if isinstance(gathered, ChangeResult):
                world.results.append(gathered)
            await trio.sleep(0.1)
