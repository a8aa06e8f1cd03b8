"""Test that a sidecar answers what has reached it before it ends."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import pytest
import trio

from amaranthrail.adapters.link import Link, client_handshake
from amaranthrail.clock import Clock
from amaranthrail.frames import (
    Ack,
    AttemptQuery,
    Cancel,
    Dispatch,
    Frame,
    Heartbeat,
    Hello,
    KeyQuery,
    Refused,
    ResponseEnd,
    Welcome,
)
from amaranthrail.outcomes import Reason
from amaranthrail.settings import SidecarSettings
from amaranthrail.sidecar.service import Sidecar

from . import build

SECRET = 'secret-of-this-test'
#: Makes a frame for the sidecar of an incarnation.
MakeOpening = Callable[[str], Frame]
#: Time within which a sidecar without work ends, in seconds.
END_S = 2
#: Bytes of a response, and queries of it: together more than the sockets hold.
RESPONSE_BYTES = 1_000_000
QUERIES = 12


def _new_sidecar(upstream_port: int) -> Sidecar:
    fields = {
        'name': 's1',
        'listen': '127.0.0.1:0',
        'admin_listen': '127.0.0.1:0',
        'admin_token': SECRET,
        'peer_key': SECRET,
        'domain': 'd',
        'platform': '127.0.0.1:1',
        'service': 's',
        'upstream': 'u',
        'upstream_address': f'127.0.0.1:{upstream_port}',
    }
    return Sidecar(SidecarSettings.model_validate(fields))


def _run_sidecar(
    scenario: Callable[[Sidecar, Link, Welcome], Awaitable[None]],
) -> None:
    """Run a scenario with a sidecar and a link; the sidecar ends after it."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
            nursery.start_soon(trio.serve_listeners, _respond, listeners)
            sidecar = _new_sidecar(listeners[0].socket.getsockname()[1])
            ended = trio.Event()

            async def run(task_status: trio.TaskStatus[int]) -> None:
                await sidecar.run(task_status)
                ended.set()

            port = await nursery.start(run)
            async with await trio.open_tcp_stream('127.0.0.1', port) as stream:
                link = Link(stream, Clock())
                hello = Hello(b'', b'', 'e1', 'i1', 1)
                welcome = await client_handshake(link, SECRET.encode(), hello)
                await scenario(sidecar, link, welcome)
            with trio.fail_after(END_S):
                await ended.wait()
            nursery.cancel_scope.cancel()

    trio.run(main)


async def _respond(stream: trio.SocketStream) -> None:
    """Respond to the one request of a connection."""
    async with stream:
        await stream.receive_some(65_536)
        head = f'HTTP/1.1 200 OK\r\ncontent-length: {RESPONSE_BYTES}\r\n\r\n'
        await stream.send_all(head.encode() + bytes(RESPONSE_BYTES))


async def _receive_end(link: Link, request: str) -> None:
    """Wait for the end of a response."""
    while True:
        frame = await link.receive()
        if isinstance(frame, ResponseEnd) and frame.request == request:
            return


async def _wait_leaving(link: Link) -> None:
    """Wait for the heartbeat that says that the sidecar shuts down."""
    while True:
        frame = await link.receive()
        if isinstance(frame, Heartbeat) and frame.shutting_down:
            return


def _dispatch(incarnation: str, intent: str) -> Dispatch:
    return build.dispatch('r', incarnation, clock=Clock().now(), intent=intent)


OPENINGS: list[tuple[MakeOpening, Reason]] = [
    (lambda incarnation: _dispatch(incarnation, ''), Reason.DRAINING),
    (lambda incarnation: _dispatch(incarnation, 'n'), Reason.DRAINING),
    (lambda incarnation: AttemptQuery('r', incarnation, 'n'), Reason.VOIDED),
    (lambda _: KeyQuery('r', 'k'), Reason.KEY_UNKNOWN),
]


@pytest.mark.parametrize(('make_opening', 'reason'), OPENINGS)
def test_what_reaches_an_idle_sidecar_at_its_end_is_refused(
    make_opening: MakeOpening, reason: Reason
) -> None:
    """Guards against an end before entries know that the sidecar leaves.

    What they sent meanwhile had an unknown outcome, though nothing had run.
    """
    refusals: list[str] = []

    async def scenario(sidecar: Sidecar, link: Link, welcome: Welcome) -> None:
        sidecar.stop()
        await _wait_leaving(link)
        link.enqueue(make_opening(welcome.incarnation))
        await link.flush()
        while not refusals:
            frame = await link.receive()
            if isinstance(frame, Refused):
                refusals.append(frame.reason)

    _run_sidecar(scenario)
    assert refusals == [reason.value]


def test_a_queried_response_is_sent_whole_before_the_end() -> None:
    """Guards against an end with frames that the sockets do not take yet.

    Responses that an entry queries are acknowledged under no request id.
    """

    async def scenario(sidecar: Sidecar, link: Link, welcome: Welcome) -> None:
        incarnation = welcome.incarnation
        link.enqueue(_dispatch(incarnation, 'n'))
        await link.flush()
        await _receive_end(link, 'r')
        link.enqueue(Ack('r', RESPONSE_BYTES, done=True))
        names = [f'q{number}' for number in range(QUERIES)]
        for name in names:
            link.enqueue(AttemptQuery(name, incarnation, 'n'))
        await link.flush()
        await trio.sleep(0.2)
        sidecar.stop()
        await trio.sleep(0.3)
        for name in names:
            await _receive_end(link, name)

    _run_sidecar(scenario)


def test_a_sidecar_does_not_wait_for_cancelled_runs() -> None:
    """Guards against an end 30 s late after a caller has disconnected."""

    async def scenario(sidecar: Sidecar, link: Link, welcome: Welcome) -> None:
        link.enqueue(_dispatch(welcome.incarnation, ''))
        link.enqueue(Cancel('r'))
        await link.flush()
        await trio.sleep(0.2)
        sidecar.stop()

    _run_sidecar(scenario)
