"""Measure service at the crest of a demand swing."""

from __future__ import annotations

import random
import threading
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from standins.deployments import (
    LARGE_ORGANISATIONS,
    LARGE_WEIGHT,
    organisation_names,
    organisation_token,
)
from standins.engine import BATCH_COST
from standins.fleet import Fleet, running_fleet
from standins.launch import FleetPlan

from . import report
from .load import Hit, Shot, draft_shot, fire, quantile, served

TOKENS = 16
REPLICAS = 4
SLOTS = 4
STEP_MS = 12.0
DEADLINE_MS = 2500
BEFORE_S = 4.0
CREST_S = 20.0
AFTER_S = 6.0
LOW = 0.5
HIGH = 3.0
ORGANISATIONS = 10
MAX_TRIES = 3
_GROWTH = 1 + BATCH_COST * (SLOTS - 1)

BASELINE = {'pick': 'round_robin', 'queue': 'fifo', 'admission': 'accept_all'}
CHOSEN: dict[str, Any] = {'pick': 'two_choices'}


@dataclass(frozen=True)
class Scene:
    """Say what goes on at the crest."""

    lose_replica: bool = False
    storm: bool = False


SCENES = {
    'crest': Scene(),
    'crest, a quarter lost': Scene(lose_replica=True),
    'crest, retries storm': Scene(storm=True),
}


def capacity() -> float:
    """Return the requests a second at which all slots are always in use."""
    service_s = (TOKENS + 1) * STEP_MS * _GROWTH / 1000
    return REPLICAS * SLOTS / service_s


def shots(fleet: Fleet, seed: int) -> list[Shot]:
    """Return the arrivals: low, up within a second, high, low again."""
    source = random.Random(seed)
    rate = capacity()
    now = 0.0
    found = []
    while now < BEFORE_S + CREST_S + AFTER_S:
        now += source.expovariate(rate * _demand(now))
        number = source.randrange(1_000_000)
        found.append(
            draft_shot(
                fleet,
                now,
                'first',
                number,
                TOKENS,
                f'prompt {number}',
                organisation=number % ORGANISATIONS,
                deadline_ms=DEADLINE_MS,
            ),
        )
    return found


def _demand(now: float) -> float:
    if now < BEFORE_S or now > BEFORE_S + CREST_S:
        return LOW
    return min(HIGH, LOW + (HIGH - LOW) * (now - BEFORE_S))


def retrying(scene: Scene) -> Callable[[Hit], Shot | None]:
    """Return callers who try again after a refusal or giving up."""

    def follow(hit: Hit) -> Shot | None:
        tries = int(hit.shot.kind.removeprefix('first') or '1')
        if hit.whole and hit.status == 200:
            return None
        if tries >= MAX_TRIES * (1 + scene.storm):
            return None
        wait_s = 0.05 if scene.storm else max(0.1, hit.retry_after_s)
        ended = hit.shot.at + (hit.total_s or hit.shot.give_up_s)
        return replace(hit.shot, at=ended + wait_s, kind=f'first{tries + 1}')

    return follow


def run_scene(
    policies: dict[str, Any],
    scene: Scene,
    seed: int,
) -> dict[str, Any]:
    """Return the figures of one way in one scene."""
    plan = FleetPlan(
        'valtrebbia',
        replicas=REPLICAS,
        services=0,
        policies=policies,
        engine_arguments=('--step-ms', str(STEP_MS), '--slots', str(SLOTS)),
        slots=SLOTS + 1,
        token_ms=STEP_MS * _GROWTH,
    )
    with running_fleet(plan) as fleet:
        timer = threading.Timer(BEFORE_S + 2, _lose_replica, (fleet,))
        if scene.lose_replica:
            timer.start()
        hits = fire(fleet.entries, shots(fleet, seed), retrying(scene))
        timer.cancel()
        runs = len(fleet.runs(fleet.deployment.model))
    return figures(hits, runs, scene)


def _lose_replica(fleet: Fleet) -> None:
    fleet.upstreams[0].sidecar.kill()


def figures(hits: list[Hit], runs: int, scene: Scene) -> dict[str, Any]:
    """Return goodput, tries, refusals and shares."""
    whole = served(hits)
    per_second = Counter(int(hit.shot.at + hit.total_s) for hit in whole)
    # From when the crest is full until it ends.
    seconds = range(int(BEFORE_S) + 3, int(BEFORE_S + CREST_S))
    able = capacity() * (1 - scene.lose_replica / REPLICAS)
    goodput = [per_second[second] / able for second in seconds]
    refused = [hit for hit in hits if hit.status in {429, 503}]
    admitted = len(hits) - len(refused)
    found = {
        'calls': len(hits),
        'answered': len(whole),
        'goodput_mean': report.rounded(sum(goodput) / len(goodput)),
        'goodput_least_second': report.rounded(min(goodput)),
        'dispatches_a_request': report.rounded(runs / max(1, admitted)),
        'gave_up_or_cut': admitted - len(whole),
        'refused': len(refused),
        'refused_p95_ms': report.rounded(
            quantile([hit.total_s * 1000 for hit in refused], 0.95),
        ),
        'answered_p95_ms': report.rounded(
            quantile([hit.total_s * 1000 for hit in whole], 0.95),
        ),
        'after_crest_unanswered': _unanswered_after(hits),
    }
    return {**found, **_shares(whole)}


def _unanswered_after(hits: list[Hit]) -> int:
    """Return the calls first made 2 s after the crest that got nothing."""
    calm = BEFORE_S + CREST_S + 2
    late = [
        hit for hit in hits if hit.shot.kind == 'first' and hit.shot.at > calm
    ]
    return len(late) - len(served(late))


def _shares(whole: list[Hit]) -> dict[str, float]:
    """Return the least and most of its fair share that anybody got."""
    crest = [
        hit for hit in whole if BEFORE_S + 3 < hit.shot.at < BEFORE_S + CREST_S
    ]
    counts = Counter(dict(hit.shot.headers)['authorization'] for hit in crest)
    weights = _weights()
    total = sum(weights.values())
    ratios = [
        count / len(crest) / (weights.get(token, 1) / total)
        for token, count in counts.items()
    ]
    return {
        'share_least': report.rounded(min(ratios)),
        'share_most': report.rounded(max(ratios)),
    }


def _weights() -> dict[str, float]:
    return {
        f'Bearer {organisation_token("valtrebbia", name)}': (
            LARGE_WEIGHT if index < LARGE_ORGANISATIONS else 1
        )
        for index, name in enumerate(organisation_names())
    }


def main(seed: int, file: Path | None, plot: Path | None) -> None:
    """Compare the chosen policies with the baseline in every scene."""
    found: dict[str, Any] = {'seed': seed, 'capacity_rps': capacity()}
    bars: dict[str, dict[str, float]] = {}
    for name, scene in SCENES.items():
        baseline = run_scene(BASELINE, scene, seed)
        chosen = run_scene(CHOSEN, scene, seed)
        found[name] = {'baseline': baseline, 'chosen': chosen}
        bars[name] = {
            'baseline': baseline['goodput_mean'],
            'chosen': chosen['goodput_mean'],
        }
    report.show('crest', found, file)
    if plot is not None:
        title = 'Goodput at three times capacity'
        report.plot_bars(plot, title, 'share of capacity', bars)
