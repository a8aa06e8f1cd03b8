"""Share one small fleet between the tests that leave it as they found it."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from standins.fleet import Fleet, running_fleet
from standins.launch import FleetPlan

from .known_red import known_red


@pytest.fixture(scope='session')
def fleet() -> Iterator[Fleet]:
    plan = FleetPlan('valtrebbia', entries=2, replicas=2, services=2)
    with running_fleet(plan) as running:
        yield running


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    listed = known_red()
    for test in items:
        if test.nodeid in listed:
            test.add_marker(pytest.mark.xfail(reason='KNOWN-RED.txt'))
