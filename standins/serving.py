"""Serve a stand-in over HTTP until SIGTERM or SIGINT."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable
from functools import partial

import msgspec
import trio

from amaranthrail.adapters.httpclient import parse_address
from amaranthrail.adapters.httpserver import (
    Handler,
    HttpRequest,
    ResponseWriter,
    ServerLimits,
    ServerState,
    serve_connection,
)

_MAX_BODY_BYTES = 8 * 1024 * 1024
JSON = (('content-type', 'application/json'),)


async def send_json(
    reply: ResponseWriter, content: object, status: int = 200
) -> None:
    """Send any JSON-able content."""
    await reply.send(status, JSON, msgspec.json.encode(content))


def read_json(request: HttpRequest) -> dict[str, object]:
    """Return the JSON object in a request's body, empty where there is none."""
    if not request.body:
        return {}
    found: dict[str, object] = msgspec.json.decode(request.body)
    return found


async def serve_address(listen: str, handler: Handler) -> None:
    """Serve on an address until cancelled."""
    address = parse_address(listen)
    listeners = await trio.open_tcp_listeners(address.port, host=address.host)
    state = ServerState(lambda: ServerLimits(_MAX_BODY_BYTES))

    async def answer(stream: trio.abc.Stream) -> None:
        await serve_connection(stream, handler, state)

    await trio.serve_listeners(answer, listeners)


async def run_until_told(*tasks: Callable[[], Awaitable[None]]) -> None:
    """Run tasks until SIGTERM or SIGINT."""
    async with trio.open_nursery() as nursery:
        for task in tasks:
            nursery.start_soon(task)
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as told:
            async for _ in told:
                nursery.cancel_scope.cancel()


async def serve(
    listen: str,
    handler: Handler,
    *background: Callable[[], Awaitable[None]],
) -> None:
    """Serve on an address, with background tasks, until told to end."""
    await run_until_told(partial(serve_address, listen, handler), *background)
