"""Open listeners and serve TLS on them where it is configured."""

from __future__ import annotations

import ssl
from collections.abc import Awaitable, Callable

import trio

from ..exceptions import SettingError
from .httpclient import Address

#: Time for the TLS handshake of an accepted connection.
_HANDSHAKE_TIMEOUT_S = 5.0

StreamHandler = Callable[[trio.abc.Stream], Awaitable[None]]


async def open_listeners(
    address: Address,
    setting: str,
) -> list[trio.SocketListener]:
    """Return listeners on an address.

    Raises SettingError, which names ``setting``, where it cannot be bound.
    """
    try:
        return await trio.open_tcp_listeners(address.port, host=address.host)
    except OSError as error:
        raise SettingError(
            setting,
            str(address),
            f'give an address that can be listened on ({error.strerror})',
        ) from error


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
