"""Know the other entries: where they are, who lives, who leads."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from msgspec.structs import replace

from ..clock import Clock
from ..logs import part_logger
from ..policy.membership import (
    Member,
    is_leader,
    is_live,
    liveness_timeout_ms,
    runs_longer_than,
)

#: Time for which a host that fell silent still counts as one that may run an
#: entry, in ms: regions lose each other for an hour now and then, and repeats
#: of all entries have one bound.
MEMORY_MS = 7_200_000.0
#: Entries that get one report; more take turns.
MAX_RECEIVERS = 24
_log = part_logger('members')


class Members:
    """Keep what entries last said of themselves."""

    def __init__(self, host: str, clock: Clock) -> None:
        """Take this entry's host; nobody else is known."""
        self._clock = clock
        self._own = Member(host, clock.wall(), clock.now())
        self._heard: dict[str, Member] = {}
        self._listed: frozenset[str] = frozenset()
        self._named: frozenset[str] = frozenset()
        self._seeds: frozenset[str] = frozenset()
        self._led = False

    @property
    def own(self) -> Member:
        """Return what this entry says of itself."""
        return self._own

    @property
    def hosts(self) -> frozenset[str]:
        """Return the other hosts that may run an entry."""
        self._forget_old()
        known = self._seeds | self._listed | self._named
        return (known | frozenset(self._heard)) - {self._own.host}

    @property
    def alive(self) -> list[str]:
        """Return the hosts of the entries that were heard lately."""
        return [one.host for one in self._living()]

    @property
    def successors(self) -> int:
        """Return how many other entries can be asked once this one ends."""
        return sum(runs_longer_than(one, self._own) for one in self._living())

    @property
    def count(self) -> int:
        """Return how many entries there may be, this one included."""
        return len(self.hosts) + 1

    @property
    def long_lost(self) -> frozenset[str]:
        """Return the listed hosts that have not been heard for long."""
        if self._clock.now() - self._own.last_seen_at < MEMORY_MS:
            return frozenset()
        self._forget_old()
        reached = frozenset(self._heard) | self._named
        return self._listed - reached - {self._own.host}

    def check_lead(self) -> bool:
        """Tell whether this entry leads the expert maps; log a change."""
        leading = is_leader(
            self._own,
            self._heard.values(),
            self._clock.now(),
            self._life_ms(),
        )
        if leading is not self._led:
            self._led = leading
            _log.info('lead changed', leading=leading, alive=len(self.alive))
        return leading

    def take_seeds(self, hosts: Iterable[str]) -> None:
        """Take the hosts that the settings name."""
        self._seeds = frozenset(hosts)

    def take_listed(self, hosts: Iterable[str]) -> None:
        """Take the hosts that the store lists, in place of all named before."""
        self._listed = frozenset(hosts)
        self._named = frozenset()

    def note_named(self, hosts: Collection[str]) -> None:
        """Take hosts that another entry has heard lately."""
        self._named |= frozenset(hosts)

    def note_heard(self, member: Member) -> None:
        """Take an entry's word of itself."""
        if member.host not in self._heard:
            _log.info(
                'entry heard',
                peer=member.host,
                started_at=member.started_at,
            )
        self._heard[member.host] = member

    def leave(self) -> None:
        """Say from now on that this entry leaves."""
        self._own = replace(self._own, shutdown_at=self._clock.wall())

    def _living(self) -> list[Member]:
        """Return the other entries that were heard lately."""
        now = self._clock.now()
        life = self._life_ms()
        return [one for one in self._heard.values() if is_live(one, now, life)]

    def _life_ms(self) -> float:
        return liveness_timeout_ms(self.count, MAX_RECEIVERS)

    def _forget_old(self) -> None:
        oldest = self._clock.now() - MEMORY_MS
        for host, member in list(self._heard.items()):
            if member.last_seen_at < oldest:
                del self._heard[host]
