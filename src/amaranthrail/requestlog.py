"""Collect the log lines that explain one request from many processes."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Any

import msgspec

from .decoding import Undecodable, decode

#: Time before a request's first line from which changes of the local view of
#: its processes are included.
VIEW_LOOKBACK = timedelta(seconds=10)
#: Prefixes of events that show changes of a process's local view (see
#: logs.part_logger); ``world`` is that of direct.clusterstate, ``keeper`` that
#: of ranks.controller.
VIEW_PARTS = ('world:', 'upstreams:', 'sync:', 'keeper:', 'leader:', 'entry:')
#: Fields that a formatted line does not repeat as name=value.
_OMITTED_FIELDS = frozenset(
    ('timestamp', 'process', 'event', 'level', 'request')
)


class _JsonLine(msgspec.Struct):
    timestamp: datetime
    event: str
    process: str = ''


_line_decoder = msgspec.json.Decoder(_JsonLine)


@dataclass(frozen=True, slots=True)
class LogLine:
    """Hold one line of a structured log."""

    at: datetime
    process: str
    event: str
    fields: dict[str, Any]

    def formatted(self) -> str:
        """Return the line as plain text, with other fields as name=value."""
        rest = ' '.join(
            f'{name}={field}'
            for name, field in self.fields.items()
            if name not in _OMITTED_FIELDS
        )
        moment = self.at.isoformat(timespec='milliseconds')
        return f'{moment} {self.process} {self.event} {rest}'


def parse_log_lines(text: Iterable[str]) -> Iterator[LogLine]:
    """Yield the structured log lines in ``text``, skipping other lines.

    A line may have other text before its JSON object.
    """
    for raw in text:
        json_start = raw.find('{')
        if json_start < 0:
            continue
        line = decode(_parse_line, raw[json_start:])
        # Other lines are not structured, such as a traceback.
        if not isinstance(line, Undecodable):
            yield line


def _parse_line(text: str) -> LogLine:
    line = _line_decoder.decode(text)
    fields = msgspec.json.decode(text)
    return LogLine(line.timestamp, line.process, line.event, fields)


def explain_request(request: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """Return a request's log lines and the changes of view that led to them.

    Changes of the local view are those of the same processes, from
    VIEW_LOOKBACK before the request's first line to its last. The lines are
    in order of time; there are none for an unknown request.
    """
    all_lines = sorted(lines, key=_time_of)
    request_lines = [
        line for line in all_lines if line.fields.get('request') == request
    ]
    if not request_lines:
        return []
    processes = {line.process for line in request_lines}
    view_start = request_lines[0].at - VIEW_LOOKBACK
    view_changes = [
        line
        for line in all_lines
        if line.process in processes
        and view_start <= line.at <= request_lines[-1].at
        and line.event.startswith(VIEW_PARTS)
    ]
    return sorted((*request_lines, *view_changes), key=_time_of)


def _time_of(line: LogLine) -> datetime:
    return line.at
