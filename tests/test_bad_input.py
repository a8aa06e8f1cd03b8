"""Test that bad input is refused and does not affect other requests."""

from __future__ import annotations

import json

import pytest

from standins.calling import http_call, wait_until
from standins.fleet import Fleet
from standins.launch import ADMIN_TOKEN

from .client import auth_headers, request_completion, submit_order
from .raw import send_raw, send_raw_to

CHAT = '/v1/chat/completions'

BAD_REQUESTS = [
    # method, path, body, status, reason
    ('POST', CHAT, b'{', 400, 'bad-request'),
    ('POST', CHAT, b'[]', 400, 'bad-request'),
    ('POST', CHAT, b'\xff\xfe', 400, 'bad-request'),
    ('POST', CHAT, b'{"model":1}', 400, 'bad-request'),
    ('POST', CHAT, b'{"model":"redattore","max_tokens":0}', 400, 'bad-request'),
    ('POST', CHAT, b'{"model":"nobody"}', 404, 'no-route'),
    ('POST', CHAT, b'{"messages":' + b'[' * 5000, 400, 'bad-request'),
    ('GET', '/nowhere', b'', 404, 'no-route'),
    ('POST', '/sportello/orders', b'{}', 400, 'key-required'),
    ('DELETE', '/sportello/unlisted', b'', 400, 'key-required'),
    ('POST', '/sportello/orders', b'x' * 1_100_000, 413, None),
]


@pytest.mark.parametrize(
    ('method', 'path', 'body', 'status', 'reason'), BAD_REQUESTS
)
def test_bad_request(
    fleet: Fleet,
    method: str,
    path: str,
    body: bytes,
    status: int,
    reason: str | None,
) -> None:
    response = http_call(
        fleet.entries[0].url, method, path, body, auth_headers(fleet)
    )
    assert response.status == status
    assert response.headers['x-outcome'] == 'not-run'
    assert response.headers['content-type'] == 'application/problem+json'
    if reason:
        assert response.json()['reason'] == reason
    assert request_completion(fleet, fleet.entries[0], 'after').status == 200


BAD_FIELDS = [
    ({'Authorization': ''}, 401),
    ({'Authorization': 'Bearer nobody'}, 401),
    ({'Authorization': 'Basic abc'}, 401),
    ({'X-Deadline-Ms': '0'}, 400),
    ({'X-Deadline-Ms': 'soon'}, 400),
    ({'X-Deadline-Ms': '99999999999999'}, 400),
    ({'Idempotency-Key': 'k' * 256}, 400),
]


@pytest.mark.parametrize(('fields', 'status'), BAD_FIELDS)
def test_bad_field(fleet: Fleet, fields: dict[str, str], status: int) -> None:
    headers = {**auth_headers(fleet), **fields}
    entry = fleet.entries[0]
    response = http_call(
        entry.url, 'GET', '/sportello/orders/1', headers=headers
    )
    assert response.status == status
    assert response.headers['x-outcome'] == 'not-run'


