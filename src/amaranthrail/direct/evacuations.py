"""Keep which failure domains are evacuated, by versions that only rise."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping

import msgspec
import xxhash

from ..clock import Clock
from ..logs import part_logger
from ..types import DomainName
from .peermessages import EvacuationReport
from .reporttrigger import ReportTrigger

#: Time after the first snapshot of an era in which the operator writes again
#: what the store has lost, in ms: the platform states about two seconds, as for
#: upstreams.
REWRITE_MS = 2200.0
_log = part_logger('evacuations')


class EvacuationVersion(msgspec.Struct, frozen=True, order=True):
    """Order what is known of one failure domain, later is greater.

    ``offset`` is that of the record in its topic. A record in a snapshot has
    the last offset before the snapshot's end, one that is missing there the end
    itself: a record that is written at the end counts as later.
    """

    era: int
    offset: int
    is_evacuated: bool


class _OpenSnapshot(msgspec.Struct, frozen=True):
    """Hold what the first snapshot of an era says until it is confirmed."""

    era: int
    end: int
    domains: frozenset[DomainName]
    confirmed_at: float


class Evacuations:
    """Merge evacuations from the store and from entries in any order.

    The highest version of a domain wins. Removals are kept as versions, so that
    an old report brings no evacuation back. A record in the first snapshot of
    an era may be older than what is known and may have been removed since: it
    is only in force where nothing is known of its domain, until REWRITE_MS have
    passed without a removal.
    """

    def __init__(
        self, clock: Clock, report_trigger: ReportTrigger | None = None
    ) -> None:
        """Start without evacuations; request a report at each change."""
        self._clock = clock
        self._report_trigger = report_trigger or ReportTrigger()
        self._known: dict[DomainName, EvacuationVersion] = {}
        self._unconfirmed: dict[DomainName, EvacuationVersion] = {}
        self._open_snapshot: _OpenSnapshot | None = None
        self._last_snapshot: _OpenSnapshot | None = None
        self._in_force: frozenset[DomainName] = frozenset()
        self._ended_at: dict[DomainName, float] = {}
        self._digest = 0
        self._withdrawn = 0

    @property
    def in_force(self) -> frozenset[DomainName]:
        """Return the evacuated domains."""
        return self._in_force

    @property
    def digest(self) -> int:
        """Return a checksum of all versions, 0 where there are none."""
        return self._digest

    @property
    def withdrawn(self) -> int:
        """Return how many attempts were withdrawn before they were sent."""
        return self._withdrawn

    @property
    def is_settling(self) -> bool:
        """Tell whether a snapshot is still to be confirmed."""
        return self._open_snapshot is not None

    def includes(self, domain: DomainName) -> bool:
        """Tell whether a domain is evacuated."""
        return domain in self._in_force

    def ended_at(self, domain: DomainName) -> float:
        """Return when a domain's last evacuation ended, -inf before one."""
        return self._ended_at.get(domain, -math.inf)

    def record_withdrawal(self) -> None:
        """Count an attempt that was not sent because of an evacuation."""
        self._withdrawn += 1

    def apply_change(
        self, domain: DomainName, version: EvacuationVersion, source: str
    ) -> None:
        """Apply a record that was read at its offset."""
        self._merge({domain: version}, source)

    def apply_snapshot(
        self, domains: Collection[DomainName], era: int, end: int, source: str
    ) -> None:
        """Apply the evacuations in a snapshot that ends before ``end``.

        Of domains whose version is of this era, the snapshot is as new as its
        end. About others it is confirmed by ``settle``.
        """
        listed = frozenset(domains)
        self._end_unconfirmed(listed, era, end, source)
        earlier = self._open_snapshot
        confirmed_at = self._clock.now() + REWRITE_MS
        if earlier is not None and earlier.era == era:
            confirmed_at = earlier.confirmed_at
        snapshot = _OpenSnapshot(era, end, listed, confirmed_at)
        self._merge(self._sure(snapshot), source)
        unsure = self._unsure(snapshot)
        self._open_snapshot = snapshot if unsure else None
        self._last_snapshot = snapshot
        if not era:
            # Nothing was lost before the first era.
            self._merge(unsure, source)
            self._open_snapshot = None
            return
        # Records from the snapshot's end on are still to be read.
        self._unconfirmed = {
            domain: version
            for domain, version in (self._unconfirmed | unsure).items()
            if version.is_evacuated
            and (
                domain in unsure or (version.era, version.offset) >= (era, end)
            )
        }
        self._refresh(source)

    def settle(self) -> None:
        """Confirm a snapshot once lost records have been written again."""
        snapshot = self._open_snapshot
        if snapshot is None or self._clock.now() < snapshot.confirmed_at:
            return
        self._open_snapshot = None
        self._merge(self._unsure(snapshot), 'settled')

    def report(self) -> list[EvacuationReport]:
        """Return all versions for another entry."""
        return [
            EvacuationReport(
                domain,
                version.era,
                version.offset,
                version.is_evacuated,
                is_confirmed,
            )
            for versions, is_confirmed in (
                (self._known, True),
                (self._unconfirmed, False),
            )
            for domain, version in sorted(versions.items())
        ]

    def apply_reports(
        self, reports: Iterable[EvacuationReport], source: str
    ) -> None:
        """Merge another entry's versions."""
        confirmed: dict[DomainName, EvacuationVersion] = {}
        for report in reports:
            domain = DomainName(report.domain)
            version = EvacuationVersion(
                report.era, report.offset, report.is_evacuated
            )
            removal = self._find_removal(domain, version)
            if removal is not None:
                confirmed[domain] = removal
            elif report.is_confirmed:
                confirmed[domain] = version
            elif domain not in self._known:
                self._unconfirmed.setdefault(domain, version)
        self._merge(confirmed, source)

    def _find_removal(
        self, domain: DomainName, reported: EvacuationVersion
    ) -> EvacuationVersion | None:
        """Return the removal of a reported evacuation, None without one.

        A domain that the last snapshot does not list is not kept where nothing
        was known of it, so a late report would bring its evacuation back.
        """
        last = self._last_snapshot
        if last is None or domain in self._known.keys() | last.domains:
            return None
        if reported.era != last.era or reported.offset >= last.end:
            return None
        if not reported.is_evacuated:
            return None
        return EvacuationVersion(last.era, last.end, is_evacuated=False)

    def _end_unconfirmed(
        self, listed: frozenset[DomainName], era: int, end: int, source: str
    ) -> None:
        """End what an earlier snapshot of the era had and a later one lacks.

        It was removed in this era, so others need not wait either.
        """
        removal = EvacuationVersion(era, end, is_evacuated=False)
        ended = {
            domain: removal
            for domain, version in self._unconfirmed.items()
            if domain not in listed
            and version.era == era
            and version.offset < end
        }
        self._merge(ended, source)

    def _read(
        self, snapshot: _OpenSnapshot
    ) -> dict[DomainName, EvacuationVersion]:
        """Return what a snapshot says of its domains and of those known."""
        return {
            domain: EvacuationVersion(
                snapshot.era,
                snapshot.end - (domain in snapshot.domains),
                domain in snapshot.domains,
            )
            for domain in snapshot.domains | self._known.keys()
            if self._differs(domain, snapshot)
        }

    def _differs(self, domain: DomainName, snapshot: _OpenSnapshot) -> bool:
        """Tell whether a snapshot says something new of a domain.

        A version is replaced only by another state or an evacuation of a later
        era: entries that know the same need no sync.
        """
        is_listed = domain in snapshot.domains
        known = self._known.get(domain)
        if known is None or known.is_evacuated != is_listed:
            return True
        return is_listed and known.era < snapshot.era

    def _sure(
        self, snapshot: _OpenSnapshot
    ) -> dict[DomainName, EvacuationVersion]:
        """Return what a snapshot says of domains with a version of its era."""
        return {
            domain: version
            for domain, version in self._read(snapshot).items()
            if self._known_era(domain) == snapshot.era
        }

    def _unsure(
        self, snapshot: _OpenSnapshot
    ) -> dict[DomainName, EvacuationVersion]:
        """Return what a snapshot says of domains without version of its era."""
        return {
            domain: version
            for domain, version in self._read(snapshot).items()
            if self._known_era(domain) < snapshot.era
        }

    def _known_era(self, domain: DomainName) -> int:
        known = self._known.get(domain)
        return -1 if known is None else known.era

    def _merge(
        self, versions: Mapping[DomainName, EvacuationVersion], source: str
    ) -> None:
        self._keep_latest(versions)
        if self._open_snapshot is not None:
            # It may be newer than the merged versions of its era.
            self._keep_latest(self._sure(self._open_snapshot))
        self._refresh(source)

    def _keep_latest(
        self, versions: Mapping[DomainName, EvacuationVersion]
    ) -> None:
        for domain, version in versions.items():
            known = self._known.get(domain)
            if known is None or version > known:
                self._known[domain] = version

    def _refresh(self, source: str) -> None:
        """Derive what is in force; log and report what has changed."""
        self._unconfirmed = {
            domain: version
            for domain, version in self._unconfirmed.items()
            if domain not in self._known
        }
        in_force = frozenset(
            domain
            for domain, version in (self._known | self._unconfirmed).items()
            if version.is_evacuated
        )
        changed = in_force ^ self._in_force
        self._in_force = in_force
        for domain in sorted(changed):
            if domain not in in_force:
                self._ended_at[domain] = self._clock.now()
            self._log_change(domain, source)
        digest = make_digest(self.report())
        if digest != self._digest:
            self._digest = digest
            # Entries that the store refuses can only hear it from this one.
            self._report_trigger.request()

    def _log_change(self, domain: DomainName, source: str) -> None:
        version = self._known.get(domain) or self._unconfirmed.get(domain)
        event = 'evacuation of a domain ended'
        if domain in self._in_force:
            event = 'domain evacuated'
        _log.info(
            event,
            domain=domain,
            era=None if version is None else version.era,
            offset=None if version is None else version.offset,
            confirmed=domain in self._known,
            evacuated=sorted(self._in_force),
            source=source,
        )


def make_digest(reports: list[EvacuationReport]) -> int:
    """Return the checksum of the versions that an entry has sent."""
    if not reports:
        return 0
    return xxhash.xxh32_intdigest(msgspec.msgpack.encode(reports)) or 1
