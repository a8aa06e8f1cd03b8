"""Follow the host list and keep a peer for each sidecar of the subset."""

from __future__ import annotations

import trio

from ..clock import sleep
from ..logs import part_logger
from ..policy.subset import choose_subset
from ..ports import HostListPort, HostRecord
from ..types import UpstreamName
from .peers import Peer, PeerContext

_log = part_logger('roster')


class UpstreamPool:
    """Own the peers of one entry: a subset of each service's replicas."""

    def __init__(self, peer_context: PeerContext, hosts: HostListPort) -> None:
        """Take what all peers share and the source of the host list."""
        self._peer_context = peer_context
        self._hosts = hosts
        self._peers: dict[UpstreamName, Peer] = {}
        self._scopes: dict[UpstreamName, trio.CancelScope] = {}
        self._listed: frozenset[UpstreamName] = frozenset()
        self._reachable = False

    @property
    def peers(self) -> list[Peer]:
        """Return all peers, including those no longer in the subset."""
        return list(self._peers.values())

    @property
    def reachable(self) -> bool:
        """Tell whether the latest read of the host list succeeded."""
        return self._reachable

    def find(self, upstream: str) -> Peer | None:
        """Return the peer of an upstream, None if this entry has none."""
        return self._peers.get(UpstreamName(upstream))

    def available(self, service: str) -> list[Peer]:
        """Return the listed peers of a service that accept new work."""
        return [
            peer
            for peer in self._peers.values()
            if peer.record.service == service
            and peer.accepts_work
            and peer.record.upstream in self._listed
        ]

    def connected(self, service: str) -> list[Peer]:
        """Return the connected peers of a service, including draining ones."""
        return [
            peer
            for peer in self._peers.values()
            if peer.record.service == service and peer.connected
        ]

    async def run(self) -> None:
        """Poll the host list and run the peers until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                hosts = await self._hosts.hosts()
                self._reachable = hosts is not None
                # An empty host list does not remove replicas that still
                # respond; broken connections show which ones are gone.
                if hosts:
                    self._apply_hosts(hosts, nursery)
                await sleep(self._peer_context.settings.hosts_interval_ms)

    def _apply_hosts(
        self,
        hosts: tuple[HostRecord, ...],
        nursery: trio.Nursery,
    ) -> None:
        chosen = self._choose_subset(hosts)
        self._listed = frozenset(chosen)
        for name, record in chosen.items():
            peer = self._peers.get(name)
            if peer is None:
                self._add_peer(record, nursery)
            else:
                peer.update_record(record)
        for name in self._peers.keys() - chosen.keys():
            self._remove_idle(name)

    def _choose_subset(
        self,
        hosts: tuple[HostRecord, ...],
    ) -> dict[UpstreamName, HostRecord]:
        settings = self._peer_context.settings
        chosen: dict[UpstreamName, HostRecord] = {}
        for service in sorted({host.service for host in hosts}):
            service_hosts = [host for host in hosts if host.service == service]
            subset = choose_subset(
                settings.name, service_hosts, settings.subset
            )
            chosen.update((host.upstream, host) for host in subset)
        return chosen

    def _add_peer(self, record: HostRecord, nursery: trio.Nursery) -> None:
        peer = Peer(record, self._peer_context)
        self._peers[record.upstream] = peer
        self._scopes[record.upstream] = trio.CancelScope()
        _log.info('peer added', upstream=record.upstream)
        nursery.start_soon(self._run_peer, peer, self._scopes[record.upstream])

    async def _run_peer(self, peer: Peer, scope: trio.CancelScope) -> None:
        with scope:
            await peer.run()

    def _remove_idle(self, name: UpstreamName) -> None:
        """Stop a peer that is not in the subset, unless it has exchanges."""
        peer = self._peers[name]
        if peer.in_flight:
            return
        self._scopes.pop(name).cancel()
        del self._peers[name]
        _log.info('peer removed', upstream=name)
