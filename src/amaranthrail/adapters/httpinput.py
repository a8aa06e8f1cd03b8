"""Parse what arrives on an HTTP connection in short steps of work."""

from __future__ import annotations

import re

import h11
import trio

from ..looptimes import name_work
from ..policy.parsing import (
    FREE_UNITS,
    LONG_LINE_UNITS,
    TURN_UNITS,
    event_units,
    head_units,
)
from .peernames import peer_name
from .turns import turn_queue

#: Bytes that a message's head may have.
MAX_HEAD_BYTES = 16_384
#: Most bytes taken from a stream by one read.
READ_BYTES = 16_384
#: Bytes of a chunked body that the parser gets in one step.
_PART_BYTES = 1024
#: Most bytes of trailers, or of a chunk's header, that are kept for the parser.
#: It takes quadratic time for some that are not valid.
_MAX_FRAMING_BYTES = 2048
#: Bytes of such framing that are more than any usual chunk header.
_LONG_FRAMING_BYTES = 256
#: Bytes below this start no head.
_FIRST_VISIBLE = 0x21
_BLANK_LINE = re.compile(rb'\n\r?\n')
#: Bytes that no head may have. The parser refuses them too, but after a time
#: that is quadratic in the length of their line.
_FORBIDDEN = re.compile(rb'[\x00\x0b\x0c]|\r(?!\n)')
_HTTP_HEADERS_TOO_LARGE = 431
_HEAD_STATES = frozenset((h11.IDLE, h11.SEND_RESPONSE))

ParserEvent = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


