"""Simulate a group's ranks and coordinators in memory, with seeded faults."""

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
    GroupState,
)
from amaranthrail.sidecar.rank import STARTUP_QUIET_MS, RankAcceptor
from standins.group import MapOrder, RankEngine

RANKS = 4
EXPERTS = 8
STEP_S = 0.01
RUN_S = 20.0
#: Longest delay, in seconds, before an order takes effect at an engine; it is
#: less than rank.STARTUP_QUIET_MS.
MAX_EFFECT_S = 1.0
_MAX_DUPLICATE_DELAY_S = 8.0
#: The versions that a rank used, each with the first step that used it.
VersionHistory = list[tuple[int, int]]


@dataclass
class FaultRates:
    """Hold the probability of each kind of fault, 0 to 1."""

    order_lost: float = 0
    reply_lost: float = 0
    duplicate_late: float = 0
    effect_late: float = 0
    release_late: float = 0
    sidecar_restart: float = 0
    engine_restart: float = 0
    coordinator_crash: float = 0


@dataclass
class GroupSimulation:
    """Run ranks in memory; the seed decides which faults are injected."""

    seed: int
    rates: FaultRates
    fencing: bool = True
    step: int = 0
    held_polls: int = 0
    results: list[ChangeResult] = field(default_factory=list)
    injected: dict[str, int] = field(default_factory=dict)

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
    ) -> RankAcceptor:
        clock = Clock(trio.current_time, trio.current_time)
        port = engine or MemoryEngine(self, self.engines[number])
        return RankAcceptor(
            number, new_incarnation(), port, MemoryWeights(), clock
        )

    def should_inject(self, kind: str) -> bool:
        if self.random.random() >= getattr(self.rates, kind):
            return False
        self.injected[kind] = self.injected.get(kind, 0) + 1
        return True

    async def run_steps(self) -> None:
        while True:
            ready = not any(
                engine.is_holding(self.step) for engine in self.engines
            )
            if ready:
                for engine in self.engines:
                    engine.start_step(self.step)
                self.step += 1
            self.held_polls += not ready
            await trio.sleep(STEP_S)

    async def restart_processes(self) -> None:
        while True:
            await trio.sleep(0.5)
            number = self.random.randrange(RANKS)
            if self.should_inject('sidecar_restart'):
                self.ranks[number] = self.make_rank(number)
            if self.should_inject('engine_restart'):
                self.engines[number].restart()

    async def coordinate(self, number: int, nursery: trio.Nursery) -> None:
        """Run coordinators of one rank, each until an injected crash."""
        while True:
            with trio.CancelScope() as lifetime:
                nursery.start_soon(self._crash, lifetime)
                await self._change_maps(number, nursery)
            await trio.sleep(self.random.uniform(0, 3))

    async def _crash(self, lifetime: trio.CancelScope) -> None:
        while not lifetime.cancel_called:
            await trio.sleep(self.random.uniform(0.01, 2))
            if self.should_inject('coordinator_crash'):
                lifetime.cancel()

    async def _change_maps(self, number: int, nursery: trio.Nursery) -> None:
        async def send(rank: int, order: AnyOrder) -> AnyReply | None:
            return await self.send(nursery, rank, order)

        coordinator = Coordinator(number, RANKS, send)
        while True:
            await trio.sleep(self.random.uniform(0.05, 0.5))
            group = await coordinator.collect_promises()
            if isinstance(group, ChangeResult):
                self.results.append(group)
                continue
            ranks = tuple(self.random.randrange(RANKS) for _ in range(EXPERTS))
            old = ExpertMap(group.ranks)
            result = await coordinator.change_map(group, ExpertMap(ranks), old)
            self.results.append(result)

    async def send(
        self,
        nursery: trio.Nursery,
        rank: int,
        order: AnyOrder,
    ) -> AnyReply | None:
        await trio.sleep(self.random.uniform(0, 0.01))
        if self.should_inject('duplicate_late'):
            nursery.start_soon(self._deliver_duplicate, rank, order)
        if self.should_inject('order_lost'):
            await trio.sleep(1)
            return None
        reply: AnyReply | None = None
        with trio.move_on_after(1.5):
            reply = await self.ranks[rank].handle_order(order)
        return None if self.should_inject('reply_lost') else reply

    async def _deliver_duplicate(self, rank: int, order: AnyOrder) -> None:
        await trio.sleep(self.random.uniform(0, _MAX_DUPLICATE_DELAY_S))
        await self.ranks[rank].handle_order(order)

    def mixed_steps(self) -> list[int]:
        """Return the steps at which ranks used different versions."""
        return mixed_steps([engine.used_versions for engine in self.engines])


def mixed_steps(histories: list[VersionHistory]) -> list[int]:
    """Return the steps at which the ranks' histories have several versions."""
    changes = sorted({step for history in histories for step, _ in history})
    return [
        step
        for step in changes
        if len({_version_at(history, step) for history in histories}) > 1
    ]


def _version_at(history: VersionHistory, step: int) -> int:
    return next(
        version for since, version in reversed(history) if since <= step
    )


