"""Test calls while failure domains are evacuated, through direct entries."""

from __future__ import annotations

from collections import Counter

import pytest
import trio

from amaranthrail.adapters.httpinput import HttpInput
from amaranthrail.exceptions import HttpError
from standins.keyedlog import StoreFault
from standins.replica import STREAM_EVENTS, Behaviour

from .platformbench import (
    PlatformBench,
    RunningEntry,
    run_on_platform,
    wait_until,
)

#: Time in which an evacuation or its end must be in force, in seconds (the
#: bound ``evacuation_ms`` of the settings).
EVACUATION_S = 5.0


async def until_evacuated(
    entry: RunningEntry, *domains: str, timeout_s: float = EVACUATION_S
) -> None:
    """Wait until exactly these domains are evacuated at an entry."""
    evacuations = entry.entry.cluster_state.evacuations
    await wait_until(lambda: evacuations.in_force == set(domains), timeout_s)


async def start_pair(
    bench: PlatformBench, fault: StoreFault
) -> tuple[RunningEntry, RunningEntry]:
    """Start two entries; the store fails for the second one alone."""
    await bench.add_replica('p1')
    first = await bench.start_entry()
    await first.until_ready()
    refusing = bench.log.share()
    address = await bench.start_store(refusing)
    settings = {
        'seed_nodes': f'{first.address.host}:1',
        'platform.address': str(address),
    }
    second = await bench.start_entry(**settings)
    await second.until_ready()
    refusing.fault = fault
    await wait_until(lambda: second.entry.store_lost)
    return first, second


def test_no_call_goes_to_an_evacuated_domain_until_its_end() -> None:
    """Guards against a domain that is not left, or not used again."""

    async def scenario(bench: PlatformBench) -> None:
        # The entry prefers its own domain where the load is equal.
        own = await bench.add_replica('p1', zone='a')
        await bench.add_replica('p2', zone='far')
        entry = await bench.start_entry()
        await entry.until_ready()
        bench.log.evacuate('a')
        await until_evacuated(entry, 'a')
        assert (await entry.call('/read/1')).body == b'p2 did /read/1'
        assert not own.executed
        bench.log.end_evacuation('a')
        await until_evacuated(entry)
        assert (await entry.call('/read/1')).body == b'p1 did /read/1'

    run_on_platform(scenario)


def test_calls_are_refused_where_all_domains_are_evacuated() -> None:
    """Guards against a call that is sent or kept where none may take it."""

    async def scenario(bench: PlatformBench) -> None:
        replica = await bench.add_replica('p1', zone='far')
        entry = await bench.start_entry()
        await entry.until_ready()
        bench.log.evacuate('far')
        await until_evacuated(entry, 'far')
        response = await entry.call('/book/1', 'POST')
        outcome = response.status, response.header('x-outcome')
        assert outcome == (503, 'not-run')
        assert response.header('retry-after')
        assert b'domain-evacuated' in response.body
        assert not replica.executed

    run_on_platform(scenario)


def test_an_entry_knows_the_evacuation_before_it_is_ready() -> None:
    """Guards against calls that a new entry sends before it has read it."""

    async def scenario(bench: PlatformBench) -> None:
        await bench.add_replica('p1', zone='far')
        bench.log.evacuate('far')
        entry = await bench.start_entry()
        await entry.until_ready()
        evacuations = entry.entry.cluster_state.evacuations
        assert evacuations.in_force == {'far'}

    run_on_platform(scenario)


def test_no_retry_goes_to_an_evacuated_domain() -> None:
    """Guards against retries that go where first attempts do not."""

    async def scenario(bench: PlatformBench) -> None:
        near = await bench.add_replica('p1')
        near.behaviour = Behaviour.FAILING
        far = await bench.add_replica('p2', zone='far')
        entry = await bench.start_entry()
        await entry.until_ready()
        bench.log.evacuate('far')
        await until_evacuated(entry, 'far')
        assert (await entry.call('/read/1')).status == 500
        assert near.executed
        assert not far.executed

    run_on_platform(scenario)


