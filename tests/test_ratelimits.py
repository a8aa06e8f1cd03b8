"""Test entries with upstreams that name a limit or want a pause."""

from __future__ import annotations

import trio

from amaranthrail.adapters.httpserver import HttpRequest
from standins.replica import Behaviour, Replica

from .platformbench import (
    PlatformBench,
    RunningEntry,
    run_on_platform,
    wait_until,
)

ENTRIES = 3
#: In a window, the users allow one and a half times the rate, and 5 calls, from
#: GRACE_S after the limit was first named.
WINDOW_S = 4.0
ALLOWED_CALLS = 11
GRACE_S = 3.0
DURATION_S = 8.0
#: Part of a pause of 1.2 s, and what is left at least of one of 20 s.
MOST_OF_PAUSE_S = 1.0
REST_OF_PAUSE_S = 5.0


async def start_entries(bench: PlatformBench, count: int) -> list[RunningEntry]:
    """Start entries that know each other, with two upstreams."""
    entries = [await bench.start_entry()]
    seed = f'{entries[0].address.host}:1'
    entries += [
        await bench.start_entry(seed_nodes=seed) for _ in range(count - 1)
    ]
    await wait_until(lambda: all(map(_knows_both, entries)))
    return entries


def _knows_both(entry: RunningEntry) -> bool:
    return len(entry.entry.cluster_state.directory) == 2


async def call_repeatedly(
    entry: RunningEntry, statuses: set[int], duration_s: float
) -> None:
    with trio.move_on_after(duration_s):
        while True:
            response = await entry.call('/read/1')
            statuses.add(response.status)
            await trio.sleep(0.02)


def test_an_upstream_in_need_gets_no_more_than_it_takes() -> None:
    """Guards against calls as to any other upstream; the neighbour has room."""

    async def scenario(bench: PlatformBench) -> None:
        limited = await bench.add_replica('p1')
        await bench.add_replica('p2')
        limited.statements = (('server-limit', '1.0'),)
        began_at = trio.current_time()
        counted: list[float] = []

        def record_run(_name: str, _request: HttpRequest) -> None:
            run_at = trio.current_time() - began_at
            if run_at > GRACE_S:
                counted.append(run_at)

        limited.record_run = record_run
        entries = await start_entries(bench, ENTRIES)
        statuses: set[int] = set()
        async with trio.open_nursery() as nursery:
            for entry in entries:
                nursery.start_soon(call_repeatedly, entry, statuses, DURATION_S)
        assert statuses == {200}
        assert 0 < most_in_window(counted) <= ALLOWED_CALLS
        limited.statements = ()
        await until_unlimited(entries, limited)

    run_on_platform(scenario)


def most_in_window(times: list[float]) -> int:
    return max(
        sum(at <= each < at + WINDOW_S for each in times) for at in times
    )


async def until_unlimited(
    entries: list[RunningEntry], replica: Replica
) -> None:
    """Call until the upstream gets calls as before, from any entry."""
    for entry in entries:
        runs = len(replica.executed)
        while len(replica.executed) < runs + 10:
            assert (await entry.call('/read/1')).status == 200


def test_calls_beyond_all_limits_are_refused_at_once() -> None:
    async def scenario(bench: PlatformBench) -> None:
        replicas = [await bench.add_replica(name) for name in ('p1', 'p2')]
        for replica in replicas:
            replica.statements = (('server-limit', '0.2'),)
        entry = (await start_entries(bench, 1))[0]
        refused = 0
        while refused < 20:
            response = await entry.call('/read/1')
            if response.status == 503:
                refused += 1
                # One that expires has none.
                assert float(response.header('retry-after') or '0') > 0
        # The first calls of the entry come before any response.
        assert sum(len(replica.executed) for replica in replicas) < 20

    run_on_platform(scenario)


def test_a_replica_that_wants_a_pause_gets_no_call_meanwhile() -> None:
    """Guards against calls, first ones and retries, that are refused again."""

    async def scenario(bench: PlatformBench) -> None:
        refusing = await bench.add_replica('p1')
        refusing.behaviour = Behaviour.SHEDDING
        refusing.statements = (('retry-after', '1.2'),)
        await bench.add_replica('p2')
        entry = (await start_entries(bench, 1))[0]
        while not refusing.refused:
            assert (await entry.call('/read/1')).status == 200
        refused_at = trio.current_time()
        while trio.current_time() < refused_at + MOST_OF_PAUSE_S:
            assert (await entry.call('/read/1')).status == 200
        assert refusing.refused == 1
        refusing.behaviour = Behaviour.HEALTHY
        await wait_until_executed(entry, refusing)

    run_on_platform(scenario)


async def wait_until_executed(entry: RunningEntry, replica: Replica) -> None:
    while not replica.executed:
        assert (await entry.call('/read/1')).status == 200


def test_figures_beyond_reason_end_no_entry() -> None:
    """Guards against a faulty replica whose figures end each entry."""

    async def scenario(bench: PlatformBench) -> None:
        replicas = [await bench.add_replica(name) for name in ('p1', 'p2')]
        replicas[0].behaviour = Behaviour.SHEDDING
        replicas[0].statements = (('retry-after', '1e306'),)
        replicas[1].statements = (('server-limit', '1e308'),)
        entry = (await start_entries(bench, 1))[0]
        while not replicas[0].refused:
            assert (await entry.call('/read/1')).status == 200
        for _ in range(5):
            assert (await entry.call('/read/1')).status == 200
        assert replicas[0].refused == 1

    run_on_platform(scenario)


def test_numbers_of_thousands_of_digits_end_no_entry() -> None:
    """Guards against int(), which refuses them, in any caller's request."""

    async def scenario(bench: PlatformBench) -> None:
        replica = await bench.add_replica('p1')
        await bench.add_replica('p2')
        entry = (await start_entries(bench, 1))[0]
        digits = '9' * 5000
        assert (await entry.call('/read/1', length_hint=digits)).status == 200
        deadline = '9' * 400
        response = await entry.call('/read/1', deadline_remaining_ms=deadline)
        assert response.status == 200
        replica.statements = (('replica-load', f'{digits},1,6'),)
        while not replica.executed:
            assert (await entry.call('/read/1')).status == 200

    run_on_platform(scenario)


def test_a_call_is_refused_at_once_while_all_replicas_want_a_pause() -> None:
    async def scenario(bench: PlatformBench) -> None:
        replicas = [await bench.add_replica(name) for name in ('p1', 'p2')]
        for replica in replicas:
            replica.behaviour = Behaviour.SHEDDING
            replica.statements = (('retry-after', '20'),)
        entry = (await start_entries(bench, 1))[0]
        for _ in range(5):
            response = await entry.call('/read/1')
            assert response.status == 503
        assert float(response.header('retry-after') or '0') > REST_OF_PAUSE_S
        assert [replica.refused for replica in replicas] == [1, 1]

    run_on_platform(scenario)
