"""Choose the replicas that one entry keeps connections to."""

from __future__ import annotations

import itertools
from collections.abc import Sequence
from functools import partial

from ..ports import HostRecord
from .balancing import rendezvous_score


def choose_subset(
    entry: str,
    hosts: Sequence[HostRecord],
    size: int,
) -> list[HostRecord]:
    """Return up to ``size`` hosts, spread evenly over failure domains.

    The choice depends on the names alone, so that a host that comes or goes
    moves few connections. All hosts must be of one service.
    """
    by_domain: dict[str, list[HostRecord]] = {}
    for host in hosts:
        by_domain.setdefault(host.domain, []).append(host)
    domains = sorted(by_domain, key=partial(rendezvous_score, entry))
    columns = [_ranked(entry, by_domain[domain]) for domain in domains]
    spread = itertools.chain.from_iterable(itertools.zip_longest(*columns))
    return list(itertools.islice(filter(None, spread), size))


def _ranked(entry: str, hosts: list[HostRecord]) -> list[HostRecord]:
    def rank(host: HostRecord) -> int:
        return rendezvous_score(entry, host.upstream)

    return sorted(hosts, key=rank, reverse=True)
