"""Test entries beside upstreams whose responses come in very small parts."""

from __future__ import annotations

import contextlib
import signal

import pytest
import trio

from amaranthrail.exceptions import HttpError
from standins.platformfleet import (
    EntryProcess,
    PlatformFleet,
    platform_fleet,
    start_server,
)
from standins.replica import STREAM_EVENTS, Replica
from standins.smallparts import (
    FORMS,
    Form,
    SmallPartsUpstream,
    send_requests,
    whole_stream,
)

from .platformbench import PlatformBench, RunningEntry, run_on_platform
from .platformbuild import route

#: Streams to the faulty upstream at a time, and sound calls beside them.
STREAMS = 4
CALLS = 20
#: The users' bound of the grace period, and what a host may need besides.
GRACE_S = 8.0
EXIT_SLACK_S = 5.0


async def start_faulty(
    nursery: trio.Nursery, form: Form
) -> tuple[str, SmallPartsUpstream]:
    """Return the address of an upstream that responds in a form, and it."""
    faulty = SmallPartsUpstream(form)
    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    nursery.start_soon(trio.serve_listeners, faulty.serve, listeners)
    port = listeners[0].socket.getsockname()[1]
    return f'127.0.0.1:{port}', faulty


async def start_entry(
    bench: PlatformBench, form: Form, path: str, kind: str
) -> tuple[RunningEntry, SmallPartsUpstream]:
    """Start an entry that knows only the faulty upstream of a service."""
    routes = [
        route(path, kind, 'engine', timeout_ms=8000, stream_resume=True),
        route('read', 'idempotent', 'plain'),
    ]
    bench.configure(2, routes=routes)
    address, faulty = await start_faulty(bench.nursery, form)
    bench.announce('e1', address, service='engine')
    await bench.add_replica('p1')
    entry = await bench.start_entry()
    await entry.until_ready()
    return entry, faulty


async def keep_streaming(entry: RunningEntry) -> None:
    while True:
        with contextlib.suppress(HttpError):
            await entry.call('/stream/other', 'POST')


@pytest.mark.parametrize(
    'form', ['stream, chunks of 5 bytes', 'stream, chunks of 16000 bytes']
)
def test_a_stream_without_events_is_sent_to_another_upstream(form: str) -> None:
    """Guards against bytes that hide that a stream has stalled."""

    async def scenario(bench: PlatformBench) -> None:
        entry, faulty = await start_entry(
            bench, FORMS[form], 'stream', 'streaming'
        )
        async with trio.open_nursery() as nursery:

            async def add_sound() -> None:
                await trio.sleep(0.1)
                sound = Replica('e2', pause_s=0.05)
                address = await start_server(bench.nursery, sound.handle)
                bench.announce('e2', str(address), service='engine')
                await keep_streaming(entry)

            nursery.start_soon(add_sound)
            response = await entry.call(
                '/stream/1', 'POST', deadline_remaining_ms='8000'
            )
            nursery.cancel_scope.cancel()
        assert response.status == 200
        assert response.body.count(b'\n\n') == STREAM_EVENTS
        assert faulty.calls
        upstream = entry.entry.cluster_state.directory.find('e1')
        assert upstream is not None
        assert upstream.health.failure_rate > 0

    run_on_platform(scenario)


@pytest.mark.parametrize(
    ('form', 'path', 'kind'),
    [
        ('body, chunks of 1 byte', 'whole', 'idempotent'),
        ('stream, chunks of 5 bytes', 'stream', 'streaming'),
    ],
)
def test_a_costly_response_given_up_is_a_failure_of_its_upstream(
    form: str, path: str, kind: str
) -> None:
    """Guards against an upstream that is chosen again and again."""

    async def scenario(bench: PlatformBench) -> None:
        entry, _ = await start_entry(bench, FORMS[form], path, kind)
        response = await entry.call(f'/{path}/1')
        assert response.status in {503, 504}
        upstream = entry.entry.cluster_state.directory.find('e1')
        assert upstream is not None
        assert upstream.health.failure_rate > 0
        assert (await entry.call('/read/1')).status == 200

    run_on_platform(scenario)


@pytest.mark.parametrize(
    ('event_bytes', 'chunk_bytes'),
    [(1_000_000, 16_000), (20_000, 5), (500, 1), (100_000, 0), (20, 0)],
)
def test_a_sound_stream_is_relayed_however_it_is_split(
    event_bytes: int, chunk_bytes: int
) -> None:
    event = b'id: 1\ndata: %s\n\n' % (event_bytes * b'a')
    text = event + b'id: 2\ndata: b\n\n'

    async def scenario(bench: PlatformBench) -> None:
        entry, _ = await start_entry(
            bench, whole_stream(text, chunk_bytes), 'stream', 'streaming'
        )
        response = await entry.call(
            '/stream/1', 'POST', deadline_remaining_ms='8000'
        )
        assert response.body == text
        upstream = entry.entry.cluster_state.directory.find('e1')
        assert upstream is not None
        assert upstream.health.failure_rate == 0

    run_on_platform(scenario)


async def disturb(entry: EntryProcess) -> None:
    """Call the faulty upstream again and again."""
    number = 0
    while True:
        number += 1
        with contextlib.suppress(HttpError), trio.move_on_after(4):
            await entry.call('POST', '/stream/1', f'disturb-{number}')


async def add_upstreams(fleet: PlatformFleet, nursery: trio.Nursery) -> None:
    await fleet.add_replica('p1', 'plain')
    address, _ = await start_faulty(nursery, FORMS['stream, chunks of 5 bytes'])
    fleet.write_replica_record('e1', 'engine', address=address)


def test_sound_calls_are_served_beside_streams_of_chunks() -> None:
    """Guards against an entry process that such streams stop for seconds.

    Faulty callers send at the same time, and the streams go on in a shutdown.
    """

    async def main() -> None:
        async with platform_fleet() as fleet, trio.open_nursery() as nursery:
            await add_upstreams(fleet, nursery)
            entry = fleet.add_entry()
            await entry.until_ready()
            for _ in range(STREAMS):
                nursery.start_soon(disturb, entry)
            for kind in (
                'request body, chunks of 5 bytes',
                'request head, spaces',
            ):
                nursery.start_soon(send_requests, entry.host, 8227, kind)
            await trio.sleep(1)
            statuses = []
            for number in range(CALLS):
                response = await entry.call('GET', '/read/1', f'sound-{number}')
                statuses.append(response.status)
            await entry.until_ready()
            entry.send_signal(signal.SIGTERM)
            with trio.fail_after(GRACE_S + EXIT_SLACK_S):
                exit_code = await entry.wait()
            nursery.cancel_scope.cancel()
        assert statuses == CALLS * [200]
        assert exit_code == 0

    trio.run(main)
