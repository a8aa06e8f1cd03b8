"""Choose which entries a report goes to, and which pass it on.

Load pattern: some fifteen entries in three failure domains report their calls
to each other ten times a second, at a load peak and all day. Bytes between
failure domains are billed, so a report crosses to another domain once, and the
entry that receives it forwards it within that domain. Hosts are killed and
datagrams are lost meanwhile, and two domains may lose contact with each other
while a third reaches both.

The forwarder changes with each report. An entry that does not hear another one
on the usual path names it in its reports. For some seconds, the other sends its
reports straight to that entry as well, and has the forwarders of all domains
pass them on to it.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Sequence

import msgspec

#: Fewest live entries of another domain for which one of them forwards.
MIN_DOMAIN_ENTRIES = 2
#: Time without a report on the usual path after which an entry is missed, in
#: ms: the longest interval between reports and half of it again. The next
#: report follows within 300 ms, so reports stop for less than a second.
MISSED_MS = 450.0
#: Time without a report on any path after which an entry is not missed any
#: more, in ms: by then it has stopped, or no path leads to it.
GIVE_UP_MS = 3000.0
#: Time for which reports take a detour after it was last asked for, in ms. Each
#: end of a detour in a lasting cut costs a gap of MISSED_MS.
DETOUR_MS = 5000.0
#: One in so many reports is also sent to an entry that is not heard from in a
#: domain with live entries. These tell each other of its return anyway.
PROBE_ROUNDS = 10
#: Time for which a change of entries or groups is named in full, in ms: three
#: turns of 72 upstreams at 16 in each report of an idle leader.
NEWS_MS = 5000.0
#: Time in which the receiving task resumes if nothing arrives, in ms.
RECEIVE_TICK_MS = 100.0
#: Time without a resumption from which the process counts as suspended, in ms.
SUSPENDED_MS = 250.0
#: Time after a suspension in which nothing is forwarded, in ms: the reports
#: that have waited are read in some 50.
RESUME_MS = 250.0


class Peer(msgspec.Struct, frozen=True):
    """Describe another host that may run an entry.

    ``domain`` is its failure domain, '' where unknown. ``seen_at`` is the local
    time in ms of its last report on any path, ``heard_at`` that of its last one
    on the usual path. ``wants_detour`` says that it does not hear this entry.
    """

    host: str
    domain: str = ''
    is_live: bool = False
    is_shutting_down: bool = False
    seen_at: float = 0
    heard_at: float = 0
    wants_detour: bool = False


class ReportPlan(msgspec.Struct, frozen=True):
    """Hold the hosts that one report goes to.

    ``direct`` receive it and keep it. ``forwarders``, one for each other
    domain, forward it within their domain and to ``detours``.
    """

    direct: tuple[str, ...]
    forwarders: tuple[str, ...] = ()
    detours: tuple[str, ...] = ()


def is_missed(peer: Peer, now: float, rounds: int = 1) -> bool:
    """Tell whether a running entry is not heard on the usual path.

    ``rounds`` is after how many reports of an entry all have received one.
    """
    return (
        bool(peer.domain)
        and not peer.is_shutting_down
        and now - peer.heard_at > MISSED_MS * rounds
        and now - peer.seen_at < GIVE_UP_MS * rounds
    )


def plan_report(
    own_domain: str,
    peers: Collection[Peer],
    turn: int,
    now: float,
    rounds: int = 1,
) -> ReportPlan:
    """Return where report number ``turn`` of an entry goes.

    Without two live entries in another domain it goes to all hosts directly,
    and so it does to hosts whose domain is unknown.
    """
    relayed = _relayed_domains(own_domain, peers)
    if not relayed:
        return ReportPlan(tuple(peer.host for peer in peers))
    detours = tuple(
        peer.host
        for peer in peers
        if peer.wants_detour or is_missed(peer, now, rounds)
    )
    direct = {peer.host for peer in peers if peer.domain not in relayed}
    lost = [
        peer.host
        for peer in peers
        if peer.domain in relayed and not peer.is_live
    ]
    if lost and turn % PROBE_ROUNDS == 0:
        direct.add(lost[turn // PROBE_ROUNDS % len(lost)])
    forwarders = [
        _choose_forwarder(members, turn, now) for members in relayed.values()
    ]
    return ReportPlan(
        tuple(sorted(direct.union(detours).difference(forwarders))),
        tuple(forwarders),
        detours,
    )


def _relayed_domains(
    own_domain: str, peers: Collection[Peer]
) -> dict[str, list[Peer]]:
    """Return the live entries of each other domain with enough of them."""
    by_domain: dict[str, list[Peer]] = defaultdict(list)
    for peer in peers:
        if peer.is_live and peer.domain not in {'', own_domain}:
            by_domain[peer.domain].append(peer)
    return {
        domain: members
        for domain, members in by_domain.items()
        if own_domain and len(members) >= MIN_DOMAIN_ENTRIES
    }


def _choose_forwarder(members: Sequence[Peer], turn: int, now: float) -> str:
    """Return a member in turn, one that was heard lately if there is one."""
    staying = [peer for peer in members if not peer.is_shutting_down]
    heard = [peer for peer in staying if now - peer.heard_at <= MISSED_MS]
    hosts = sorted(peer.host for peer in heard or staying or members)
    return hosts[turn % len(hosts)]


class RecentChange:
    """Tell whether what reports name has changed within NEWS_MS."""

    def __init__(self) -> None:
        """Start with nothing to name."""
        self._latest: object = None
        self._changed_at = 0.0

    def update(self, latest: object, now: float) -> bool:
        """Set what there is to name; return whether it changed lately."""
        if latest != self._latest:
            self._latest = latest
            self._changed_at = now
        return now - self._changed_at < NEWS_MS


class SuspensionGuard:
    """Tell whether a report that is read now has just arrived.

    A process that was suspended finds reports of seconds ago. Forwarded as new
    ones, they would count entries as live that have been killed since.
    """

    def __init__(self, now: float) -> None:
        """Start as a process that runs."""
        self._resumed_at = now
        self._held_until = 0.0

    def resume(self, now: float) -> bool:
        """Record that the receiving task runs; return whether to forward."""
        if now - self._resumed_at > SUSPENDED_MS:
            self._held_until = now + RESUME_MS
        self._resumed_at = now
        return now >= self._held_until
