"""Test that input in very small parts is parsed in short steps of work."""

from __future__ import annotations

import random
import re
from collections.abc import Awaitable, Callable

import h11
import pytest
import trio
from trio.testing import memory_stream_pair

from amaranthrail.adapters.httpclient import Address, HttpClient, HttpExchange
from amaranthrail.adapters.httpinput import HttpInput
from amaranthrail.adapters.httpserver import (
    HttpRequest,
    ResponseWriter,
    ServerLimits,
    ServerState,
    serve_connection,
)
from amaranthrail.exceptions import HttpError
from amaranthrail.policy.parsing import FREE_UNITS, TURN_UNITS
from standins.smallparts import FORMS, chunk

from .stepcount import LongestStep

#: Chunks that are sent at once.
PARTS = 3000
HEAD = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
POST = b'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n'
SPACES = b'a:%s\x00\r\n\r\n' % (15_000 * b' ')


async def with_server(
    payload: bytes, use: Callable[[HttpClient], Awaitable[None]]
) -> None:
    """Run ``use`` with a client of a server that responds with a payload."""

    async def serve(stream: trio.SocketStream) -> None:
        async with stream:
            await stream.receive_some()
            await stream.send_all(payload)
            await trio.sleep_forever()

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        port = listeners[0].socket.getsockname()[1]
        with trio.fail_after(20):
            await use(HttpClient(Address('127.0.0.1', port)))
        nursery.cancel_scope.cancel()


async def answer(request: HttpRequest, response: ResponseWriter) -> None:
    await response.send(200, (), b'%d' % len(request.body))


async def serve_bytes(payload: bytes) -> bytes:
    """Return what a server responds to these bytes and their end."""
    server, client = memory_stream_pair()
    state = ServerState(lambda: ServerLimits(1_000_000))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve_connection, server, answer, state)
        await client.send_all(payload)
        await client.send_eof()
        received = b''
        while part := await client.receive_some():
            received += part
    return received


async def read_parts(exchange: HttpExchange) -> bytes:
    return b''.join([part async for part in exchange.body_chunks()])


