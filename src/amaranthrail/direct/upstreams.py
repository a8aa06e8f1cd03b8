"""Keep the directory of upstreams with their calls in flight and health."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Iterator, Mapping

import msgspec

from ..adapters.httpclient import Address, HttpClient
from ..clock import Clock
from ..logs import part_logger
from ..policy.outliers import Health
from ..policy.selection import UpstreamView, decay_others
from ..types import DomainName, GroupName, RegionName, ServiceName
from .coldlimits import ColdLimit, ColdSharing
from .deployment import OrderKey, Service, UpstreamRecord, UpstreamState
from .evacuations import Evacuations
from .peermessages import ColdReport, LimitReport
from .ports import ReportedLoad
from .ratelimits import LimitSharing, RateLimit
from .steptimes import StepTimes

#: Time for which the name of a removed upstream is kept, in ms, so that a late
#: record does not add it again. Records of one name are a heartbeat (1.2 s)
#: apart.
TOMBSTONE_MS = 60_000.0
#: Timeout of connecting to an upstream, in ms: hosts are a millisecond or two
#: apart, and a call that has not been sent can still be sent to another.
CONNECT_TIMEOUT_MS = 300.0
#: Time for which memory is kept for a call that is about to be sent, in ms. One
#: whose retry has no budget left is not sent.
RESERVATION_MS = 100.0
_log = part_logger('upstreams')

_GroupKey = tuple[ServiceName, GroupName | None]


class _Tombstone(msgspec.Struct, frozen=True):
    """Hold the last record of a removed upstream and when it was removed."""

    record: UpstreamRecord
    removed_at: float


class Upstream:
    """Hold one upstream's latest record, connections, load and health."""

    def __init__(
        self,
        record: UpstreamRecord,
        clock: Clock,
        sharing: LimitSharing | None = None,
        cold_sharing: ColdSharing | None = None,
    ) -> None:
        """Start with no calls in flight and with no failures.

        ``sharing`` decides this entry's part of a limit that the upstream
        names, ``cold_sharing`` that of its calls while it is cold; by default
        it is the only entry.
        """
        self._record = record
        self._sharing = sharing or LimitSharing(clock)
        self._cold_sharing = cold_sharing or ColdSharing(
            self._sharing, Evacuations(clock)
        )
        self._rate_limit = RateLimit(record, self._sharing)
        self._cold_limit = ColdLimit(record, self._cold_sharing)
        self._clock = clock
        self._client = _make_client(record)
        self._health = Health()
        self._in_flight = 0
        self._held_tokens = 0
        # Tokens and end of each reservation, by attempt id.
        self._reserved: dict[str, tuple[int, float]] = {}
        self._other_calls = 0.0
        self._other_calls_at = clock.now()
        self._active_at = clock.now()
        self._is_leaving = False
        self._paused_until = 0.0
        self._group: GroupName | None = None

    @property
    def record(self) -> UpstreamRecord:
        """Return the latest accepted record."""
        return self._record

    @property
    def client(self) -> HttpClient:
        """Return the HTTP client for the address in the record."""
        return self._client

    @property
    def health(self) -> Health:
        """Return the outlier detection state since the last restart or move."""
        return self._health

    @property
    def rate_limit(self) -> RateLimit:
        """Return the limit that it has named since its last start or move."""
        return self._rate_limit

    @property
    def cold_limit(self) -> ColdLimit:
        """Return what bounds its calls while it is cold."""
        return self._cold_limit

    @property
    def takes_calls(self) -> bool:
        """Tell whether it is ready and has not said that it leaves."""
        is_ready = self._record.state is UpstreamState.READY
        return is_ready and not self._is_leaving

    @property
    def wait_ms(self) -> float:
        """Return the time until it takes a call, 0 if it takes one now."""
        pause_ms = max(0, self._paused_until - self._clock.now())
        return max(pause_ms, self._rate_limit.wait_ms, self._cold_limit.wait_ms)

    @property
    def group(self) -> GroupName | None:
        """Return the group that it is a rank of, None where unknown."""
        return self._group

    @property
    def in_flight(self) -> int:
        """Return the number of this entry's calls in flight at the upstream."""
        return self._in_flight

    @property
    def held_tokens(self) -> int:
        """Return the tokens of this entry's calls, those about to be sent too.

        A call is sent some task switches after its upstream was chosen.
        """
        now = self._clock.now()
        self._reserved = {
            attempt_id: reserved
            for attempt_id, reserved in self._reserved.items()
            if now < reserved[1]
        }
        reserved_tokens = sum(tokens for tokens, _ in self._reserved.values())
        return self._held_tokens + reserved_tokens

    @property
    def silent_ms(self) -> float:
        """Return the time since it last sent data or got a call while idle."""
        return self._clock.now() - self._active_at

    def assign_group(self, group: GroupName) -> None:
        """Record the group that the upstream is a rank of until it restarts."""
        self._group = group

    def record_leaving(self) -> None:
        """Record that the upstream says it leaves, until it restarts.

        Its record may say so later, or never.
        """
        if not self._is_leaving:
            _log_change('upstream is leaving', self._record)
        self._is_leaving = True

    def record_pause(self, pause_ms: float) -> None:
        """Record that the upstream wants no call from this entry for a time."""
        until = self._clock.now() + pause_ms
        if until > self._paused_until:
            _log.info(
                'upstream wants a pause',
                upstream=self._record.name,
                pause_ms=int(pause_ms),
            )
        self._paused_until = max(self._paused_until, until)

    def record_activity(self) -> None:
        """Record that the upstream has just sent data."""
        self._active_at = self._clock.now()

    def update(self, record: UpstreamRecord) -> None:
        """Replace the record; a restart or move resets client and health."""
        moved = (record.host, record.port) != (
            self._record.host,
            self._record.port,
        )
        restarted = record.started_at != self._record.started_at
        if moved or restarted:
            self._client.close_idle()
            self._client = _make_client(record)
            self._health = Health()
            self._rate_limit = RateLimit(record, self._sharing)
            self._cold_limit = ColdLimit(record, self._cold_sharing)
            self._is_leaving = False
            self._paused_until = 0
            self._group = None
        else:
            self._cold_limit.apply_record(record)
        self._record = record

    def adjust_in_flight(self, change: int, tokens: int = 0) -> None:
        """Add ``change`` to the number of calls in flight.

        ``tokens`` is what such a call holds in the upstream's memory.
        """
        self._held_tokens += change * tokens
        if not self._in_flight:
            self._active_at = self._clock.now()
        self._in_flight += change

    def reserve(self, attempt_id: str, tokens: int) -> None:
        """Keep memory for a call until it is sent, or not sent in time."""
        until = self._clock.now() + RESERVATION_MS
        self._reserved[attempt_id] = (tokens, until)

    def end_reservation(self, attempt_id: str) -> None:
        """Return what is kept for a call that is now sent."""
        self._reserved.pop(attempt_id, None)

    def record_load(self, load: ReportedLoad) -> None:
        """Derive other entries' calls from the load that a response reports.

        The reported load includes this entry's calls.
        """
        total = load.running + load.waiting
        self._other_calls = max(0, total - self._in_flight)
        self._other_calls_at = self._clock.now()

    def view(self, domain: DomainName, reported: int) -> UpstreamView:
        """Return the upstream's state for the choice of an upstream.

        ``reported`` counts the calls that other entries report to have in
        flight here. The load in the upstream's responses may be higher: it
        still runs calls of entries that have lost power.
        """
        now = self._clock.now()
        others = decay_others(self._other_calls, now - self._other_calls_at)
        return UpstreamView(
            self._record.name,
            self._record.slots,
            self._in_flight,
            max(others, reported),
            self._group,
            is_same_domain=self._record.domain == domain,
            is_ejected=self._health.is_ejected(now),
            is_refusing=self._health.is_refusing(now),
            wait_ms=self.wait_ms,
            is_cold=self._cold_limit.remaining_ms > 0,
        )


