"""Manage a group's expert map from its lowest live rank."""

from __future__ import annotations

import ssl

import trio

from ..adapters.httpclient import Address
from ..clock import sleep
from ..logs import part_logger
from ..orders import AnyOrder, AnyReply, Prepare
from ..policy.experts import ExpertMap, GroupLoad, MoveCost, plan_moves
from ..ports import HostListPort, HostRecord
from ..runtime import Runtime
from ..settings import SidecarSettings
from .coordinator import ChangeResult, Coordinator, GroupState
from .rank import RankAcceptor
from .rankconnection import ORDER_TIMEOUT_MS, PREPARE_TIMEOUT_MS, RankConnection

#: Pause between two cycles of the leader, each of which collects the promises
#: of all ranks and may change the map.
CYCLE_INTERVAL_MS = 500.0
_HOSTS_INTERVAL_MS = 2000.0
#: Step time of the group, in milliseconds, that is lost to the transfer of one
#: expert, and to one change of the map while a step is held.
_TRANSFER_COST_MS = 5.0
_CHANGE_COST_MS = 10.0
_log = part_logger('group')


class GroupMember:
    """Connect a rank to its group, and lead the group while it can.

    Orders from other leaders reach the rank through peer connections.
    """

    def __init__(
        self,
        rank: RankAcceptor,
        runtime: Runtime,
        settings: SidecarSettings,
        hosts: HostListPort,
        tls: ssl.SSLContext | None,
    ) -> None:
        """Set this rank and the host list that names the other ranks."""
        self._rank = rank
        self._runtime = runtime
        self._settings = settings
        self._hosts = hosts
        self._tls = tls
        self._connections: dict[int, RankConnection] = {}
        self._size = 0

    @property
    def rank(self) -> RankAcceptor:
        """Return the acceptor of this rank."""
        return self._rank

    async def run(self) -> None:
        """Connect to the other ranks and lead if possible, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_hosts, nursery)
            await self._run_leader()

    async def _poll_hosts(self, nursery: trio.Nursery) -> None:
        while True:
            hosts = await self._hosts.hosts()
            members = [
                host
                for host in hosts or ()
                if host.group == self._settings.group
            ]
            self._size = max(self._size, len(members))
            for member in members:
                self._connect(member, nursery)
            await sleep(_HOSTS_INTERVAL_MS)

    def _connect(self, member: HostRecord, nursery: trio.Nursery) -> None:
        if member.rank == self._rank.number:
            return
        address = Address(member.host, member.port)
        connection = self._connections.get(member.rank)
        if connection is None or connection.address != address:
            connection = RankConnection(
                address,
                self._runtime,
                self._settings,
                self._tls,
            )
            self._connections[member.rank] = connection
            nursery.start_soon(connection.run)

    async def _run_leader(self) -> None:
        coordinator: Coordinator | None = None
        while True:
            await sleep(CYCLE_INTERVAL_MS)
            if not self._size or not self._rank.can_lead():
                continue
            if coordinator is None:
                coordinator = Coordinator(
                    self._rank.number,
                    self._size,
                    self._send,
                )
            await self._run_cycle(coordinator)

    async def _run_cycle(self, coordinator: Coordinator) -> None:
        group_state = await coordinator.collect_promises()
        if isinstance(group_state, ChangeResult):
            self._record_result('group-settled', group_state)
            return
        current = ExpertMap(group_state.ranks)
        load = group_load(group_state)
        if load is None:
            return
        planned = plan_moves(
            current, load, MoveCost(_TRANSFER_COST_MS, _CHANGE_COST_MS)
        )
        if planned != current:
            change_result = await coordinator.change_map(
                group_state, planned, current
            )
            self._record_result('map-changed', change_result)

    def _record_result(self, event: str, change_result: ChangeResult) -> None:
        group = self._settings.group
        _log.info(event, group=group, how=change_result.value)
        self._runtime.timeline.add(event, group, change_result.value)
        self._runtime.metrics.count('group_changes', how=change_result.value)

    async def _send(self, rank: int, order: AnyOrder) -> AnyReply | None:
        if rank == self._rank.number:
            return await self._rank.handle_order(order)
        connection = self._connections.get(rank)
        if connection is None:
            return None
        is_prepare = isinstance(order, Prepare)
        timeout_ms = PREPARE_TIMEOUT_MS if is_prepare else ORDER_TIMEOUT_MS
        return await connection.send_order(order, timeout_ms)


def group_load(group: GroupState) -> GroupLoad | None:
    """Return the load by expert and the speed by rank, None without load."""
    experts = [0.0 for _ in group.ranks]
    for state in group.states:
        for expert, load in enumerate(state.engine.loads):
            experts[expert] += load
    if not any(experts):
        return None
    by_rank = sorted(group.states, key=lambda member: member.rank)
    speeds = tuple(member.engine.speed for member in by_rank)
    return GroupLoad(tuple(experts), speeds)
