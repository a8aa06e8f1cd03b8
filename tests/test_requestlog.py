"""Tell a request's story from lines of several processes."""

from __future__ import annotations

import json

from amaranthrail.requestlog import explain_request, parse_log_lines


def line(event: str, process: str, second: int, **fields: str) -> str:
    stamp = f'2026-05-29T08:45:{second:02}Z'
    known = {'event': event, 'process': process, 'timestamp': stamp}
    return json.dumps({**known, **fields})


LINES = (
    line('world: in force', 'e1', 0),
    line('world: in force', 'e2', 0),
    ' 12.1 e1 ' + line('call: sent again', 'e1', 2, request='r1', cause='cut'),
    line('call: answered', 'e1', 3, request='r1'),
    line('call: answered', 'e1', 3, request='r2'),
    'Traceback (most recent call last):',
    '{"not": "a log line"}',
    '{broken',
)


def test_a_story_has_the_request_and_what_was_believed() -> None:
    story = explain_request('r1', parse_log_lines(LINES))
    assert [(line.process, line.event) for line in story] == [
        ('e1', 'world: in force'),
        ('e1', 'call: sent again'),
        ('e1', 'call: answered'),
    ]
    assert 'cause=cut' in story[1].formatted()


def test_an_unknown_request_has_no_story() -> None:
    assert not explain_request('r9', parse_log_lines(LINES))
