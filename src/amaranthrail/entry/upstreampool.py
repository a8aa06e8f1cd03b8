"""Follow the host list and keep a peer for each sidecar of the subset."""

from __future__ import annotations

import trio

from ..clock import sleep
from ..logs import part_logger
from ..policy.subset import choose_subset
from ..ports import HostListPort, HostRecord
from ..types import UpstreamName
from .peers import Peer, PeerAccess

_log = part_logger('roster')


class UpstreamPool:
    """Own the peers of one entry."""

    def __init__(self, access: PeerAccess, hosts: HostListPort) -> None:
        """Take what peers share and where hosts are listed."""
        self._access = access
        self._hosts = hosts
        self._peers: dict[UpstreamName, Peer] = {}
        self._scopes: dict[UpstreamName, trio.CancelScope] = {}
        self._listed: frozenset[UpstreamName] = frozenset()
        self._reachable = False

    @property
    def peers(self) -> list[Peer]:
        """Return all peers."""
        return list(self._peers.values())

    @property
    def reachable(self) -> bool:
        """Tell whether the host list answered last time."""
        return self._reachable

    def find(self, upstream: str) -> Peer | None:
        """Return the peer of an upstream, if there is one."""
        return self._peers.get(UpstreamName(upstream))

    def usable(self, service: str) -> list[Peer]:
        """Return the peers of a service that take new work."""
        return [
            peer
            for peer in self._peers.values()
            if peer.record.service == service
            and peer.takes_work
            and peer.record.upstream in self._listed
        ]

    def connected(self, service: str) -> list[Peer]:
        """Return the peers of a service that can be reached now."""
        return [
            peer
            for peer in self._peers.values()
            if peer.record.service == service and peer.connected
        ]

    async def run(self) -> None:
        """Follow the host list for good."""
        async with trio.open_nursery() as nursery:
            while True:
                hosts = await self._hosts.hosts()
                self._reachable = hosts is not None
                # A list without any host is no reason to drop those that
                # answer; which of them are gone, their connections tell.
                if hosts:
                    self._update(hosts, nursery)
                await sleep(self._access.settings.hosts_interval_ms)

    def _update(
        self,
        hosts: tuple[HostRecord, ...],
        nursery: trio.Nursery,
    ) -> None:
        chosen = self._choose(hosts)
        self._listed = frozenset(chosen)
        for name, record in chosen.items():
            known = self._peers.get(name)
            if known is None:
                self._start(record, nursery)
            else:
                known.update(record)
        for name in self._peers.keys() - chosen.keys():
            self._stop_idle(name)

    def _choose(
        self,
        hosts: tuple[HostRecord, ...],
    ) -> dict[UpstreamName, HostRecord]:
        settings = self._access.settings
        chosen: dict[UpstreamName, HostRecord] = {}
        for service in sorted({host.service for host in hosts}):
            members = [host for host in hosts if host.service == service]
            picked = choose_subset(settings.name, members, settings.subset)
            chosen.update((host.upstream, host) for host in picked)
        return chosen

    def _start(self, record: HostRecord, nursery: trio.Nursery) -> None:
        peer = Peer(record, self._access)
        self._peers[record.upstream] = peer
        self._scopes[record.upstream] = trio.CancelScope()
        _log.info('peer added', upstream=record.upstream)
        nursery.start_soon(self._run_peer, peer, self._scopes[record.upstream])

    async def _run_peer(self, peer: Peer, scope: trio.CancelScope) -> None:
        with scope:
            await peer.run()

    def _stop_idle(self, name: UpstreamName) -> None:
        peer = self._peers[name]
        if peer.in_flight:
            return
        self._scopes.pop(name).cancel()
        del self._peers[name]
        _log.info('peer removed', upstream=name)
