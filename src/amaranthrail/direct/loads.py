"""Exchange UDP reports with other entries: liveness and calls in flight."""

from __future__ import annotations

import random
from collections import Counter
from functools import partial

import msgspec
import trio
from msgspec.structs import replace

from ..adapters.httpclient import Address
from ..adapters.listen import bind_when_free
from ..clock import Clock, move_on_after
from ..containment import contain_errors
from ..decoding import Undecodable
from ..logs import part_logger
from ..metrics import Metrics
from ..policy.membership import LIVENESS_TIMEOUT_MS, Member
from ..policy.reportpaths import (
    RECEIVE_TICK_MS,
    RecentChange,
    ReportPlan,
    SuspensionGuard,
)
from ..policy.upstreammemory import choose_owner
from .clusterstate import ClusterState
from .crashes import CrashRecords
from .demands import OrganisationDemands
from .mapchanges import MapChangeNotices
from .members import MAX_REPORT_PEERS, Members
from .peermessages import (
    LoadReport,
    ReportPath,
    decode_load_report,
    encode_message,
)
from .reportpaths import ReportPaths
from .returns import ReturnSchedule
from .settings import DirectSettings

#: Interval between reports of an entry that has calls, in ms: a tenth of the
#: duration of a short stream.
REPORT_INTERVAL_MS = 100.0
#: Interval between reports of an entry without calls, in ms: a third of the
#: liveness timeout of entries.
IDLE_INTERVAL_MS = 300.0
#: Age from which a report's calls are not counted any more, in ms; single
#: datagrams get lost.
REPORT_EXPIRY_MS = 450.0
#: Age from which tokens that a report names are not counted any more, in ms. A
#: call that runs on after its entry was lost lasts no longer than this.
GONE_MS = 8000.0
#: Time after its start in which an entry owns no upstream, in ms: three reports
#: of an idle entry.
OWNING_DELAY_MS = 900.0
#: Upstreams whose rank groups one report names; the leader names all of them
#: within seconds of its start.
GROUPS_PER_REPORT = 16
#: The same where reports cross domains and neither entries nor groups have
#: changed for some seconds: a group of 72 is named within 2 s at peak load.
QUIET_GROUPS_PER_REPORT = 4
#: Upstreams whose limits one report names; a report fits into one datagram.
LIMITS_PER_REPORT = 256
_MAX_DATAGRAM_BYTES = 65_536
_log = part_logger('loads')


class _ReceivedReport(msgspec.Struct, frozen=True):
    received_at: float
    calls: dict[str, int]
    held_tokens: dict[str, int]


class SharedLoads:
    """Keep the latest report of each entry on its calls in flight."""

    def __init__(self, clock: Clock, host: str = '') -> None:
        """Start without reports; ``clock`` decides when one expires.

        ``host`` is that of this entry.
        """
        self._clock = clock
        self._map_changes = MapChangeNotices(clock)
        self._host = host
        self._started_at = clock.now()
        self._reports: dict[str, _ReceivedReport] = {}
        self._returns = ReturnSchedule(clock, random.Random())
        self._demands = OrganisationDemands(clock)

    @property
    def returns(self) -> ReturnSchedule:
        """Return what all entries have reserved for returning callers."""
        return self._returns

    @property
    def demands(self) -> OrganisationDemands:
        """Return what organisations ask for at all entries."""
        return self._demands

    @property
    def busy_entries(self) -> int:
        """Count this entry and those that report calls in flight."""
        return 1 + sum(bool(report.calls) for report in self._unexpired())

    @property
    def entries(self) -> int:
        """Count this entry and those with an unexpired report."""
        return 1 + len(self._unexpired())

    @property
    def map_changes(self) -> MapChangeNotices:
        """Return the map changes that entries announce to each other."""
        return self._map_changes

    def update(
        self,
        sender: str,
        calls: dict[str, int],
        age_ms: float = 0,
        held_tokens: dict[str, int] | None = None,
    ) -> None:
        """Replace an entry's report; ``calls`` counts by upstream name."""
        received_at = self._clock.now() - age_ms
        self._reports[sender] = _ReceivedReport(
            received_at, calls, held_tokens or {}
        )

    def totals(self) -> Counter[str]:
        """Sum other entries' calls by upstream over unexpired reports."""
        totals: Counter[str] = Counter()
        for report in self._unexpired():
            totals.update(report.calls)
        return totals

    def held_tokens(self) -> Counter[str]:
        """Sum what other entries' calls hold, by upstream.

        An expired report counts on until GONE_MS: its calls may still run.
        """
        totals: Counter[str] = Counter()
        oldest = self._clock.now() - GONE_MS
        for report in self._reports.values():
            if report.received_at >= oldest:
                totals.update(report.held_tokens)
        return totals

    def owns(self, upstream: str) -> bool:
        """Tell whether this entry sends the large calls to an upstream.

        It owns none before the others have heard of it, and it of their calls.
        """
        now = self._clock.now()
        if now - self._started_at < OWNING_DELAY_MS:
            return False
        oldest = now - LIVENESS_TIMEOUT_MS
        hosts = [
            host
            for host, report in self._reports.items()
            if report.received_at >= oldest
        ]
        return choose_owner(upstream, (self._host, *hosts)) == self._host

    def _unexpired(self) -> list[_ReceivedReport]:
        oldest = self._clock.now() - REPORT_EXPIRY_MS
        return [
            report
            for report in self._reports.values()
            if report.received_at >= oldest
        ]


