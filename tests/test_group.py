"""Change a real group's expert map while its processes fail."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest

from standins.calling import http_call, wait_until
from standins.fleet import Fleet, running_fleet
from standins.launch import FleetPlan

from .rankbench import mixed_steps

RANKS = 4


@pytest.fixture(params=['fencing', 'no fencing'], scope='module')
def grouped(request: pytest.FixtureRequest) -> Iterator[Fleet]:
    plan = FleetPlan(
        entries=1,
        replicas=0,
        services=1,
        ranks=RANKS,
        fencing=request.param == 'fencing',
    )
    with running_fleet(plan) as running:
        yield running


def _steps(fleet: Fleet) -> Any:
    return http_call(fleet.ranks[0].url, 'GET', '/control/steps').json()


def _changes(fleet: Fleet) -> int:
    return max(len(used) for used in _steps(fleet)['used'])


def _mixed(fleet: Fleet) -> list[int]:
    return mixed_steps(_steps(fleet)['used'])


def _wait_change(fleet: Fleet, slow: int) -> None:
    """Slow down one rank and wait until the map has changed for it."""
    target = _changes(fleet) + 1
    for one in fleet.ranks:
        one.set_faults(speed=0.4 if one.rank == slow else 1.0)
    wait_until(lambda: _changes(fleet) >= target, 30)


def test_map_follows_the_load_through_failures(grouped: Fleet) -> None:
    _wait_change(grouped, slow=1)
    leader = grouped.ranks[0].sidecar
    leader.kill()
    leader.restart()
    _wait_change(grouped, slow=2)
    leader.pause()
    wait_until(lambda: _step_passes(grouped))
    leader.resume()
    _wait_change(grouped, slow=3)
    follower = grouped.ranks[2]
    follower.sidecar.kill()
    follower.sidecar.restart()
    _wait_change(grouped, slow=1)
    follower.set_faults(restart=True)
    _wait_change(grouped, slow=3)
    assert not _mixed(grouped)


def _step_passes(fleet: Fleet) -> bool:
    before = _steps(fleet)['step']
    after = _steps(fleet)['step']
    return bool(after > before)
