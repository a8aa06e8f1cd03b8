"""Pick the replica that a request goes to."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import xxhash

from ..manifest import PickPolicy

#: A replica keeps its prefixes' requests while it has at most this many times
#: the mean work of all, and a little on top for when there is next to none.
AFFINITY_LOAD_BOUND = 1.25
AFFINITY_SLACK_MS = 250.0


@dataclass(frozen=True, slots=True)
class Candidate:
    """Describe one replica that could take a request.

    ``wait_ms`` is the expected time until the request would start there,
    ``busy_ms`` the time to finish all that is there, over all its slots.
    """

    name: str
    wait_ms: float
    busy_ms: float = 0


Balancer = Callable[[Sequence[Candidate], str], Candidate]


def make_balancer(policy: PickPolicy, source: random.Random) -> Balancer:
    """Return the function that picks under a policy.

    It takes the candidates, at least one, and the request's prefix, which
    only affinity looks at.
    """
    if policy is PickPolicy.ROUND_ROBIN:
        return _round_robin()
    if policy is PickPolicy.AFFINITY:
        return _affinity(source)
    return _two_choices(source)


def _round_robin() -> Balancer:
    turns = itertools.count()

    def pick(candidates: Sequence[Candidate], _prefix: str) -> Candidate:
        return candidates[next(turns) % len(candidates)]

    return pick


def _two_choices(source: random.Random) -> Balancer:
    def pick(candidates: Sequence[Candidate], _prefix: str) -> Candidate:
        if len(candidates) == 1:
            return candidates[0]
        pair = source.sample(candidates, 2)
        return min(pair, key=_work_of)

    return pick


def _affinity(source: random.Random) -> Balancer:
    spread = _two_choices(source)

    def pick(candidates: Sequence[Candidate], prefix: str) -> Candidate:
        if not prefix:
            return spread(candidates, prefix)
        mean = sum(one.busy_ms for one in candidates) / len(candidates)
        bound = AFFINITY_LOAD_BOUND * mean + AFFINITY_SLACK_MS
        fitting = [
            one
            for one in candidates
            if not one.wait_ms and one.busy_ms <= bound
        ]
        if not fitting:
            return spread(candidates, prefix)
        return max(fitting, key=lambda one: rendezvous_score(prefix, one.name))

    return pick


def _work_of(candidate: Candidate) -> tuple[float, float]:
    return candidate.wait_ms, candidate.busy_ms


def rendezvous_score(subject: str, node: str) -> int:
    """Return the rank of a node for a subject; the highest is its home."""
    return xxhash.xxh3_64_intdigest(f'{subject}\0{node}'.encode())
