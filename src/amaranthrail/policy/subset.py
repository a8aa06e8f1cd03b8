"""Choose the subset of replicas that one entry keeps connections to."""

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
    """Return up to ``size`` hosts, balanced over their failure domains.

    The choice is made by rendezvous hashing of the names alone, so that a host
    that is added or removed changes few connections. All hosts must be of one
    service.
    """
    by_domain: dict[str, list[HostRecord]] = {}
    for host in hosts:
        by_domain.setdefault(host.domain, []).append(host)
    domains = sorted(by_domain, key=partial(rendezvous_score, entry))
    columns = [_sorted_by_score(entry, by_domain[domain]) for domain in domains]
    interleaved = itertools.chain.from_iterable(itertools.zip_longest(*columns))
    return list(itertools.islice(filter(None, interleaved), size))


def _sorted_by_score(entry: str, hosts: list[HostRecord]) -> list[HostRecord]:
    def score(host: HostRecord) -> int:
        return rendezvous_score(entry, host.upstream)

    return sorted(hosts, key=score, reverse=True)
