"""Use one and the same expert map in every step."""

from __future__ import annotations

import pytest
import trio
from trio.testing import MockClock

from amaranthrail.sidecar.coordinator import ChangeResult

from .rankbench import Trouble, World, run_world

SEEDS = range(4)
#: Only seed 12 and 27 of these catch a rank that forgets what it confirmed.
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
    for seed in MANY_SEEDS if 'confirms' in name else SEEDS:
        world = _run(seed, TROUBLES[name], fencing=fencing)
        assert not world.mixed_steps(), f'seed {seed}: {world.mixed_steps()}'
        confirmed += world.results.count(ChangeResult.CONFIRMED)
        happened |= set(world.happened)
    wanted = {
        kind for kind in vars(TROUBLES[name]) if vars(TROUBLES[name])[kind]
    }
    assert happened == wanted
    assert confirmed


def test_change_without_faults_holds_one_step_at_most() -> None:
    world = _run(1, Trouble(), fencing=True)
    confirmed = world.results.count(ChangeResult.CONFIRMED)
    assert confirmed > 3
    assert not world.mixed_steps()
    assert world.held <= confirmed
