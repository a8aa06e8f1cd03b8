"""Stand in for a group of ranks that run engine steps in lock-step.

Run as ``python -m standins.group HOST:PORT [HOST:PORT …]``, one address a
rank. ``GET /control/steps`` returns for each rank the expert map versions that
it used, each with its first step; ``GET /control/holds`` the total time for
which steps were held. ``--no-fencing`` ignores fencing numbers.
"""

from __future__ import annotations

import argparse
import itertools
import math
import random
from dataclasses import dataclass, field
from functools import partial

import msgspec
import trio

from amaranthrail.adapters.httpserver import HttpRequest, ResponseWriter

from .serving import read_json, run_until_signalled, send_json, serve_address

_CONFLICT = 409
_NOT_FOUND = 404
_POLL_INTERVAL_S = 0.001
_DRIFT_PERIOD_STEPS = 4000


class MapOrder(msgspec.Struct):
    """Decode an order to a rank.

    ``fence`` is its fencing number, ``ranks`` the rank of each expert in map
    ``version``, which is used from engine step ``from_step``.
    """

    fence: int
    version: int
    from_step: int = 0
    ranks: tuple[int, ...] = ()


@dataclass
class RankEngine:
    """Hold one rank's state: its current, its armed map and its faults.

    ``joining`` is set from a restart until a step runs on a confirmed map;
    ``used_versions`` has the first step of each map version in use.
    """

    number: int
    ranks: tuple[int, ...]
    fencing: bool
    speed: float = 1
    version: int = 0
    highest_fence: int = 0
    joining: bool = False
    stalled: bool = False
    armed: MapOrder | None = None
    confirmed: bool = False
    used_versions: list[tuple[int, int]] = field(default_factory=list)

    def is_holding(self, step: int) -> bool:
        """Tell whether the rank makes the group wait before a step."""
        if self.stalled:
            return True
        if self.armed is None or step < self.armed.from_step:
            return self.joining
        return not self.confirmed

    def start_step(self, step: int) -> None:
        """Start a step; switch to the armed map if the step has reached it."""
        if self.armed is not None and step >= self.armed.from_step:
            self.version = self.armed.version
            self.ranks = self.armed.ranks
            self.joining = False
            self._disarm()
        if not self.used_versions or self.used_versions[-1][1] != self.version:
            self.used_versions.append((step, self.version))

    def apply_order(self, name: str, order: MapOrder, step: int) -> bool:
        """Apply an order received at a step; return whether it was accepted."""
        if self.fencing and order.fence < self.highest_fence:
            return False
        self.highest_fence = max(self.highest_fence, order.fence)
        if name == 'arm':
            return self._arm(order, step)
        if self.armed is None or self.armed.version != order.version:
            # A repeated order: its map is in use or cancelled already.
            return name == 'cancel' or self.version == order.version
        if name == 'release':
            self.confirmed = True
            return True
        if self.confirmed:
            return False
        self._disarm()
        return True

    def restart(self) -> None:
        """Lose all state, as a restarted engine does, and wait for a map."""
        self.version = 0
        self.highest_fence = 0
        self.joining = True
        self._disarm()

    def _arm(self, order: MapOrder, step: int) -> bool:
        is_late = step >= order.from_step and not self.joining
        if is_late or self.armed is not None:
            return False
        self.armed = order
        self.confirmed = False
        return True

    def _disarm(self) -> None:
        self.armed = None
        self.confirmed = False


