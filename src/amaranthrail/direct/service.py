"""Run a direct entry: wire its parts, serve callers, leave in order."""

from __future__ import annotations

from functools import partial

import trio

from ..adapters.httpclient import Address
from ..adapters.httpserver import (
    Handler,
    HttpRequest,
    ResponseWriter,
    ServerLimits,
    ServerState,
    serve_connection,
)
from ..adapters.listen import open_listeners
from ..adapters.probes import send_metrics, send_readiness
from ..clock import Clock, move_on_after, sleep
from ..logs import part_logger
from ..metrics import Metrics
from ..ranks.controller import MakeRank, MapController
from .attempt import Attempts
from .callers import Callers
from .calllog import CallLog
from .clusterstate import ClusterState
from .deployment import CallerLimits
from .forward import Forwarder, ForwarderSettings
from .loads import ReportExchange, SharedLoads
from .members import Members
from .peers import Peers, PeerTies
from .ports import StorePort, Topic, WireFormat
from .retrybudgets import RetryBudgets
from .settings import DirectSettings
from .shutdown import GracefulShutdown
from .stalls import StallDetector
from .sync import (
    StoreContact,
    TopicFollower,
    UpstreamSync,
    follow_configuration,
)

#: Time from the signal to stop until idle connections close, in ms: the
#: balancer sends new ones until it has missed two probes, a second apart.
LINGER_MS = 2500.0
_CHECK_MS = 20.0
_PROBE_BODY_BYTES = 1024
_log = part_logger('entry')


class DirectEntry:
    """Own the parts of one direct entry."""

    def __init__(
        self,
        settings: DirectSettings,
        store: StorePort,
        dialect: WireFormat,
        make_rank: MakeRank,
    ) -> None:
        """Take the settings and what speaks the platform's language."""
        self._settings = settings
        self._dialect = dialect
        self._clock = Clock()
        self._metrics = Metrics()
        self._world = ClusterState(self._clock, dialect)
        self._contact = StoreContact(self._clock)
        self._members = Members(settings.host, self._clock)
        self._members.take_seeds(settings.seeds)
        self._peers = Peers(
            settings,
            PeerTies(store, self._contact, self._members),
            self._world,
        )
        self._configuration = TopicFollower(
            store,
            Topic.CONFIGURATION,
            self._contact,
        )
        self._upstreams = UpstreamSync(
            TopicFollower(store, Topic.UPSTREAMS, self._contact),
            self._world,
            self._contact,
        )
        self._repeats = RetryBudgets(
            settings.retry_limits,
            self._clock,
            lambda: self._members.count,
        )
        self._loads = SharedLoads(self._clock)
        self._watch = StallDetector(self._clock)
        self._exchange = ReportExchange(
            settings,
            self._world,
            self._loads,
            self._members,
        )
        self._maps = MapController(
            self._world,
            self._members.check_lead,
            make_rank,
            self._clock,
        )
        self._state = ServerState(self._limits)
        self._departure = GracefulShutdown(self._contact, self._members)
        self._stopping = trio.Event()

    @property
    def settings(self) -> DirectSettings:
        """Return the settings in force."""
        return self._settings

    @property
    def cluster_state(self) -> ClusterState:
        """Return what the entry knows."""
        return self._world

    @property
    def is_leader(self) -> bool:
        """Tell whether this entry leads the expert maps."""
        return self._members.check_lead()

    @property
    def ready(self) -> bool:
        """Tell whether new callers should come here."""
        return self._world.complete and not self._stopping.is_set()

    @property
    def store_lost(self) -> bool:
        """Tell whether the store did not answer the latest call."""
        return self._contact.lost

    def stop(self) -> None:
        """Begin to leave."""
        self._stopping.set()

    def apply_settings(self, settings: DirectSettings) -> None:
        """Put changed settings in force; addresses wait for the next start."""
        if settings == self._settings:
            return
        self._settings = settings
        self._members.take_seeds(settings.seeds)
        self._peers.apply_settings(settings)
        self._repeats.take_bounds(settings.retry_limits)
        _log.info('settings reloaded', entry=settings.name)

    async def run(self) -> None:
        """Serve until stopped and until the last answer has gone out."""
        settings = self._settings
        probes = await open_listeners(settings.probes, 'probes')
        peers = await self._listen_inside(settings.peer_port)
        metrics = await self._listen_inside(settings.metrics_port)
        callers = await open_listeners(settings.callers, 'callers')
        _log.info('started', entry=settings.name, domain=settings.domain)
        async with trio.open_nursery() as nursery:
            for task in (
                partial(follow_configuration, self._configuration, self._world),
                self._upstreams.run,
                self._peers.run,
                self._exchange.run,
                self._watch.run,
                self._maps.run,
                partial(trio.serve_listeners, self._peers.serve, peers),
                partial(self._serve_inside, probes, self._answer_probe),
                partial(self._serve_inside, metrics, self._answer_metrics),
                partial(self._serve_callers, callers),
            ):
                nursery.start_soon(task)
            await self._stopping.wait()
            await self._leave()
            nursery.cancel_scope.cancel()
        _log.info('ended')

    async def _listen_inside(self, port: int) -> list[trio.SocketListener]:
        address = Address(self._settings.host, port)
        return await open_listeners(address, 'peer_port')

    async def _serve_callers(
        self,
        listeners: list[trio.SocketListener],
    ) -> None:
        journal = CallLog(self._clock, self._metrics)
        forwarder = Forwarder(
            self._world,
            Attempts(
                self._clock,
                self._dialect,
                self._world.directory,
            ),
            self._repeats,
            journal,
            ForwarderSettings(
                self._settings.domain,
                self._loads,
                self._watch,
                self._dialect.refusal_headers,
            ),
        )
        callers = Callers(
            self._world,
            self._dialect,
            forwarder,
            journal,
            self._departure,
        )
        await trio.serve_listeners(
            partial(
                serve_connection,
                handler=callers.handle,
                state=self._state,
            ),
            listeners,
        )

    async def _serve_inside(
        self,
        listeners: list[trio.SocketListener],
        handler: Handler,
    ) -> None:
        state = ServerState(lambda: ServerLimits(_PROBE_BODY_BYTES))
        serve = partial(serve_connection, handler=handler, state=state)
        await trio.serve_listeners(serve, listeners)

    async def _answer_probe(
        self, _request: HttpRequest, reply: ResponseWriter
    ) -> None:
        await send_readiness(reply, ready=self.ready)

    async def _answer_metrics(
        self,
        _request: HttpRequest,
        reply: ResponseWriter,
    ) -> None:
        await send_metrics(reply, self._metrics)

    def _limits(self) -> ServerLimits:
        deployment = self._world.deployment
        limits = CallerLimits()
        if deployment is not None:
            limits = deployment.limits
        return ServerLimits(
            limits.max_body_bytes,
            limits.max_header_bytes,
            idle_timeout_ms=limits.idle_timeout_ms,
            header_timeout_ms=limits.header_timeout_ms,
        )

    async def _leave(self) -> None:
        _log.info('leaving', active=self._state.active)
        began = self._clock.now()
        last = self._departure.begin(self._settings.shutdown_ms)
        self._state.announce_close()
        await sleep(began + LINGER_MS - self._clock.now())
        self._state.close()
        while self._clock.now() < last:
            if self._departure.may_end(self._state.active):
                break
            await sleep(_CHECK_MS)
        with move_on_after(last - self._clock.now()):
            await self._maps.wait_until_idle()
        if self._state.active:
            _log.warning('calls cut at the end', active=self._state.active)
