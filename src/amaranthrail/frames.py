"""Define the frames that entries and sidecars exchange, and their codec.

A frame is one msgpack array: its tag, then its fields in order. A connection
is closed when it carries anything else. ``stamp`` is always the sender's
hybrid logical clock (see clock.Clock), ``request`` a request id.
"""

from __future__ import annotations

import typing
from types import MappingProxyType

import msgpack
import msgspec

from .decoding import Undecodable, decode
from .exceptions import FrameError

#: Largest frame that a decoder accepts, in bytes.
MAX_FRAME_BYTES = 4 * 1024 * 1024


class Frame(msgspec.Struct, array_like=True, frozen=True):
    """Serve as the base class of all frames."""


class Challenge(Frame, frozen=True, tag='challenge'):
    """Open a connection: the listening side sends a nonce to sign."""

    nonce: bytes


class Hello(Frame, frozen=True, tag='hello'):
    """Authenticate and identify the connecting side.

    ``proof`` shows knowledge of the peer key; ``nonce`` is for the listening
    side to sign. ``connection`` increases with each connection that a process
    opens, so that a newer one replaces an older one.
    """

    proof: bytes
    nonce: bytes
    process: str
    incarnation: str
    connection: int


class Welcome(Frame, frozen=True, tag='welcome'):
    """Authenticate and identify the listening side."""

    proof: bytes
    process: str
    incarnation: str
    service: str
    upstream: str
    domain: str


class Heartbeat(Frame, frozen=True, tag='heartbeat'):
    """Report liveness, the versions in force and, from a sidecar, load.

    ``clock`` is the sender's monotonic clock in milliseconds. Short and long
    requests, both queued and running, are reported as their number and their
    expected remaining time in a slot, in milliseconds.
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
    """Send one request to the sidecar of its upstream.

    ``incarnation`` is the one that the sidecar must have. ``clock`` is the
    sidecar's clock as of its latest heartbeat; ``left_ms`` the time left until
    the caller's deadline; ``cost_ms`` the expected time in a slot. ``intent``
    is the id of the attempt of a non-idempotent request; it is empty for an
    idempotent one.
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
    """Start a response with its status and headers."""

    request: str
    stamp: int
    status: int
    headers: tuple[tuple[str, str], ...]


class ResponseData(Frame, frozen=True, tag='part'):
    """Carry bytes of a response body, starting at ``offset``."""

    request: str
    offset: int
    payload: bytes


class ResponseEnd(Frame, frozen=True, tag='end'):
    """End a response with the length and xxh3-64 digest of its body."""

    request: str
    stamp: int
    length: int
    digest: int


class Refused(Frame, frozen=True, tag='refused'):
    """Report that a request did not run and never will under this id."""

    request: str
    stamp: int
    reason: str
    detail: str = ''
    retry_after_ms: int = 0


class Failed(Frame, frozen=True, tag='broken'):
    """Report that a request started but no complete response is available."""

    request: str
    stamp: int
    reason: str
    detail: str = ''


class Ack(Frame, frozen=True, tag='ack'):
    """Acknowledge received body bytes, which opens the sender's window.

    ``received`` is the total for the response. After ``done`` the sidecar may
    forget the request.
    """

    request: str
    received: int
    done: bool = False


class Resume(Frame, frozen=True, tag='resume'):
    """Resume a response on a new connection after ``received`` body bytes.

    ``has_head`` is true if its status and headers have been received.
    """

    request: str
    received: int
    has_head: bool


class Cancel(Frame, frozen=True, tag='cancel'):
    """Cancel an idempotent request whose caller has disconnected."""

    request: str


class AttemptQuery(Frame, frozen=True, tag='inquire'):
    """Request the outcome of an attempt; one not started is voided for good."""

    request: str
    incarnation: str
    intent: str
    received: int = 0


class KeyQuery(Frame, frozen=True, tag='key?'):
    """Request the outcome of an idempotency key without voiding any attempt.

    Used while the log is unavailable.
    """

    request: str
    key: str


class ManifestPull(Frame, frozen=True, tag='pull'):
    """Request the peer's configuration."""


class ManifestPush(Frame, frozen=True, tag='push'):
    """Send the manifest in force, its version and the drain orders.

    Each drain order is the upstream, the log offset and whether it drains.
    """

    version: int
    manifest: bytes
    drains: tuple[tuple[str, int, bool], ...]


class EventsRequest(Frame, frozen=True, tag='events?'):
    """Request the peer's timeline events above sequence number ``after``."""

    request: str
    after: int


class EventsResponse(Frame, frozen=True, tag='events'):
    """Send timeline events as a JSON list."""

    request: str
    payload: bytes


class GroupOrder(Frame, frozen=True, tag='order'):
    """Carry an encoded order about the expert map to a rank (see orders)."""

    request: str
    payload: bytes


class GroupReply(Frame, frozen=True, tag='reply'):
    """Carry a rank's encoded reply to an order (see orders)."""

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

#: Class by tag. Converting to one class is fast, whereas msgspec builds the
#: union of all anew at each conversion.
_CLASS_BY_TAG = MappingProxyType(
    {
        frame_class.__struct_config__.tag: frame_class
        for frame_class in typing.get_args(AnyFrame)
    },
)

_encoder = msgspec.msgpack.Encoder()


def encode_frame(frame: Frame) -> bytes:
    """Return a frame in msgpack."""
    return _encoder.encode(frame)


class FrameDecoder:
    """Decode frames from a byte stream."""

    def __init__(self, max_bytes: int = MAX_FRAME_BYTES) -> None:
        """Initialize; a frame above ``max_bytes`` is refused."""
        self._unpacker = msgpack.Unpacker(max_buffer_size=max_bytes)

    def feed(self, received: bytes) -> list[AnyFrame]:
        """Return the frames that these bytes complete.

        Raises FrameError if the bytes are not a frame or a frame is too large;
        the connection has to be closed then.
        """
        frames = decode(self._unpack, received)
        if isinstance(frames, Undecodable):
            raise FrameError(f'no valid frame: {frames.cause}')
        return frames

    def _unpack(self, received: bytes) -> list[AnyFrame]:
        self._unpacker.feed(received)
        return [_convert_frame(raw) for raw in self._unpacker]


def _convert_frame(raw: list[object]) -> AnyFrame:
    """Return the frame of an unpacked array; raise any error otherwise."""
    frame_class = _CLASS_BY_TAG.get(raw[0])
    if frame_class is None:
        raise ValueError(f'no frame has tag {raw[0]!r:.40}')
    frame: AnyFrame = msgspec.convert(raw, frame_class)
    return frame
