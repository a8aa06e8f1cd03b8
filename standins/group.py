"""Stand in for a group of ranks that step in lock-step on an expert map.

Run as ``python -m standins.group HOST:PORT [HOST:PORT …]``, one address a
rank. ``GET /control/steps`` gives, a line a change, the step from which each
rank used which map version; ``GET /control/holds`` the time for which steps
were held. ``--no-fencing`` ignores fencing numbers.
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

from amaranthrail.adapters.httpserver import HttpRequest, Reply

from .serving import read_json, run_until_told, send_json, serve_address

_CONFLICT = 409
_NOT_FOUND = 404
_CHECK_S = 0.001
_DAY_STEPS = 4000


class MapOrder(msgspec.Struct):
    """Hold an order to a rank."""

    fence: int
    version: int
    from_step: int = 0
    ranks: tuple[int, ...] = ()


@dataclass
class RankEngine:
    """Hold one rank of the group."""

    number: int
    ranks: tuple[int, ...]
    fencing: bool
    speed: float = 1
    version: int = 0
    fence: int = 0
    joining: bool = False
    stalled: bool = False
    armed: MapOrder | None = None
    confirmed: bool = False
    used_versions: list[tuple[int, int]] = field(default_factory=list)

    def is_holding(self, step: int) -> bool:
        """Tell whether the rank cannot take part in a step yet."""
        if self.stalled:
            return True
        if self.armed is None or step < self.armed.from_step:
            return self.joining
        return not self.confirmed

    def start_step(self, step: int) -> None:
        """Take part in a step, on the new map if it is due."""
        if self.armed is not None and step >= self.armed.from_step:
            self.version = self.armed.version
            self.ranks = self.armed.ranks
            self.joining = False
            self._disarm()
        if not self.used_versions or self.used_versions[-1][1] != self.version:
            self.used_versions.append((step, self.version))

    def apply_order(self, name: str, order: MapOrder, step: int) -> bool:
        """Carry out an order; tell whether it was."""
        if self.fencing and order.fence < self.fence:
            return False
        self.fence = max(self.fence, order.fence)
        if name == 'arm':
            return self._arm(order, step)
        if self.armed is None or self.armed.version != order.version:
            # Coming to use or being dropped already is what was asked for.
            return name == 'cancel' or self.version == order.version
        if name == 'release':
            self.confirmed = True
            return True
        if self.confirmed:
            return False
        self._disarm()
        return True

    def restart(self) -> None:
        """Lose all, and wait for the group's map."""
        self.version = 0
        self.fence = 0
        self.joining = True
        self._disarm()

    def _arm(self, order: MapOrder, step: int) -> bool:
        late = step >= order.from_step and not self.joining
        if late or self.armed is not None:
            return False
        self.armed = order
        self.confirmed = False
        return True

    def _disarm(self) -> None:
        self.armed = None
        self.confirmed = False


class Group:
    """Step all ranks together."""

    def __init__(self, size: int, experts: int, *, fencing: bool) -> None:
        """Take the number of ranks and experts."""
        start = tuple(expert % size for expert in range(experts))
        self._ranks = [
            RankEngine(number, start, fencing) for number in range(size)
        ]
        self._step = 0
        self._held_s = 0.0
        self._step_ms = 2.0

    async def step_forever(self) -> None:
        """Step whenever no rank holds."""
        for step in itertools.count():
            self._step = step
            began = trio.current_time()
            await self._wait_ready(step)
            self._held_s += trio.current_time() - began
            for rank in self._ranks:
                rank.start_step(step)
            await trio.sleep(self._time_of_step() / 1000)

    async def handle(
        self,
        number: int,
        request: HttpRequest,
        reply: Reply,
    ) -> None:
        """Answer a request to one rank."""
        rank = self._ranks[number]
        if request.path == '/group':
            await send_json(reply, self._state(rank))
        elif request.path.startswith('/group/'):
            name = request.path.rpartition('/')[2]
            order = msgspec.json.decode(request.body, type=MapOrder)
            done = rank.apply_order(name, order, self._step)
            await send_json(reply, {}, 200 if done else _CONFLICT)
        else:
            await self._control(rank, request, reply)

    def load(self, expert: int) -> float:
        """Return an expert's load now; popularity drifts with the steps."""
        start = random.Random(expert).random()
        phase = 2 * math.pi * (start - self._step / _DAY_STEPS)
        return self._step_ms * (1.1 + math.cos(phase)) ** 3 / 16

    async def _wait_ready(self, step: int) -> None:
        """Poll, since a rank's state changes in many places."""
        while True:
            if not any(rank.is_holding(step) for rank in self._ranks):
                return
            await trio.sleep(_CHECK_S)

    def _time_of_step(self) -> float:
        return max(self._time_of(rank) for rank in self._ranks)

    def _time_of(self, rank: RankEngine) -> float:
        held = [
            self.load(expert)
            for expert, holder in enumerate(rank.ranks)
            if holder == rank.number
        ]
        return sum(held) / rank.speed

    def _state(self, rank: RankEngine) -> dict[str, object]:
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
                self.load(expert) if holder == rank.number else 0.0
                for expert, holder in enumerate(rank.ranks)
            ],
            'speed': rank.speed,
        }

    async def _control(
        self,
        rank: RankEngine,
        request: HttpRequest,
        reply: Reply,
    ) -> None:
        match request.path:
            case '/control/steps':
                used = [one.used_versions for one in self._ranks]
                await send_json(reply, {'step': self._step, 'used': used})
            case '/control/holds':
                held = {'held_ms': self._held_s * 1000}
                await send_json(reply, held)
            case '/control/faults':
                order = read_json(request)
                rank.stalled = bool(order.get('stall', rank.stalled))
                rank.speed = float(str(order.get('speed', rank.speed)))
                if order.get('restart'):
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
    """Serve every rank until told to end."""
    group = Group(len(addresses), experts, fencing=fencing)
    servers = [
        partial(serve_address, address, partial(group.handle, number))
        for number, address in enumerate(addresses)
    ]
    await run_until_told(group.step_forever, *servers)


def main() -> None:
    """Serve until told to end."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('addresses', nargs='+')
    parser.add_argument('--experts', type=int, default=64)
    parser.add_argument('--no-fencing', action='store_true')
    given = parser.parse_args()
    trio.run(
        partial(
            run_group,
            given.addresses,
            given.experts,
            fencing=not given.no_fencing,
        ),
    )


if __name__ == '__main__':
    main()
