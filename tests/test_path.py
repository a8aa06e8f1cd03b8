"""Test requests end to end through separate processes."""

from __future__ import annotations

import base64
import json

from standins.calling import http_call
from standins.engine import token_text
from standins.fleet import Fleet

from .client import LAST_EVENT, auth_headers, request_completion, submit_order


def test_streamed_completion_is_complete(fleet: Fleet) -> None:
    response = request_completion(fleet, fleet.entries[0], 'ciao', tokens=6)
    assert response.status == 200
    assert response.headers['x-outcome'] == 'ran'
    tokens = [token_text('ciao', index) for index in range(6)]
    events = ''.join(f'data: {{"token":"{token}"}}\n\n' for token in tokens)
    assert response.body == events.encode() + LAST_EVENT


def test_plain_completion_is_complete(fleet: Fleet) -> None:
    response = request_completion(
        fleet, fleet.entries[1], 'ahoj', tokens=3, stream=False
    )
    tokens = [token_text('ahoj', index) for index in range(3)]
    assert response.json()['text'] == ' '.join(tokens)


def test_keyed_request_runs_once_and_is_logged(fleet: Fleet) -> None:
    key = 'path-filing'
    first = submit_order(fleet, fleet.entries[0], key)
    retry = submit_order(fleet, fleet.entries[1], key)
    assert (first.status, retry.status) == (200, 200)
    assert first.body == retry.body
    runs = [run for run in fleet.runs('sportello') if run['key'] == key]
    assert runs == [
        {
            'key': key,
            'method': 'POST',
            'path': '/sportello/orders',
            'finished': True,
        },
    ]
    facts = _read_facts(fleet, f'organisation-01/{key}')
    assert [fact['fact'] for fact in facts] == ['intent', 'conclusion']
    assert facts[1]['state'] == 'ran'


def test_idempotent_request_is_forwarded(fleet: Fleet) -> None:
    response = http_call(
        fleet.entries[0].url,
        'GET',
        '/sportello/orders/17?full=1',
        headers=auth_headers(fleet),
    )
    assert response.status == 200
    assert response.json()['path'] == '/sportello/orders/17'


def _read_facts(fleet: Fleet, key: str) -> list[dict[str, str]]:
    """Return the facts about a key in all shards of the log, in order."""
    facts = []
    for shard in range(4):
        batch = http_call(
            fleet.platform_address,
            'GET',
            f'/log/filings-{shard}?after=0',
        ).json()
        for record in batch['records']:
            text = base64.b64decode(record['record'])
            # Other tests leave records in these streams that do not parse.
            if key.encode() in text:
                facts += json.loads(text)['facts']
    return [fact for fact in facts if fact['key'] == key]
