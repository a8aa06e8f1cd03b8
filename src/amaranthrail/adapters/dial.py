"""Open connections to peers, over mutual TLS where it is configured."""

from __future__ import annotations

import ssl

import trio

from .httpclient import Address
from .link import HANDSHAKE_TIMEOUT_S


async def dial(address: Address, tls: ssl.SSLContext | None) -> trio.abc.Stream:
    """Return an open stream to a peer, its TLS handshake completed.

    Raises ConnectionRefusedError where nothing listens at the address, and
    OSError, trio.TooSlowError or trio.BrokenResourceError on other failures.
    """
    with trio.fail_after(HANDSHAKE_TIMEOUT_S):
        try:
            stream = await trio.open_tcp_stream(address.host, address.port)
        except OSError as error:
            raise _underlying_error(error) from error
        if tls is None:
            return stream
        secure = trio.SSLStream(stream, tls, server_hostname=address.host)
        await secure.do_handshake()
        return secure


def _underlying_error(error: OSError) -> OSError:
    """Return the error of the first address that failed.

    trio.open_tcp_stream raises a plain OSError, whose cause is an
    ExceptionGroup with one error for each address that it tried.
    """
    cause = error.__cause__
    if isinstance(cause, ExceptionGroup):
        cause = cause.exceptions[0]
    return cause if isinstance(cause, OSError) else error