BAD_BYTES = [
    (b'nonsense\r\n\r\n', 400),
    (b'GET / HTTP/1.1\r\nhost: a\r\nbad header\r\n\r\n', 400),
    (b'GET / HTTP/1.1\r\nhost: a\r\nx: ' + b'y' * 40_000 + b'\r\n\r\n', 431),
    (b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: -1\r\n\r\n', 400),
    (b'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: gzip\r\n\r\n', 501),
]


@pytest.mark.parametrize(('payload', 'status'), BAD_BYTES)
def test_bad_bytes(fleet: Fleet, payload: bytes, status: int) -> None:
    received = send_raw(fleet.entries[0], payload)
    assert received.startswith(f'HTTP/1.1 {status} '.encode())


def test_truncated_body_is_not_executed(fleet: Fleet) -> None:
    head = (
        'POST /sportello/orders HTTP/1.1\r\nhost: a\r\n'
        f'authorization: Bearer {fleet.token()}\r\n'
        'idempotency-key: short-body\r\ncontent-length: 10\r\n\r\n'
    )
    received = send_raw(fleet.entries[0], head.encode() + b'abc', close=True)
    assert b' 200 ' not in received
    assert submit_order(fleet, fleet.entries[0], 'probe').status == 200
    assert not [
        run for run in fleet.runs('sportello') if run['key'] == 'short-body'
    ]


def test_pipelined_requests_are_answered_in_order(fleet: Fleet) -> None:
    requests = ''.join(
        f'GET /sportello/orders/{number} HTTP/1.1\r\nhost: a\r\n'
        f'authorization: Bearer {fleet.token()}\r\n'
        f'{"connection: close" if number == 3 else "x-n: 1"}\r\n\r\n'
        for number in (1, 2, 3)
    )
    received = send_raw(fleet.entries[0], requests.encode()).decode()
    offsets = [
        received.index(f'/sportello/orders/{number}') for number in (1, 2, 3)
    ]
    assert offsets == sorted(offsets)


def test_garbage_connections_do_not_stop_the_entry(fleet: Fleet) -> None:
    for _ in range(20):
        send_raw(fleet.entries[0], b'\x16\x03\x01garbage', close=True)
    assert (
        request_completion(fleet, fleet.entries[0], 'still here').status == 200
    )
    assert fleet.entries[0].child.running


def test_organisation_headers_of_callers_are_ignored(fleet: Fleet) -> None:
    claimed = 'organisation-02'
    headers = {'X-Organisation': claimed, 'X-Tenant-Id': claimed}
    response = submit_order(fleet, fleet.entries[0], 'claim', headers=headers)
    assert response.json()['organisation'] == 'organisation-01'


def test_key_is_scoped_to_its_organisation(fleet: Fleet) -> None:
    first = submit_order(fleet, fleet.entries[0], 'shared', 0)
    second = submit_order(fleet, fleet.entries[0], 'shared', 1)
    assert first.json()['organisation'] == 'organisation-01'
    assert second.json()['organisation'] == 'organisation-02'


def test_key_reused_with_another_body_is_refused(fleet: Fleet) -> None:
    submit_order(fleet, fleet.entries[0], 'reused')
    for entry in fleet.entries:
        response = submit_order(fleet, entry, 'reused', body={'books': 2})
        assert response.status == 422
        assert response.json()['reason'] == 'key-reused'
        assert submit_order(fleet, entry, 'reused').status == 200


PEER_GARBAGE = [
    b'GET / HTTP/1.1\r\n\r\n',
    b'\xc1' * 100,
    b'\x91' * 3000,
    b'\xdd\xff\xff\xff\xff',
    b'\xc6\xff\xff\xff\xff' + b'x' * 70_000,
    # A hello frame with a wrong proof, then one without a proof.
    b'\x96\xa5hello\xc4\x02xx\xc4\x02yy\xa1n\xa1i\x01',
    b'\x91\xa5hello',
]


@pytest.mark.parametrize('payload', PEER_GARBAGE)
def test_peer_port_closes_on_garbage(fleet: Fleet, payload: bytes) -> None:
    upstream = fleet.upstreams[0]
    received = send_raw_to(upstream.sidecar_address, payload)
    # A peer that does not prove the peer key gets only the challenge.
    assert b'challenge' in received
    assert b'welcome' not in received
    assert upstream.sidecar.running


ADMIN_PATHS = ['/v1/status', '/v1/timeline', '/v1/lost', '/v1/manifest']


@pytest.mark.parametrize('path', ADMIN_PATHS)
def test_administration_requires_its_token(fleet: Fleet, path: str) -> None:
    for token in ('', 'Bearer wrong', f'bearer{ADMIN_TOKEN}'):
        headers = {'Authorization': token}
        response = http_call(
            fleet.entries[0].admin, 'GET', path, headers=headers
        )
        assert response.status == 401


def test_invalid_log_records_are_skipped_and_counted(fleet: Fleet) -> None:
    entry = fleet.entries[0]
    skipped_before = fleet.status(entry)['records_skipped']
    invalid_records = [
        b'',
        b'nonsense',
        b'{"type":"filings"}',
        json.dumps([1]).encode(),
    ]
    for record in invalid_records:
        http_call(fleet.platform_address, 'POST', '/log/control', record)
        http_call(fleet.platform_address, 'POST', '/log/filings-0', record)
    expected = skipped_before + 2 * len(invalid_records)
    wait_until(lambda: fleet.status(entry)['records_skipped'] == expected)
    assert submit_order(fleet, entry, 'after-garbage').status == 200
