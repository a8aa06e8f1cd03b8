"""Define the frames that entries and sidecars exchange, and their codec.

A frame is one msgpack array: its tag, then its fields in order. Frames of
unknown shape end the connection.
"""

from __future__ import annotations

import typing
from types import MappingProxyType

import msgpack
import msgspec

from .exceptions import FrameError

MAX_FRAME_BYTES = 4 * 1024 * 1024


class Frame(msgspec.Struct, array_like=True, frozen=True):
    """Be the base of all frames."""


class Challenge(Frame, frozen=True, tag='challenge'):
    """Open a connection: the listening side asks for proof of the key."""

    nonce: bytes


class Hello(Frame, frozen=True, tag='hello'):
    """Prove the peer key and say who connects."""

    proof: bytes
    nonce: bytes
    process: str
    incarnation: str
    connection: int


class Welcome(Frame, frozen=True, tag='welcome'):
    """Prove the peer key in turn and say who listens."""

    proof: bytes
    process: str
    incarnation: str
    service: str
    upstream: str
    domain: str


class Heartbeat(Frame, frozen=True, tag='heartbeat'):
    """Tell liveness, the manifest version in force and, of a sidecar, load.

    ``clock`` is the sender's monotonic milliseconds. Short and long work,
    queued and running, are given as their number and their expected time
    left in a slot, in milliseconds.
    """

    stamp: int
    clock: float
    manifest_version: int
    drains_version: int
    queued: int = 0
    running: int = 0
    short_count: int = 0
    short_ms: float = 0
    long_count: int = 0
    long_ms: float = 0
    slots: int = 0
    shutting_down: bool = False


class Dispatch(Frame, frozen=True, tag='dispatch'):
    """Hand one request to the sidecar of its upstream.

    ``clock`` is the sidecar's own clock of its latest heartbeat; ``left_ms``
    the time to the caller's deadline. ``intent`` names the attempt of work that
    must not repeat; it is empty for idempotent work.
    """

    request: str
    incarnation: str
    stamp: int
    clock: float
    manifest_version: int
    organisation: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    left_ms: float
    cost_ms: float
    long: bool = False
    intent: str = ''


class ResponseHead(Frame, frozen=True, tag='head'):
    """Begin an answer."""

    request: str
    stamp: int
    status: int
    headers: tuple[tuple[str, str], ...]


class ResponseData(Frame, frozen=True, tag='part'):
    """Carry bytes of an answer's body from ``offset`` on."""

    request: str
    offset: int
    payload: bytes


class ResponseEnd(Frame, frozen=True, tag='end'):
    """Complete an answer: its length and xxh3-64 digest."""

    request: str
    stamp: int
    length: int
    digest: int


class Refused(Frame, frozen=True, tag='refused'):
    """Say that a request did not run and, under this id, never will."""

    request: str
    stamp: int
    reason: str
    detail: str = ''
    retry_after_ms: int = 0


class Failed(Frame, frozen=True, tag='broken'):
    """Say that a request started and its whole answer cannot be had."""

    request: str
    stamp: int
    reason: str
    detail: str = ''


class Ack(Frame, frozen=True, tag='ack'):
    """Report the bytes received, which opens the sender's window."""

    request: str
    received: int
    done: bool = False


class Resume(Frame, frozen=True, tag='resume'):
    """Ask, on a new connection, for an answer from ``received`` on."""

    request: str
    received: int
    has_head: bool


class Cancel(Frame, frozen=True, tag='cancel'):
    """Stop idempotent work whose caller has gone."""

    request: str


class AttemptQuery(Frame, frozen=True, tag='inquire'):
    """Ask what became of an attempt; one not started is voided for good."""

    request: str
    incarnation: str
    intent: str
    received: int = 0


class KeyQuery(Frame, frozen=True, tag='key?'):
    """Ask what became of a key, voiding nothing; for when the log is down."""

    request: str
    key: str


class ManifestPull(Frame, frozen=True, tag='pull'):
    """Ask the peer for the configuration that it holds."""


class ManifestPush(Frame, frozen=True, tag='push'):
    """Hand over the configuration in force, its version and the drains."""

    version: int
    manifest: bytes
    drains: tuple[tuple[str, int, bool], ...]


class EventsRequest(Frame, frozen=True, tag='events?'):
    """Ask for the time line of the peer after a sequence number."""

    request: str
    after: int


class EventsResponse(Frame, frozen=True, tag='events'):
    """Hand over events as JSON lines."""

    request: str
    payload: bytes


class GroupOrder(Frame, frozen=True, tag='order'):
    """Carry an order about the expert map to a rank (see orders)."""

    request: str
    payload: bytes


class GroupReply(Frame, frozen=True, tag='reply'):
    """Carry a rank's reply to an order."""

    request: str
    payload: bytes


AnyFrame = (
    Challenge
    | Hello
    | Welcome
    | Heartbeat
    | Dispatch
    | ResponseHead
    | ResponseData
    | ResponseEnd
    | Refused
    | Failed
    | Ack
    | Resume
    | Cancel
    | AttemptQuery
    | KeyQuery
    | ManifestPull
    | ManifestPush
    | EventsRequest
    | EventsResponse
    | GroupOrder
    | GroupReply
)

#: What the two decoders raise on bytes that are no frame.
_MALFORMED = (
    msgpack.UnpackException,
    msgspec.ValidationError,
    LookupError,
    ValueError,
    TypeError,
    RecursionError,
)

#: Converting to one class is fast; a union of all is built anew each time.
_BY_TAG = MappingProxyType(
    {kind.__struct_config__.tag: kind for kind in typing.get_args(AnyFrame)},
)

_encoder = msgspec.msgpack.Encoder()


def encode_frame(frame: Frame) -> bytes:
    """Return the bytes of a frame."""
    return _encoder.encode(frame)


class FrameDecoder:
    """Turn a byte stream into frames."""

    def __init__(self, max_bytes: int = MAX_FRAME_BYTES) -> None:
        """Take the largest frame that is accepted, in bytes."""
        self._unpacker = msgpack.Unpacker(max_buffer_size=max_bytes)

    def feed(self, received: bytes) -> list[AnyFrame]:
        """Return the frames that these bytes complete.

        Raises FrameError where the bytes are no frame or a frame is larger
        than the bound; the connection cannot go on then.
        """
        try:
            self._unpacker.feed(received)
            return [_typed(raw) for raw in self._unpacker]
        except _MALFORMED as error:
            raise FrameError(f'no valid frame: {error}') from error


def _typed(raw: list[object]) -> AnyFrame:
    """Return the frame that an unpacked array stands for."""
    kind = _BY_TAG.get(raw[0])
    if kind is None:
        raise ValueError(f'no frame has tag {raw[0]!r:.40}')
    frame: AnyFrame = msgspec.convert(raw, kind)
    return frame
