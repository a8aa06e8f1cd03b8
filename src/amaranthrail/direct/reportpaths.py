"""Keep on which paths reports of other entries arrive, and plan this one's."""

from __future__ import annotations

import random

from ..clock import Clock
from ..logs import part_logger
from ..policy.reportpaths import (
    DETOUR_MS,
    Peer,
    ReportPlan,
    is_missed,
    plan_report,
)
from .members import MAX_REPORT_PEERS, Members
from .peermessages import LoadReport

#: Least time between two lines on missed entries, in ms.
_LOG_INTERVAL_MS = 1000.0
_log = part_logger('paths')


class ReportPaths:
    """Decide where this entry's reports go and which ones it forwards."""

    def __init__(self, members: Members, domain: str, clock: Clock) -> None:
        """Start without reports; ``domain`` is this entry's, '' if unknown."""
        self._members = members
        self._domain = domain
        self._clock = clock
        # Different entries start at different forwarders.
        self._turn = random.randrange(MAX_REPORT_PEERS)
        self._heard_at: dict[str, float] = {}
        self._detour_until: dict[str, float] = {}
        self._missed: tuple[str, ...] = ()
        self._logged_at = -_LOG_INTERVAL_MS
        self._relayed_count = 0

    @property
    def relayed_count(self) -> int:
        """Return to how many domains the last report went by a forwarder."""
        return self._relayed_count

    @property
    def missed(self) -> list[str]:
        """Return the entries that are not heard on the usual path."""
        return list(self._missed)

    def plan_next(self) -> ReportPlan:
        """Return where this entry's next report goes."""
        self._turn += 1
        now = self._clock.now()
        rounds = self._members.report_rounds
        peers = self._describe_peers(now)
        plan = plan_report(self._domain, peers, self._turn, now, rounds)
        missed: tuple[str, ...] = ()
        if plan.forwarders:
            missed = tuple(
                peer.host for peer in peers if is_missed(peer, now, rounds)
            )
        self._log_changes(plan, missed, now)
        self._missed = missed[:MAX_REPORT_PEERS]
        self._relayed_count = len(plan.forwarders)
        return plan

    def record_received(self, report: LoadReport, sender: str) -> bool:
        """Record on which path a report has come, and what it asks for.

        Return whether its entry has just begun to miss this one: the next
        report is sent to it at once, as it may be 900 ms late otherwise.
        """
        now = self._clock.now()
        origin = report.path.origin or sender
        if origin == sender or self._is_near(sender):
            self._heard_at[origin] = now
        if self._members.own.host not in report.path.missed:
            return False
        earlier_until = self._detour_until.get(origin, 0)
        self._detour_until[origin] = now + DETOUR_MS
        return earlier_until < now

    def forward_hosts(self, report: LoadReport, sender: str) -> list[str]:
        """Return the hosts that a report of another domain is forwarded to."""
        path = report.path
        if path.origin or not path.is_relayed:
            return []
        near = [
            host for host in self._members.live_hosts if self._is_near(host)
        ]
        asked = self._members.hosts.intersection(path.detours)
        return sorted(asked.union(near).difference({sender}))

    def _is_near(self, host: str) -> bool:
        if not self._domain:
            return False
        member = self._members.find(host)
        return member is not None and member.domain == self._domain

    def _describe_peers(self, now: float) -> list[Peer]:
        hosts = self._members.hosts
        live_hosts = frozenset(self._members.live_hosts)
        for times in (self._heard_at, self._detour_until):
            for host in times.keys() - hosts:
                del times[host]
        peers = []
        for host in sorted(hosts):
            member = self._members.find(host)
            if member is None:
                peers.append(Peer(host))
                continue
            peers.append(
                Peer(
                    host,
                    member.domain,
                    host in live_hosts,
                    member.is_shutting_down,
                    member.last_seen_at,
                    self._heard_at.get(host, 0),
                    now < self._detour_until.get(host, 0),
                )
            )
        return peers

    def _log_changes(
        self, plan: ReportPlan, missed: tuple[str, ...], now: float
    ) -> None:
        if len(plan.forwarders) != self._relayed_count:
            _log.info(
                'report paths changed',
                domain=self._domain,
                relayed_domains=len(plan.forwarders),
                direct=len(plan.direct),
                alive=len(self._members.live_hosts),
            )
        if missed == self._missed or now - self._logged_at < _LOG_INTERVAL_MS:
            return
        self._logged_at = now
        _log.info(
            'entries not heard on the usual path',
            missed=list(missed),
            earlier=list(self._missed),
            detours=list(plan.detours),
        )
