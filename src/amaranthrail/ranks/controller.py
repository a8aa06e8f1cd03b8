"""Control the expert maps of every service whose engines have them."""

from __future__ import annotations

from collections.abc import Callable

import trio

from ..adapters.httpclient import Address
from ..clock import Clock, sleep
from ..direct.clusterstate import ClusterState
from ..direct.deployment import Deployment, ExpertLayout, Service
from ..direct.upstreams import Upstream
from ..logs import part_logger
from ..policy.rebalancing import can_rebalance
from ..types import ServiceName
from .leader import Leader
from .ports import RankPort

#: Time between two updates of all groups, in ms.
CYCLE_MS = 250.0
#: Time without an event on any stream of a service after which an entry that
#: is not the leader looks for a held step, in ms; a step takes 30 to 120.
STREAM_STALL_MS = 450.0
#: Time between two such searches, in ms.
STALL_INTERVAL_MS = 500.0
#: Target gap between events where no route states one, in ms.
DEFAULT_GAP_MS = 120.0
_log = part_logger('keeper')

MakeRank = Callable[[Address], RankPort]


class MapController:
    """Manage the group of each service that has expert maps.

    Only the entry that is leader changes maps; the others release steps that
    a lost leader has left held.
    """

    def __init__(
        self,
        cluster: ClusterState,
        is_leader: Callable[[], bool],
        make_rank: MakeRank,
        clock: Clock,
    ) -> None:
        """Set the cluster state, the leadership test and the rank factory."""
        self._cluster = cluster
        self._is_leader = is_leader
        self._make_rank = make_rank
        self._clock = clock
        self._leaders: dict[ServiceName, Leader] = {}
        # Names of the upstreams whose ranks the leaders have been given.
        self._queried: dict[ServiceName, frozenset[str]] = {}
        self._stall_found_at = clock.now()
        self._cycle_lock = trio.Lock()

    async def run(self) -> None:
        """Update all groups every CYCLE_MS until cancelled."""
        while True:
            await sleep(CYCLE_MS)
            deployment = self._cluster.deployment
            if deployment is not None:
                async with self._cycle_lock:
                    await self._update_groups(deployment)

    async def wait_until_idle(self) -> None:
        """Return once no change of a map is in progress here."""
        async with self._cycle_lock:
            _log.info('expert map changes finished')

    async def _update_groups(self, deployment: Deployment) -> None:
        for service in deployment.services.values():
            layout = service.layout
            # Reports are billed, and of no use where maps cannot be changed.
            if layout is None or not can_rebalance(layout.sets, layout.experts):
                continue
            leader = self._get_leader(deployment, service, layout)
            await self._update_group(service.name, leader)

    def _get_leader(
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

    async def _update_group(
        self,
        service: ServiceName,
        leader: Leader,
    ) -> None:
        upstreams = self._cluster.directory.ready_upstreams(
            service, frozenset()
        )
        if not self._is_leader():
            if self._is_stalled(upstreams):
                await self._discover_ranks(service, leader, upstreams)
                await leader.recover_held_step()
            return
        await self._discover_ranks(service, leader, upstreams)
        epoch = leader.epoch
        reached = await leader.run_cycle()
        if not reached or leader.epoch != epoch:
            # Rank numbers may have been assigned anew: query all upstreams.
            self._queried.pop(service, None)

    def _is_stalled(self, upstreams: list[Upstream]) -> bool:
        """Tell whether all streams of a service have stopped."""
        now = self._clock.now()
        if now - self._stall_found_at < STALL_INTERVAL_MS:
            return False
        silent_ms = [
            upstream.silent_ms for upstream in upstreams if upstream.in_flight
        ]
        if not silent_ms or min(silent_ms) < STREAM_STALL_MS:
            return False
        self._stall_found_at = now
        return True

    async def _discover_ranks(
        self,
        service: ServiceName,
        leader: Leader,
        upstreams: list[Upstream],
    ) -> None:
        """Find out the rank of each upstream if the upstreams have changed."""
        names = frozenset(upstream.record.name for upstream in upstreams)
        if names != self._queried.get(service):
            self._queried[service] = names
            leader.replace_ranks(await self._query_upstreams(upstreams))

    async def _query_upstreams(
        self,
        upstreams: list[Upstream],
    ) -> dict[int, RankPort]:
        ports: dict[int, RankPort] = {}

        async def query_upstream(upstream: Upstream) -> None:
            record = upstream.record
            port = self._make_rank(Address(record.host, record.port))
            report = await port.fetch_report()
            if report is not None:
                ports[report.rank] = port

        async with trio.open_nursery() as nursery:
            for upstream in upstreams:
                nursery.start_soon(query_upstream, upstream)
        return ports
