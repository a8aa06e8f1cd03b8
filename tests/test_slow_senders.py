"""Test the timeouts for callers that send slowly, on a simulated clock."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio
from trio.testing import MockClock, memory_stream_pair

from amaranthrail.adapters.httpserver import (
    BODY_TIMEOUT_MS,
    IDLE_TIMEOUT_MS,
    HttpRequest,
    ResponseWriter,
    ServerLimits,
    ServerState,
    serve_connection,
)

MAX_BODY = 1000
NO_HEADER_TIMEOUT = ServerLimits(MAX_BODY)
HEAD = b'POST /orders HTTP/1.1\r\nhost: entry\r\ncontent-length: 100\r\n\r\n'

Sender = Callable[[trio.abc.Stream], Awaitable[None]]


async def _send_nothing(_stream: trio.abc.Stream) -> None:
    await trio.sleep_forever()


async def _send_partial_head(stream: trio.abc.Stream) -> None:
    await stream.send_all(HEAD[:20])
    await trio.sleep_forever()


async def _send_byte_by_byte(stream: trio.abc.Stream, payload: bytes) -> None:
    for byte in payload:
        await stream.send_all(bytes([byte]))
        await trio.sleep(2)


async def _send_slow_head(stream: trio.abc.Stream) -> None:
    await _send_byte_by_byte(stream, HEAD)


async def _send_partial_body(stream: trio.abc.Stream) -> None:
    await stream.send_all(HEAD + bytes(50))
    await trio.sleep_forever()


async def _send_slow_body(stream: trio.abc.Stream) -> None:
    await stream.send_all(HEAD)
    await _send_byte_by_byte(stream, bytes(100))


#: How the caller sends, the start of the response, and the timeout in ms.
SLOW_SENDERS = (
    (_send_nothing, b'', IDLE_TIMEOUT_MS),
    (_send_partial_head, b'', IDLE_TIMEOUT_MS),
    (_send_slow_head, b'', IDLE_TIMEOUT_MS),
    (_send_partial_body, b'HTTP/1.1 408 ', BODY_TIMEOUT_MS),
    (_send_slow_body, b'HTTP/1.1 408 ', BODY_TIMEOUT_MS),
)


async def _serve_sender(
    sender: Sender,
    limits: ServerLimits = NO_HEADER_TIMEOUT,
) -> tuple[bytes, float, int]:
    """Return the response bytes, the time in ms and the requests handled."""
    handled = []

    async def handle(request: HttpRequest, response: ResponseWriter) -> None:
        handled.append(request)
        await response.send(200, (), b'')

    server_stream, client_stream = memory_stream_pair()
    response_bytes = b''
    elapsed_ms = 0.0
    async with trio.open_nursery() as nursery:

        async def send() -> None:
            try:
                await sender(client_stream)
            except trio.BrokenResourceError:
                await trio.sleep_forever()

        nursery.start_soon(send)
        state = ServerState(lambda: limits)
        started_at = trio.current_time()
        await serve_connection(server_stream, handle, state)
        elapsed_ms = (trio.current_time() - started_at) * 1000
        response_bytes = bytes(await client_stream.receive_some())
        nursery.cancel_scope.cancel()
    return response_bytes, elapsed_ms, len(handled)


def test_slow_sender_times_out() -> None:
    for sender, status_line, timeout_ms in SLOW_SENDERS:
        clock = MockClock(autojump_threshold=0)
        response, elapsed_ms, handled = trio.run(
            _serve_sender, sender, clock=clock
        )
        assert response.startswith(status_line), sender.__name__
        assert bool(response) == bool(status_line), sender.__name__
        assert elapsed_ms == timeout_ms, sender.__name__
        assert not handled, sender.__name__


def test_header_timeout_starts_with_first_bytes() -> None:
    limits = ServerLimits(MAX_BODY, header_timeout_ms=3000)
    for sender in (_send_partial_head, _send_slow_head):
        clock = MockClock(autojump_threshold=0)
        response, elapsed_ms, handled = trio.run(
            _serve_sender,
            sender,
            limits,
            clock=clock,
        )
        assert response.startswith(b'HTTP/1.1 408 '), sender.__name__
        assert elapsed_ms == limits.header_timeout_ms, sender.__name__
        assert not handled, sender.__name__


def test_caller_that_sends_nothing_gets_idle_timeout() -> None:
    limits = ServerLimits(MAX_BODY, header_timeout_ms=3000)
    clock = MockClock(autojump_threshold=0)
    response, elapsed_ms, _ = trio.run(
        _serve_sender, _send_nothing, limits, clock=clock
    )
    assert (response, elapsed_ms) == (b'', IDLE_TIMEOUT_MS)
