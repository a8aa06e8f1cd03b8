"""Limit the calls to cold upstreams, with the other entries."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

import msgspec

from ..clock import Clock
from ..logs import part_logger
from ..policy.ratesharing import EntryUse
from ..policy.warmup import (
    WINDOW_MS,
    WarmupLimit,
    WarmupPermits,
    entry_rate,
)
from ..types import DomainName, ServiceName
from .deployment import Service, UpstreamRecord
from .evacuations import Evacuations
from .peermessages import ColdReport, ColdUse
from .ratelimits import OWN_SOURCE, SAME_RESPONSE_MS, LimitSharing
from .settings import ColdLimits

_log = part_logger('cold')


class _PeerUse(msgspec.Struct, frozen=True):
    """Hold an entry's last report: demand by service, calls by upstream."""

    received_at: float
    demands: dict[str, float]
    calls: dict[str, int]


class ColdSharing:
    """Hold what decides this entry's part of cold upstreams' calls."""

    def __init__(
        self,
        sharing: LimitSharing,
        evacuations: Evacuations,
        find_service: Callable[[ServiceName], Service | None] | None = None,
    ) -> None:
        """Start without reports.

        ``find_service`` returns a service of the configuration, by default
        none.
        """
        self._sharing = sharing
        self._evacuations = evacuations
        self._find_service = find_service or dict[ServiceName, Service]().get
        self._bounds = ColdLimits()
        self._peers: dict[str, _PeerUse] = {}
        self._reported_demand: dict[ServiceName, float] = {}
        self._withdrawn = 0

    @property
    def clock(self) -> Clock:
        """Return the clock of all times in the limits."""
        return self._sharing.clock

    @property
    def withdrawn(self) -> int:
        """Return how many attempts found no permit as they were to be sent."""
        return self._withdrawn

    @property
    def is_fresh(self) -> bool:
        """Tell whether an earlier process may have calls in the window."""
        return self._sharing.running_ms < WINDOW_MS

    def apply_bounds(self, bounds: ColdLimits) -> None:
        """Use changed settings."""
        self._bounds = bounds

    def record_withdrawal(self) -> None:
        """Count an attempt that was not sent for want of a permit."""
        self._withdrawn += 1

    def cold_start_ms(self, service: ServiceName) -> float | None:
        """Return for how long upstreams are cold, None where never."""
        found = self._find_service(service)
        if found is None or not found.cold_per_s:
            return None
        return found.cold_start_ms

    def find_limit(self, service: ServiceName) -> WarmupLimit | None:
        """Return the limit of a service's cold upstreams, None without one."""
        found = self._find_service(service)
        if found is None or not found.cold_per_s:
            return None
        per_s = found.cold_per_s
        return WarmupLimit(
            per_s,
            per_s * self._bounds.overage + self._bounds.slack,
            self._sharing.entries,
        )

    def rate_per_s(self, service: ServiceName, limit: WarmupLimit) -> float:
        """Return the rate of this entry's permits for one upstream."""
        oldest = self.clock.now() - self._sharing.silence_ms
        others = [
            EntryUse(peer.demands[service], 0)
            for peer in self._peers.values()
            if peer.received_at >= oldest and service in peer.demands
        ]
        demand = self._reported_demand.get(service)
        if demand is None:
            demand = self._sharing.demand(service)
        return entry_rate(limit, EntryUse(demand, 0), others)

    def other_calls(self, upstream: str) -> int:
        """Return the calls of others in the window, as they reported them."""
        oldest = self.clock.now() - WINDOW_MS
        return sum(
            peer.calls.get(upstream, 0)
            for peer in self._peers.values()
            if peer.received_at >= oldest
        )

    def ended_at(self, domain: DomainName) -> float:
        """Return when a domain's last evacuation ended."""
        return self._evacuations.ended_at(domain)

    def make_reports(
        self, uses: Iterable[tuple[ServiceName, ColdUse | None]]
    ) -> list[ColdReport]:
        """Return the reports on cold upstreams, by service."""
        by_service: dict[ServiceName, list[ColdUse]] = {}
        for service, use in uses:
            of_service = by_service.setdefault(service, [])
            if use is not None:
                of_service.append(use)
        self._reported_demand = {
            name: self._sharing.demand(name) for name in by_service
        }
        return [
            ColdReport(name, demand, by_service[name])
            for name, demand in self._reported_demand.items()
        ]

    def apply_reports(self, reports: Iterable[ColdReport], host: str) -> None:
        """Replace what another entry has reported."""
        demands = {report.service: report.demand for report in reports}
        calls = {
            use.upstream: use.calls for report in reports for use in report.uses
        }
        self._peers[host] = _PeerUse(self.clock.now(), demands, calls)


