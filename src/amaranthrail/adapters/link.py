"""Exchange frames over an authenticated connection between processes."""

from __future__ import annotations

import hmac
import secrets
from collections import deque

import trio

from ..clock import Clock, sleep
from ..exceptions import FrameError
from ..frames import (
    AnyFrame,
    Challenge,
    Frame,
    FrameDecoder,
    Hello,
    Welcome,
    encode_frame,
)
from ..types import Millis

#: Time for opening a connection to a peer, TLS included, and again for the
#: handshake that proves the peer key.
HANDSHAKE_TIMEOUT_S = 2.0
#: Largest frame accepted until the peer has proved that it knows the peer key.
MAX_HANDSHAKE_BYTES = 4096
#: Most bytes taken from a stream by one read.
_READ_BYTES = 16_384
#: Received frames that are returned without letting other tasks run.
_FRAMES_PER_STEP = 64
_NONCE_BYTES = 24
#: Encoded frames that may wait for the writer task; more end the connection.
_MAX_OUTBOX_BYTES = 16_777_216


class LinkClosedError(Exception):
    """Report that a connection was closed, failed or stopped delivering."""


class Link:
    """Send and receive frames on one stream; queuing a frame never blocks.

    A writer task sends all queued frames in one write, so that many small
    frames cost one system call.
    """

    def __init__(self, stream: trio.abc.Stream, clock: Clock) -> None:
        """Use an open stream.

        Received frames are limited to MAX_HANDSHAKE_BYTES until
        ``allow_full_frames`` is called.
        """
        self._stream = stream
        self._clock = clock
        self._decoder = FrameDecoder(MAX_HANDSHAKE_BYTES)
        self._received: deque[AnyFrame] = deque()
        self._returned_frames = 0
        self._outbox = bytearray()
        self._flushing = False
        self._wake = trio.Event()
        self._received_at = clock.now()

    @property
    def ms_since_receive(self) -> Millis:
        """Return the time since bytes were last received."""
        return Millis(self._clock.now() - self._received_at)

    @property
    def has_unsent(self) -> bool:
        """Tell whether a queued frame has not been handed to the stream."""
        return bool(self._outbox) or self._flushing

    def allow_full_frames(self) -> None:
        """Accept frames up to the full size, from an authenticated peer."""
        self._decoder = FrameDecoder()

    def enqueue(self, frame: Frame) -> None:
        """Queue a frame for the writer task."""
        self._outbox += encode_frame(frame)
        self._wake.set()

    async def run_writer(self) -> None:
        """Send queued frames until the connection ends.

        Raises LinkClosedError, also where too many bytes are queued.
        """
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            if len(self._outbox) > _MAX_OUTBOX_BYTES:
                raise LinkClosedError('peer takes nothing')
            await self.flush()

    async def flush(self) -> None:
        """Send the queued frames. Raises LinkClosedError."""
        payload = bytes(self._outbox)
        self._outbox.clear()
        self._flushing = True
        try:
            await self._stream.send_all(payload)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise LinkClosedError('peer closed') from error
        finally:
            self._flushing = False

    async def receive(self) -> AnyFrame:
        """Return the next frame. Raises LinkClosedError or FrameError."""
        while not self._received:
            try:
                received = await self._stream.receive_some(_READ_BYTES)
            except (
                trio.BrokenResourceError,
                trio.ClosedResourceError,
            ) as error:
                raise LinkClosedError('peer broke off') from error
            if not received:
                raise LinkClosedError('peer closed')
            self._received_at = self._clock.now()
            self._received.extend(self._decoder.feed(bytes(received)))
        self._returned_frames += 1
        if self._returned_frames % _FRAMES_PER_STEP == 0:
            await trio.lowlevel.checkpoint()
        return self._received.popleft()

    async def watch_liveness(self, timeout_ms: float) -> None:
        """Raise LinkClosedError once nothing arrives for ``timeout_ms``."""
        while True:
            remaining_ms = timeout_ms - self.ms_since_receive
            if remaining_ms <= 0:
                raise LinkClosedError(f'peer silent for {timeout_ms:g} ms')
            await sleep(remaining_ms)


def handshake_proof(peer_key: bytes, nonce: bytes, role: bytes) -> bytes:
    """Return the HMAC-SHA256 that proves knowledge of the peer key.

    ``role`` is the name of the frame that carries it, so that a proof of one
    side cannot be replayed as that of the other.
    """
    return hmac.digest(peer_key, role + nonce, 'sha256')


async def client_handshake(
    link: Link,
    peer_key: bytes,
    hello: Hello,
) -> Welcome:
    """Authenticate to a listening peer, then authenticate the peer.

    ``hello`` is sent with its proof and nonce filled in. Raises FrameError
    where the peer does not know the peer key or sends an unexpected frame, and
    LinkClosedError where it closes the connection.
    """
    challenge = await link.receive()
    if not isinstance(challenge, Challenge):
        raise FrameError('peer did not open with a challenge')
    nonce = secrets.token_bytes(_NONCE_BYTES)
    link.enqueue(
        Hello(
            handshake_proof(peer_key, challenge.nonce, b'hello'),
            nonce,
            hello.process,
            hello.incarnation,
            hello.connection,
        ),
    )
    await link.flush()
    welcome = await link.receive()
    if not isinstance(welcome, Welcome):
        raise FrameError('peer did not answer with a welcome')
    expected = handshake_proof(peer_key, nonce, b'welcome')
    if not hmac.compare_digest(welcome.proof, expected):
        raise FrameError('peer does not know the peer key')
    link.allow_full_frames()
    return welcome


async def server_handshake(
    link: Link, peer_key: bytes, welcome: Welcome
) -> Hello:
    """Authenticate a connecting peer, then authenticate to it.

    ``welcome`` is sent with its proof filled in. Raises FrameError where the
    peer does not know the peer key or sends an unexpected frame, and
    LinkClosedError where it closes the connection.
    """
    nonce = secrets.token_bytes(_NONCE_BYTES)
    link.enqueue(Challenge(nonce))
    await link.flush()
    hello = await link.receive()
    if not isinstance(hello, Hello):
        raise FrameError('peer did not answer with a hello')
    expected = handshake_proof(peer_key, nonce, b'hello')
    if not hmac.compare_digest(hello.proof, expected):
        raise FrameError('peer does not know the peer key')
    link.enqueue(
        Welcome(
            handshake_proof(peer_key, hello.nonce, b'welcome'),
            welcome.process,
            welcome.incarnation,
            welcome.service,
            welcome.upstream,
            welcome.domain,
        ),
    )
    link.allow_full_frames()
    return hello
