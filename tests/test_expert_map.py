"""Check that every step uses one expert map on all ranks, despite faults."""

from __future__ import annotations

import pytest
import trio
from trio.testing import MockClock

from amaranthrail.sidecar.coordinator import ChangeResult

from .rankbench import (
    FaultRates,
    GroupSimulation,
    run_restart_before_effect,
    run_simulation,
)

SEEDS = range(4)
#: Seeds 4 and 18 detect a rank that forgets which version it has confirmed.
MANY_SEEDS = range(28)
FAULTS = {
    'orders lost': FaultRates(order_lost=0.05, reply_lost=0.05),
    'duplicates late': FaultRates(duplicate_late=0.3),
    'engine responses lost': FaultRates(effect_late=0.1),
    'coordinators crash': FaultRates(coordinator_crash=0.7),
    'sidecars restart': FaultRates(sidecar_restart=0.2),
    'engines restart': FaultRates(engine_restart=0.05),
    'confirms come late': FaultRates(order_lost=0.05, release_late=0.6),
    'sidecars restart before effects': FaultRates(
        order_lost=0.05,
        release_late=0.6,
        sidecar_restart=0.08,
    ),
    'all faults': FaultRates(
        order_lost=0.02,
        reply_lost=0.02,
        duplicate_late=0.2,
        effect_late=0.03,
        sidecar_restart=0.05,
        engine_restart=0.02,
        coordinator_crash=0.3,
    ),
}


def _run(seed: int, rates: FaultRates, *, fencing: bool) -> GroupSimulation:
    clock = MockClock(autojump_threshold=0)
    return trio.run(run_simulation, (seed, rates, fencing), clock=clock)


@pytest.mark.parametrize(
    'fencing', [True, False], ids=['fencing', 'no fencing']
)
@pytest.mark.parametrize('name', FAULTS)
def test_no_step_has_two_maps(name: str, fencing: bool) -> None:
    confirmed = 0
    injected: set[str] = set()
    rates = FAULTS[name]
    for seed in MANY_SEEDS if rates.release_late else SEEDS:
        simulation = _run(seed, rates, fencing=fencing)
        assert not simulation.mixed_steps(), (
            f'seed {seed}: {simulation.mixed_steps()}'
        )
        confirmed += simulation.results.count(ChangeResult.CONFIRMED)
        injected |= set(simulation.injected)
    expected = {kind for kind in vars(rates) if vars(rates)[kind]}
    assert injected == expected
    assert confirmed


def test_change_without_faults_holds_one_step_at_most() -> None:
    simulation = _run(1, FaultRates(), fencing=True)
    confirmed = simulation.results.count(ChangeResult.CONFIRMED)
    assert confirmed > 3
    assert not simulation.mixed_steps()
    assert simulation.held_polls <= confirmed


@pytest.mark.parametrize(
    'fencing', [True, False], ids=['fencing', 'no fencing']
)
def test_release_takes_effect_after_sidecar_restart(fencing: bool) -> None:
    clock = MockClock(autojump_threshold=0)
    simulation = trio.run(run_restart_before_effect, fencing, clock=clock)
    assert not simulation.mixed_steps()
    assert simulation.results.count(ChangeResult.RANK_MISSING) > 1
    versions = {engine.version for engine in simulation.engines}
    assert len(versions) == 1
    assert versions != {0}
