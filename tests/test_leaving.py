"""Drain or shut down processes: no new work, and no response is cut off."""

from __future__ import annotations

import signal
import socket
import time
from collections.abc import Callable, Iterator
from concurrent.futures import Future, ThreadPoolExecutor

import pytest

from standins.calling import Response, http_call, responds_ok, wait_until
from standins.fleet import Fleet, running_fleet
from standins.launch import FleetPlan, UpstreamProcess

from .client import LAST_EVENT, request_completion
from .raw import read_until_closed

#: Documented bound, in seconds: no new work this long after a drain or shutdown
#: has been ordered.
NO_NEW_WORK_S = 2.0
TOKENS = 200
#: More than a refusal has.
SOME_BYTES = 8192


@pytest.fixture
def small_fleet() -> Iterator[Fleet]:
    plan = FleetPlan(
        entries=2,
        replicas=2,
        services=1,
        engine_arguments=('--step-ms', '10'),
    )
    with running_fleet(plan) as fleet:
        yield fleet


def _count_runs(upstream: UpstreamProcess) -> int:
    return len(http_call(upstream.url, 'GET', '/control/runs').json())


def _stop_sidecar(_fleet: Fleet, upstream: UpstreamProcess) -> None:
    upstream.sidecar.send(signal.SIGTERM)


def _drain_by_operator(fleet: Fleet, upstream: UpstreamProcess) -> None:
    assert fleet.run_command('drain', upstream.name).returncode == 0


def _mark_in_host_list(fleet: Fleet, upstream: UpstreamProcess) -> None:
    fleet.set_hosts(draining=(upstream.name,))


LAG_MS = 10_000
#: How the drain is ordered, and by how many milliseconds the host list lags
#: meanwhile; with a lag above the fleet's age the list is empty.
DRAIN_ORDERS = [
    (_stop_sidecar, 0),
    (_drain_by_operator, 0),
    (_mark_in_host_list, 0),
    (_stop_sidecar, LAG_MS),
    (_drain_by_operator, LAG_MS),
]


@pytest.mark.parametrize(('order_drain', 'lag_ms'), DRAIN_ORDERS)
def test_draining_upstream_gets_no_new_work(
    small_fleet: Fleet,
    order_drain: Callable[[Fleet, UpstreamProcess], None],
    lag_ms: int,
) -> None:
    small_fleet.set_platform_faults(hosts_lag_ms=lag_ms)
    upstream = small_fleet.upstreams_of('redattore')[0]
    with ThreadPoolExecutor(8) as pool:
        started = [
            pool.submit(_request_draft, small_fleet, number)
            for number in range(8)
        ]
        wait_until(lambda: _count_runs(upstream))
        order_drain(small_fleet, upstream)
        time.sleep(NO_NEW_WORK_S)
        before = _count_runs(upstream)
        later = [
            pool.submit(_request_draft, small_fleet, number)
            for number in range(8)
        ]
        _assert_complete(started)
        _assert_complete(later)
    assert _count_runs(upstream) == before


def _request_draft(fleet: Fleet, number: int) -> Response:
    entry = fleet.entries[number % 2]
    return request_completion(fleet, entry, f'prompt {number}', TOKENS)


def _assert_complete(streams: list[Future[Response]]) -> None:
    for stream in streams:
        response = stream.result()
        assert response.status == 200
        assert response.body.endswith(LAST_EVENT)


def _wait_not_ready(address: str) -> None:
    wait_until(lambda: not responds_ok(address, '/readyz'), NO_NEW_WORK_S)


def test_sidecar_ends_after_its_last_response(small_fleet: Fleet) -> None:
    upstream = small_fleet.upstreams_of('redattore')[0]
    with ThreadPoolExecutor(8) as pool:
        started = [
            pool.submit(_request_draft, small_fleet, number)
            for number in range(8)
        ]
        wait_until(lambda: _count_runs(upstream))
        upstream.sidecar.send(signal.SIGTERM)
        _wait_not_ready(upstream.sidecar_admin)
        assert upstream.sidecar.running
        _assert_complete(started)
    assert upstream.sidecar.wait(10) == 0


def test_entry_ends_after_its_last_response(small_fleet: Fleet) -> None:
    entry = small_fleet.entries[0]
    with ThreadPoolExecutor(4) as pool:
        evens = range(0, 8, 2)
        started = [
            pool.submit(_request_draft, small_fleet, even) for even in evens
        ]
        models = small_fleet.upstreams_of('redattore')
        wait_until(lambda: sum(map(_count_runs, models)) >= len(evens))
        entry.child.send(signal.SIGTERM)
        _wait_not_ready(entry.admin)
        # Refused, or reset if it arrives while the listener closes.
        with pytest.raises(ConnectionError):
            http_call(entry.url, 'GET', '/healthz')
        _assert_complete(started)
    assert entry.child.wait(10) == 0


def test_entry_answers_what_it_had_not_read_at_the_signal(
    small_fleet: Fleet,
) -> None:
    """Guards against an end of the process on a request that it received.

    The host is too busy to run the entry when the request and SIGTERM come.
    """
    entry = small_fleet.entries[0]
    host, _, port = entry.url.removeprefix('http://').partition(':')
    request = b'GET /nowhere HTTP/1.1\r\nhost: entry\r\n\r\n'
    with socket.create_connection((host, int(port)), timeout=10) as caller:
        caller.sendall(request)
        assert caller.recv(SOME_BYTES).startswith(b'HTTP/1.1 401')
        entry.child.send(signal.SIGSTOP)
        caller.sendall(request)
        entry.child.send(signal.SIGTERM)
        entry.child.send(signal.SIGCONT)
        assert read_until_closed(caller).startswith(b'HTTP/1.1 401')
    assert entry.child.wait(10) == 0


def test_killed_sidecar_gets_no_work(small_fleet: Fleet) -> None:
    upstream = small_fleet.upstreams_of('redattore')[0]
    upstream.sidecar.kill()
    later = [_request_draft(small_fleet, number) for number in range(6)]
    assert [response.status for response in later] == [200 for _ in later]
    assert _count_runs(upstream) == 0


def test_an_entry_does_not_wait_for_a_request_that_it_refuses(
    small_fleet: Fleet,
) -> None:
    """Guards against a half-sent request that delays the end of an entry."""
    entry = small_fleet.entries[0]
    host, _, port = entry.url.removeprefix('http://').partition(':')
    with socket.create_connection((host, int(port))) as caller:
        caller.sendall(
            b'POST /x HTTP/1.1\r\nhost: entry\r\ncontent-length: 100\r\n\r\nx'
        )
        time.sleep(0.3)
        entry.child.send(signal.SIGTERM)
        assert entry.child.wait(5) == 0