class ColdLimit:
    """Tell whether one start of an upstream is cold, and bound its calls.

    What the upstream has stated in a response goes before the time since its
    start. After its domain's evacuation it counts as cold until it has stated
    more: it may have become cold again meanwhile, and got no call to say so.
    """

    def __init__(self, record: UpstreamRecord, sharing: ColdSharing) -> None:
        """Start with a full bucket unless the entry itself has just started."""
        self._name = record.name
        self._service = record.service
        self._domain = record.domain
        self._sharing = sharing
        self._clock = sharing.clock
        now = self._clock.now()
        self._born_at = now + record.started_at - self._clock.wall()
        self._until = now + record.cold_ms
        self._stated_at = -math.inf
        self._is_own_statement = False
        permits = 0.0 if sharing.is_fresh else math.inf
        self._permits = WarmupPermits(now, permits)

    @property
    def remaining_ms(self) -> float:
        """Return for how long the upstream is cold, 0 for a warm one."""
        cold_start_ms = self._sharing.cold_start_ms(self._service)
        if cold_start_ms is None:
            return 0
        now = self._clock.now()
        until = self._until
        if self._stated_at == -math.inf:
            # Hosts' clocks differ: a start in the future is one just now.
            until = max(until, min(self._born_at, now) + cold_start_ms)
        ended_at = self._sharing.ended_at(self._domain)
        if ended_at > self._stated_at:
            until = max(until, ended_at + cold_start_ms)
        return max(0, until - now)

    @property
    def wait_ms(self) -> float:
        """Return the time until a cold upstream may get a call, 0 for now."""
        if not self.remaining_ms:
            return 0
        limit = self._sharing.find_limit(self._service)
        if limit is None:
            return 0
        now = self._clock.now()
        rate_per_s = self._sharing.rate_per_s(self._service, limit)
        self._permits.fill(now, rate_per_s, limit.burst)
        used = self._permits.count_calls(now)
        used += self._sharing.other_calls(self._name)
        return self._permits.wait_ms(limit, rate_per_s, used)

    def try_take(self) -> bool:
        """Take the permit of a call that is sent now, if there is one.

        Calls to a warm upstream are counted too: it may become cold in the next
        moment.
        """
        if self._sharing.cold_start_ms(self._service) is None:
            return True
        if self.wait_ms:
            self._sharing.record_withdrawal()
            return False
        if not self.remaining_ms:
            self._fill()
        self._permits.take(self._clock.now())
        return True

    def apply_record(self, record: UpstreamRecord) -> None:
        """Apply a later record of the same start."""
        if record.cold_ms:
            until = self._clock.now() + record.cold_ms
            self._change(max(self._until, until), 'record')

    def record_statement(self, remaining_ms: float) -> None:
        """Record how long the upstream says in a response that it is cold."""
        self._state(remaining_ms, self._clock.now(), OWN_SOURCE)

    def report(self) -> ColdUse | None:
        """Return what other entries need to know, None for nothing."""
        now = self._clock.now()
        calls = self._permits.count_calls(now)
        stated_age_ms = now - self._stated_at
        is_news = self._is_own_statement and stated_age_ms < WINDOW_MS
        if not calls and not is_news:
            return None
        return ColdUse(
            self._name,
            calls,
            round(self.remaining_ms),
            round(stated_age_ms) if is_news else None,
        )

    def apply_use(self, use: ColdUse, host: str) -> None:
        """Apply what the upstream has stated to another entry."""
        if use.stated_age_ms is None:
            return
        stated_at = self._clock.now() - use.stated_age_ms
        if stated_at > self._stated_at + SAME_RESPONSE_MS:
            self._state(use.remaining_ms, stated_at, host)

    def _fill(self) -> None:
        limit = self._sharing.find_limit(self._service)
        if limit is not None:
            rate_per_s = self._sharing.rate_per_s(self._service, limit)
            self._permits.fill(self._clock.now(), rate_per_s, limit.burst)

    def _state(
        self, remaining_ms: float, stated_at: float, source: str
    ) -> None:
        self._stated_at = stated_at
        self._is_own_statement = source == OWN_SOURCE
        self._change(self._clock.now() + remaining_ms, source)

    def _change(self, until: float, source: str) -> None:
        now = self._clock.now()
        was_cold = self._until > now
        self._until = until
        limit = self._sharing.find_limit(self._service)
        if until > now and not was_cold and limit is not None:
            _log.info(
                'upstream is cold',
                upstream=self._name,
                remaining_ms=int(until - now),
                per_s=limit.per_s,
                bound=limit.bound,
                entries=limit.entries,
                source=source,
            )
