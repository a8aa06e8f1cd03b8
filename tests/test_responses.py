"""Give each caller its own complete response while connections fail."""

from __future__ import annotations

from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from http import client

import pytest

from standins.calling import http_call, wait_until
from standins.engine import token_text
from standins.fleet import Fleet, running_fleet
from standins.launch import FleetPlan, UpstreamProcess

from .client import LAST_EVENT, auth_headers, request_completion

TOKENS = 300
STREAMS = 6


@pytest.fixture(scope='module')
def streaming_fleet(request: pytest.FixtureRequest) -> Iterator[Fleet]:
    del request
    plan = FleetPlan(
        entries=2,
        replicas=2,
        services=1,
        relays=True,
        engine_arguments=('--step-ms', '12'),
        entry_settings={'silence_ms': '1000', 'heartbeat_ms': '200'},
        sidecar_settings={'silence_ms': '1000', 'heartbeat_ms': '200'},
    )
    with running_fleet(plan) as running:
        yield running


def _expected_stream(prompt: str) -> bytes:
    tokens = [token_text(prompt, index) for index in range(TOKENS)]
    events = ''.join(f'data: {{"token":"{token}"}}\n\n' for token in tokens)
    return events.encode() + LAST_EVENT


def _wait_running(fleet: Fleet, count: int) -> None:
    wait_until(lambda: len(_unfinished_upstreams(fleet)) >= count)


def _unfinished_upstreams(fleet: Fleet) -> list[UpstreamProcess]:
    """Return the upstream of each unfinished run, once for each run."""
    return [
        upstream
        for upstream in fleet.upstreams_of(fleet.deployment.model)
        for run in http_call(upstream.url, 'GET', '/control/runs').json()
        if not run['finished']
    ]


def _stream(fleet: Fleet, prompt: str) -> bytes:
    """Return the body that a caller received; raise if it is truncated."""
    entry = fleet.entries[len(prompt) % 2]
    return request_completion(fleet, entry, prompt, TOKENS).body


def _prompts(name: str) -> list[str]:
    return [f'{name} {"x" * number}' for number in range(STREAMS)]


def _connections(fleet: Fleet) -> list[int]:
    return [
        upstream.relay.connections
        for upstream in fleet.upstreams
        if upstream.relay
    ]


@pytest.mark.parametrize('relay_fault', ['cut', 'blackhole'])
def test_stream_resumes_at_the_last_received_byte(
    streaming_fleet: Fleet, relay_fault: str
) -> None:
    prompts = _prompts(relay_fault)
    with ThreadPoolExecutor(STREAMS) as pool:
        responses = pool.map(
            lambda prompt: _stream(streaming_fleet, prompt), prompts
        )
        _wait_running(streaming_fleet, STREAMS)
        before = _connections(streaming_fleet)
        for upstream in streaming_fleet.upstreams:
            getattr(upstream.relay, relay_fault)()
        assert [_expected_stream(prompt) for prompt in prompts] == list(
            responses
        )
    after = _connections(streaming_fleet)
    assert all(new > old for new, old in zip(after, before, strict=True))


def test_stream_of_a_killed_sidecar_is_visibly_truncated(
    streaming_fleet: Fleet,
) -> None:
    prompts = _prompts('killed')
    with ThreadPoolExecutor(STREAMS) as pool:
        streams = [
            pool.submit(_stream, streaming_fleet, prompt) for prompt in prompts
        ]
        _wait_running(streaming_fleet, STREAMS)
        killed_upstreams = streaming_fleet.upstreams_of('redattore')
        for killed_upstream in killed_upstreams:
            killed_upstream.sidecar.kill()
        errors = [stream.exception() for stream in streams]
    for killed_upstream in killed_upstreams:
        killed_upstream.sidecar.restart()
    for entry in streaming_fleet.entries:
        streaming_fleet.wait_entry_ready(entry)
    assert all(isinstance(error, client.HTTPException) for error in errors)


def test_stream_cut_by_the_upstream_is_visibly_truncated(
    streaming_fleet: Fleet,
) -> None:
    for upstream in streaming_fleet.upstreams_of('redattore'):
        upstream.set_faults(cut_after_bytes=200)
    try:
        with pytest.raises(client.IncompleteRead):
            request_completion(
                streaming_fleet, streaming_fleet.entries[0], 'cut', TOKENS
            )
    finally:
        for upstream in streaming_fleet.upstreams_of('redattore'):
            upstream.set_faults(cut_after_bytes=None)


def test_plain_response_is_retried_after_a_sidecar_is_killed(
    streaming_fleet: Fleet,
) -> None:
    with ThreadPoolExecutor(1) as pool:
        future = pool.submit(
            request_completion,
            streaming_fleet,
            streaming_fleet.entries[0],
            'tried twice',
            200,
            stream=False,
        )
        _wait_running(streaming_fleet, 1)
        killed_upstream = _unfinished_upstreams(streaming_fleet)[0]
        killed_upstream.sidecar.kill()
        response = future.result()
    killed_upstream.sidecar.restart()
    for entry in streaming_fleet.entries:
        streaming_fleet.wait_entry_ready(entry)
    assert response.status == 200
    assert response.json()['upstream'] != killed_upstream.name


def test_disconnected_caller_frees_its_slot(streaming_fleet: Fleet) -> None:
    before = len(_unfinished_upstreams(streaming_fleet))
    connection = client.HTTPConnection(
        streaming_fleet.entries[0].url.removeprefix('http://'),
    )
    body = (
        b'{"model":"redattore","prompt":"gone","max_tokens":9999,"stream":true}'
    )
    connection.request(
        'POST', '/v1/completions', body, auth_headers(streaming_fleet)
    )
    response = connection.getresponse()
    assert response.read(10)
    response.close()
    connection.close()
    wait_until(lambda: _count_running(streaming_fleet) == 0, 10)
    assert len(_unfinished_upstreams(streaming_fleet)) >= before


def _count_running(fleet: Fleet) -> int:
    status = fleet.status(fleet.entries[0])
    return sum(upstream['running'] for upstream in status['upstreams'])