class ReportExchange:
    """Send this entry's reports to other entries and apply theirs."""

    def __init__(
        self,
        settings: DirectSettings,
        cluster: ClusterState,
        shared: SharedLoads,
        members: Members,
        crashes: CrashRecords,
        metrics: Metrics,
    ) -> None:
        """Apply what received reports say to the other arguments."""
        self._address = (settings.host, settings.peer_port)
        self._domain = settings.domain
        self._cluster = cluster
        self._clock = cluster.directory.sharing.clock
        self._shared = shared
        self._members = members
        self._crashes = crashes
        self._metrics = metrics
        self._paths = ReportPaths(members, settings.domain, self._clock)
        self._sequence = 0
        self._entry_changes = RecentChange()
        self._group_changes = RecentChange()
        self._random = random.Random()
        # Admission at the other entries makes room before ranks copy.
        shared.map_changes.watch(cluster.report_trigger.request)

    async def run(self) -> None:
        """Exchange reports until cancelled."""
        with trio.socket.socket(type=trio.socket.SOCK_DGRAM) as socket:
            await bind_when_free(
                partial(socket.bind, self._address),
                Address(*self._address),
                'peer_port',
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive_reports, socket)
                await self._send_reports(socket)

    async def _send_reports(self, socket: trio.socket.SocketType) -> None:
        had_calls = False
        while True:
            calls: dict[str, int] = {}
            with contain_errors(_log, 'report not sent'):
                self._cluster.directory.sharing.update_entries(
                    self._members.count, self._members.report_rounds
                )
                calls = self._cluster.directory.calls_in_flight()
                await self._send_to_all(socket, calls)
            busy = bool(calls) or had_calls
            had_calls = bool(calls)
            with move_on_after(
                REPORT_INTERVAL_MS if busy else IDLE_INTERVAL_MS
            ):
                await self._cluster.report_trigger.wait()

    async def _send_to_all(
        self, socket: trio.socket.SocketType, calls: dict[str, int]
    ) -> None:
        plan = self._paths.plan_next()
        report = self._make_report(calls, plan)
        payload = encode_message(report)
        for host in self._sample(list(plan.direct), len(plan.forwarders)):
            await self._send_report(socket, payload, host, 'direct')
        path = replace(report.path, is_relayed=True, detours=list(plan.detours))
        relayed = encode_message(replace(report, path=path))
        for forwarder in plan.forwarders:
            await self._send_report(socket, relayed, forwarder, 'domain')
        self._metrics.gauge('report_domains_relayed', len(plan.forwarders))
        self._metrics.gauge('report_entries_missed', len(self._paths.missed))

    def _make_report(
        self, calls: dict[str, int], plan: ReportPlan
    ) -> LoadReport:
        own = self._members.own
        self._sequence += 1
        return LoadReport(
            calls,
            self._hosts_to_report(plan),
            own.started_at,
            own.shutdown_at,
            self._cluster.complete,
            self._cluster.version,
            self._groups_to_report(plan),
            self._crashes.evidence(),
            self._cluster.directory.next_limits(LIMITS_PER_REPORT),
            self._domain,
            self._shared.map_changes.own,
            evacuations=self._cluster.evacuations.digest,
            cold=self._cluster.directory.report_cold(),
            path=ReportPath(self._sequence, self._paths.missed),
            reservations=self._shared.returns.report(),
            demands=self._shared.demands.report(
                self._shared.returns.pressed_services()
            ),
            held_tokens=self._cluster.tokens_to_report(self._members.count),
        )

    def _hosts_to_report(self, plan: ReportPlan) -> list[str]:
        """Return the live hosts, one in turn where they have not changed."""
        live_hosts = self._members.live_hosts
        changed = self._entry_changes.update(
            self._members.live_starts, self._clock.now()
        )
        if changed or not plan.forwarders:
            return self._sample(live_hosts)
        return [live_hosts[self._sequence % len(live_hosts)]]

    def _groups_to_report(self, plan: ReportPlan) -> dict[str, str]:
        """Return some upstreams' groups if this entry reads them itself."""
        if not self._members.was_leader:
            return {}
        now = self._clock.now()
        directory = self._cluster.directory
        changed = self._group_changes.update(
            (self._members.live_starts, directory.groups_by_name()), now
        )
        if changed or not plan.forwarders:
            return directory.next_groups(GROUPS_PER_REPORT)
        return directory.next_groups(QUIET_GROUPS_PER_REPORT)

    def _sample(self, hosts: list[str], reserved: int = 0) -> list[str]:
        """Draw at random as many hosts as one report is sent to or names.

        ``reserved`` is how many others it is sent to.
        """
        count = max(0, MAX_REPORT_PEERS - reserved)
        return self._random.sample(hosts, min(count, len(hosts)))

    async def _send_report(
        self,
        socket: trio.socket.SocketType,
        payload: bytes,
        host: str,
        path: str,
    ) -> None:
        self._metrics.count('reports_sent', path=path)
        self._metrics.count('report_bytes_sent', len(payload), path=path)
        try:
            await socket.sendto(payload, (host, self._address[1]))
        except OSError as error:
            # Not retried: the next report replaces this one.
            _log.debug('report not sent', peer=host, cause=str(error))

    async def _receive_reports(self, socket: trio.socket.SocketType) -> None:
        guard = SuspensionGuard(self._clock.now())
        while True:
            received = None
            try:
                with move_on_after(RECEIVE_TICK_MS):
                    received = await socket.recvfrom(_MAX_DATAGRAM_BYTES)
            except OSError as error:
                # A host without a listener has refused an earlier report.
                _log.debug('report refused', cause=str(error))
            received_at = self._clock.now()
            is_current = guard.resume(received_at)
            if received is None:
                continue
            payload, sender = received
            report = decode_load_report(payload)
            if isinstance(report, Undecodable):
                _log.warning(
                    'invalid report ignored',
                    peer=sender[0],
                    cause=report.cause,
                )
                continue
            with contain_errors(_log, 'report not applied', peer=sender[0]):
                self._apply_report(report, sender[0])
                if is_current:
                    await self._forward(socket, report, sender[0], received_at)

    async def _forward(
        self,
        socket: trio.socket.SocketType,
        report: LoadReport,
        sender: str,
        received_at: float,
    ) -> None:
        """Forward a report of another domain if its sender asks for it."""
        hosts = self._sample(self._paths.forward_hosts(report, sender))
        if not hosts:
            return
        path = ReportPath(
            report.path.sequence,
            report.path.missed,
            origin=sender,
            age_ms=round(self._clock.now() - received_at, 1),
        )
        payload = encode_message(replace(report, path=path))
        for host in hosts:
            await self._send_report(socket, payload, host, 'forwarded')

    def _apply_report(self, report: LoadReport, sender: str) -> None:
        host = report.path.origin or sender
        if host == self._members.own.host:
            return
        if self._paths.record_received(report, sender):
            self._cluster.report_trigger.request()
        age_ms = max(0, report.path.age_ms)
        is_newer = self._members.record_report(
            Member(
                host,
                report.started_at,
                self._clock.now() - age_ms,
                report.shutdown_at,
                report.has_cluster_state,
                # An entry that does not number its reports forwards none.
                report.domain if report.path.sequence else '',
                report.path.sequence,
            ),
        )
        if not is_newer:
            return
        self._shared.update(host, report.calls, age_ms, report.held_tokens)
        self._members.add_reported(report.live_hosts)
        directory = self._cluster.directory
        directory.assign_groups(report.groups)
        directory.apply_limits(report.limits, host, report.started_at)
        directory.apply_cold(report.cold, host)
        self._shared.map_changes.record(host, report.map_changes)
        self._shared.returns.apply_report(host, report.reservations)
        self._shared.demands.apply_report(host, report.demands)
        self._cluster.record_peer_version(report.version, host)
        self._cluster.evacuation_reports.record(report.evacuations, host)
        self._crashes.apply_evidence(report.crash_evidence, host)
