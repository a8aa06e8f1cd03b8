"""Stand in for the network: relay connections that can be cut or go silent."""

from __future__ import annotations

import contextlib
import socket
import threading
import time

from .calling import LOOPBACK

_CHUNK_BYTES = 65_536


class _Pair:
    """Relay one connection in both directions."""

    def __init__(self, near: socket.socket, far: socket.socket) -> None:
        self._near = near
        self._far = far
        self._silent = False
        self._deaf = False
        self._delay_s = 0.0

    def start(self) -> None:
        """Relay until either side closes."""
        for source, target in (
            (self._near, self._far),
            (self._far, self._near),
        ):
            threading.Thread(
                target=self._pump,
                args=(source, target),
                daemon=True,
            ).start()

    def blackhole(self) -> None:
        """Swallow all that comes from now on; both ends stay open."""
        self._silent = True

    def deafen(self) -> None:
        """Swallow what the far end sends from now on; the rest goes on."""
        self._deaf = True

    def delay(self, delay_ms: float) -> None:
        """Hold up each piece of what comes."""
        self._delay_s = delay_ms / 1000

    def cut(self) -> None:
        """Close both ends."""
        for one in (self._near, self._far):
            with contextlib.suppress(OSError):
                one.shutdown(socket.SHUT_RDWR)

    def _pump(self, source: socket.socket, target: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while received := source.recv(_CHUNK_BYTES):
                if self._delay_s:
                    time.sleep(self._delay_s)
                if not self._swallows(source):
                    target.sendall(received)
        if not self._swallows(source):
            self.cut()
            self._close()

    def _swallows(self, source: socket.socket) -> bool:
        return self._silent or (self._deaf and source is self._far)

    def _close(self) -> None:
        for one in (self._near, self._far):
            one.close()


class Relay:
    """Relay to one address, from a port of its own."""

    def __init__(self, target: str) -> None:
        """Listen; ``target`` is dialled for each connection."""
        host, _, port = target.partition(':')
        self._target = (host, int(port))
        self._listener = socket.create_server((LOOPBACK, 0))
        self._pairs: list[_Pair] = []
        self._delay_ms = 0.0
        self._refusing = False
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """Return where the relay listens."""
        return f'{LOOPBACK}:{self._listener.getsockname()[1]}'

    @property
    def connections(self) -> int:
        """Return how many connections have been relayed."""
        return len(self._pairs)

    def blackhole(self) -> None:
        """Let the open connections go silent for good; new ones work."""
        for pair in self._pairs:
            pair.blackhole()

    def deafen(self) -> None:
        """Let nothing come back on the open connections; new ones work."""
        for pair in self._pairs:
            pair.deafen()

    def cut(self) -> None:
        """Cut the open connections; new ones work."""
        for pair in self._pairs:
            pair.cut()

    def refuse(self, *, refusing: bool) -> None:
        """Cut what is open and let nothing new through, or let it again."""
        self._refusing = refusing
        if refusing:
            self.cut()

    def delay(self, delay_ms: float) -> None:
        """Delay what goes over open and new connections."""
        self._delay_ms = delay_ms
        for pair in self._pairs:
            pair.delay(delay_ms)

    def close(self) -> None:
        """Stop listening and cut what is open."""
        self._listener.close()
        self.cut()

    def _accept(self) -> None:
        while self._listener.fileno() >= 0:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            self._join(near)

    def _join(self, near: socket.socket) -> None:
        if self._refusing:
            near.close()
            return
        try:
            far = socket.create_connection(self._target)
        except OSError:
            near.close()
            return
        pair = _Pair(near, far)
        pair.delay(self._delay_ms)
        self._pairs.append(pair)
        pair.start()
