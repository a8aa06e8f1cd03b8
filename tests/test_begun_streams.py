"""Test that a stream that has begun takes in nothing but its own events."""

from __future__ import annotations

import pytest

from amaranthrail.exceptions import HttpError
from standins.replica import STREAM_EVENTS, Behaviour

from .platformbench import (
    PlatformBench,
    RunningEntry,
    run_on_platform,
    wait_until,
)
from .platformbuild import route

#: Responses to a call that resumes a stream that are no part of it.
NO_STREAMS = (
    Behaviour.FAILING,
    Behaviour.NOT_FOUND,
    Behaviour.EMPTY,
    Behaviour.PLAIN,
    Behaviour.SHEDDING,
    Behaviour.ENCODED,
)


def events(first: int, last: int) -> bytes:
    return b''.join(
        f'id: {number}\ndata: {number}\n\n'.encode()
        for number in range(first, last + 1)
    )


async def start_entry(
    bench: PlatformBench, *behaviours: Behaviour
) -> RunningEntry:
    """Start an entry with engines that are chosen in this order."""
    for number, behaviour in enumerate(behaviours):
        engine = await bench.add_replica(
            f'e{number}', 'engine', slots=6 - number
        )
        engine.behaviour = behaviour
    entry = await bench.start_entry()
    directory = entry.entry.cluster_state.directory
    await wait_until(lambda: len(directory) == len(behaviours))
    return entry


async def read_stream(entry: RunningEntry) -> tuple[bytes, bool]:
    """Return a stream as its caller gets it, and whether it is complete."""
    headers = (
        ('host', 'h.example'),
        ('attempt-id', 'a1'),
        ('authorization', 'Token k1'),
        ('deadline-remaining-ms', '1500'),
    )
    received = b''
    try:
        async with entry.client.exchange(
            'POST', '/stream/1', headers
        ) as exchange:
            async for part in exchange.body_chunks():
                received = b''.join((received, part))
    except HttpError:
        return received, False
    return received, True


@pytest.mark.parametrize('behaviour', NO_STREAMS)
def test_a_begun_stream_takes_in_no_other_response(
    behaviour: Behaviour,
) -> None:
    """Guards against an error's text, or a false end, inside a stream."""

    async def scenario(bench: PlatformBench) -> None:
        entry = await start_entry(bench, Behaviour.TRUNCATING, behaviour)
        received, is_complete = await read_stream(entry)
        assert received == events(1, 2)
        assert not is_complete

    run_on_platform(scenario)


@pytest.mark.parametrize('behaviour', NO_STREAMS)
def test_a_begun_stream_goes_on_after_another_response(
    behaviour: Behaviour,
) -> None:
    async def scenario(bench: PlatformBench) -> None:
        long_stream = route(
            'stream', 'streaming', 'engine', stream_resume=True, max_attempts=4
        )
        bench.configure(2, routes=[long_stream])
        entry = await start_entry(
            bench, Behaviour.TRUNCATING, behaviour, Behaviour.HEALTHY
        )
        received, is_complete = await read_stream(entry)
        assert received == events(1, STREAM_EVENTS)
        assert is_complete

    run_on_platform(scenario)