class Group:
    """Run the ranks' engine steps in lock-step."""

    def __init__(self, size: int, experts: int, *, fencing: bool) -> None:
        """Distribute ``experts`` experts round-robin over ``size`` ranks."""
        start = tuple(expert % size for expert in range(experts))
        self._ranks = [
            RankEngine(number, start, fencing) for number in range(size)
        ]
        self._step = 0
        self._held_s = 0.0
        self._step_ms = 2.0

    async def step_forever(self) -> None:
        """Run engine steps; hold each until every rank is ready."""
        for step in itertools.count():
            self._step = step
            waiting_since = trio.current_time()
            await self._wait_ready(step)
            self._held_s += trio.current_time() - waiting_since
            for rank in self._ranks:
                rank.start_step(step)
            await trio.sleep(self._step_duration_ms() / 1000)

    async def handle(
        self,
        number: int,
        request: HttpRequest,
        reply: ResponseWriter,
    ) -> None:
        """Serve a request to the rank of a number."""
        rank = self._ranks[number]
        if request.path == '/group':
            await send_json(reply, self._rank_state(rank))
        elif request.path.startswith('/group/'):
            name = request.path.rpartition('/')[2]
            order = msgspec.json.decode(request.body, type=MapOrder)
            accepted = rank.apply_order(name, order, self._step)
            await send_json(reply, {}, 200 if accepted else _CONFLICT)
        else:
            await self._handle_control(rank, request, reply)

    def expert_load_ms(self, expert: int) -> float:
        """Return an expert's load in ms; popularity drifts with the steps."""
        offset = random.Random(expert).random()
        phase = 2 * math.pi * (offset - self._step / _DRIFT_PERIOD_STEPS)
        return self._step_ms * (1.1 + math.cos(phase)) ** 3 / 16

    async def _wait_ready(self, step: int) -> None:
        """Poll, because a rank's state changes in many places."""
        while True:
            if not any(rank.is_holding(step) for rank in self._ranks):
                return
            await trio.sleep(_POLL_INTERVAL_S)

    def _step_duration_ms(self) -> float:
        return max(self._rank_duration_ms(rank) for rank in self._ranks)

    def _rank_duration_ms(self, rank: RankEngine) -> float:
        loads_ms = [
            self.expert_load_ms(expert)
            for expert, assigned_rank in enumerate(rank.ranks)
            if assigned_rank == rank.number
        ]
        return sum(loads_ms) / rank.speed

    def _rank_state(self, rank: RankEngine) -> dict[str, object]:
        armed = rank.armed
        return {
            'step': self._step,
            'version': rank.version,
            'ranks': rank.ranks,
            'armed': 0 if armed is None else armed.version,
            'armed_ranks': () if armed is None else armed.ranks,
            'confirmed': rank.confirmed,
            'joining': rank.joining,
            'loads': [
                self.expert_load_ms(expert)
                if assigned_rank == rank.number
                else 0.0
                for expert, assigned_rank in enumerate(rank.ranks)
            ],
            'speed': rank.speed,
        }

    async def _handle_control(
        self,
        rank: RankEngine,
        request: HttpRequest,
        reply: ResponseWriter,
    ) -> None:
        match request.path:
            case '/control/steps':
                used = [member.used_versions for member in self._ranks]
                await send_json(reply, {'step': self._step, 'used': used})
            case '/control/holds':
                held = {'held_ms': self._held_s * 1000}
                await send_json(reply, held)
            case '/control/faults':
                faults = read_json(request)
                rank.stalled = bool(faults.get('stall', rank.stalled))
                rank.speed = float(str(faults.get('speed', rank.speed)))
                if faults.get('restart'):
                    rank.restart()
                await send_json(reply, {'done': True})
            case _:
                await send_json(reply, {}, _NOT_FOUND)


async def run_group(
    addresses: list[str],
    experts: int,
    *,
    fencing: bool,
) -> None:
    """Serve every rank until SIGTERM or SIGINT."""
    group = Group(len(addresses), experts, fencing=fencing)
    servers = [
        partial(serve_address, address, partial(group.handle, number))
        for number, address in enumerate(addresses)
    ]
    await run_until_signalled(group.step_forever, *servers)


def main() -> None:
    """Serve until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('addresses', nargs='+')
    parser.add_argument('--experts', type=int, default=64)
    parser.add_argument('--no-fencing', action='store_true')
    arguments = parser.parse_args()
    trio.run(
        partial(
            run_group,
            arguments.addresses,
            arguments.experts,
            fencing=not arguments.no_fencing,
        ),
    )


if __name__ == '__main__':
    main()