@pytest.mark.parametrize('is_whole', [True, False], ids=['whole', 'in parts'])
def test_other_tasks_run_while_a_response_of_small_chunks_is_read(
    is_whole: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an entry that stands still for one read of chunks."""
    payload = HEAD + PARTS * chunk(b'a') + chunk(b'')

    async def use(client: HttpClient) -> None:
        async with client.exchange('GET', '/') as exchange:
            read = exchange.read_body if is_whole else None
            body = await (read() if read else read_parts(exchange))
            assert body == PARTS * b'a'

    longest = LongestStep(monkeypatch, h11.Connection, 'next_event')
    trio.run(with_server, payload, use, instruments=[longest])
    assert longest.most_calls <= FREE_UNITS + TURN_UNITS


def test_a_response_is_not_costly_because_the_one_before_it_was() -> None:
    """Guards against a failure that is recorded of a sound upstream."""
    costly = HEAD + PARTS * chunk(b'a') + chunk(b'')

    async def use(client: HttpClient) -> None:
        async with client.exchange('GET', '/') as exchange:
            await exchange.read_body()
            assert exchange.is_costly
        assert client.idle_count == 1
        with trio.move_on_after(0.1):
            async with client.exchange('GET', '/'):
                raise AssertionError
        assert not exchange.is_costly

    trio.run(with_server, costly, use)


def test_other_tasks_run_while_a_request_of_small_chunks_is_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    payload = POST + PARTS * chunk(b'a') + chunk(b'')
    longest = LongestStep(monkeypatch, h11.Connection, 'next_event')
    response = trio.run(serve_bytes, payload, instruments=[longest])
    assert response.endswith(b'%d' % PARTS)
    assert longest.most_calls <= FREE_UNITS + TURN_UNITS


@pytest.mark.parametrize(
    'payload',
    [
        b'GET / HTTP/1.1\r\nhost: a\r\n%s' % SPACES,
        b'GET / HTTP/1.1\r\nhost: a\r\nb: \x0b\r\n\r\n',
        b'GET / HTTP/1.1\r\nhost: a\r\nb: c\rd\r\n\r\n',
        b'%s0\r\n%s' % (POST, SPACES),
        b'%s1;%s\n\r\n' % (POST, 15_000 * b' '),
    ],
    ids=[
        'head, spaces',
        'vertical tab',
        'return',
        'trailers',
        'chunk extension',
    ],
)
def test_a_request_that_is_slow_to_refuse_is_not_parsed(
    payload: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a line that the parser needs seconds to refuse."""
    fed = _count_fed_bytes(monkeypatch)
    response = trio.run(serve_bytes, payload)
    assert re.match(rb'HTTP/1.1 4(00|31) ', response)
    assert max(fed, default=0) < 4096


@pytest.mark.parametrize('form', ['head, spaces', 'trailers, spaces'])
def test_a_response_that_is_slow_to_refuse_is_not_parsed(
    form: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    fed = _count_fed_bytes(monkeypatch)
    head = b'HTTP/1.1 200 OK\r\n'

    async def use(client: HttpClient) -> None:
        with pytest.raises(HttpError):
            await client.call('GET', '/')

    trio.run(with_server, head + FORMS[form].first, use)
    assert max(fed, default=0) < 4096


def _count_fed_bytes(monkeypatch: pytest.MonkeyPatch) -> list[int]:
    """Return the sizes of what parsers hold after each feed, as they come."""
    sizes: list[int] = []
    receive_data = h11.Connection.receive_data

    def count(parser: h11.Connection, received: bytes) -> None:
        receive_data(parser, received)
        sizes.append(len(parser.trailing_data[0]))

    monkeypatch.setattr(h11.Connection, 'receive_data', count)
    return sizes


MESSAGES = (
    b'POST /1 HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc',
    b'GET /2 HTTP/1.1\r\nhost: a\r\n\r\n',
    POST + chunk(b'a') + chunk(2000 * b'\n') + b'0\r\nb: c\r\n\r\n',
    b'POST /4 HTTP/1.1\nhost: a\ntransfer-encoding: chunked\n\n' + chunk(b''),
)


@pytest.mark.parametrize('seed', range(20))
def test_pipelined_requests_are_read_however_they_are_split(seed: int) -> None:
    rng = random.Random(seed)
    chosen = rng.choices(MESSAGES, k=6)
    text = b''.join(chosen)
    server, client = memory_stream_pair()
    bodies: list[int] = []

    async def record(request: HttpRequest, response: ResponseWriter) -> None:
        bodies.append(len(request.body))
        await response.send(200, (), b'')

    async def send() -> None:
        position = 0
        while position < len(text):
            size = rng.choice((1, 2, 5, 100, 1024, 3000))
            await client.send_all(text[position : position + size])
            position += size
            await trio.testing.wait_all_tasks_blocked()
        await client.send_eof()

    async def main() -> None:
        state = ServerState(lambda: ServerLimits(1_000_000))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_connection, server, record, state)
            await send()

    trio.run(main)
    lengths = (3, 0, 2001, 0)
    expected = [lengths[MESSAGES.index(message)] for message in chosen]
    assert bodies == expected


def test_a_connection_with_bytes_after_a_response_is_not_reused() -> None:
    payload = b'HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na' + 100 * b'b'

    async def use(client: HttpClient) -> None:
        assert (await client.call('GET', '/')).body == b'a'
        assert not client.idle_count

    trio.run(with_server, payload, use)


def test_events_that_arrived_are_returned_before_the_end() -> None:
    """Guards against a body that is cut because its end arrived with it."""

    async def main() -> None:
        server, client = memory_stream_pair()
        http_input = HttpInput(h11.SERVER, server)
        await client.send_all(POST + 200 * chunk(b'a') + chunk(b''))
        await client.send_eof()
        received_bytes = 1
        while received_bytes:
            received_bytes = await http_input.receive()
        event = await http_input.poll()
        count = 0
        while not isinstance(event, h11.EndOfMessage):
            event = await http_input.poll()
            count += isinstance(event, h11.Data)
        assert count == 200

    trio.run(main)
