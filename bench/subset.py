"""Work out balance and control traffic of subset connections."""

from __future__ import annotations

import random
from collections import Counter
from pathlib import Path
from typing import Any

from amaranthrail.frames import Heartbeat, encode_frame
from amaranthrail.manifest import PickPolicy
from amaranthrail.policy.balancing import Candidate, make_balancer
from amaranthrail.policy.subset import choose_subset
from amaranthrail.ports import HostRecord, HostState
from amaranthrail.types import DomainName, ServiceName, UpstreamName

from . import report

ENTRIES = 330
REPLICAS = 620
MODELS = 5
DOMAINS = 6
REQUESTS = 2700
SIZES = (4, 8, 16, 32, 64, 124)
INTERVALS_MS = (500, 1000, 2000)
BUDGET_BYTES_S = 6000
_ROUNDS = 40


def hosts() -> dict[str, list[HostRecord]]:
    """Return the replicas of each service over the failure domains."""
    found: dict[str, list[HostRecord]] = {}
    for number in range(REPLICAS):
        service = ServiceName(f'model-{number % MODELS}')
        found.setdefault(service, []).append(
            HostRecord(
                UpstreamName(f'host-{number}'),
                service,
                DomainName(f'domain-{number // MODELS % DOMAINS}'),
                '127.0.0.1',
                1,
                HostState.LIVE,
            ),
        )
    return found


def heartbeat_bytes() -> int:
    """Return the size of a sidecar's heartbeat under load."""
    beat = Heartbeat(
        2**60,
        1e9,
        123_456,
        123_456,
        queued=12,
        running=8,
        short_count=15,
        short_ms=1234.5,
        long_count=5,
        long_ms=54_321.5,
        slots=8,
    )
    return len(encode_frame(beat))


def run_size(size: int, seed: int) -> dict[str, Any]:
    """Return balance and traffic when each entry takes a subset."""
    services = hosts()
    entries = [f'entry-{number}' for number in range(ENTRIES)]
    subsets = {
        entry: [
            [one.upstream for one in choose_subset(entry, members, size)]
            for members in services.values()
        ]
        for entry in entries
    }
    links = Counter(
        upstream
        for groups in subsets.values()
        for group in groups
        for upstream in group
    )
    return {
        'links_an_entry': MODELS * min(size, REPLICAS // MODELS),
        'links_a_replica_mean': report.rounded(sum(links.values()) / REPLICAS),
        'links_a_replica_most': max(links.values()),
        'replicas_without_link': REPLICAS - len(links),
        'work_most_over_mean': _imbalance(subsets, seed),
        'moved_by_one_host': _moved(services, entries, size),
        'control_bytes_s': {
            f'{interval} ms': _traffic(size, interval)
            for interval in INTERVALS_MS
        },
    }


def _imbalance(
    subsets: dict[str, list[list[UpstreamName]]], seed: int
) -> float:
    """Return the busiest replica's work over the mean, by two choices."""
    source = random.Random(seed)
    pick = make_balancer(PickPolicy.TWO_CHOICES, source)
    work: Counter[str] = Counter()
    entries = list(subsets)
    for _ in range(REQUESTS * _ROUNDS):
        group = source.choice(subsets[source.choice(entries)])
        candidates = [
            Candidate(name, work[name])
            for name in source.sample(group, min(2, len(group)))
        ]
        work[pick(candidates, '').name] += 1
    mean = sum(work.values()) / REPLICAS
    return report.rounded(max(work.values()) / mean)


def _moved(
    services: dict[str, list[HostRecord]],
    entries: list[str],
    size: int,
) -> float:
    """Return the share of entries whose subset one host's loss changes."""
    members = services['model-0']
    without = members[1:]
    changed = 0
    for entry in entries:
        before = {one.upstream for one in choose_subset(entry, members, size)}
        after = {one.upstream for one in choose_subset(entry, without, size)}
        changed += len(after - before)
    return report.rounded(changed / len(entries))


def _traffic(size: int, interval_ms: int) -> float:
    """Return the heartbeat bytes that an entry sends and receives a second."""
    links = MODELS * min(size, REPLICAS // MODELS)
    # Both ways, each in a TCP segment of its own with its acknowledgement
    # riding on the next.
    segment = heartbeat_bytes() + 52
    return report.rounded(2 * links * segment * 1000 / interval_ms)


def main(seed: int, file: Path | None, plot: Path | None) -> None:
    """Work out all sizes."""
    sizes = {f'subset {size}': run_size(size, seed) for size in SIZES}
    found = {
        'seed': seed,
        'entries': ENTRIES,
        'replicas': REPLICAS,
        'heartbeat_bytes': heartbeat_bytes(),
        'budget_bytes_s': BUDGET_BYTES_S,
        **sizes,
    }
    report.show('subset', found, file)
    if plot is not None:
        lines = {
            'busiest replica over the mean': [
                (float(size), sizes[f'subset {size}']['work_most_over_mean'])
                for size in SIZES
            ],
        }
        report.plot_lines(plot, 'Balance by subset', ('subset', 'ratio'), lines)
