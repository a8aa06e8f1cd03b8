"""Hold this entry's view of the configuration and the upstreams."""

from __future__ import annotations

import msgspec

from ..clock import Clock
from ..logs import part_logger
from ..policy.upstreammemory import report_threshold
from ..types import DomainName, RegionName, ServiceName
from .deployment import CallerLimits, Deployment, Service
from .evacuations import Evacuations, EvacuationVersion, make_digest
from .peermessages import EvacuationReport
from .ports import Changes, Snapshot, StoreRecord, WireFormat
from .reporttrigger import ReportTrigger
from .upstreams import Directory
from .versionreports import DigestReports, NewerVersion, VersionReports

_log = part_logger('world')


class ConfigurationView(msgspec.Struct, frozen=True):
    """Describe how recent the configuration in force is.

    ``version`` is 0 before the first. ``read_age_ms`` is the time since the
    store last answered a read of the configuration, None before the first.
    ``reported_version`` is a later version that another entry has reported for
    ``reported_ms``, None where there is none.
    """

    version: int
    read_age_ms: int | None
    reported_version: int | None = None
    reported_ms: int | None = None


class ClusterState:
    """Apply updates from the store and from other entries in any order.

    The highest version of the configuration wins and is never rolled back.
    """

    def __init__(self, clock: Clock, wire_format: WireFormat) -> None:
        """Start without a configuration and without upstreams."""
        self._wire_format = wire_format
        self._deployment: Deployment | None = None
        self._clock = clock
        self._version_reports = VersionReports(clock)
        self._read_at: float | None = None
        self._report_trigger = ReportTrigger()
        self._evacuations = Evacuations(clock, self._report_trigger)
        self._evacuation_reports = DigestReports(clock)
        self._directory = Directory(
            clock, self._is_known, self._evacuations, self.service
        )

    @property
    def deployment(self) -> Deployment | None:
        """Return the configuration in force, None before the first."""
        return self._deployment

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first."""
        return 0 if self._deployment is None else self._deployment.version

    @property
    def caller_limits(self) -> CallerLimits:
        """Return the limits in force, the defaults before the first."""
        if self._deployment is None:
            return CallerLimits()
        return self._deployment.limits

    @property
    def newer_version(self) -> NewerVersion | None:
        """Return the reported later version, None once it is in force."""
        return self._version_reports.oldest_report()

    @property
    def configuration_view(self) -> ConfigurationView:
        """Return the version in force and what is known of its age."""
        now = self._clock.now()
        read_age_ms = (
            None if self._read_at is None else int(now - self._read_at)
        )
        newer = self.newer_version
        if newer is None:
            return ConfigurationView(self.version, read_age_ms)
        return ConfigurationView(
            self.version,
            read_age_ms,
            newer.version,
            int(now - newer.first_seen_at),
        )

    @property
    def report_trigger(self) -> ReportTrigger:
        """Return what has this entry's next report sent at once."""
        return self._report_trigger

    @property
    def directory(self) -> Directory:
        """Return the directory that upstream updates are applied to."""
        return self._directory

    @property
    def evacuations(self) -> Evacuations:
        """Return the evacuations of failure domains."""
        return self._evacuations

    @property
    def evacuation_reports(self) -> DigestReports:
        """Return which entries know other evacuations."""
        return self._evacuation_reports

    def service(self, name: ServiceName) -> Service | None:
        """Look up a service in the configuration in force."""
        if self._deployment is None:
            return None
        return self._deployment.services.get(name)

    def has_allowed(
        self, service: ServiceName, regions: frozenset[RegionName] | None
    ) -> bool:
        """Tell whether any upstream of a service is in one of some regions."""
        return regions is None or any(
            self._directory.is_allowed(upstream, regions)
            for upstream in self._directory.upstreams_of(service)
        )

    def is_evacuated(
        self,
        service: ServiceName,
        regions: frozenset[RegionName] | None = None,
    ) -> bool:
        """Tell whether all that accept calls are in evacuated domains.

        Where ``regions`` are given, only upstreams in one of them count.
        """
        directory = self._directory
        domains = {
            upstream.record.domain
            for upstream in directory.upstreams_of(service)
            if upstream.takes_calls and directory.is_allowed(upstream, regions)
        }
        return bool(domains) and domains <= self._evacuations.in_force

    def memory_tokens(self, name: ServiceName) -> int:
        """Return the memory of each upstream of a service, 0 if not stated."""
        service = self.service(name)
        if service is None or service.engine is None:
            return 0
        return service.engine.memory_tokens

    def tokens_to_report(self, entries: int) -> dict[str, int]:
        """Return what this entry's calls hold where others need to know."""
        held: dict[str, int] = {}
        for name in self._directory.names():
            upstream = self._directory.find(name)
            tokens = 0 if upstream is None else upstream.held_tokens
            if upstream is None or not tokens:
                continue
            memory = self.memory_tokens(upstream.record.service)
            if memory and tokens >= report_threshold(memory, entries):
                held[name] = tokens
        return held

    @property
    def complete(self) -> bool:
        """Tell whether a configuration and at least one upstream are known."""
        return self._deployment is not None and len(self._directory) > 0

    def record_peer_version(self, version: int, host: str) -> None:
        """Record another entry's configuration version if it is later."""
        if version > self.version:
            self._version_reports.record(version, host)

    def drop_version_report(self, host: str) -> None:
        """Drop the report of an entry that did not send its version.

        Its version stays overdue, and its next report names it again.
        """
        self._version_reports.drop_host(host)

    def record_configuration_read(self) -> None:
        """Record that the store has just answered a read of its topic."""
        self._read_at = self._clock.now()

    def apply_evacuations(self, update: Snapshot | Changes) -> None:
        """Apply an update of the configuration topic; ignore other keys."""
        if isinstance(update, Changes):
            for record in update.records:
                self._apply_evacuation(record, update.era)
        else:
            listed = [
                self._evacuated_domain(latest)
                for latest in update.records
                if latest.payload
            ]
            self._evacuations.apply_snapshot(
                {domain for domain in listed if domain},
                update.era,
                update.end,
                'store',
            )
        self._evacuations.settle()

    def apply_evacuation_reports(
        self, reports: list[EvacuationReport], host: str
    ) -> None:
        """Merge all evacuations that another entry knows."""
        self._evacuations.apply_reports(reports, host)
        self._evacuation_reports.record_merged(make_digest(reports), host)

    def apply_configuration(self, record: StoreRecord, source: str) -> None:
        """Apply a record of the configuration topic; ignore other keys."""
        is_configuration = record.key == self._wire_format.configuration_key
        if is_configuration and record.payload is not None:
            self.apply_deployment(record.payload, source)

    def apply_deployment(self, payload: bytes, source: str) -> bool:
        """Put a configuration in force if it is valid and newer.

        Return whether it was put in force.
        """
        deployment = self._wire_format.read_deployment(payload)
        if isinstance(deployment, str):
            _log.error(
                'invalid configuration ignored',
                source=source,
                cause=deployment,
            )
            return False
        if deployment.version <= self.version:
            return False
        earlier_view = self.configuration_view
        self._deployment = deployment
        self._version_reports.drop_until(deployment.version)
        # Entries that the store refuses can only read it from this one.
        self._report_trigger.request()
        _log.info(
            'configuration in force',
            version=deployment.version,
            earlier=earlier_view.version,
            reported_ms=earlier_view.reported_ms,
            read_age_ms=earlier_view.read_age_ms,
            routes=len(deployment.routes),
            source=source,
        )
        return True

    def apply_upstream(self, record: StoreRecord, source: str) -> None:
        """Apply an upstream's record; one without payload removes it."""
        if record.payload is None:
            self._directory.remove(record.key, source)
            return
        upstream = self._wire_format.read_upstream(record.key, record.payload)
        if isinstance(upstream, str):
            _log.warning(
                'invalid upstream record ignored',
                source=source,
                cause=upstream,
            )
            return
        self._directory.accept(upstream)

    def _apply_evacuation(self, record: StoreRecord, era: int) -> None:
        """Apply a record that was read at its offset."""
        domain = self._evacuated_domain(record)
        if domain is not None and record.offset is not None:
            self._evacuations.apply_change(
                domain,
                EvacuationVersion(era, record.offset, bool(record.payload)),
                'store',
            )

    def _evacuated_domain(self, record: StoreRecord) -> DomainName | None:
        """Return the domain of an evacuation's record, None for others."""
        prefix = self._wire_format.evacuation_prefix
        if not record.key.startswith(prefix):
            return None
        return DomainName(record.key.removeprefix(prefix)) or None

    def _is_known(self, name: ServiceName) -> bool:
        """Tell whether the configuration in force names a service."""
        return self.service(name) is not None
