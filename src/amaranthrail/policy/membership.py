"""Tell which entries live and which of them leads, from their own reports.

Load pattern: entries are killed, frozen, cut off and replaced while the
platform's store is down, at the crest of a wave too. The lead stays with the
entry that has run longest, so that it moves only when that one goes, and no
call to the store is needed for it.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

#: Time without a report after which an entry counts as gone, in ms; three
#: reports of an entry without calls.
LIVENESS_TIMEOUT_MS = 900.0
#: Time after its start in which an entry does not lead, in ms: it would have
#: heard one report of each other entry. A shorter time is safe, as it gives way
#: to one that has run longer.
LEADER_DELAY_MS = 400.0


class Member(msgspec.Struct, frozen=True):
    """Hold what an entry last said of itself, and when that was heard.

    ``started_at`` and ``shutdown_at`` are the wall times of its start and of
    its
    signal to stop in ms, the latter 0 before. They only order entries, so a
    wrong clock decides who leads and who ends last, and nothing else.
    ``has_cluster_state`` says that it knows a configuration and upstreams.
    """

    host: str
    started_at: int
    last_seen_at: float
    shutdown_at: int = 0
    has_cluster_state: bool = True

    @property
    def leaving(self) -> bool:
        """Tell whether it has got its signal to stop."""
        return self.shutdown_at > 0


def is_live(member: Member, now: float, life_ms: float) -> bool:
    """Tell whether an entry was heard lately."""
    return now - member.last_seen_at < life_ms


def is_leader(
    own: Member,
    others: Iterable[Member],
    now: float,
    life_ms: float = LIVENESS_TIMEOUT_MS,
) -> bool:
    """Tell whether an entry is the one of those alive that has run longest.

    ``own.last_seen_at`` is when it began to listen: it waits until it would
    have
    heard the others.
    """
    if own.leaving or now - own.last_seen_at < LEADER_DELAY_MS:
        return False
    return all(
        (own.started_at, own.host) < (one.started_at, one.host)
        for one in others
        if is_live(one, now, life_ms) and not one.leaving
    )


def runs_longer_than(other: Member, own: Member) -> bool:
    """Tell whether another entry can be asked after this one has ended.

    Of those that leave, the one that began last stays the longest.
    """
    if not other.has_cluster_state:
        return False
    return not other.leaving or (
        (other.shutdown_at, other.host) > (own.shutdown_at, own.host)
    )


def liveness_timeout_ms(entries: int, receivers: int) -> float:
    """Return how long an entry may be silent.

    Each report goes to some receivers of all entries, so a single pair talks
    less often the more entries there are.
    """
    rounds = -(-max(1, entries - 1) // receivers)
    return LIVENESS_TIMEOUT_MS * rounds
