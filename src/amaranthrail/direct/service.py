"""Assemble a direct entry and run it until its graceful shutdown ends."""

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
from ..clock import MS_PER_SECOND, Clock
from ..logs import part_logger
from ..metrics import Metrics
from ..ranks.assembly import (
    MapControlSources,
    make_map_controller,
    make_prepare_server,
)
from ..ranks.ports import MakeRank
from ..signals import StopTimes
from .callerserver import CallerServer, CallerSources
from .clusterstate import ClusterState
from .durations import StreamDurations
from .loads import ReportExchange, SharedLoads
from .members import Members
from .peers import PeerSync, PeerSyncSources
from .ports import StorePort, Topic, WireFormat
from .promptguard import PromptGuard
from .retrybudgets import RetryBudgets
from .settings import DirectSettings
from .shutdown import GracefulShutdown
from .stalls import StallDetector
from .sync import (
    StoreStatus,
    TopicFollower,
    UpstreamSync,
    follow_configuration,
)

_PROBE_BODY_BYTES = 1024
_log = part_logger('entry')


class DirectEntry:
    """Create the components of one direct entry and run their tasks."""

    def __init__(
        self,
        settings: DirectSettings,
        store: StorePort,
        wire_format: WireFormat,
        make_rank: MakeRank,
    ) -> None:
        """Use a platform's store, wire format and client for ranks."""
        self._settings = settings
        self._wire_format = wire_format
        self._clock = Clock()
        self._metrics = Metrics()
        self._cluster = ClusterState(self._clock, wire_format)
        self._store_status = StoreStatus(self._clock)
        self._apply_to_directory(settings)
        self._members = Members(settings.host, self._clock)
        self._members.replace_seeds(settings.seeds)
        # Before the first report: the port for reports may be in use.
        self._cluster.directory.sharing.update_entries(
            self._members.count, self._members.report_rounds
        )
        self._peer_sync = PeerSync(
            settings,
            PeerSyncSources(
                store,
                self._store_status,
                self._members,
                make_prepare_server(self._cluster, make_rank, self._metrics),
            ),
            self._cluster,
        )
        self._configuration_follower = TopicFollower(
            store,
            Topic.CONFIGURATION,
            self._store_status,
            self._read_wait_ms,
        )
        self._upstream_sync = UpstreamSync(
            TopicFollower(
                store,
                Topic.UPSTREAMS,
                self._store_status,
                self._read_wait_ms,
            ),
            self._cluster,
            self._store_status,
        )
        self._retry_budgets = RetryBudgets(
            settings.retry_limits,
            self._clock,
            lambda: self._members.count,
        )
        self._loads = SharedLoads(self._clock, settings.host)
        self._prompt_guard = PromptGuard(
            self._clock, wire_format, self._cluster
        )
        self._stalls = StallDetector(self._clock)
        self._report_exchange = ReportExchange(
            settings,
            self._cluster,
            self._loads,
            self._members,
            self._prompt_guard.crashes,
            self._metrics,
        )
        self._map_controller = make_map_controller(
            MapControlSources(
                lambda: self._settings,
                self._cluster,
                self._members,
                self._loads.map_changes,
                self._metrics,
                self._clock,
            ),
            make_rank,
        )
        self._caller_server = CallerServer(
            lambda: self._settings,
            CallerSources(
                self._clock,
                self._metrics,
                self._cluster,
                wire_format,
                self._loads,
                self._stalls,
                self._prompt_guard,
                self._retry_budgets,
                GracefulShutdown(
                    self._store_status,
                    self._members,
                    self._metrics,
                    StreamDurations(self._cluster).expected_ms,
                ),
            ),
        )
        self._stop_times: StopTimes | None = None
        self._stop_requested = trio.Event()
        self._opening = trio.CancelScope()

    @property
    def settings(self) -> DirectSettings:
        """Return the settings in force, after the latest reload."""
        return self._settings

    @property
    def metrics(self) -> Metrics:
        """Return the metrics of the entry."""
        return self._metrics

    @property
    def cluster_state(self) -> ClusterState:
        """Return the entry's view of configuration and upstreams."""
        return self._cluster

    @property
    def is_leader(self) -> bool:
        """Tell whether this entry is leader of the expert maps."""
        return self._members.check_leadership()

    @property
    def ready(self) -> bool:
        """Tell whether the balancer should send new callers to this entry."""
        return self._cluster.complete and not self._stop_requested.is_set()

    @property
    def store_lost(self) -> bool:
        """Tell whether the latest call to the store failed."""
        return self._store_status.lost

    def record_stop(self, times: StopTimes) -> None:
        """Refuse from now on the calls that are too late for the shutdown.

        ``times`` are those of the stop signal; later ones change nothing. May
        be called in a signal handler.
        """
        self._stop_times = self._stop_times or times
        self._caller_server.record_stop(self._stop_times)

    def stop(self, times: StopTimes | None = None) -> None:
        """Request the graceful shutdown; run() returns once it is done.

        ``times`` are those of the stop signal, None for the present time.
        """
        now = self._clock.now()
        self.record_stop(times or StopTimes(now, now))
        self._stop_requested.set()
        # An entry that does not listen yet serves nobody: calls that it takes
        # once its ports are free would be cut off by the kill.
        self._opening.cancel()

    def apply_settings(self, settings: DirectSettings) -> None:
        """Put changed settings in force; new addresses need a restart."""
        if settings == self._settings:
            return
        self._settings = settings
        self._members.replace_seeds(settings.seeds)
        self._peer_sync.apply_settings(settings)
        self._retry_budgets.apply_limits(settings.retry_limits)
        self._apply_to_directory(settings)
        _log.info('settings reloaded', entry=settings.name)

    async def run(self) -> None:
        """Serve until stop() is called and the shutdown is done."""
        settings = self._settings
        with self._opening:
            probes = await open_listeners(settings.probes, 'probes')
            peers = await self._listen_internal(settings.peer_port)
            metrics = await self._listen_internal(settings.metrics_port)
            callers = await open_listeners(settings.callers, 'callers')
        if self._opening.cancel_called:
            _log.info('ended')
            return
        _log.info('started', entry=settings.name, domain=settings.domain)
        async with trio.open_nursery() as nursery:
            for task in (
                partial(
                    follow_configuration,
                    self._configuration_follower,
                    self._cluster,
                ),
                self._upstream_sync.run,
                self._peer_sync.run,
                self._report_exchange.run,
                self._stalls.run,
                self._map_controller.run,
                partial(trio.serve_listeners, self._peer_sync.serve, peers),
                partial(self._serve_internal, probes, self._answer_probe),
                partial(self._serve_internal, metrics, self._answer_metrics),
                partial(self._caller_server.serve, callers),
            ):
                nursery.start_soon(task)
            await self._stop_requested.wait()
            if self._stop_times is not None:
                await self._caller_server.shut_down(
                    self._stop_times, lambda: self._map_controller.is_idle
                )
            nursery.cancel_scope.cancel()
        _log.info('ended')

    def _apply_to_directory(self, settings: DirectSettings) -> None:
        directory = self._cluster.directory
        directory.apply_regions(settings.regions)
        directory.cold_sharing.apply_bounds(settings.cold_limits)

    async def _listen_internal(self, port: int) -> list[trio.SocketListener]:
        address = Address(self._settings.host, port)
        return await open_listeners(address, 'peer_port')

    async def _serve_internal(
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
        view = self._cluster.configuration_view
        self._metrics.gauge('configuration_version', view.version)
        limited_count = self._cluster.directory.limited_count
        self._metrics.gauge('limited_upstreams', limited_count)
        self._metrics.gauge('store_era', self._store_status.era)
        self._metrics.gauge('store_rewinds', self._store_status.rewinds)
        evacuations = self._cluster.evacuations
        self._metrics.gauge('evacuated_domains', len(evacuations.in_force))
        self._metrics.gauge('evacuation_withdrawals', evacuations.withdrawn)
        directory = self._cluster.directory
        self._metrics.gauge('cold_upstreams', directory.cold_count)
        withdrawn = directory.cold_sharing.withdrawn
        self._metrics.gauge('cold_withdrawals', withdrawn)
        reserved_work = self._loads.returns.reserved_work
        self._metrics.gauge('reserved_returns', reserved_work)
        if view.read_age_ms is not None:
            read_age_s = view.read_age_ms / MS_PER_SECOND
            self._metrics.gauge('configuration_read_age_seconds', read_age_s)
        await send_metrics(reply, self._metrics)

    def _read_wait_ms(self) -> int:
        return self._settings.read_wait_ms
