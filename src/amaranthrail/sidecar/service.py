"""Run a sidecar process: serve peers and shut down gracefully."""

from __future__ import annotations

import ssl

import trio

from ..adapters.httpclient import HttpClient
from ..adapters.httpserver import (
    HttpRequest,
    ResponseWriter,
    ServerLimits,
    ServerState,
    serve_connection,
    wait_until_quiet,
)
from ..adapters.link import Link
from ..adapters.listen import handler_with_tls, open_listeners
from ..adapters.platform import HttpHostList
from ..adapters.probes import send_liveness, send_metrics, send_readiness
from ..adapters.problem import send_json
from ..adapters.rankengine import HttpRankEngine, HttpWeightStore
from ..clock import move_on_after, sleep
from ..configuration import ActiveManifest
from ..logs import part_logger
from ..manifest import Policies
from ..runtime import Runtime
from ..settings import SidecarSettings
from ..tls import client_context, server_context
from ..types import DomainName, ProcessName
from .gate import DispatchGate
from .group import GroupMember
from .peers import LatestConnections, PeerConnection, SidecarContext
from .rank import RankAcceptor
from .slots import SlotQueue
from .worker import Worker

_SWEEP_MS = 1000.0
_MAX_ADMIN_BODY_BYTES = 1024
_NOT_FOUND = 404
_log = part_logger('sidecar')


class Sidecar:
    """Create and run the parts of one sidecar process."""

    def __init__(self, settings: SidecarSettings) -> None:
        """Set the checked settings and create the parts, opening nothing."""
        self._settings = settings
        self._runtime = Runtime(
            ProcessName(settings.name),
            DomainName(settings.domain),
        )
        self._gate = DispatchGate(
            settings.upstream,
            self._runtime.incarnation,
            self._runtime.clock,
            self._runtime.configuration,
        )
        self._slots = SlotQueue(self._runtime.clock, settings.slots)
        self._worker = Worker(
            self._runtime,
            self._slots,
            HttpClient(settings.upstream_address),
        )
        self._connections = LatestConnections()
        self._peers: set[PeerConnection] = set()
        self._group = self._make_group()
        self._stopping = trio.Event()
        self._runtime.configuration.on_change(self._apply_manifest)

    @property
    def runtime(self) -> Runtime:
        """Return the clock, metrics and configuration of the process."""
        return self._runtime

    def stop(self) -> None:
        """Start a graceful shutdown: refuse new work, finish running work."""
        self._stopping.set()

    async def run(
        self,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until stopped, then until no response is undelivered.

        A response is undelivered until its entry acknowledges it or its
        retention time ends. Work that arrives meanwhile is refused. The
        setting ``shutdown_ms`` bounds the wait. Passes the peer port to
        ``task_status`` once it listens.
        """
        settings = self._settings
        peer_listeners = await open_listeners(settings.listen, '--listen')
        admin_listeners = await open_listeners(
            settings.admin_listen, '--admin-listen'
        )
        self._runtime.timeline.add('started', settings.upstream)
        _log.info('serving peers', upstream=settings.upstream)
        async with trio.open_nursery() as nursery:
            context = self._make_context(nursery)
            nursery.start_soon(self._accept_peers, peer_listeners, context)
            nursery.start_soon(self._accept_admin_clients, admin_listeners)
            nursery.start_soon(self._sweep)
            if self._group is not None:
                nursery.start_soon(self._group.run)
            task_status.started(peer_listeners[0].socket.getsockname()[1])
            await self._stopping.wait()
            await self._shut_down()
            nursery.cancel_scope.cancel()
        _log.info('ended')

    def _make_context(self, runs: trio.Nursery) -> SidecarContext:
        return SidecarContext(
            self._runtime,
            self._settings,
            self._gate,
            self._slots,
            self._worker,
            runs,
            None if self._group is None else self._group.rank,
        )

    def _make_group(self) -> GroupMember | None:
        settings = self._settings
        if not settings.group:
            return None
        rank = RankAcceptor(
            settings.rank,
            self._runtime.incarnation,
            HttpRankEngine(settings.upstream_address),
            HttpWeightStore(settings.platform, settings.group),
            self._runtime.clock,
        )
        files = settings.peer_tls
        return GroupMember(
            rank,
            self._runtime,
            settings,
            HttpHostList(settings.platform),
            None if files is None else client_context(files),
        )

    def _apply_manifest(self, active: ActiveManifest) -> None:
        self._runtime.metrics.gauge('manifest_version', active.version)
        for peer in tuple(self._peers):
            peer.send_heartbeat()
        for service in active.manifest.services:
            if service.name == self._settings.service:
                self._slots.configure(service.slots, service.policies)
                return
        self._slots.configure(self._settings.slots, Policies())

    def _peer_tls_context(self) -> ssl.SSLContext | None:
        files = self._settings.peer_tls
        return None if files is None else server_context(files)

    async def _accept_peers(
        self,
        listeners: list[trio.SocketListener],
        context: SidecarContext,
    ) -> None:
        async def serve(stream: trio.abc.Stream) -> None:
            async with stream:
                await self._serve_peer(stream, context)

        await trio.serve_listeners(
            handler_with_tls(serve, self._peer_tls_context()), listeners
        )

    async def _serve_peer(
        self,
        stream: trio.abc.Stream,
        context: SidecarContext,
    ) -> None:
        link = Link(stream, self._runtime.clock)
        peer = PeerConnection(link, context, self._connections)
        self._peers.add(peer)
        try:
            await peer.serve()
        finally:
            self._peers.discard(peer)

    async def _accept_admin_clients(
        self,
        listeners: list[trio.SocketListener],
    ) -> None:
        state = ServerState(lambda: ServerLimits(_MAX_ADMIN_BODY_BYTES))

        async def serve(stream: trio.abc.Stream) -> None:
            await serve_connection(stream, self._handle_admin_request, state)

        await trio.serve_listeners(serve, listeners)

    async def _handle_admin_request(
        self, request: HttpRequest, reply: ResponseWriter
    ) -> None:
        match request.path:
            case '/healthz':
                await send_liveness(reply)
            case '/readyz':
                await send_readiness(reply, ready=not self._gate.is_draining)
            case '/metrics':
                self._update_gauges()
                await send_metrics(reply, self._runtime.metrics)
            case _:
                await send_json(reply, _NOT_FOUND, {'title': 'not found'})

    def _update_gauges(self) -> None:
        metrics = self._runtime.metrics
        metrics.gauge('queued', self._slots.queued)
        metrics.gauge('running', self._slots.running)
        metrics.gauge('remembered_runs', self._gate.record_count)

    async def _sweep(self) -> None:
        while True:
            await sleep(_SWEEP_MS)
            self._gate.sweep()

    async def _shut_down(self) -> None:
        self._gate.start_shutdown()
        self._runtime.timeline.add('leaving', self._settings.upstream)
        _log.info('leaving', unfinished=len(self._gate.unfinished_runs()))
        for peer in tuple(self._peers):
            peer.send_heartbeat()
        with move_on_after(self._settings.shutdown_ms):
            await wait_until_quiet(self._is_busy)

    def _is_busy(self) -> bool:
        """Tell whether a run, its response or any other frame is to be sent.

        Entries send work until they have the heartbeat of the shutdown. It is
        refused meanwhile: without a refusal its outcome would be unknown.
        """
        return bool(
            self._gate.unfinished_runs()
            or self._gate.count_undelivered()
            or any(peer.has_unsent for peer in self._peers)
        )
