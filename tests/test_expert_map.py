"""Use one and the same expert map in every step."""

from __future__ import annotations

import pytest
import trio
from trio.testing import MockClock

from amaranthrail.sidecar.coordinator import ChangeResult

from .rankbench import Trouble, World, run_restart_before_effect, run_world

SEEDS = range(4)
#: Seeds 4 and 18 catch a rank that forgets what it confirmed.
MANY_SEEDS = range(28)
TROUBLES = {
    'orders lost': Trouble(lost=0.05, reply_lost=0.05),
    'orders late': Trouble(repeated_late=0.3),
    'engine answers lost': Trouble(effect_late=0.1),
    'coordinators die': Trouble(coordinator_dies=0.7),
    'sidecars restart': Trouble(sidecar_restart=0.2),
    'engines restart': Trouble(engine_restart=0.05),
    'confirms come late': Trouble(lost=0.05, release_late=0.6),
    'sidecars restart before effects': Trouble(
        lost=0.05,
        release_late=0.6,
        sidecar_restart=0.08,
    ),
    'all at once': Trouble(
        lost=0.02,
        reply_lost=0.02,
        repeated_late=0.2,
        effect_late=0.03,
        sidecar_restart=0.05,
        engine_restart=0.02,
        coordinator_dies=0.3,
    ),
}


def _run(seed: int, trouble: Trouble, *, fencing: bool) -> World:
    clock = MockClock(autojump_threshold=0)
    return trio.run(run_world, (seed, trouble, fencing), clock=clock)


@pytest.mark.parametrize(
    'fencing', [True, False], ids=['fencing', 'no fencing']
)
@pytest.mark.parametrize('name', TROUBLES)
def test_no_step_has_two_maps(name: str, fencing: bool) -> None:
    confirmed = 0
    happened: set[str] = set()
    trouble = TROUBLES[name]
    for seed in MANY_SEEDS if trouble.release_late else SEEDS:
        world = _run(seed, trouble, fencing=fencing)
        assert not world.mixed_steps(), f'seed {seed}: {world.mixed_steps()}'
        confirmed += world.results.count(ChangeResult.CONFIRMED)
        happened |= set(world.happened)
    wanted = {kind for kind in vars(trouble) if vars(trouble)[kind]}
    assert happened == wanted
    assert confirmed


def test_change_without_faults_holds_one_step_at_most() -> None:
    world = _run(1, Trouble(), fencing=True)
    confirmed = world.results.count(ChangeResult.CONFIRMED)
    assert confirmed > 3
    assert not world.mixed_steps()
    assert world.held <= confirmed


@pytest.mark.parametrize(
    'fencing', [True, False], ids=['fencing', 'no fencing']
)
def test_release_lands_after_its_sidecar_restarted(fencing: bool) -> None:
    clock = MockClock(autojump_threshold=0)
    world = trio.run(run_restart_before_effect, fencing, clock=clock)
    assert not world.mixed_steps()
    assert world.results.count(ChangeResult.RANK_MISSING) > 1
    versions = {engine.version for engine in world.engines}
    assert len(versions) == 1
    assert versions != {0}
