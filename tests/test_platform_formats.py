"""Decode the platform's formats, whole and broken."""

from __future__ import annotations

import json
import struct
from typing import Any

import pytest

from amaranthrail.direct.deployment import CallKind, Deployment, UpstreamState
from amaranthrail.direct.ports import ForwardingFields
from amaranthrail.exceptions import SettingError
from amaranthrail.outcomes import Reason, not_run
from amaranthrail.platform import headers, records, store
from amaranthrail.platform.settings import load_settings, parse_settings
from amaranthrail.types import Millis, OrganisationName

from .platformbuild import (
    SETTINGS,
    configuration,
    request,
    route,
    upstream_record,
)


def deployment(text: bytes) -> Deployment:
    read = records.read_deployment(text)
    assert isinstance(read, Deployment), read
    return read


def test_settings_are_read_and_unknown_ones_ignored() -> None:
    settings = parse_settings(SETTINGS)
    assert settings.name == 'front-a-1'
    assert str(settings.callers) == '127.0.0.1:8227'
    assert settings.seeds == ('127.0.0.2', '127.0.0.3')
    assert (settings.peer_port, settings.metrics_port) == (7340, 7341)
    assert settings.shutdown_ms == Millis(8000)


@pytest.mark.parametrize(
    ('line', 'named'),
    [
        ('node_name=', 'node_name'),
        ('listen.front=nowhere', 'listen.front'),
        ('internal_ports=7340', 'internal_ports'),
        ('internal_ports=9,8', 'internal_ports'),
        ('bounds.grace_s=soon', 'bounds.grace_s'),
        ('bounds.grace_s=-1', 'bounds.grace_s'),
        ('platform.address=', 'platform.address'),
    ],
)
def test_wrong_settings_are_named(line: str, named: str) -> None:
    with pytest.raises(SettingError, match=named):
        parse_settings(f'{SETTINGS}\n{line}\n')


def test_a_missing_settings_file_is_named(tmp_path: Any) -> None:
    with pytest.raises(SettingError, match='AMARANTHRAIL_CONFIG'):
        load_settings(tmp_path / 'none')


def test_configuration_is_read() -> None:
    read = deployment(configuration(7))
    assert (read.version, read.limits.max_body_bytes) == (7, 4096)
    assert (read.credentials or {})['k2'].name == 'band'
    found = read.find_route('H.example', '/stream/x')
    assert found is not None
    assert (found.kind, found.retryable) == (CallKind.STREAMING, True)


@pytest.mark.parametrize(
    'text',
    [
        b'',
        b'not json',
        b'{}',
        b'{"version": "7", "routes": []}',
        configuration(routes=[route('x', 'sometimes', 'plain')]),
        configuration(routes=[{'name': 'x'}]),
    ],
)
def test_a_broken_configuration_is_refused(text: bytes) -> None:
    assert isinstance(records.read_deployment(text), str)


def test_unknown_fields_of_a_configuration_are_ignored() -> None:
    assert deployment(configuration(8, mood='good')).version == 8


@pytest.mark.parametrize(
    ('path', 'name'),
    [
        ('/a/', 'short'),
        ('/a/b', 'short'),
        ('/a/b/', 'long'),
        ('/a/b/c/d', 'long'),
        ('/ab/', None),
        ('/', None),
    ],
)
def test_the_longest_prefix_wins(path: str, name: str | None) -> None:
    short = route('short', 'idempotent', 'plain', path_prefix='/a/')
    long = route('long', 'idempotent', 'plain', path_prefix='/a/b/')
    found = deployment(configuration(routes=[short, long])).find_route(
        'h.example',
        path,
    )
    assert (found and found.name) == name


def test_an_upstream_record_is_read() -> None:
    read = records.read_upstream('i-1', upstream_record('10.0.0.1:80'))
    assert not isinstance(read, str)
    assert (read.host, read.port) == ('10.0.0.1', 80)
    assert read.state is UpstreamState.READY
    assert read.order_key == (1000, 1)


