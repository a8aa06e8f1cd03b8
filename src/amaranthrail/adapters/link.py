"""Exchange frames over one connection between two of our processes."""

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

HANDSHAKE_TIMEOUT_S = 2.0
MAX_HANDSHAKE_BYTES = 4096
_READ_BYTES = 65_536
_NONCE_BYTES = 24
_MAX_OUTBOX_BYTES = 16_777_216


class LinkClosedError(Exception):
    """Report that the connection has ended."""


class Link:
    """Send and receive frames; sending never waits.

    A writer task sends whatever has gathered in one piece, so that many small
    frames cost one system call.
    """

    def __init__(self, stream: trio.abc.Stream, clock: Clock) -> None:
        """Take the open stream."""
        self._stream = stream
        self._clock = clock
        self._decoder = FrameDecoder(MAX_HANDSHAKE_BYTES)
        self._received: deque[AnyFrame] = deque()
        self._outbox = bytearray()
        self._wake = trio.Event()
        self._heard_at = clock.now()

    @property
    def silent_ms(self) -> Millis:
        """Return for how long nothing has been received."""
        return Millis(self._clock.now() - self._heard_at)

    def allow_full_frames(self) -> None:
        """Accept frames of full size from now on."""
        self._decoder = FrameDecoder()

    def enqueue(self, frame: Frame) -> None:
        """Queue a frame for the writer task."""
        self._outbox += encode_frame(frame)
        self._wake.set()

    async def run_writer(self) -> None:
        """Send queued frames until the connection ends."""
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            if len(self._outbox) > _MAX_OUTBOX_BYTES:
                raise LinkClosedError('peer takes nothing')
            await self.flush()

    async def flush(self) -> None:
        """Send what has been queued."""
        payload = bytes(self._outbox)
        self._outbox.clear()
        try:
            await self._stream.send_all(payload)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise LinkClosedError('peer closed') from error

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
            self._heard_at = self._clock.now()
            self._received.extend(self._decoder.feed(bytes(received)))
        return self._received.popleft()

    async def watch_liveness(self, bound_ms: float) -> None:
        """Raise LinkClosedError once the peer has been silent too long."""
        while True:
            left_ms = bound_ms - self.silent_ms
            if left_ms <= 0:
                raise LinkClosedError(f'peer silent for {bound_ms:g} ms')
            await sleep(left_ms)


def handshake_proof(peer_key: bytes, nonce: bytes, role: bytes) -> bytes:
    """Return the proof that its maker knows the peer key."""
    return hmac.digest(peer_key, role + nonce, 'sha256')


async def client_handshake(
    link: Link,
    peer_key: bytes,
    hello: Hello,
) -> Welcome:
    """Connect to a listening peer: prove the key and have it proved.

    ``hello`` is sent with its proof and nonce filled in. Raises FrameError
    where the peer does not know the key.
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
    """Accept a connecting peer: have the key proved, then prove it.

    ``welcome`` is sent with its proof filled in. Raises FrameError where the
    peer does not know the key.
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
