"""Record a process's recent events and merge those of many processes."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

import msgspec

from .clock import Clock
from .decoding import Undecodable, decode
from .types import Incarnation, ProcessName

#: Number of events that a process keeps.
_MAX_EVENTS = 4096


class Event(msgspec.Struct, frozen=True):
    """Describe one event in one process.

    ``stamp`` is a hybrid logical clock reading (see clock.Clock); ``sequence``
    numbers the events of an incarnation from 1.
    """

    stamp: int
    process: str
    incarnation: str
    sequence: int
    name: str
    subject: str = ''
    detail: str = ''


class Timeline:
    """Keep the latest events of one process, dropping the oldest first."""

    def __init__(
        self,
        clock: Clock,
        process: ProcessName,
        incarnation: Incarnation,
    ) -> None:
        """Set the clock and the process identity of the events."""
        self._clock = clock
        self._process = process
        self._incarnation = incarnation
        self._events: deque[Event] = deque(maxlen=_MAX_EVENTS)
        self._sequence = 0

    def add(self, name: str, subject: str = '', detail: str = '') -> None:
        """Record an event with the current stamp."""
        self._sequence += 1
        self._events.append(
            Event(
                self._clock.stamp(),
                self._process,
                self._incarnation,
                self._sequence,
                name,
                subject,
                detail,
            ),
        )

    def events_after(self, sequence: int) -> list[Event]:
        """Return the kept events with a higher sequence number."""
        return [event for event in self._events if event.sequence > sequence]


def merge_events(sources: Iterable[Iterable[Event]]) -> list[Event]:
    """Return each event once, in stamp order: causes before effects."""
    unique = {
        (event.incarnation, event.sequence): event
        for source in sources
        for event in source
    }
    return sorted(
        unique.values(),
        key=lambda event: (event.stamp, event.process, event.sequence),
    )


_events_decoder = msgspec.json.Decoder(list[Event])


def encode_events(events: list[Event]) -> bytes:
    """Return events as a JSON list of objects."""
    return msgspec.json.encode(events)


def decode_events(text: bytes) -> list[Event] | Undecodable:
    """Return the events of a JSON list."""
    return decode(_events_decoder.decode, text)
