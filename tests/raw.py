"""Send raw bytes, valid HTTP or not, to a server."""

from __future__ import annotations

import contextlib
import socket

from standins.launch import EntryProcess

_TIMEOUT_S = 10


def send_raw(
    entry: EntryProcess, payload: bytes, *, close: bool = False
) -> bytes:
    """Send bytes to an entry; see send_raw_to."""
    return send_raw_to(entry.url.removeprefix('http://'), payload, close=close)


def send_raw_to(address: str, payload: bytes, *, close: bool = False) -> bytes:
    """Send bytes to ``host:port`` and return all bytes until the server closes.

    ``close`` shuts down our side after the bytes. Raises TimeoutError where
    nothing arrives for 10 s.
    """
    host, _, port = address.partition(':')
    connection = socket.create_connection((host, int(port)), _TIMEOUT_S)
    with contextlib.closing(connection):
        connection.sendall(payload)
        if close:
            connection.shutdown(socket.SHUT_WR)
        return read_until_closed(connection)


def read_until_closed(connection: socket.socket) -> bytes:
    """Return the bytes received until the peer closes or resets."""
    received = b''
    with contextlib.suppress(ConnectionError):
        while chunk := connection.recv(65536):
            received += chunk
    return received
