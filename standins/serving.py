"""Serve a stand-in over HTTP until SIGTERM or SIGINT."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable

import msgspec
import trio

from amaranthrail.adapters.httpclient import parse_address
from amaranthrail.adapters.httpserver import (
    Handler,
    HttpRequest,
    Reply,
    ServerState,
    serve_connection,
)

_MAX_BODY_BYTES = 8 * 1024 * 1024
JSON = (('content-type', 'application/json'),)


async def send_json(reply: Reply, content: object, status: int = 200) -> None:
    """Send any JSON-able content."""
    await reply.whole(status, JSON, msgspec.json.encode(content))


def read_json(request: HttpRequest) -> dict[str, object]:
    """Return the JSON object in a request's body, empty where there is none."""
    if not request.body:
        return {}
    found: dict[str, object] = msgspec.json.decode(request.body)
    return found


async def serve(
    listen: str,
    handler: Handler,
    *background: Callable[[], Awaitable[None]],
) -> None:
    """Serve on an address, with background tasks, until told to end."""
    address = parse_address(listen)
    listeners = await trio.open_tcp_listeners(address.port, host=address.host)
    state = ServerState(lambda: _MAX_BODY_BYTES)

    async def answer(stream: trio.abc.Stream) -> None:
        await serve_connection(stream, handler, state)

    async with trio.open_nursery() as nursery:
        for task in background:
            nursery.start_soon(task)
        nursery.start_soon(trio.serve_listeners, answer, listeners)
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as told:
            async for _ in told:
                nursery.cancel_scope.cancel()
