"""Track the other entries: their hosts, liveness and the leader."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from msgspec.structs import replace

from ..clock import Clock
from ..logs import part_logger
from ..policy.membership import (
    Member,
    is_leader,
    is_live,
    is_outdated,
    is_successor,
    liveness_timeout_ms,
    report_rounds,
)

#: Time for which a host without reports still counts as one that may run an
#: entry, in ms: regions lose contact with each other for an hour at times, and
#: the entries of all regions share one bound on retries.
HOST_RETENTION_MS = 7_200_000.0
#: Most hosts that one report is sent to, and most that it names; where there
#: are more, each report uses a random sample.
MAX_REPORT_PEERS = 24
_log = part_logger('members')


class Members:
    """Keep the latest report of each other entry, and the known hosts."""

    def __init__(self, host: str, clock: Clock) -> None:
        """Start with this entry, on ``host``, as the only member."""
        self._clock = clock
        self._own = Member(host, clock.wall(), clock.now())
        self._reports: dict[str, Member] = {}
        self._listed_hosts: frozenset[str] = frozenset()
        self._reported_hosts: frozenset[str] = frozenset()
        self._seed_hosts: frozenset[str] = frozenset()
        self._was_leader = False

    @property
    def own(self) -> Member:
        """Return this entry as it describes itself in its reports."""
        return self._own

    @property
    def hosts(self) -> frozenset[str]:
        """Return the other hosts that may run an entry, live or not."""
        self._drop_old_reports()
        known = self._seed_hosts | self._listed_hosts | self._reported_hosts
        return (known | frozenset(self._reports)) - {self._own.host}

    @property
    def live_hosts(self) -> list[str]:
        """Return the hosts with a report within the liveness timeout."""
        return [member.host for member in self._live_members()]

    @property
    def live_starts(self) -> frozenset[tuple[str, int]]:
        """Return the host and the start of each live entry."""
        return frozenset(
            (member.host, member.started_at) for member in self._live_members()
        )

    @property
    def successor_count(self) -> int:
        """Count the entries that serve sync requests after this one exits."""
        return sum(
            is_successor(member, self._own) for member in self._live_members()
        )

    @property
    def was_leader(self) -> bool:
        """Return the result of the latest check of leadership."""
        return self._was_leader

    @property
    def count(self) -> int:
        """Count the entries that may be running, this one included."""
        return len(self.hosts) + 1

    @property
    def report_rounds(self) -> int:
        """Return after how many reports all entries have received one."""
        return report_rounds(self.count, MAX_REPORT_PEERS)

    @property
    def lost_hosts(self) -> frozenset[str]:
        """Return the listed hosts without reports for HOST_RETENTION_MS.

        The result is empty until this entry has run that long itself.
        """
        if self._clock.now() - self._own.last_seen_at < HOST_RETENTION_MS:
            return frozenset()
        self._drop_old_reports()
        reached = frozenset(self._reports) | self._reported_hosts
        return self._listed_hosts - reached - {self._own.host}

    def find(self, host: str) -> Member | None:
        """Return what an entry last reported of itself."""
        return self._reports.get(host)

    def check_leadership(self) -> bool:
        """Tell whether this entry is leader of the expert maps; log changes."""
        leading = is_leader(
            self._own,
            self._reports.values(),
            self._clock.now(),
            self._liveness_timeout_ms(),
        )
        if leading is not self._was_leader:
            self._was_leader = leading
            _log.info(
                'leadership changed',
                leading=leading,
                alive=len(self.live_hosts),
            )
        return leading

    def replace_seeds(self, hosts: Iterable[str]) -> None:
        """Replace the hosts that come from the settings."""
        self._seed_hosts = frozenset(hosts)

    def replace_listed(self, hosts: Iterable[str]) -> None:
        """Replace the hosts that come from the store's list of entries.

        Hosts that were only named in other entries' reports are dropped.
        """
        self._listed_hosts = frozenset(hosts)
        self._reported_hosts = frozenset()

    def add_reported(self, hosts: Collection[str]) -> None:
        """Add hosts that another entry reported as live."""
        self._reported_hosts |= frozenset(hosts)

    def record_report(self, member: Member) -> bool:
        """Replace what an entry last reported of itself.

        Return False for a report that is older than the last one.
        """
        known = self._reports.get(member.host)
        if is_outdated(member, known):
            return False
        if known is None:
            _log.info(
                'entry discovered',
                peer=member.host,
                started_at=member.started_at,
            )
        self._reports[member.host] = member
        return True

    def begin_shutdown(self) -> None:
        """Report from now on that this entry is shutting down."""
        self._own = replace(self._own, shutdown_at=self._clock.wall())

    def _live_members(self) -> list[Member]:
        now = self._clock.now()
        timeout_ms = self._liveness_timeout_ms()
        return [
            member
            for member in self._reports.values()
            if is_live(member, now, timeout_ms)
        ]

    def _liveness_timeout_ms(self) -> float:
        return liveness_timeout_ms(self.count, MAX_REPORT_PEERS)

    def _drop_old_reports(self) -> None:
        oldest = self._clock.now() - HOST_RETENTION_MS
        for host, member in list(self._reports.items()):
            if member.last_seen_at < oldest:
                del self._reports[host]
