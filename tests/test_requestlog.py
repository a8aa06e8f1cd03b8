"""Test the selection of log lines that explain a request."""

from __future__ import annotations

import json

from amaranthrail.requestlog import explain_request, parse_log_lines


def line(event: str, process: str, second: int, **fields: str) -> str:
    stamp = f'2026-05-29T08:45:{second:02}Z'
    required = {'event': event, 'process': process, 'timestamp': stamp}
    return json.dumps({**required, **fields})


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


def test_explanation_includes_changes_of_the_local_view() -> None:
    explanation = explain_request('r1', parse_log_lines(LINES))
    assert [(line.process, line.event) for line in explanation] == [
        ('e1', 'world: in force'),
        ('e1', 'call: sent again'),
        ('e1', 'call: answered'),
    ]
    assert 'cause=cut' in explanation[1].formatted()


def test_unknown_request_has_no_lines() -> None:
    assert not explain_request('r9', parse_log_lines(LINES))
