"""Measure prefix affinity: cache hits against the spread of load."""

from __future__ import annotations

import random
from pathlib import Path
from typing import Any

from standins.calling import http_call
from standins.fleet import Fleet, running_fleet
from standins.launch import FleetPlan

from . import report
from .load import Shot, draft_shot, fire, poisson, quantile, served

REPLICAS = 4
SLOTS = 8
STEP_MS = 5.0
TOKENS = 8
PREFIXES = 100
PROMPT_CHARS = 8000
SECONDS = 12.0
RATE = 120.0
#: One prefix takes this share of all requests, to see affinity give way.
HOT_SHARE = 0.5
WAYS = ('round_robin', 'two_choices', 'affinity')


def shots(fleet: Fleet, seed: int, hot: float) -> list[Shot]:
    """Return requests over many prefixes, one of them hot."""
    source = random.Random(seed)
    found = []
    for at in poisson(source, RATE, SECONDS):
        number = source.randrange(PREFIXES)
        if source.random() < hot:
            number = 0
        prompt = f'account {number:04} '.ljust(PROMPT_CHARS, 'x')
        entry = source.randrange(2)
        found.append(draft_shot(fleet, at, 'draft', entry, TOKENS, prompt))
    return found


def run_way(pick: str, seed: int, hot: float) -> dict[str, Any]:
    """Return hits, time to first token and spread of one way."""
    plan = FleetPlan(
        'valtrebbia',
        replicas=REPLICAS,
        services=0,
        policies={'pick': pick},
        engine_arguments=('--step-ms', str(STEP_MS), '--slots', str(SLOTS)),
        slots=SLOTS,
        token_ms=STEP_MS,
    )
    with running_fleet(plan) as fleet:
        hits = fire(fleet.entries, shots(fleet, seed, hot))
        caches = [
            http_call(one.url, 'GET', '/control/cache').json()
            for one in fleet.upstreams
        ]
    calls = [cache['calls'] for cache in caches]
    first = [hit.first_s * 1000 for hit in served(hits)]
    return {
        'whole': len(first),
        'hit_rate': report.rounded(
            sum(one['hits'] for one in caches) / sum(calls)
        ),
        'first_p50_ms': report.rounded(quantile(first, 0.5)),
        'first_p95_ms': report.rounded(quantile(first, 0.95)),
        'busiest_over_mean': report.rounded(max(calls) * REPLICAS / sum(calls)),
    }


def main(seed: int, file: Path | None, plot: Path | None) -> None:
    """Compare the ways with an even and with a hot prefix."""
    found: dict[str, Any] = {'seed': seed}
    bars: dict[str, dict[str, float]] = {}
    for name, hot in (('even', 0.0), ('one hot', HOT_SHARE)):
        ways = {pick: run_way(pick, seed, hot) for pick in WAYS}
        found[name] = ways
        bars[name] = {pick: one['first_p95_ms'] for pick, one in ways.items()}
    report.show('affinity', found, file)
    if plot is not None:
        title = 'Time to the first token, 95 in 100'
        report.plot_bars(plot, title, 'ms', bars)
