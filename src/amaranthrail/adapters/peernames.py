"""Name the other end of a connection in logs."""

from __future__ import annotations

import trio


def peer_name(stream: trio.abc.Stream) -> str:
    """Return ``host:port`` of the other end, '?' where it has no address."""
    if isinstance(stream, trio.SSLStream):
        stream = stream.transport_stream
    if not isinstance(stream, trio.SocketStream):
        return '?'
    try:
        peer = stream.socket.getpeername()
    except OSError:
        # The other end has closed the connection already.
        return '?'
    return f'{peer[0]}:{peer[1]}'
