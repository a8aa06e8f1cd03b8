"""Choose the replica of a request under the service's balancing policy."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import xxhash

from ..manifest import PickPolicy

#: Bound on the backlog of the replica that prefix affinity chooses: this factor
#: times the mean backlog, plus a slack in ms for when the mean is close to 0.
AFFINITY_LOAD_BOUND = 1.25
AFFINITY_SLACK_MS = 250.0


@dataclass(frozen=True, slots=True)
class Candidate:
    """Describe one replica that could serve a request.

    ``wait_ms`` is the expected time until the request would start there,
    ``backlog_ms`` the expected time until all its slots have finished all work.
    """

    name: str
    wait_ms: float
    backlog_ms: float = 0


#: Returns the replica for a request from the candidates, of which there must be
#: at least one, and the prefix of its prompt, which may be empty.
Balancer = Callable[[Sequence[Candidate], str], Candidate]


def make_balancer(policy: PickPolicy, rng: random.Random) -> Balancer:
    """Return the function that chooses replicas under a policy.

    Only the affinity policy uses the prefix.
    """
    if policy is PickPolicy.ROUND_ROBIN:
        return _round_robin()
    if policy is PickPolicy.AFFINITY:
        return _affinity(rng)
    return _two_choices(rng)


def _round_robin() -> Balancer:
    turns = itertools.count()

    def choose(candidates: Sequence[Candidate], _prefix: str) -> Candidate:
        return candidates[next(turns) % len(candidates)]

    return choose


def _two_choices(rng: random.Random) -> Balancer:
    def choose(candidates: Sequence[Candidate], _prefix: str) -> Candidate:
        if len(candidates) == 1:
            return candidates[0]
        pair = rng.sample(candidates, 2)
        return min(pair, key=_load_key)

    return choose


def _affinity(rng: random.Random) -> Balancer:
    fallback = _two_choices(rng)

    def choose(candidates: Sequence[Candidate], prefix: str) -> Candidate:
        if not prefix:
            return fallback(candidates, prefix)
        mean_ms = sum(each.backlog_ms for each in candidates) / len(candidates)
        bound_ms = AFFINITY_LOAD_BOUND * mean_ms + AFFINITY_SLACK_MS
        eligible = [
            candidate
            for candidate in candidates
            if not candidate.wait_ms and candidate.backlog_ms <= bound_ms
        ]
        if not eligible:
            return fallback(candidates, prefix)
        return max(
            eligible,
            key=lambda candidate: rendezvous_score(prefix, candidate.name),
        )

    return choose


def _load_key(candidate: Candidate) -> tuple[float, float]:
    return candidate.wait_ms, candidate.backlog_ms


def rendezvous_score(key: str, node: str) -> int:
    """Return a 64-bit hash; a key belongs to the node of its highest score."""
    return xxhash.xxh3_64_intdigest(f'{key}\0{node}'.encode())
