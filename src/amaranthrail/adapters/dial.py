"""Open connections to peers, with mutual TLS where it is set."""

from __future__ import annotations

import ssl

import trio

from .httpclient import Address
from .link import HANDSHAKE_TIMEOUT_S


async def dial(address: Address, tls: ssl.SSLContext | None) -> trio.abc.Stream:
    """Return a stream to a peer.

    Raises ConnectionRefusedError where nobody listens, and OSError,
    trio.TooSlowError or trio.BrokenResourceError on other failures.
    """
    with trio.fail_after(HANDSHAKE_TIMEOUT_S):
        try:
            stream = await trio.open_tcp_stream(address.host, address.port)
        except OSError as error:
            raise _innermost(error) from error
        if tls is None:
            return stream
        secure = trio.SSLStream(stream, tls, server_hostname=address.host)
        await secure.do_handshake()
        return secure


def _innermost(error: OSError) -> OSError:
    """Return the cause under trio's summary of all addresses tried."""
    cause = error.__cause__
    if isinstance(cause, ExceptionGroup):
        cause = cause.exceptions[0]
    return cause if isinstance(cause, OSError) else error
