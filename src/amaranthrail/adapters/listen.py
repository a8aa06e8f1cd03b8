"""Open listeners, with TLS where it is set."""

from __future__ import annotations

import ssl
from collections.abc import Awaitable, Callable

import trio

from ..exceptions import SettingError
from .httpclient import Address

_HANDSHAKE_TIMEOUT_S = 5.0

StreamHandler = Callable[[trio.abc.Stream], Awaitable[None]]


async def open_listeners(
    address: Address,
    setting: str,
) -> list[trio.SocketListener]:
    """Return listeners on an address; ``setting`` names it in the error."""
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
    """Return the handler that speaks TLS first, if there is a context."""
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
