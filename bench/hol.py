"""Measure head-of-line blocking of short work behind long work."""

from __future__ import annotations

import random
from pathlib import Path
from typing import Any

from standins.engine import BATCH_COST
from standins.fleet import Fleet, running_fleet
from standins.launch import FleetPlan

from . import report
from .load import Hit, Shot, draft_shot, fire, poisson, quantile, served

SHORT_TOKENS = 8
LONG_TOKENS = 40 * SHORT_TOKENS
LONG_SHARE = 0.05
REPLICAS = 4
SLOTS = 8
STEP_MS = 5.0
SECONDS = 12.0
LOADS = (0.7, 0.85)
_BATCH_GROWTH = 1 + BATCH_COST * (SLOTS - 1)

BASELINE = {'pick': 'round_robin', 'queue': 'fifo', 'admission': 'accept_all'}
WAYS: dict[str, dict[str, Any]] = {
    'baseline': BASELINE,
    'two_choices+fifo': {'pick': 'two_choices', 'queue': 'fifo'},
    'short_first 0.5': {'queue': 'short_first', 'long_share': 0.5},
    'short_first 0.75': {'queue': 'short_first', 'long_share': 0.75},
    'short_first 0.9': {'queue': 'short_first', 'long_share': 0.9},
}


def capacity() -> float:
    """Return the requests a second at which all slots are always in use."""
    step_s = STEP_MS * _BATCH_GROWTH / 1000
    short_s = (SHORT_TOKENS + 1) * step_s
    long_s = (LONG_TOKENS + 1) * step_s
    mean_s = (1 - LONG_SHARE) * short_s + LONG_SHARE * long_s
    return REPLICAS * SLOTS / mean_s


def shots(fleet: Fleet, load: float, seed: int, *, mixed: bool) -> list[Shot]:
    """Return the same arrivals for every way; unmixed leaves out long work."""
    source = random.Random(seed)
    found = []
    for at in poisson(source, load * capacity(), SECONDS):
        is_long = source.random() < LONG_SHARE
        number = source.randrange(1_000_000)
        if is_long and not mixed:
            continue
        kind = 'long' if is_long else 'short'
        tokens = LONG_TOKENS if is_long else SHORT_TOKENS
        prompt = f'prompt {number}'
        found.append(draft_shot(fleet, at, kind, number, tokens, prompt))
    return found


def figures(hits: list[Hit]) -> dict[str, float]:
    """Return the 95th percentiles of both kinds, in milliseconds."""
    found: dict[str, float] = {}
    for kind in ('short', 'long'):
        mine = [hit for hit in hits if hit.shot.kind == kind]
        whole = served(mine)
        found[f'{kind}_sent'] = len(mine)
        found[f'{kind}_whole'] = len(whole)
        if whole:
            first = [hit.first_s * 1000 for hit in whole]
            total = [hit.total_s * 1000 for hit in whole]
            found[f'{kind}_first_p95_ms'] = report.rounded(
                quantile(first, 0.95)
            )
            found[f'{kind}_total_p95_ms'] = report.rounded(
                quantile(total, 0.95)
            )
    return found


def run_way(
    policies: dict[str, Any],
    load: float,
    seed: int,
    *,
    mixed: bool = True,
) -> dict[str, float]:
    """Return the figures of one way at one load."""
    plan = FleetPlan(
        'dvorak',
        replicas=REPLICAS,
        services=0,
        policies={'long_tokens': 64, **policies},
        engine_arguments=('--step-ms', str(STEP_MS), '--slots', str(SLOTS)),
        slots=SLOTS,
        token_ms=STEP_MS * _BATCH_GROWTH,
    )
    with running_fleet(plan) as fleet:
        hits = fire(fleet.entries, shots(fleet, load, seed, mixed=mixed))
    return figures(hits)


def main(seed: int, file: Path | None, plot: Path | None) -> None:
    """Compare the ways at each load with short work alone."""
    found: dict[str, Any] = {'seed': seed, 'capacity_rps': capacity()}
    bars: dict[str, dict[str, float]] = {}
    for load in LOADS:
        alone = run_way(WAYS['short_first 0.75'], load, seed, mixed=False)
        ways = {name: run_way(one, load, seed) for name, one in WAYS.items()}
        found[f'load {load}'] = {'short alone': alone, **ways}
        for name, one in ways.items():
            one['short_first_ratio'] = report.rounded(
                one['short_first_p95_ms'] / alone['short_first_p95_ms'],
            )
            one['short_total_ratio'] = report.rounded(
                one['short_total_p95_ms'] / alone['short_total_p95_ms'],
            )
            one['long_total_ratio'] = report.rounded(
                one['long_total_p95_ms']
                / ways['baseline']['long_total_p95_ms'],
            )
            label = f'{name}\n{load}'
            bars[label] = {'short, to first token': one['short_first_p95_ms']}
    report.show('hol', found, file)
    if plot is not None:
        title = 'Short work behind long work: p95 to the first token'
        report.plot_bars(plot, title, 'ms', bars)
