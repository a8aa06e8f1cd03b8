"""Test that no caller gets a response that its own call did not produce."""

from __future__ import annotations

import pytest

from standins.replica import Behaviour

from .platformbench import (
    PlatformBench,
    RunningEntry,
    run_on_platform,
    wait_until,
)

FOREIGN_REFUSALS = (
    Behaviour.REPEATING_REFUSAL,
    Behaviour.REPEATING_MISDIRECTED,
    Behaviour.ANONYMOUS_REFUSAL,
)


async def start_entry(bench: PlatformBench, upstreams: int) -> RunningEntry:
    entry = await bench.start_entry()
    directory = entry.entry.cluster_state.directory
    await wait_until(lambda: len(directory) == upstreams)
    return entry


@pytest.mark.parametrize('behaviour', FOREIGN_REFUSALS)
def test_another_calls_refusal_is_no_proof_of_not_having_run(
    behaviour: Behaviour,
) -> None:
    """Guards against 'not run, try again' for a call that has run."""

    async def scenario(bench: PlatformBench) -> None:
        replicas = [await bench.add_replica(name) for name in ('p1', 'p2')]
        for replica in replicas:
            replica.behaviour = behaviour
        entry = await start_entry(bench, 2)
        response = await entry.call('/book/1', 'POST')
        assert response.status in {502, 504}
        executed = [call for replica in replicas for call in replica.executed]
        assert len(executed) == 1
        # An address that another call found replaced may still be the one.
        assert len(entry.entry.cluster_state.directory) == 2

    run_on_platform(scenario)


def test_what_a_refusal_of_another_call_says_is_ignored() -> None:
    async def scenario(bench: PlatformBench) -> None:
        replica = await bench.add_replica('p1')
        replica.behaviour = Behaviour.WRONG_ATTEMPT_ID
        replica.statements = (('server-leaving', '1'), ('server-limit', '0'))
        entry = await start_entry(bench, 1)
        for _ in range(5):
            await entry.call('/book/1', 'POST')
        assert len(replica.executed) == 5

    run_on_platform(scenario)