def _accept_any(_service: ServiceName) -> bool:
    return True


class Directory:
    """Hold the known upstreams, and tombstones of those removed.

    The later record of a name wins, whatever its source; a removed name is
    added again only by a record later than its last one.
    """

    def __init__(
        self,
        clock: Clock,
        is_known: Callable[[ServiceName], bool] = _accept_any,
        evacuations: Evacuations | None = None,
        find_service: Callable[[ServiceName], Service | None] | None = None,
    ) -> None:
        """Start without upstreams and without tombstones.

        ``is_known`` tells whether the configuration names a service; by
        default it names all. ``evacuations`` are the failure domains whose
        upstreams get no calls. ``find_service`` returns a service of the
        configuration, by default none.
        """
        self._clock = clock
        self._is_known = is_known
        self._evacuations = evacuations or Evacuations(clock)
        self._upstreams: dict[str, Upstream] = {}
        self._step_times: dict[_GroupKey, StepTimes] = {}
        self._regions: Mapping[DomainName, RegionName] = {}
        self._next_group = 0
        self._next_limit = 0
        self._sharing = LimitSharing(clock)
        self._cold_sharing = ColdSharing(
            self._sharing, self._evacuations, find_service
        )
        self._tombstones: dict[str, _Tombstone] = {}

    def __len__(self) -> int:
        """Count the known upstreams, ready or draining."""
        return len(self._upstreams)

    @property
    def sharing(self) -> LimitSharing:
        """Return what decides this entry's part of upstreams' limits."""
        return self._sharing

    @property
    def cold_sharing(self) -> ColdSharing:
        """Return what decides this entry's part of cold upstreams' calls."""
        return self._cold_sharing

    @property
    def cold_count(self) -> int:
        """Count the upstreams that are cold and whose calls are bounded."""
        return sum(
            upstream.cold_limit.remaining_ms > 0
            for upstream in self._upstreams.values()
        )

    @property
    def limited_count(self) -> int:
        """Count the upstreams that name a limit."""
        return sum(
            upstream.rate_limit.in_force
            for upstream in self._upstreams.values()
        )

    def records(self) -> Iterator[UpstreamRecord]:
        """Yield the latest record of each known upstream."""
        for upstream in self._upstreams.values():
            yield upstream.record

    def calls_in_flight(self) -> dict[str, int]:
        """Return this entry's calls in flight by upstream, zeros left out."""
        return {
            name: upstream.in_flight
            for name, upstream in self._upstreams.items()
            if upstream.in_flight
        }

    def names(self) -> frozenset[str]:
        """Return the names of all upstreams, ready or draining."""
        return frozenset(self._upstreams)

    def find(self, name: str) -> Upstream | None:
        """Look up an upstream by name; None where it is unknown."""
        return self._upstreams.get(name)

    def step_times(
        self, service: ServiceName, group: GroupName | None
    ) -> StepTimes:
        """Return a group's step time estimate, created at first use.

        Upstreams whose group is unknown share the estimate of group None.
        """
        key = service, group
        times = self._step_times.get(key)
        if times is None:
            times = StepTimes(self._clock)
            self._step_times[key] = times
        return times

    def last_gap_ms(self, service: ServiceName) -> float:
        """Return the time since the latest event of a service's streams.

        The result is infinite before the first.
        """
        return min(
            (
                times.age_ms
                for (name, _), times in self._step_times.items()
                if name == service
            ),
            default=math.inf,
        )

    def groups_by_name(self) -> dict[str, GroupName]:
        """Return the groups that are known, by upstream name."""
        return {
            name: upstream.group
            for name, upstream in self._upstreams.items()
            if upstream.group is not None
        }

    def next_groups(self, count: int) -> dict[str, str]:
        """Return the groups of up to ``count`` upstreams, in turn."""
        known = list(self.groups_by_name().items())
        if not known:
            return {}
        first = self._next_group % len(known)
        self._next_group = first + count
        return dict(known[first : first + count])

    def assign_groups(self, groups: Mapping[str, str]) -> None:
        """Apply the groups that another entry reports, by upstream name."""
        for name, group in groups.items():
            upstream = self._upstreams.get(name)
            if upstream is not None and upstream.group != group:
                upstream.assign_group(GroupName(group))

    def next_limits(self, count: int) -> list[LimitReport]:
        """Return the reports on up to ``count`` upstreams' limits, in turn."""
        reports = [
            report
            for upstream in self._upstreams.values()
            if (report := upstream.rate_limit.report()) is not None
        ]
        if len(reports) <= count:
            return reports
        first = self._next_limit % len(reports)
        self._next_limit = first + count
        return (reports + reports)[first : first + count]

    def apply_limits(
        self, reports: Iterable[LimitReport], host: str, started_at: int
    ) -> None:
        """Apply the limits that another entry reports, started then."""
        for report in reports:
            upstream = self._upstreams.get(report.upstream)
            if upstream is not None:
                upstream.rate_limit.apply_report(report, host, started_at)

    def report_cold(self) -> list[ColdReport]:
        """Return the reports on services that have cold upstreams."""
        return self._cold_sharing.make_reports(
            (upstream.record.service, upstream.cold_limit.report())
            for upstream in self._upstreams.values()
            if upstream.cold_limit.remaining_ms
        )

    def apply_cold(self, reports: list[ColdReport], host: str) -> None:
        """Apply what another entry reports on cold upstreams."""
        self._cold_sharing.apply_reports(reports, host)
        for report in reports:
            for use in report.uses:
                upstream = self._upstreams.get(use.upstream)
                if upstream is not None:
                    upstream.cold_limit.apply_use(use, host)

    def apply_regions(self, regions: Mapping[DomainName, RegionName]) -> None:
        """Replace the regions of the failure domains."""
        self._regions = regions

    def is_allowed(
        self, upstream: Upstream, regions: frozenset[RegionName] | None
    ) -> bool:
        """Tell whether an upstream is in one of some regions, None for all.

        One whose domain has no known region is in none.
        """
        if regions is None:
            return True
        return self._regions.get(upstream.record.domain) in regions

    def least_wait_ms(
        self,
        service: ServiceName,
        regions: frozenset[RegionName] | None = None,
    ) -> float:
        """Return the time until an upstream of a service takes a call.

        The result is 0 where one takes a call now and where none is ready.
        """
        ready = self.ready_upstreams(service, frozenset(), regions)
        return min((upstream.wait_ms for upstream in ready), default=0)

    def upstreams_of(self, service: ServiceName) -> list[Upstream]:
        """Return all known upstreams of a service, ready or not."""
        return [
            upstream
            for upstream in self._upstreams.values()
            if upstream.record.service == service
        ]

    def ready_upstreams(
        self,
        service: ServiceName,
        excluded: frozenset[str],
        regions: frozenset[RegionName] | None = None,
    ) -> list[Upstream]:
        """Return the upstreams of a service that may get calls.

        Where ``regions`` are given, only those in one of them may.
        """
        return [
            upstream
            for upstream in self.upstreams_of(service)
            if upstream.takes_calls
            and upstream.record.name not in excluded
            and not self._evacuations.includes(upstream.record.domain)
            and self.is_allowed(upstream, regions)
        ]

    def may_send(self, upstream: Upstream) -> bool:
        """Tell whether a call may still be sent to an upstream chosen before.

        Count it as withdrawn where its domain has been evacuated since.
        """
        if not self._evacuations.includes(upstream.record.domain):
            return True
        self._evacuations.record_withdrawal()
        return False

    def accept(self, record: UpstreamRecord) -> bool:
        """Add or update an upstream; return False for an outdated record."""
        tombstone = self._tombstones.get(record.name)
        if tombstone and record.order_key <= tombstone.record.order_key:
            return False
        existing = self._upstreams.get(record.name)
        if existing is None:
            if not self._free_address(record):
                return False
            self._tombstones.pop(record.name, None)
            self._upstreams[record.name] = Upstream(
                record, self._clock, self._sharing, self._cold_sharing
            )
            _log_change('upstream added', record)
            return True
        if record.order_key < existing.record.order_key:
            return False
        if record.state is not existing.record.state:
            _log_change('upstream state changed', record)
        existing.update(record)
        return True

    def remove(self, name: str, cause: str) -> bool:
        """Replace an upstream by a tombstone; return whether it was known."""
        upstream = self._upstreams.pop(name, None)
        if upstream is None:
            return False
        self._tombstones[name] = _Tombstone(upstream.record, self._clock.now())
        upstream.client.close_idle()
        _log.info('upstream removed', upstream=name, cause=cause)
        self._drop_old_tombstones()
        return True

    def removed(self) -> Iterator[tuple[str, OrderKey]]:
        """Yield each removed name and the order key of its last record."""
        for name, tombstone in self._tombstones.items():
            yield name, tombstone.record.order_key

    def removed_records(self, service: ServiceName) -> list[UpstreamRecord]:
        """Return the last records of upstreams removed from a service.

        Their processes may run on. Left out are those whose address has been
        taken over.
        """
        addresses = {(known.host, known.port) for known in self.records()}
        return [
            tombstone.record
            for tombstone in self._tombstones.values()
            if tombstone.record.service == service
            and (tombstone.record.host, tombstone.record.port) not in addresses
        ]

    def remove_until(
        self,
        name: str,
        order_key: OrderKey,
        cause: str,
    ) -> None:
        """Remove an upstream unless its record is later than ``order_key``."""
        existing = self._upstreams.get(name)
        if existing is not None and existing.record.order_key <= order_key:
            self.remove(name, cause)

    def _free_address(self, record: UpstreamRecord) -> bool:
        """Remove an earlier upstream that has the address of a new record.

        Return False where the known upstream started after the new one. A
        record of a service that no configuration names is no reason to remove
        or refuse another: it may be another writer's.
        """
        if not self._is_known(record.service):
            return True
        for upstream in list(self._upstreams.values()):
            existing = upstream.record
            if (existing.host, existing.port) != (record.host, record.port):
                continue
            if not self._is_known(existing.service):
                continue
            if existing.started_at > record.started_at:
                return False
            self.remove(existing.name, 'replaced')
        return True

    def _drop_old_tombstones(self) -> None:
        oldest = self._clock.now() - TOMBSTONE_MS
        self._tombstones = {
            name: tombstone
            for name, tombstone in self._tombstones.items()
            if tombstone.removed_at > oldest
        }


def silent_ms_by_group(
    upstreams: Iterable[Upstream],
) -> dict[GroupName | None, float]:
    """Return the time since the last event of each group's streams here."""
    silent_ms: dict[GroupName | None, float] = {}
    for upstream in upstreams:
        if upstream.in_flight:
            least_ms = silent_ms.get(upstream.group, upstream.silent_ms)
            silent_ms[upstream.group] = min(least_ms, upstream.silent_ms)
    return silent_ms


def _make_client(record: UpstreamRecord) -> HttpClient:
    return HttpClient(
        Address(record.host, record.port),
        connect_timeout_ms=CONNECT_TIMEOUT_MS,
    )


def _log_change(event: str, record: UpstreamRecord) -> None:
    _log.info(
        event,
        upstream=record.name,
        service=record.service,
        state=record.state.value,
        started_at=record.started_at,
        beat=record.sequence,
    )
