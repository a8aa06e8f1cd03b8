"""Test TLS with callers and mutual TLS between peers."""

from __future__ import annotations

import json
import signal
import ssl
from collections.abc import Iterator
from contextlib import aclosing
from pathlib import Path

import pytest
import trustme
from trio import run

from amaranthrail.adapters.httpclient import HttpClient, parse_address
from amaranthrail.types import HeaderList
from standins.calling import http_call
from standins.fleet import Fleet, running_fleet
from standins.launch import FleetPlan

from .client import LAST_EVENT, auth_headers
from .raw import send_raw_to

PATH = '/v1/completions'


@pytest.fixture(scope='module')
def authority() -> trustme.CA:
    return trustme.CA()


@pytest.fixture(scope='module')
def tls_fleet(
    authority: trustme.CA,
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[Fleet]:
    folder = tmp_path_factory.mktemp('certificates')
    peer_authority = trustme.CA()
    peer_files = _write_files(folder, 'peer', peer_authority)
    caller_files = _write_files(folder, 'caller', authority)
    peer_settings = {
        'peer_certificate': str(peer_files[0]),
        'peer_private_key': str(peer_files[1]),
        'peer_authority': str(peer_files[2]),
    }
    plan = FleetPlan(
        entries=1,
        replicas=1,
        services=1,
        entry_settings={
            **peer_settings,
            'caller_certificate': str(caller_files[0]),
            'caller_private_key': str(caller_files[1]),
        },
        sidecar_settings=peer_settings,
    )
    with running_fleet(plan) as fleet:
        yield fleet


def _write_files(folder: Path, name: str, authority: trustme.CA) -> list[Path]:
    issued = authority.issue_cert('127.0.0.1')
    paths = [folder / f'{name}-{part}.pem' for part in ('cert', 'key', 'ca')]
    issued.cert_chain_pems[0].write_to_path(paths[0])
    issued.private_key_pem.write_to_path(paths[1])
    authority.cert_pem.write_to_path(paths[2])
    return paths


def _client(fleet: Fleet, authority: trustme.CA) -> HttpClient:
    context = ssl.create_default_context()
    authority.configure_trust(context)
    return HttpClient(parse_address(fleet.entries[0].url), context)


def _headers(fleet: Fleet) -> HeaderList:
    return tuple(
        (name.lower(), text) for name, text in auth_headers(fleet).items()
    )


def test_caller_gets_a_response_over_tls(
    tls_fleet: Fleet,
    authority: trustme.CA,
) -> None:
    client = _client(tls_fleet, authority)
    headers = _headers(tls_fleet)

    async def call() -> int:
        target = '/sportello/orders/1'
        return (await client.call('GET', target, headers)).status

    assert run(call) == 200


def test_plain_http_is_refused(tls_fleet: Fleet) -> None:
    with pytest.raises(OSError, match=r'.'):
        http_call(tls_fleet.entries[0].url, 'GET', '/healthz', timeout=5)


def test_peer_without_certificate_gets_no_challenge(tls_fleet: Fleet) -> None:
    received = send_raw_to(tls_fleet.upstreams[0].sidecar_address, b'\x00' * 64)
    assert b'challenge' not in received


def test_stream_over_tls_is_complete_despite_shutdown(
    tls_fleet: Fleet,
    authority: trustme.CA,
) -> None:
    entry = tls_fleet.entries[0]
    client = _client(tls_fleet, authority)
    headers = _headers(tls_fleet)
    completion = {
        'model': tls_fleet.deployment.model,
        'prompt': 'whole',
        'max_tokens': 50,
        'stream': True,
    }

    async def stream() -> list[bytes]:
        received = []
        payload = json.dumps(completion).encode()
        async with (
            client.exchange('POST', PATH, headers, payload) as exchange,
            aclosing(exchange.body_chunks()) as chunks,
        ):
            async for chunk in chunks:
                # Shutdown starts with the first chunk; the signal may be
                # repeated.
                entry.child.send(signal.SIGTERM)
                received.append(chunk)
        return received

    received = run(stream)
    assert len(received) > 1
    assert b''.join(received).endswith(LAST_EVENT)
    assert entry.child.wait(10) == 0
