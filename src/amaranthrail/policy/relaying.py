"""Decide which ranks' preparations another entry sends.

Load pattern: demand for experts shifts every two to three seconds in a group
of 72 ranks in three failure domains. Every rank gets the whole map of some
10 KB, two thirds of them in other domains than the leader, whose link may take
14 Mbit/s. One copy to each other domain is a small part of these bytes and
leaves the leader's link the orders to the ranks of its own domain.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence

import msgspec

#: Most ranks of a group that get all preparations from the leader: their maps
#: are small, and a relay adds its own delay and failures.
MAX_DIRECT_RANKS = 40


class RankPlace(msgspec.Struct, frozen=True):
    """Hold the upstream name and the failure domain of a rank."""

    name: str
    domain: str


def relayed_domains(
    own_domain: str,
    ranks: Collection[RankPlace],
    live_domains: Collection[str],
) -> frozenset[str]:
    """Return the failure domains whose ranks get a preparation by a relay.

    These are all domains but the leader's with live entries, '' for unknown
    domains excepted, if the group is large.
    """
    if len(ranks) <= MAX_DIRECT_RANKS or not own_domain:
        return frozenset()
    domains = {rank.domain for rank in ranks} - {'', own_domain}
    return frozenset(domains.intersection(live_domains))


def choose_relay(hosts: Sequence[str], turn: int) -> str:
    """Return one of a domain's live entries, another one in each turn."""
    return sorted(hosts)[turn % len(hosts)]
