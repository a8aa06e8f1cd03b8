"""Inject network faults into relayed TCP connections."""

from __future__ import annotations

import contextlib
import socket
import threading
import time

from .calling import LOOPBACK

_CHUNK_BYTES = 65_536


class _RelayedConnection:
    """Relay one connection in both directions.

    ``client`` is the side that connected to the relay, ``server`` the target.
    """

    def __init__(self, client: socket.socket, server: socket.socket) -> None:
        self._client = client
        self._server = server
        self._drops_all = False
        self._drops_replies = False
        self._delay_s = 0.0

    def start(self) -> None:
        """Start a thread for each direction; it runs until a side closes."""
        for source, target in (
            (self._client, self._server),
            (self._server, self._client),
        ):
            threading.Thread(
                target=self._copy,
                args=(source, target),
                daemon=True,
            ).start()

    def blackhole(self) -> None:
        """Drop all bytes from now on; both sides stay open."""
        self._drops_all = True

    def blackhole_replies(self) -> None:
        """Drop the server's bytes from now on, but relay the client's."""
        self._drops_replies = True

    def delay(self, delay_ms: float) -> None:
        """Delay each chunk of both directions."""
        self._delay_s = delay_ms / 1000

    def cut(self) -> None:
        """Shut both sides down."""
        for side in (self._client, self._server):
            with contextlib.suppress(OSError):
                side.shutdown(socket.SHUT_RDWR)

    def _copy(self, source: socket.socket, target: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while received := source.recv(_CHUNK_BYTES):
                if self._delay_s:
                    time.sleep(self._delay_s)
                if not self._is_dropped(source):
                    target.sendall(received)
        if not self._is_dropped(source):
            self.cut()
            self._close()

    def _is_dropped(self, source: socket.socket) -> bool:
        return self._drops_all or (
            self._drops_replies and source is self._server
        )

    def _close(self) -> None:
        for side in (self._client, self._server):
            side.close()


class Relay:
    """Accept connections on a port and relay each to one target address."""

    def __init__(self, target: str) -> None:
        """Listen on a free loopback port; ``target`` is ``HOST:PORT``."""
        host, _, port = target.partition(':')
        self._target = (host, int(port))
        self._listener = socket.create_server((LOOPBACK, 0))
        self._connections: list[_RelayedConnection] = []
        self._delay_ms = 0.0
        self._refusing = False
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """Return the ``HOST:PORT`` on which the relay listens."""
        return f'{LOOPBACK}:{self._listener.getsockname()[1]}'

    @property
    def connections(self) -> int:
        """Return the number of connections relayed so far."""
        return len(self._connections)

    def blackhole(self) -> None:
        """Drop all bytes on the open connections for good; new ones work."""
        for connection in self._connections:
            connection.blackhole()

    def blackhole_replies(self) -> None:
        """Drop the target's bytes on the open connections; new ones work."""
        for connection in self._connections:
            connection.blackhole_replies()

    def cut(self) -> None:
        """Close the open connections; new ones work."""
        for connection in self._connections:
            connection.cut()

    def refuse(self, *, refusing: bool) -> None:
        """Close all connections and refuse new ones, or accept them again."""
        self._refusing = refusing
        if refusing:
            self.cut()

    def delay(self, delay_ms: float) -> None:
        """Delay each chunk on open and new connections by milliseconds."""
        self._delay_ms = delay_ms
        for connection in self._connections:
            connection.delay(delay_ms)

    def close(self) -> None:
        """Stop listening and close the open connections."""
        self._listener.close()
        self.cut()

    def _accept(self) -> None:
        while self._listener.fileno() >= 0:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            self._relay(client)

    def _relay(self, client: socket.socket) -> None:
        if self._refusing:
            client.close()
            return
        try:
            server = socket.create_connection(self._target)
        except OSError:
            client.close()
            return
        connection = _RelayedConnection(client, server)
        connection.delay(self._delay_ms)
        self._connections.append(connection)
        connection.start()
