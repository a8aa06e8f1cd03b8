"""Serve requests end to end through separate processes."""

from __future__ import annotations

import base64
import json

from standins.calling import http_call
from standins.engine import token_text
from standins.fleet import Fleet

from .client import LAST_EVENT, auth_headers, request_completion, submit_order


def test_streamed_draft_is_whole(fleet: Fleet) -> None:
    answer = request_completion(fleet, fleet.entries[0], 'ciao', tokens=6)
    assert answer.status == 200
    assert answer.headers['x-outcome'] == 'ran'
    tokens = [token_text('ciao', index) for index in range(6)]
    events = ''.join(f'data: {{"token":"{one}"}}\n\n' for one in tokens)
    assert answer.body == events.encode() + LAST_EVENT


def test_plain_draft_is_whole(fleet: Fleet) -> None:
    answer = request_completion(
        fleet, fleet.entries[1], 'ahoj', tokens=3, stream=False
    )
    tokens = [token_text('ahoj', index) for index in range(3)]
    assert answer.json()['text'] == ' '.join(tokens)


def test_filing_runs_once_and_stands_in_the_log(fleet: Fleet) -> None:
    key = 'path-filing'
    first = submit_order(fleet, fleet.entries[0], key)
    again = submit_order(fleet, fleet.entries[1], key)
    assert (first.status, again.status) == (200, 200)
    assert first.body == again.body
    runs = [run for run in fleet.runs('sportello') if run['key'] == key]
    assert runs == [
        {
            'key': key,
            'method': 'POST',
            'path': '/sportello/orders',
            'finished': True,
        },
    ]
    facts = _facts(fleet, f'organisation-01/{key}')
    assert [fact['fact'] for fact in facts] == ['intent', 'conclusion']
    assert facts[1]['state'] == 'ran'


def test_plain_service_passes_through(fleet: Fleet) -> None:
    answer = http_call(
        fleet.entries[0].url,
        'GET',
        '/sportello/orders/17?full=1',
        headers=auth_headers(fleet),
    )
    assert answer.status == 200
    assert answer.json()['path'] == '/sportello/orders/17'


def _facts(fleet: Fleet, key: str) -> list[dict[str, str]]:
    found = []
    for shard in range(4):
        batch = http_call(
            fleet.platform_address,
            'GET',
            f'/log/filings-{shard}?after=0',
        ).json()
        for record in batch['records']:
            text = base64.b64decode(record['record'])
            # Other tests leave records there that do not parse.
            if key.encode() in text:
                found += json.loads(text)['facts']
    return [fact for fact in found if fact['key'] == key]