def test_a_stream_is_not_resumed_in_an_evacuated_domain() -> None:
    """Guards against resumed streams that go where first attempts do not."""

    async def scenario(bench: PlatformBench) -> None:
        near = await bench.add_replica('e1', 'engine')
        near.behaviour = Behaviour.TRUNCATING
        far = await bench.add_replica('e2', 'engine', zone='far')
        entry = await bench.start_entry()
        await entry.until_ready()
        bench.log.evacuate('far')
        await until_evacuated(entry, 'far')
        # The client raises an error where a response that has begun is cut.
        with pytest.raises(HttpError):
            await entry.call('/stream/1', 'POST')
        assert near.executed
        assert not far.executed

    run_on_platform(scenario)


def test_a_stream_in_progress_ends_in_its_evacuated_domain() -> None:
    """Guards against streams that an evacuation cuts off."""

    async def scenario(bench: PlatformBench) -> None:
        far = await bench.add_replica('e1', 'engine', zone='far')
        far.pause_s = 0.2
        entry = await bench.start_entry()
        await entry.until_ready()
        bodies: list[bytes] = []

        async def call() -> None:
            response = await entry.call('/stream/1', 'POST')
            bodies.append(response.body)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await wait_until(lambda: bool(far.executed))
            bench.log.evacuate('far')
            await until_evacuated(entry, 'far', timeout_s=0.9)
            assert not bodies
        assert bodies[0].count(b'id: ') == STREAM_EVENTS
        assert len(far.executed) == 1

    run_on_platform(scenario)


def test_a_chosen_attempt_is_not_sent_after_the_evacuation() -> None:
    """Guards against a call that waits for its connection meanwhile."""

    async def scenario(bench: PlatformBench) -> None:
        far = await bench.add_replica('p1', zone='far')
        entry = await bench.start_entry()
        await entry.until_ready()
        cluster = entry.entry.cluster_state
        upstream = cluster.directory.find('p1')
        assert upstream is not None
        connect = upstream.client._connect
        connections = Counter[str]()

        async def connect_late() -> HttpInput:
            connections['opened'] += 1
            connection = await connect()
            await bench.add_replica('p2')
            bench.log.evacuate('far')
            await until_evacuated(entry, 'far')
            await wait_until(lambda: len(cluster.directory) == 2)
            return connection

        upstream.client._connect = connect_late  # type: ignore[method-assign]
        response = await entry.call(
            '/book/1', 'POST', deadline_remaining_ms='5000'
        )
        assert connections['opened'] == 1
        assert response.body == b'p2 did /book/1'
        assert not far.executed
        assert cluster.evacuations.withdrawn == 1

    run_on_platform(scenario)


@pytest.mark.parametrize(
    'fault',
    [StoreFault.REFUSING, StoreFault.BUSY, StoreFault.SILENT],
)
def test_entries_without_store_learn_it_and_its_end_from_others(
    fault: StoreFault,
) -> None:
    """Guards against entries that the store refuses and that send on."""

    async def scenario(bench: PlatformBench) -> None:
        first, second = await start_pair(bench, fault)
        assert first.entry.ready
        bench.log.evacuate('far')
        await until_evacuated(second, 'far')
        bench.log.end_evacuation('far')
        await until_evacuated(second)

    run_on_platform(scenario)


def test_an_evacuation_outlives_the_only_entry_that_could_read_it() -> None:
    """Guards against an evacuation that is lost with the entry that read it."""

    async def scenario(bench: PlatformBench) -> None:
        first, second = await start_pair(bench, StoreFault.REFUSING)
        bench.log.evacuate('far')
        await until_evacuated(second, 'far')
        first.kill()
        settings = {
            'seed_nodes': f'{second.address.host}:1',
            'platform.address': str(second.entry.settings.store),
        }
        third = await bench.start_entry(**settings)
        await third.until_ready()
        assert third.entry.cluster_state.evacuations.in_force == {'far'}

    run_on_platform(scenario)


def test_a_removal_is_found_where_the_history_is_gone() -> None:
    """Guards against an evacuation without end after a compaction."""

    async def scenario(bench: PlatformBench) -> None:
        await bench.add_replica('p1')
        entry = await bench.start_entry()
        await entry.until_ready()
        bench.log.evacuate('far')
        await until_evacuated(entry, 'far')
        bench.log.fault = StoreFault.REFUSING
        await wait_until(lambda: entry.entry.store_lost)
        bench.log.end_evacuation('far')
        bench.log.topic('keyed.op').compact()
        bench.log.fault = StoreFault.NONE
        await until_evacuated(entry)

    run_on_platform(scenario)
