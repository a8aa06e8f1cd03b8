"""Keep what organisations ask of each service, at all entries."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable
from heapq import nlargest
from operator import attrgetter

import msgspec

from ..clock import MS_PER_SECOND, Clock
from ..policy.fairness import (
    DEMAND_HALF_LIFE_MS,
    ShareCredit,
    decay_weight,
    find_share,
)
from ..types import OrganisationName, ServiceName
from .peermessages import DemandReport

#: Organisations that one report names for each service, the largest ones: a
#: name takes some ten bytes, and a deployment has a few large organisations.
REPORTED_ORGANISATIONS = 6
#: Services in one report.
REPORTED_SERVICES = 8
#: Age from which a report is not used any more, in ms; an entry that is under
#: pressure reports every 100 ms, and single datagrams get lost.
REPORT_EXPIRY_MS = 500.0
#: Unit of reported demand, in mean streams per second.
DEMAND_UNIT = 0.1
#: Weight below which a demand is dropped, in mean streams.
MIN_WEIGHT = 0.01
#: Demand of a steady rate, in mean streams per second by weight.
_PER_S = math.log(2) * MS_PER_SECOND / DEMAND_HALF_LIFE_MS


class _Demand(msgspec.Struct):
    """Hold the decayed weight of an organisation's requests at one entry."""

    weight: float
    updated_at: float

    def at(self, now: float) -> float:
        return decay_weight(self.weight, now - self.updated_at)


class _Received(msgspec.Struct, frozen=True):
    received_at: float
    reports: tuple[DemandReport, ...]


class OrganisationDemands:
    """Find the organisations that ask for more than their share."""

    def __init__(self, clock: Clock) -> None:
        """Start without demand and without reports."""
        self._clock = clock
        self._own: dict[ServiceName, dict[str, _Demand]] = {}
        self._received: dict[str, _Received] = {}
        self._credits: defaultdict[tuple[ServiceName, str], ShareCredit] = (
            defaultdict(ShareCredit)
        )

    def record_request(
        self,
        service: ServiceName,
        organisation: OrganisationName | None,
        size: float,
    ) -> None:
        """Add a caller's first request, of ``size`` mean streams."""
        now = self._clock.now()
        demands = self._own.setdefault(service, {})
        name = organisation or ''
        earlier = demands.get(name)
        weight = size if earlier is None else size + earlier.at(now)
        demands[name] = _Demand(weight, now)

    def is_above_share(
        self,
        service: ServiceName,
        organisation: OrganisationName | None,
        capacity_per_s: float,
    ) -> bool:
        """Tell whether a first request is above its organisation's share.

        ``capacity_per_s`` is what the service can serve, in mean streams.
        """
        demands: defaultdict[str, float] = defaultdict(float)
        demands.update(self._own_demands(service))
        reports = self._reports(service)
        for report in reports:
            for reported, units in report.organisations.items():
                demands[reported] += DEMAND_UNIT * units
        other_demand = DEMAND_UNIT * sum(map(attrgetter('rest'), reports))
        name = organisation or ''
        share = find_share(name, demands, other_demand, capacity_per_s)
        return self._credits[service, name].is_above(share)

    def report(self, services: Iterable[ServiceName]) -> list[DemandReport]:
        """Return the largest demands of some services."""
        reports: list[DemandReport] = []
        for service in list(services)[:REPORTED_SERVICES]:
            demands = self._own_demands(service)
            names = nlargest(
                REPORTED_ORGANISATIONS, demands, demands.__getitem__
            )
            largest = {name: demands[name] for name in names}
            rest = sum(demands.values()) - sum(largest.values())
            units = {
                name: round(demand / DEMAND_UNIT)
                for name, demand in largest.items()
            }
            reports.append(
                DemandReport(service, units, round(rest / DEMAND_UNIT))
            )
        return reports

    def apply_report(self, host: str, reports: list[DemandReport]) -> None:
        """Replace what an entry has reported."""
        if reports:
            valid = tuple(reports[:REPORTED_SERVICES])
            self._received[host] = _Received(self._clock.now(), valid)
        else:
            self._received.pop(host, None)

    def _own_demands(self, service: ServiceName) -> dict[str, float]:
        """Return this entry's demands per second, without those long past."""
        now = self._clock.now()
        demands = {
            name: demand
            for name, demand in self._own.get(service, {}).items()
            if demand.at(now) >= MIN_WEIGHT
        }
        self._own[service] = demands
        return {name: _PER_S * one.at(now) for name, one in demands.items()}

    def _reports(self, service: ServiceName) -> list[DemandReport]:
        oldest = self._clock.now() - REPORT_EXPIRY_MS
        return [
            report
            for received in self._received.values()
            if received.received_at >= oldest
            for report in received.reports
            if report.service == service
        ]
