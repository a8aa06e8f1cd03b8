"""Open listeners and serve TLS on them where it is configured."""

from __future__ import annotations

import errno
import ssl
from collections.abc import Awaitable, Callable
from functools import partial
from typing import TypeVar

import trio

from ..clock import Clock, sleep
from ..exceptions import SettingError
from ..logs import part_logger
from .httpclient import Address

#: Time for the TLS handshake of an accepted connection.
_HANDSHAKE_TIMEOUT_S = 5.0

#: Time for which an address that is in use is tried again, in ms.
BIND_PATIENCE_MS = 5000.0
_BIND_RETRY_MS = 250.0
_log = part_logger('listen')

_Bound = TypeVar('_Bound')
StreamHandler = Callable[[trio.abc.Stream], Awaitable[None]]


async def open_listeners(
    address: Address,
    setting: str,
) -> list[trio.SocketListener]:
    """Return listeners on an address.

    Raises SettingError, which names ``setting``, where it cannot be bound.
    """
    open_all = partial(trio.open_tcp_listeners, address.port, host=address.host)
    return await bind_when_free(open_all, address, setting)


async def bind_when_free(
    bind: Callable[[], Awaitable[_Bound]], address: Address, setting: str
) -> _Bound:
    """Return the result of ``bind``, repeated while the address is in use.

    Another process may be about to end there. Raises SettingError, which names
    ``setting``, where the address cannot be bound.
    """
    clock = Clock()
    deadline = clock.now() + BIND_PATIENCE_MS
    while True:
        try:
            return await bind()
        except OSError as error:
            is_in_use = error.errno == errno.EADDRINUSE
            if not is_in_use or clock.now() > deadline:
                raise SettingError(
                    setting,
                    str(address),
                    f'give an address that can be listened on '
                    f'({error.strerror})',
                ) from error
        _log.warning('address in use', address=str(address), setting=setting)
        await sleep(_BIND_RETRY_MS)


async def serve_until(
    listeners: list[trio.SocketListener],
    handler: StreamHandler,
    wait_closed: Callable[[], Awaitable[None]],
) -> None:
    """Accept connections until ``wait_closed`` returns.

    Return once all connections that were accepted have been handled.
    """
    async with trio.open_nursery() as connections:
        async with trio.open_nursery() as accepting:
            accepting.start_soon(
                partial(
                    trio.serve_listeners,
                    handler,
                    listeners,
                    handler_nursery=connections,
                ),
            )
            await wait_closed()
            accepting.cancel_scope.cancel()
        for listener in listeners:
            await listener.aclose()


def handler_with_tls(
    handler: StreamHandler,
    tls: ssl.SSLContext | None,
) -> StreamHandler:
    """Return a handler that completes a TLS handshake before ``handler`` runs.

    A connection whose handshake fails or takes too long is closed. Without a
    TLS context ``handler`` itself is returned.
    """
    if tls is None:
        return handler

    async def handle(stream: trio.abc.Stream) -> None:
        secure = trio.SSLStream(
            stream,
            tls,
            server_side=True,
            https_compatible=True,
        )
        try:
            with trio.fail_after(_HANDSHAKE_TIMEOUT_S):
                await secure.do_handshake()
        except (trio.BrokenResourceError, trio.TooSlowError):
            await trio.aclose_forcefully(stream)
            return
        await handler(secure)

    return handle
