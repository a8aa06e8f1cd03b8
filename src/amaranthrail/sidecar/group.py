"""Lead a group's expert map from the lowest rank alive."""

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
from .coordinator import ChangeResult, Coordinator, Quorum
from .rank import Rank
from .ranklink import ORDER_TIMEOUT_MS, PREPARE_TIMEOUT_MS, RankLink

LEAD_INTERVAL_MS = 500.0
_HOSTS_INTERVAL_MS = 2000.0
#: Group time that the transfer of one expert takes from the ranks, and that
#: a change of map takes by holding a step.
_TRANSFER_MS = 5.0
_CHANGE_MS = 10.0
_log = part_logger('group')


class GroupMember:
    """Take part in one group: obey its leader, lead it when it is our turn."""

    def __init__(
        self,
        rank: Rank,
        runtime: Runtime,
        settings: SidecarSettings,
        hosts: HostListPort,
        tls: ssl.SSLContext | None,
    ) -> None:
        """Take this rank and where the others are listed."""
        self._rank = rank
        self._runtime = runtime
        self._settings = settings
        self._hosts = hosts
        self._tls = tls
        self._links: dict[int, RankLink] = {}
        self._size = 0

    @property
    def rank(self) -> Rank:
        """Return this rank."""
        return self._rank

    async def run(self) -> None:
        """Take part for good."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_hosts, nursery)
            await self._lead()

    async def _follow_hosts(self, nursery: trio.Nursery) -> None:
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
        known = self._links.get(member.rank)
        if known is None or known.address != address:
            link = RankLink(
                address,
                self._runtime,
                self._settings,
                self._tls,
            )
            self._links[member.rank] = link
            nursery.start_soon(link.run)

    async def _lead(self) -> None:
        coordinator: Coordinator | None = None
        while True:
            await sleep(LEAD_INTERVAL_MS)
            if not self._size or not self._rank.may_lead():
                continue
            if coordinator is None:
                coordinator = Coordinator(
                    self._rank.number,
                    self._size,
                    self._send,
                )
            await self._lead_once(coordinator)

    async def _lead_once(self, coordinator: Coordinator) -> None:
        gathered = await coordinator.gather()
        if isinstance(gathered, ChangeResult):
            self._note('group-settled', gathered)
            return
        current = ExpertMap(gathered.ranks)
        load = group_load(gathered)
        if load is None:
            return
        planned = plan_moves(current, load, MoveCost(_TRANSFER_MS, _CHANGE_MS))
        if planned != current:
            changed = await coordinator.change(gathered, planned, current)
            self._note('map-changed', changed)

    def _note(self, event: str, how: ChangeResult) -> None:
        group = self._settings.group
        _log.info(event, group=group, how=how.value)
        self._runtime.timeline.add(event, group, how.value)
        self._runtime.metrics.count('group_changes', how=how.value)

    async def _send(self, rank: int, order: AnyOrder) -> AnyReply | None:
        if rank == self._rank.number:
            return await self._rank.take(order)
        link = self._links.get(rank)
        if link is None:
            return None
        is_prepare = isinstance(order, Prepare)
        timeout_ms = PREPARE_TIMEOUT_MS if is_prepare else ORDER_TIMEOUT_MS
        return await link.order(order, timeout_ms)


def group_load(quorum: Quorum) -> GroupLoad | None:
    """Return the load that the ranks report, None while they report none."""
    experts = [0.0 for _ in quorum.ranks]
    for state in quorum.states:
        for expert, load in enumerate(state.engine.loads):
            experts[expert] += load
    if not any(experts):
        return None
    by_rank = sorted(quorum.states, key=lambda one: one.rank)
    speeds = tuple(one.engine.speed for one in by_rank)
    return GroupLoad(tuple(experts), speeds)
