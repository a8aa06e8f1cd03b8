"""Test the turns of connections with costly input, on a simulated clock."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio
from trio.testing import MockClock

from amaranthrail.adapters.turns import TurnQueue
from amaranthrail.policy.parsing import TURN_UNITS, TURN_UNITS_PER_S

CONNECTIONS = 100


async def _take_always(queue: TurnQueue, number: int) -> None:
    turns = 0
    while True:
        await queue.take(f'{number}', turns, TURN_UNITS)
        turns += 1


def _run_beside_costly(
    measure: Callable[[TurnQueue], Awaitable[float]],
) -> float:
    """Return the result of ``measure(queue)`` beside costly connections."""
    found: list[float] = []

    async def main() -> None:
        queue = TurnQueue()
        async with trio.open_nursery() as nursery:
            for number in range(CONNECTIONS):
                nursery.start_soon(_take_always, queue, number)
            await trio.sleep(2)
            found.append(await measure(queue))
            nursery.cancel_scope.cancel()
        assert not queue.waiting

    trio.run(main, clock=MockClock(autojump_threshold=0))
    return found[0]


def test_all_connections_together_get_a_bounded_share() -> None:
    """Guards against many connections that leave no time for others."""

    async def measure(queue: TurnQueue) -> float:
        before = queue.turns
        await trio.sleep(10)
        return (queue.turns - before) * TURN_UNITS / 10

    assert _run_beside_costly(measure) <= 1.01 * TURN_UNITS_PER_S


def test_a_connection_that_is_costly_for_once_goes_first() -> None:
    """Guards against a sound stream that waits for a hundred others."""

    async def measure(queue: TurnQueue) -> float:
        began_at = trio.current_time()
        await queue.take('sound', 0, TURN_UNITS)
        return trio.current_time() - began_at

    assert _run_beside_costly(measure) <= 2 * TURN_UNITS / TURN_UNITS_PER_S


def test_a_connection_that_is_given_up_leaves_its_turn_to_the_next() -> None:
    async def measure(queue: TurnQueue) -> float:
        with trio.move_on_after(0.001):
            await queue.take('leaves', 0, TURN_UNITS)
        before = queue.turns
        await trio.sleep(1)
        return queue.turns - before

    assert _run_beside_costly(measure) > 0


def test_costly_connections_share_their_turns_evenly() -> None:
    counts = {'a': 0, 'b': 0, 'c': 0}

    async def take(queue: TurnQueue, name: str) -> None:
        while True:
            await queue.take(name, counts[name], TURN_UNITS)
            counts[name] += 1

    async def main() -> None:
        queue = TurnQueue()
        async with trio.open_nursery() as nursery:
            for name in counts:
                nursery.start_soon(take, queue, name)
            await trio.sleep(5)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))
    assert max(counts.values()) - min(counts.values()) <= 1