@pytest.mark.parametrize(
    'changes',
    [
        {'state': 'dancing'},
        {'address': 'nowhere'},
        {'address': 12},
        {'address': ':80'},
        {'service': ''},
        {'sequence': 'one'},
        {'slots': None},
        {'born': 1.5},
    ],
)
def test_a_broken_upstream_record_names_nobody(changes: Any) -> None:
    fields = json.loads(upstream_record('10.0.0.1:80')) | changes
    read = records.read_upstream('i-1', json.dumps(fields).encode())
    assert isinstance(read, str)
    assert 'i-1' in read


def test_bytes_that_are_no_record_name_nobody() -> None:
    assert isinstance(records.read_upstream('i-1', b'\xff\x00'), str)


def log_bytes(*keyed: tuple[bytes, bytes], end: int) -> bytes:
    body = struct.pack('>QQ', end, 0)
    for key, payload in keyed:
        record = bytes((len(key),)) + key + payload
        body += struct.pack('>I', len(record)) + record
    return body


def test_log_records_are_split() -> None:
    body = log_bytes((b'config', b'{}'), (b'i-1', b''), end=9)
    end, found = store.read_records(body)
    assert end == 9
    assert [(one.key, one.payload) for one in found] == [
        ('config', b'{}'),
        ('i-1', None),
    ]


@pytest.mark.parametrize(
    'body',
    [b'', b'123', log_bytes((b'k', b'value'), end=1)[:-2]],
)
def test_cut_log_records_are_refused(body: bytes) -> None:
    with pytest.raises((ValueError, struct.error)):
        store.read_records(body)


def test_a_call_is_passed_on_without_what_is_the_entrys_own() -> None:
    asked = request(
        headers=(
            ('authorization', 'Token k1'),
            ('tenant', 'forged'),
            ('expect-replica', 'forged'),
            ('connection', 'x-hop'),
            ('x-hop', '1'),
            ('deadline-remaining-ms', '900'),
            ('prompt-prefix', 'ab:1'),
        ),
    )
    assert headers.read_call(asked).credential == 'k1'
    assert headers.read_call(asked).timeout_ms == Millis(900)
    handover = ForwardingFields(
        'i-1', Millis(850.7), OrganisationName('band'), '4', 1
    )
    sent = dict(headers.request_headers(asked, handover))
    assert sent == {
        'host': 'h.example',
        'attempt-id': 'a1',
        'prompt-prefix': 'ab:1',
        'deadline-remaining-ms': '850',
        'expect-replica': 'i-1',
        'request-priority': '1',
        'tenant': 'band',
        'last-event-id': '4',
    }


@pytest.mark.parametrize(
    ('status', 'fields', 'unrun', 'replaced'),
    [
        (200, (), False, False),
        (500, (), False, False),
        (503, (), False, False),
        (503, (('not-executed', '1'),), True, False),
        (421, (), True, True),
    ],
)
def test_proof_that_a_call_has_not_run(
    status: int,
    fields: Any,
    unrun: bool,
    replaced: bool,
) -> None:
    facts = headers.read_answer(status, fields)
    assert facts.not_executed is unrun
    assert facts.replaced is replaced


@pytest.mark.parametrize(
    ('text', 'load'),
    [('3,1,8', (3, 1, 8)), ('3,1', None), ('x,1,8', (0, 1, 8)), (None, None)],
)
def test_a_stated_load_is_read(text: str | None, load: Any) -> None:
    fields = () if text is None else (('replica-load', text),)
    found = headers.read_answer(200, fields).load
    given = found and (found.running, found.waiting, found.slots)
    assert given == load


def test_a_refusal_states_fractions_of_a_second() -> None:
    refusal = not_run(Reason.NO_CAPACITY, '', 350)
    assert headers.refusal_headers(refusal) == (('retry-after', '0.350'),)


def test_a_link_without_speed_is_no_reason_to_fail() -> None:
    engine = {'sets': 4, 'experts': 8, 'expert_mb': 880, 'link_mbps': 0}
    services = [{'name': 'engine', 'engine': engine}]
    read = deployment(configuration(services=services))
    assert len(read.services) == 1
