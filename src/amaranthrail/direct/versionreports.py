"""Keep which entries have reported what this one does not know."""

from __future__ import annotations

import msgspec

from ..clock import Clock


class NewerVersion(msgspec.Struct, frozen=True):
    """Name a later version of the configuration and the entries that have it.

    ``first_seen_at`` is the clock time in ms of its first report; ``hosts`` are
    empty where none of its reporters responds.
    """

    version: int
    hosts: tuple[str, ...]
    first_seen_at: float


class VersionReports:
    """Record versions until they are in force, whoever reported them first."""

    def __init__(self, clock: Clock) -> None:
        """Start without reports."""
        self._clock = clock
        self._version_by_host: dict[str, int] = {}
        self._first_seen_at: dict[int, float] = {}

    def record(self, version: int, host: str) -> None:
        """Replace the version that an entry last reported."""
        self._version_by_host[host] = version
        self._first_seen_at.setdefault(version, self._clock.now())

    def drop_host(self, host: str) -> None:
        """Forget an entry that does not respond until its next report.

        The time at which its version was first seen is kept.
        """
        self._version_by_host.pop(host, None)

    def drop_until(self, version: int) -> None:
        """Forget versions that are in force or older."""
        self._first_seen_at = {
            later: first_seen_at
            for later, first_seen_at in self._first_seen_at.items()
            if later > version
        }
        self._version_by_host = {
            host: later
            for host, later in self._version_by_host.items()
            if later > version
        }

    def oldest_report(self) -> NewerVersion | None:
        """Return the version that was reported first, with all who have it."""
        if not self._first_seen_at:
            return None
        version = min(self._first_seen_at, key=self._first_seen_at.__getitem__)
        hosts = tuple(
            host
            for host, later in self._version_by_host.items()
            if later >= version
        )
        return NewerVersion(version, hosts, self._first_seen_at[version])


class _DigestReport(msgspec.Struct, frozen=True):
    digest: int
    first_seen_at: float


class DigestReports:
    """Keep which entries report another state than this one's.

    States are told apart by their checksums, 0 for an empty one. An entry whose
    state has been merged is not asked for the same one again, also where this
    entry knows more.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without reports."""
        self._clock = clock
        self._reports: dict[str, _DigestReport] = {}
        self._merged: dict[str, int] = {}

    def record(self, digest: int, host: str) -> None:
        """Replace the checksum that an entry last reported."""
        known = self._reports.get(host)
        if known is None or known.digest != digest:
            self._reports[host] = _DigestReport(digest, self._clock.now())

    def record_merged(self, digest: int, host: str) -> None:
        """Record that an entry's state with this checksum is known here."""
        self._merged[host] = digest

    def drop_host(self, host: str) -> None:
        """Forget an entry that does not respond until its next report."""
        self._reports.pop(host, None)

    def overdue_hosts(self, own_digest: int, overdue_ms: float) -> list[str]:
        """Return the entries that have reported another state for so long."""
        seen_until = self._clock.now() - overdue_ms
        return sorted(
            host
            for host, report in self._reports.items()
            if report.digest not in {0, own_digest, self._merged.get(host)}
            and report.first_seen_at <= seen_until
        )
