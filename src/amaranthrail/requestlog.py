"""Tell the story of one request from the logs of many processes."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Any

import msgspec

#: Changes of belief this long before a request's lines are part of its story.
BELIEF_WINDOW = timedelta(seconds=10)
#: Parts whose lines say what a process believes.
BELIEF_PARTS = ('world:', 'upstreams:', 'sync:', 'keeper:', 'leader:', 'entry:')
_SHOWN_APART = frozenset(('timestamp', 'process', 'event', 'level', 'request'))


class _WireLine(msgspec.Struct):
    timestamp: datetime
    event: str
    process: str = ''


_line_decoder = msgspec.json.Decoder(_WireLine)


@dataclass(frozen=True, slots=True)
class LogLine:
    """Hold one line of a structured log."""

    at: datetime
    process: str
    event: str
    fields: dict[str, Any]

    def formatted(self) -> str:
        """Return the line as a person reads it."""
        rest = ' '.join(
            f'{name}={given}'
            for name, given in self.fields.items()
            if name not in _SHOWN_APART
        )
        moment = self.at.isoformat(timespec='milliseconds')
        return f'{moment} {self.process} {self.event} {rest}'


def parse_log_lines(text: Iterable[str]) -> Iterator[LogLine]:
    """Yield the structured lines among others.

    A line may have other text before its JSON object.
    """
    for raw in text:
        begin = raw.find('{')
        if begin < 0:
            continue
        try:
            line = _line_decoder.decode(raw[begin:])
        except msgspec.DecodeError:
            # Not a line of ours, such as a traceback.
            continue
        fields = msgspec.json.decode(raw[begin:])
        yield LogLine(line.timestamp, line.process, line.event, fields)


def explain_request(request: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """Return a request's lines and what its processes learnt before them."""
    known = sorted(lines, key=_time_of)
    own = [line for line in known if line.fields.get('request') == request]
    if not own:
        return []
    processes = {line.process for line in own}
    begin = own[0].at - BELIEF_WINDOW
    beliefs = [
        line
        for line in known
        if line.process in processes
        and begin <= line.at <= own[-1].at
        and line.event.startswith(BELIEF_PARTS)
    ]
    return sorted((*own, *beliefs), key=_time_of)


def _time_of(line: LogLine) -> datetime:
    return line.at
