"""Test calls that arrive or end at the borders of a graceful shutdown."""

from __future__ import annotations

import contextlib
import socket

import trio
from structlog.testing import capture_logs

from amaranthrail.adapters.httpserver import HttpRequest, ResponseWriter
from amaranthrail.clock import Clock
from amaranthrail.signals import StopTimes
from amaranthrail.types import Millis
from standins.platformfleet import start_server

from .platformbench import PlatformBench, run_on_platform

#: Entries of one test: which of two tasks runs first is random in each.
_ENTRIES = 10
#: The users excuse streams that are cut off if they were sent up to 3 s after
#: the stop signal; these are sent later.
_SIGNAL_AGE_MS = 3500
#: More than the buffers of both sockets hold.
_BODY_BYTES = 3_000_000
PLAIN_REQUEST = (
    b'GET /read/1 HTTP/1.1\r\nhost: h.example\r\nattempt-id: a1\r\n'
    b'authorization: Token k1\r\n\r\n'
)
STREAM_REQUEST = (
    b'GET /stream/%d HTTP/1.1\r\nhost: h.example\r\nattempt-id: a%d\r\n'
    b'authorization: Token k1\r\n\r\n'
)


def test_a_late_request_read_with_the_stop_signal_is_refused() -> None:
    """Guards against calls that are accepted before the shutdown has begun.

    A process that was held up reads the signal and the requests that came
    after it at the same time.
    """
    executed: list[str] = []

    async def scenario(bench: PlatformBench) -> None:
        bench.configure(routes=[_stream_route()])
        replica = await bench.add_replica('e1', 'engine')
        entries = [await bench.start_entry() for _ in range(_ENTRIES)]
        callers = []
        for entry in entries:
            await entry.until_ready()
            address = (entry.address.host, entry.address.port)
            callers.append(socket.create_connection(address))
        await trio.sleep(0.3)
        clock = Clock()
        for number, caller in enumerate(callers):
            caller.sendall(STREAM_REQUEST % (number, number))
            sent_at = clock.now() - _SIGNAL_AGE_MS
            times = StopTimes(Millis(sent_at), clock.now())
            entries[number].entry.stop(times)
            # Each entry reads in a pass of the event loop of its own.
            await trio.sleep(0.05)
        await trio.sleep(1)
        executed.extend(request.path for request in replica.executed)
        for caller in callers:
            caller.close()

    run_on_platform(scenario)
    assert not executed


def _stream_route() -> dict[str, object]:
    """Return a route whose streams may last until after the kill."""
    return {
        'name': 'stream',
        'host': 'h.example',
        'path_prefix': '/stream/',
        'kind': 'streaming',
        'timeout_ms': 30000,
        'target_latency_ms': 400,
        'priority': 1,
        'service': 'engine',
        'max_attempts': 1,
    }


def test_a_response_that_its_caller_has_not_got_is_in_the_log() -> None:
    """Guards against a log that only says that such a call was answered.

    The caller does not read, and the entry ends before it has sent all.
    """

    async def respond(request: HttpRequest, reply: ResponseWriter) -> None:
        fields = (
            ('attempt-id', request.header('attempt-id') or ''),
            ('replica-signature', '1.0.0.0.0.0'),
        )
        await reply.send(200, fields, bytes(_BODY_BYTES))

    async def scenario(bench: PlatformBench) -> None:
        address = await start_server(bench.nursery, respond)
        bench.announce('p1', str(address))
        fields = {'bounds.grace_s': '1'}
        entry = await bench.start_entry(**fields)
        await entry.until_ready()
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        with contextlib.closing(caller):
            caller.connect((entry.address.host, entry.address.port))
            caller.sendall(PLAIN_REQUEST)
            await trio.sleep(0.3)
            entry.entry.stop()
            await entry.until_ended()

    with capture_logs() as lines:
        run_on_platform(scenario)
    own = [line for line in lines if line.get('request') == 'a1']
    events = [line['event'] for line in own]
    assert events == ['answered', 'response not sent whole']
    assert own[-1]['is_process_end']