class MemoryEngine:
    """Implement RankEnginePort with an in-memory rank of the stand-in."""

    def __init__(self, simulation: GroupSimulation, engine: RankEngine) -> None:
        self._simulation = simulation
        self._engine = engine

    async def state(self) -> EngineState | None:
        await trio.lowlevel.checkpoint()
        engine = self._engine
        armed = engine.armed
        return EngineState(
            self._simulation.step,
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
        is_late = self._simulation.should_inject('effect_late')
        if name == 'release' and self._simulation.should_inject('release_late'):
            is_late = True
        if is_late:
            # The response is lost, and the order takes effect late or never.
            trio.lowlevel.spawn_system_task(self._apply_late, name, order)
            return False
        return self._engine.apply_order(name, order, self._simulation.step)

    async def _apply_late(self, name: str, order: MapOrder) -> None:
        await trio.sleep(self._simulation.random.uniform(0, MAX_EFFECT_S))
        self._engine.apply_order(name, order, self._simulation.step)


class LateReleaseEngine(MemoryEngine):
    """Delay each release by MAX_EFFECT_S, or until just before a cancel."""

    def __init__(self, simulation: GroupSimulation, engine: RankEngine) -> None:
        super().__init__(simulation, engine)
        self._delayed_releases: list[tuple[float, MapOrder]] = []

    @property
    def delayed_count(self) -> int:
        return len(self._delayed_releases)

    async def state(self) -> EngineState | None:
        latest = trio.current_time() - MAX_EFFECT_S
        self._apply(
            [sent for sent in self._delayed_releases if sent[0] < latest]
        )
        return await super().state()

    async def release(self, fence: int, version: int) -> bool:
        await trio.lowlevel.checkpoint()
        order = MapOrder(fence, version)
        self._delayed_releases.append((trio.current_time(), order))
        return False

    async def cancel(self, fence: int, version: int) -> bool:
        self._apply(list(self._delayed_releases))
        return await super().cancel(fence, version)

    def _apply(self, due: list[tuple[float, MapOrder]]) -> None:
        for sent in due:
            self._delayed_releases.remove(sent)
            self._engine.apply_order('release', sent[1], self._simulation.step)


class MemoryWeights:
    """Implement WeightStorePort with weights that are always available."""

    async def fetch(self, expert: int) -> bool:
        await trio.sleep(0.02 * (expert % 3))
        return True


def seed_scheduler(seed: int) -> None:
    """Make the order in which trio runs tasks depend on the seed alone.

    Trio shuffles the runnable tasks. With hypothesis loaded it sorts them
    first, so that the seed decides the order.
    """
    assert hypothesis.__version__
    assert trio_run._ALLOW_DETERMINISTIC_SCHEDULING
    trio_run._r.seed(seed)


async def run_simulation(
    parameters: tuple[int, FaultRates, bool],
) -> GroupSimulation:
    """Run two coordinators over a group with faults; return the simulation."""
    seed, rates, fencing = parameters
    seed_scheduler(seed)
    simulation = GroupSimulation(seed, rates, fencing)
    with trio.move_on_after(RUN_S):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(simulation.run_steps)
            nursery.start_soon(simulation.restart_processes)
            nursery.start_soon(simulation.coordinate, 0, nursery)
            nursery.start_soon(simulation.coordinate, 1, nursery)
    return simulation


async def run_restart_before_effect(fencing: bool) -> GroupSimulation:
    """Restart a sidecar while a release that it sent is still delayed.

    Only the last rank receives the confirm order, and the next coordinator
    finds that rank armed and not confirmed.
    """
    seed_scheduler(0)
    simulation = GroupSimulation(0, FaultRates(), fencing)
    last = RANKS - 1
    engine = LateReleaseEngine(simulation, simulation.engines[last])
    simulation.ranks[last] = simulation.make_rank(last, engine)

    async def send(rank: int, order: AnyOrder) -> AnyReply | None:
        if isinstance(order, Confirm) and rank != last:
            return None
        return await simulation.ranks[rank].handle_order(order)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(simulation.run_steps)
        await trio.sleep(STARTUP_QUIET_MS / 1000)
        await _change_once(simulation, Coordinator(0, RANKS, send))
        assert engine.delayed_count == 1
        simulation.ranks[last] = simulation.make_rank(last, engine)
        await _settle_for(5.0, simulation, nursery)
        nursery.cancel_scope.cancel()
    return simulation


async def _change_once(
    simulation: GroupSimulation, coordinator: Coordinator
) -> None:
    group = await coordinator.collect_promises()
    assert isinstance(group, GroupState)
    old = ExpertMap(group.ranks)
    new = ExpertMap(tuple(reversed(group.ranks)))
    simulation.results.append(await coordinator.change_map(group, new, old))


async def _settle_for(
    seconds: float,
    simulation: GroupSimulation,
    nursery: trio.Nursery,
) -> None:
    async def send(rank: int, order: AnyOrder) -> AnyReply | None:
        return await simulation.send(nursery, rank, order)

    coordinator = Coordinator(1, RANKS, send)
    with trio.move_on_after(seconds):
        while True:
            group = await coordinator.collect_promises()
            if isinstance(group, ChangeResult):
                simulation.results.append(group)
            await trio.sleep(0.1)
