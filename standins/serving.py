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
    """Send a whole response with JSON-encoded content."""
    await reply.send(status, JSON, msgspec.json.encode(content))


def read_json(request: HttpRequest) -> dict[str, object]:
    """Parse the JSON object in a request's body; an empty body gives {}."""
    if not request.body:
        return {}
    content: dict[str, object] = msgspec.json.decode(request.body)
    return content


async def serve_address(listen: str, handler: Handler) -> None:
    """Serve HTTP on ``HOST:PORT`` until cancelled."""
    address = parse_address(listen)
    listeners = await trio.open_tcp_listeners(address.port, host=address.host)
    state = ServerState(lambda: ServerLimits(_MAX_BODY_BYTES))

    async def serve_stream(stream: trio.abc.Stream) -> None:
        await serve_connection(stream, handler, state)

    await trio.serve_listeners(serve_stream, listeners)


async def run_until_signalled(*tasks: Callable[[], Awaitable[None]]) -> None:
    """Run tasks concurrently and cancel them at SIGTERM or SIGINT."""
    async with trio.open_nursery() as nursery:
        for task in tasks:
            nursery.start_soon(task)
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async for _ in signals:
                nursery.cancel_scope.cancel()


async def serve(
    listen: str,
    handler: Handler,
    *background: Callable[[], Awaitable[None]],
) -> None:
    """Serve HTTP and run background tasks until SIGTERM or SIGINT."""
    await run_until_signalled(
        partial(serve_address, listen, handler), *background
    )
