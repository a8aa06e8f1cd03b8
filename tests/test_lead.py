"""Test leadership over the expert maps, with entries on loopback."""

from __future__ import annotations

import trio

from standins.keyedlog import StoreFault

from .platformbench import (
    PlatformBench,
    RunningEntry,
    run_on_platform,
    wait_until,
)


async def start_two(bench: PlatformBench) -> tuple[RunningEntry, RunningEntry]:
    """Start two entries that know each other; the first one is leader."""
    first = await bench.start_entry(node_name='e1')
    await wait_until(lambda: first.entry.is_leader)
    second = await bench.start_entry(
        node_name='e2',
        seed_nodes=f'{first.address.host}:8229',
    )
    return first, second


def test_leadership_stays_in_an_outage_of_the_store() -> None:
    """Guards against a missing leader during an outage of the store.

    The outage began right after leadership was lost: no entry was leader for
    9 s.
    """

    async def scenario(bench: PlatformBench) -> None:
        first, second = await start_two(bench)
        bench.log.fault = StoreFault.REFUSING
        await trio.sleep(3)
        assert (first.entry.is_leader, second.entry.is_leader) == (True, False)

    run_on_platform(scenario)


def test_leadership_moves_during_an_outage() -> None:
    async def scenario(bench: PlatformBench) -> None:
        first, second = await start_two(bench)
        await trio.sleep(2)
        bench.log.fault = StoreFault.REFUSING
        first.entry.stop()
        await wait_until(lambda: second.entry.is_leader)
        assert not first.entry.is_leader

    run_on_platform(scenario)


def test_an_entry_that_starts_does_not_replace_the_leader() -> None:
    async def scenario(bench: PlatformBench) -> None:
        first, second = await start_two(bench)
        for _ in range(30):
            await trio.sleep(0.1)
            assert not second.entry.is_leader
        assert first.entry.is_leader

    run_on_platform(scenario)


def test_configuration_outlasts_a_restart_of_all_entries() -> None:
    """Guards against refusals while all entries restart in a store outage.

    Found with deploy/days/leaving-domains.toml: all calls were refused until
    the store was back.
    """

    async def scenario(bench: PlatformBench) -> None:
        await bench.add_replica('p1')
        first, second = await start_two(bench)
        await second.until_ready()
        bench.log.fault = StoreFault.REFUSING
        await wait_until(lambda: first.entry.store_lost)
        first.entry.stop()
        second.entry.stop()
        # Neither has calls left, and no other entry has the configuration.
        await trio.sleep(4)
        third = await bench.start_entry(
            node_name='e3',
            seed_nodes=','.join(
                f'{entry.address.host}:8229' for entry in (first, second)
            ),
        )
        await third.until_ready()
        assert (await third.call('/read/1')).status == 200

    run_on_platform(scenario)
