"""Keep the maps of all groups that the configuration's services have."""

from __future__ import annotations

from collections.abc import Callable

import trio

from ..adapters.httpclient import Address
from ..clock import Clock, sleep
from ..direct.deployment import Deployment, ExpertLayout, Service
from ..direct.upstreams import Upstream
from ..direct.world import World
from ..logs import part_logger
from ..policy.rebalancing import can_rebalance
from ..types import ServiceName
from .leader import Leader
from .ports import RankPort

#: Time between two looks at the groups, in ms.
CYCLE_MS = 250.0
#: Time without an event on any stream of a service after which an entry that
#: does not lead looks for the cause, in ms; a pass takes 30 to 120.
STREAM_STALL_MS = 450.0
#: Time between two such looks, in ms.
STALL_INTERVAL_MS = 500.0
#: Pause between events where no route states one, in ms.
DEFAULT_GAP_MS = 120.0
_log = part_logger('keeper')

MakeRank = Callable[[Address], RankPort]


class MapKeeper:
    """Lead the group of each service that has expert maps."""

    def __init__(
        self,
        world: World,
        leads: Callable[[], bool],
        make_rank: MakeRank,
        clock: Clock,
    ) -> None:
        """Take what is known of upstreams, who leads, how a rank is reached."""
        self._world = world
        self._leads = leads
        self._make_rank = make_rank
        self._clock = clock
        self._leaders: dict[ServiceName, Leader] = {}
        self._met: dict[ServiceName, frozenset[str]] = {}
        self._stall_seen_at = clock.now()
        self._turn = trio.Lock()

    async def run(self) -> None:
        """Look at the groups again and again, for good."""
        while True:
            await sleep(CYCLE_MS)
            deployment = self._world.deployment
            if deployment is not None:
                async with self._turn:
                    await self._look_at_all(deployment)

    async def finish(self) -> None:
        """Return once no change of a map is in progress here."""
        async with self._turn:
            _log.info('maps left to others')

    async def _look_at_all(self, deployment: Deployment) -> None:
        for service in deployment.services.values():
            layout = service.layout
            # Reports are billed, and of no use where maps cannot be changed.
            if layout is None or not can_rebalance(layout.sets, layout.experts):
                continue
            leader = self._leader(deployment, service, layout)
            await self._look(service.name, leader)

    def _leader(
        self,
        deployment: Deployment,
        service: Service,
        layout: ExpertLayout,
    ) -> Leader:
        leader = self._leaders.get(service.name)
        if leader is None:
            gap_ms = deployment.target_gap_ms(service.name) or DEFAULT_GAP_MS
            leader = Leader(layout, gap_ms, self._clock)
            self._leaders[service.name] = leader
        return leader

    async def _look(self, service: ServiceName, leader: Leader) -> None:
        upstreams = self._world.directory.usable(service, frozenset())
        if not self._leads():
            if self._is_stalled(upstreams):
                await self._meet(service, leader, upstreams)
                await leader.release_held()
            return
        await self._meet(service, leader, upstreams)
        epoch = leader.epoch
        reached = await leader.run_once()
        if not reached or leader.epoch != epoch:
            # Ranks may have been dealt anew: ask all who they are.
            self._met.pop(service, None)

    def _is_stalled(self, upstreams: list[Upstream]) -> bool:
        """Tell whether all streams of a service have stopped."""
        now = self._clock.now()
        if now - self._stall_seen_at < STALL_INTERVAL_MS:
            return False
        busy = [one.silent_ms for one in upstreams if one.in_flight]
        if not busy or min(busy) < STREAM_STALL_MS:
            return False
        self._stall_seen_at = now
        return True

    async def _meet(
        self,
        service: ServiceName,
        leader: Leader,
        upstreams: list[Upstream],
    ) -> None:
        """Learn which upstream has which rank, where that may be new."""
        names = frozenset(one.record.name for one in upstreams)
        if names != self._met.get(service):
            self._met[service] = names
            leader.meet(await self._find_ranks(upstreams))

    async def _find_ranks(
        self,
        upstreams: list[Upstream],
    ) -> dict[int, RankPort]:
        ports: dict[int, RankPort] = {}

        async def meet(upstream: Upstream) -> None:
            record = upstream.record
            port = self._make_rank(Address(record.host, record.port))
            report = await port.report()
            if report is not None:
                ports[report.rank] = port

        async with trio.open_nursery() as nursery:
            for upstream in upstreams:
                nursery.start_soon(meet, upstream)
        return ports
