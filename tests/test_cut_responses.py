"""Test that a response that stops midway is never taken as whole."""

from __future__ import annotations

import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
import trio

from .platformbench import PlatformBench, run_on_platform, wait_until

HEAD = (
    b'HTTP/1.1 200 OK\r\n'
    b'attempt-id: a1\r\n'
    b'replica-signature: signed-p1\r\n'
    b'content-type: text/event-stream\r\n'
    b'content-length: 24\r\n'
    b'\r\n'
)
#: Ends of the part that is sent: in each line, at and within each line's end,
#: and one byte before the head is complete.
CUTS = (
    b'HTTP/1.1 2',
    b'HTTP/1.1 200 OK\r',
    b'HTTP/1.1 200 OK\r\n',
    b'HTTP/1.1 200 OK\r\nattempt-id: a1\r\nreplica-sig',
    b'HTTP/1.1 200 OK\r\nattempt-id: a1\r\nreplica-signature: signed-p1\r\n',
    HEAD[: HEAD.index(b'24') + 1],
    HEAD[:-2],
    HEAD[:-1],
)
PATHS = ('/read/1', '/book/1', '/stream/1')


#: SO_LINGER that resets a connection as it is closed.
RESET = struct.pack('ii', 1, 0)
WITHOUT_LENGTH = b'\r\n'.join(
    line for line in HEAD.split(b'\r\n') if b'content-length' not in line
)


@asynccontextmanager
async def cutting_server(
    sent: bytes, *, resets: bool = False
) -> AsyncIterator[str]:
    """Serve responses that end after some bytes; yield the address."""

    async def serve(stream: trio.SocketStream) -> None:
        async with stream:
            await stream.receive_some()
            await stream.send_all(sent)
            if resets:
                # The entry has read the bytes by then.
                await trio.sleep(0.2)
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        yield f'127.0.0.1:{listeners[0].socket.getsockname()[1]}'
        nursery.cancel_scope.cancel()


async def call_each_path(
    bench: PlatformBench, plain: str, engine: str
) -> set[int]:
    """Return the statuses that the callers of all paths get."""
    bench.announce('p1', plain)
    bench.announce('e1', engine, service='engine')
    entry = await bench.start_entry()
    directory = entry.entry.cluster_state.directory
    await wait_until(lambda: len(directory) == 2)
    responses = [
        await entry.call(path, 'POST', attempt_id='a1') for path in PATHS
    ]
    return {response.status for response in responses}


@pytest.mark.parametrize('sent', CUTS)
def test_a_head_that_stops_midway_gives_no_success(sent: bytes) -> None:
    """Guards against a 200 with an empty or short body, framed as whole."""

    async def scenario(bench: PlatformBench) -> None:
        async with (
            cutting_server(sent) as plain,
            cutting_server(sent) as engine,
        ):
            statuses = await call_each_path(bench, plain, engine)
            assert statuses <= {502, 504}

    run_on_platform(scenario)


def test_a_body_without_length_that_is_reset_gives_no_success() -> None:
    """Only its connection's regular end tells that it is whole."""

    async def scenario(bench: PlatformBench) -> None:
        sent = WITHOUT_LENGTH + b'half of a response'
        async with (
            cutting_server(sent, resets=True) as plain,
            cutting_server(sent, resets=True) as engine,
        ):
            statuses = await call_each_path(bench, plain, engine)
            assert statuses <= {502, 504}

    run_on_platform(scenario)
