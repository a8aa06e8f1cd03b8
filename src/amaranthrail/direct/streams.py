"""Split server-sent event streams into whole events."""

from __future__ import annotations

import re

_EVENT_END = re.compile(rb'\r\n\r\n|\n\n|\r\r')
#: Length of the longest end of an event.
_MAX_END_BYTES = 4
_ID_LINE = re.compile(rb'^id:[ ]?([^\r\n]*)', re.MULTILINE)
#: Largest event in bytes; the users' largest have some 400.
MAX_EVENT_BYTES = 1_048_576


class EventSplitter:
    """Buffer the bytes of a stream and return events once they are whole."""

    def __init__(self, last_id: str | None = None, events: int = 0) -> None:
        """Start after the event ``last_id``, or at the start of the stream.

        ``events`` is the number of events before.
        """
        self._pending = bytearray()
        self._searched_bytes = 0
        self._last_id = last_id
        self._events = events

    @property
    def last_id(self) -> str | None:
        """Return the id of the last whole event that had one."""
        return self._last_id

    @property
    def events(self) -> int:
        """Return the number of whole events, those before included."""
        return self._events

    @property
    def has_partial(self) -> bool:
        """Tell whether the buffer holds the beginning of an event."""
        return bool(self._pending.strip())

    @property
    def pending_bytes(self) -> int:
        """Return the size of the beginning of an event that is buffered."""
        return len(self._pending)

    def feed(self, received: bytes) -> bytes:
        """Return the whole events that end in these bytes.

        Its time depends on these bytes, not on those before of the same event.
        Raises ValueError for an event that is too large.
        """
        self._pending += received
        end = 0
        for match in _EVENT_END.finditer(self._pending, self._searched_bytes):
            self._count_event(self._pending[end : match.end()])
            end = match.end()
        events = bytes(self._pending[:end])
        del self._pending[:end]
        if len(self._pending) > MAX_EVENT_BYTES:
            raise ValueError(f'event is larger than {MAX_EVENT_BYTES} bytes')
        # What ends the event may have begun in the last bytes.
        self._searched_bytes = max(0, len(self._pending) - _MAX_END_BYTES + 1)
        return events

    def _count_event(self, event: bytearray) -> None:
        self._events += 1
        ids = _ID_LINE.findall(event)
        if ids:
            self._last_id = ids[-1].decode('latin-1')
