"""Send no new work to what is leaving, and cut off nothing in progress."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable, Iterator
from concurrent.futures import Future, ThreadPoolExecutor

import pytest

from standins.calling import Response, http_call, responds_ok, wait_until
from standins.fleet import Fleet, running_fleet
from standins.launch import FleetPlan, UpstreamProcess

from .client import LAST_EVENT, draft

#: The bound of the page: no new work this long after the word to leave.
LEAVE_S = 2.0
TOKENS = 200


@pytest.fixture
def small() -> Iterator[Fleet]:
    plan = FleetPlan(
        entries=2,
        replicas=2,
        services=1,
        engine_arguments=('--step-ms', '10'),
    )
    with running_fleet(plan) as running:
        yield running


def _runs(one: UpstreamProcess) -> int:
    return len(http_call(one.url, 'GET', '/control/runs').json())


def _by_sidecar(_fleet: Fleet, victim: UpstreamProcess) -> None:
    victim.sidecar.send(signal.SIGTERM)


def _by_operator(fleet: Fleet, victim: UpstreamProcess) -> None:
    assert fleet.run_command('drain', victim.name).returncode == 0


def _by_host_list(fleet: Fleet, victim: UpstreamProcess) -> None:
    fleet.set_hosts(draining=(victim.name,))


LAG_MS = 10_000
#: Whose word it is, and by how much the host list lags meanwhile; with more
#: than the fleet's age the list is empty.
WORDS = [
    (_by_sidecar, 0),
    (_by_operator, 0),
    (_by_host_list, 0),
    (_by_sidecar, LAG_MS),
    (_by_operator, LAG_MS),
]


@pytest.mark.parametrize(('word', 'lag_ms'), WORDS)
def test_leaving_upstream_gets_no_new_work(
    small: Fleet,
    word: Callable[[Fleet, UpstreamProcess], None],
    lag_ms: int,
) -> None:
    small.set_platform_faults(hosts_lag_ms=lag_ms)
    victim = small.upstreams_of('redattore')[0]
    with ThreadPoolExecutor(8) as pool:
        started = [pool.submit(_draft, small, number) for number in range(8)]
        wait_until(lambda: _runs(victim))
        word(small, victim)
        time.sleep(LEAVE_S)
        before = _runs(victim)
        later = [pool.submit(_draft, small, number) for number in range(8)]
        _assert_whole(started)
        _assert_whole(later)
    assert _runs(victim) == before


def _draft(fleet: Fleet, number: int) -> Response:
    entry = fleet.entries[number % 2]
    return draft(fleet, entry, f'prompt {number}', TOKENS)


def _assert_whole(streams: list[Future[Response]]) -> None:
    for stream in streams:
        answer = stream.result()
        assert answer.status == 200
        assert answer.body.endswith(LAST_EVENT)


def _wait_not_ready(address: str) -> None:
    wait_until(lambda: not responds_ok(address, '/readyz'), LEAVE_S)


def test_sidecar_ends_after_its_last_answer(small: Fleet) -> None:
    victim = small.upstreams_of('redattore')[0]
    with ThreadPoolExecutor(8) as pool:
        started = [pool.submit(_draft, small, number) for number in range(8)]
        wait_until(lambda: _runs(victim))
        victim.sidecar.send(signal.SIGTERM)
        _wait_not_ready(victim.sidecar_admin)
        assert victim.sidecar.running
        _assert_whole(started)
    assert victim.sidecar.wait(10) == 0


def test_entry_ends_after_its_last_answer(small: Fleet) -> None:
    leaving = small.entries[0]
    with ThreadPoolExecutor(4) as pool:
        evens = range(0, 8, 2)
        started = [pool.submit(_draft, small, even) for even in evens]
        models = small.upstreams_of('redattore')
        wait_until(lambda: sum(map(_runs, models)) >= len(evens))
        leaving.child.send(signal.SIGTERM)
        _wait_not_ready(leaving.admin)
        # Refused, or reset where it came in the moment of closing.
        with pytest.raises(ConnectionError):
            http_call(leaving.url, 'GET', '/healthz')
        _assert_whole(started)
    assert leaving.child.wait(10) == 0


def test_dead_sidecar_gets_nothing_once_the_list_says_so(small: Fleet) -> None:
    victim = small.upstreams_of('redattore')[0]
    victim.sidecar.kill()
    later = [_draft(small, number) for number in range(6)]
    assert [one.status for one in later] == [200 for _ in later]
    assert _runs(victim) == 0