class HttpInput:
    """Give a connection's bytes to its parser, a bounded part at a time.

    Callers alternate ``poll``, until it needs data, and ``receive``. Where a
    read costs much work, ``poll`` waits for turns; see ``policy.parsing``.
    """

    def __init__(
        self,
        role: type[h11.CLIENT] | type[h11.SERVER],
        stream: trio.abc.Stream,
        max_head_bytes: int = MAX_HEAD_BYTES,
    ) -> None:
        """Read from ``stream`` in the given role of this process.

        A head that is incomplete may have ``max_head_bytes``.
        """
        self._role = role
        self._stream = stream
        self._max_head_bytes = max_head_bytes
        way = 'to' if role is h11.CLIENT else 'from'
        self._name = f'connection {way} {peer_name(stream)}'
        self._parser = self._make_parser()
        # Bytes that have arrived and that the parser does not have yet.
        self._pending = bytearray()
        self._searched_bytes = 0
        self._is_chunked = False
        self._has_ended = False
        self._units_left = FREE_UNITS
        self._turns = 0
        self._is_in_turn = False

    @property
    def parser(self) -> h11.Connection:
        """Return the parser, through which messages are sent too."""
        return self._parser

    @property
    def stream(self) -> trio.abc.Stream:
        """Return the stream of the connection."""
        return self._stream

    @property
    def turns(self) -> int:
        """Return how many turns in a row the current message has taken."""
        return self._turns

    @property
    def has_unread(self) -> bool:
        """Tell whether bytes have arrived that belong to no message so far."""
        return bool(self._pending or self._parser.trailing_data[0])

    async def receive(self, max_bytes: int = READ_BYTES) -> int:
        """Read once from the stream; return the number of bytes, 0 at its end.

        Raises the errors of the stream.
        """
        received = await self._stream.receive_some(max_bytes)
        name_work(self._name)
        if not self._is_in_turn:
            self._turns = 0
        self._is_in_turn = False
        self._units_left = FREE_UNITS
        self._pending += received
        self._has_ended = self._has_ended or not received
        return len(received)

    async def poll(self) -> ParserEvent:
        """Return the next event of the bytes that have arrived.

        It is h11.NEED_DATA where they have no further one. Raises
        h11.RemoteProtocolError for bytes that are not valid.
        """
        event: ParserEvent = h11.NEED_DATA
        has_part = True
        while event is h11.NEED_DATA and has_part:
            if self._units_left <= 0:
                await self._take_turn(TURN_UNITS - self._units_left)
            event = self._parser.next_event()
            if event is h11.NEED_DATA:
                has_part = await self._feed_parser()
        self._count_event(event)
        return event

    def count_stream_events(self, count: int) -> None:
        """Count work on events of a stream that were in the last part."""
        self._units_left -= event_units(count)

    def start_next(self) -> None:
        """Prepare for the next messages once the last ones are complete."""
        self._turns = 0
        unparsed = self._parser.trailing_data[0]
        if unparsed:
            # The parser would take the next head from them as it is.
            self._pending = bytearray(unparsed) + self._pending
            self._searched_bytes = 0
            self._parser = self._make_parser()
        else:
            self._parser.start_next_cycle()

    def _make_parser(self) -> h11.Connection:
        return h11.Connection(
            self._role, max_incomplete_event_size=_MAX_FRAMING_BYTES
        )

    async def _take_turn(self, units: int) -> None:
        """Wait for a turn that allows so much more work."""
        self._is_in_turn = True
        await turn_queue().take(self._name, self._turns, units)
        name_work(self._name)
        self._turns += 1
        self._units_left += units

    def _count_event(self, event: ParserEvent) -> None:
        if event is h11.NEED_DATA:
            return
        self._units_left -= 1
        if isinstance(event, (h11.Request, h11.Response)):
            self._is_chunked = any(
                name == b'transfer-encoding' for name, _ in event.headers
            )
        elif isinstance(event, h11.EndOfMessage):
            self._units_left -= head_units(len(event.headers))

    async def _feed_parser(self) -> bool:
        """Give the parser the next part, if there is one."""
        if not self._pending:
            return self._feed_end()
        if self._parser.their_state in _HEAD_STATES:
            size = await self._next_head_bytes()
        else:
            size = await self._next_body_bytes()
        if size:
            self._parser.receive_data(bytes(self._pending[:size]))
            del self._pending[:size]
            self._searched_bytes = 0
        return size > 0

    def _feed_end(self) -> bool:
        """Tell the parser once that the stream has ended, if it has."""
        is_new = self._has_ended and not self._parser.trailing_data[1]
        if is_new:
            self._parser.receive_data(b'')
        return is_new

    async def _next_head_bytes(self) -> int:
        """Return the length of the head that is next, 0 where it has no end.

        Raises h11.RemoteProtocolError for one that is not valid.
        """
        if self._pending[0] < _FIRST_VISIBLE:
            # The parser refuses it at its first line.
            return len(self._pending)
        end = _BLANK_LINE.search(self._pending, self._searched_bytes)
        if end is None:
            self._check_incomplete_head()
            # The end may have begun in the last two bytes.
            self._searched_bytes = max(0, len(self._pending) - 2)
            return 0
        head = self._pending[: end.end()]
        if _FORBIDDEN.search(head):
            raise h11.RemoteProtocolError('control character in a head')
        units = head_units(head.count(b'\n'))
        if units > FREE_UNITS:
            await self._take_turn(units)
        self._units_left -= units
        return len(head)

    def _check_incomplete_head(self) -> None:
        if len(self._pending) > self._max_head_bytes:
            raise h11.RemoteProtocolError(
                f'head is longer than {self._max_head_bytes} bytes',
                error_status_hint=_HTTP_HEADERS_TOO_LARGE,
            )
        if self._has_ended:
            raise h11.RemoteProtocolError('connection ended in a head')

    async def _next_body_bytes(self) -> int:
        if not self._is_chunked:
            return len(self._pending)
        # What the parser keeps of a body is the start of framing, never data.
        if len(self._parser.trailing_data[0]) > _LONG_FRAMING_BYTES:
            await self._take_turn(LONG_LINE_UNITS)
        return min(len(self._pending), _PART_BYTES)
