"""Change the expert map of a running group while its processes fail."""

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
def group_fleet(request: pytest.FixtureRequest) -> Iterator[Fleet]:
    plan = FleetPlan(
        entries=1,
        replicas=0,
        services=1,
        ranks=RANKS,
        fencing=request.param == 'fencing',
    )
    with running_fleet(plan) as fleet:
        yield fleet


def _read_steps(fleet: Fleet) -> Any:
    return http_call(fleet.ranks[0].url, 'GET', '/control/steps').json()


def _count_changes(fleet: Fleet) -> int:
    return max(len(used) for used in _read_steps(fleet)['used'])


def _mixed_steps(fleet: Fleet) -> list[int]:
    return mixed_steps(_read_steps(fleet)['used'])


def _change_by_slow_rank(fleet: Fleet, slow_rank: int) -> None:
    """Slow down one rank and wait for a change of the expert map."""
    target = _count_changes(fleet) + 1
    for rank in fleet.ranks:
        rank.set_faults(speed=0.4 if rank.rank == slow_rank else 1.0)
    wait_until(lambda: _count_changes(fleet) >= target, 30)


def test_map_changes_with_load_despite_failures(group_fleet: Fleet) -> None:
    _change_by_slow_rank(group_fleet, slow_rank=1)
    leader = group_fleet.ranks[0].sidecar
    leader.kill()
    leader.restart()
    _change_by_slow_rank(group_fleet, slow_rank=2)
    leader.pause()
    wait_until(lambda: _steps_advance(group_fleet))
    leader.resume()
    _change_by_slow_rank(group_fleet, slow_rank=3)
    follower = group_fleet.ranks[2]
    follower.sidecar.kill()
    follower.sidecar.restart()
    _change_by_slow_rank(group_fleet, slow_rank=1)
    follower.set_faults(restart=True)
    _change_by_slow_rank(group_fleet, slow_rank=3)
    assert not _mixed_steps(group_fleet)


def _steps_advance(fleet: Fleet) -> bool:
    before = _read_steps(fleet)['step']
    after = _read_steps(fleet)['step']
    return bool(after > before)
