"""Let go of callers who send slowly, by time that passes in no time."""

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
NO_HEADER_BOUND = ServerLimits(MAX_BODY)
HEAD = b'POST /orders HTTP/1.1\r\nhost: entry\r\ncontent-length: 100\r\n\r\n'

Sender = Callable[[trio.abc.Stream], Awaitable[None]]


async def _send_nothing(_stream: trio.abc.Stream) -> None:
    await trio.sleep_forever()


async def _send_half_a_head(stream: trio.abc.Stream) -> None:
    await stream.send_all(HEAD[:20])
    await trio.sleep_forever()


async def _dribble(stream: trio.abc.Stream, payload: bytes) -> None:
    for byte in payload:
        await stream.send_all(bytes([byte]))
        await trio.sleep(2)


async def _dribble_a_head(stream: trio.abc.Stream) -> None:
    await _dribble(stream, HEAD)


async def _send_half_a_body(stream: trio.abc.Stream) -> None:
    await stream.send_all(HEAD + bytes(50))
    await trio.sleep_forever()


async def _dribble_a_body(stream: trio.abc.Stream) -> None:
    await stream.send_all(HEAD)
    await _dribble(stream, bytes(100))


#: Who sends how, the status that answers, and after how many milliseconds.
SENDERS = (
    (_send_nothing, b'', IDLE_TIMEOUT_MS),
    (_send_half_a_head, b'', IDLE_TIMEOUT_MS),
    (_dribble_a_head, b'', IDLE_TIMEOUT_MS),
    (_send_half_a_body, b'HTTP/1.1 408 ', BODY_TIMEOUT_MS),
    (_dribble_a_body, b'HTTP/1.1 408 ', BODY_TIMEOUT_MS),
)


async def _serve(
    sender: Sender,
    limits: ServerLimits = NO_HEADER_BOUND,
) -> tuple[bytes, float, int]:
    """Return what was answered, after how long, and the requests handled."""
    handled = []

    async def handle(request: HttpRequest, reply: ResponseWriter) -> None:
        handled.append(request)
        await reply.send(200, (), b'')

    ours, theirs = memory_stream_pair()
    answer = b''
    took_ms = 0.0
    async with trio.open_nursery() as nursery:

        async def send() -> None:
            try:
                await sender(theirs)
            except trio.BrokenResourceError:
                await trio.sleep_forever()

        nursery.start_soon(send)
        state = ServerState(lambda: limits)
        began = trio.current_time()
        await serve_connection(ours, handle, state)
        took_ms = (trio.current_time() - began) * 1000
        answer = bytes(await theirs.receive_some())
        nursery.cancel_scope.cancel()
    return answer, took_ms, len(handled)


def test_slow_senders_are_let_go_of_in_time() -> None:
    for sender, status, bound_ms in SENDERS:
        clock = MockClock(autojump_threshold=0)
        answer, took_ms, handled = trio.run(_serve, sender, clock=clock)
        assert answer.startswith(status), sender.__name__
        assert bool(answer) == bool(status), sender.__name__
        assert took_ms == bound_ms, sender.__name__
        assert not handled, sender.__name__


def test_a_head_has_its_own_bound_where_one_is_set() -> None:
    limits = ServerLimits(MAX_BODY, header_timeout_ms=3000)
    for sender in (_send_half_a_head, _dribble_a_head):
        clock = MockClock(autojump_threshold=0)
        answer, took_ms, handled = trio.run(
            _serve,
            sender,
            limits,
            clock=clock,
        )
        assert answer.startswith(b'HTTP/1.1 408 '), sender.__name__
        assert took_ms == limits.header_timeout_ms, sender.__name__
        assert not handled, sender.__name__


def test_a_caller_that_sends_nothing_is_idle() -> None:
    limits = ServerLimits(MAX_BODY, header_timeout_ms=3000)
    clock = MockClock(autojump_threshold=0)
    answer, took_ms, _ = trio.run(_serve, _send_nothing, limits, clock=clock)
    assert (answer, took_ms) == (b'', IDLE_TIMEOUT_MS)
