"""Give each caller its own whole answer while connections fail under it."""

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
def streaming(request: pytest.FixtureRequest) -> Iterator[Fleet]:
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


def _expected(prompt: str) -> bytes:
    tokens = [token_text(prompt, index) for index in range(TOKENS)]
    events = ''.join(f'data: {{"token":"{one}"}}\n\n' for one in tokens)
    return events.encode() + LAST_EVENT


def _all_running(fleet: Fleet, more: int) -> None:
    wait_until(lambda: len(_unfinished(fleet)) >= more)


def _unfinished(fleet: Fleet) -> list[UpstreamProcess]:
    return [
        one
        for one in fleet.of_service(fleet.deployment.model)
        for run in http_call(one.url, 'GET', '/control/runs').json()
        if not run['finished']
    ]


def _stream(fleet: Fleet, prompt: str) -> bytes:
    """Return what a caller got; a cut answer raises."""
    entry = fleet.entries[len(prompt) % 2]
    return request_completion(fleet, entry, prompt, TOKENS).body


def _prompts(name: str) -> list[str]:
    return [f'{name} {"x" * number}' for number in range(STREAMS)]


def _connections(fleet: Fleet) -> list[int]:
    return [one.relay.connections for one in fleet.upstreams if one.relay]


@pytest.mark.parametrize('act', ['cut', 'silence'])
def test_stream_resumes_at_the_last_byte(streaming: Fleet, act: str) -> None:
    prompts = _prompts(act)
    with ThreadPoolExecutor(STREAMS) as pool:
        answers = pool.map(lambda one: _stream(streaming, one), prompts)
        _all_running(streaming, STREAMS)
        before = _connections(streaming)
        for one in streaming.upstreams:
            getattr(one.relay, act)()
        assert [_expected(prompt) for prompt in prompts] == list(answers)
    after = _connections(streaming)
    assert all(new > old for new, old in zip(after, before, strict=True))


def test_answer_of_a_killed_sidecar_is_visibly_cut(streaming: Fleet) -> None:
    prompts = _prompts('killed')
    with ThreadPoolExecutor(STREAMS) as pool:
        streams = [pool.submit(_stream, streaming, one) for one in prompts]
        _all_running(streaming, STREAMS)
        victims = streaming.of_service('redattore')
        for victim in victims:
            victim.sidecar.kill()
        errors = [stream.exception() for stream in streams]
    for victim in victims:
        victim.sidecar.restart()
    for entry in streaming.entries:
        streaming.wait_entry_ready(entry)
    assert all(isinstance(one, client.HTTPException) for one in errors)


def test_answer_of_a_cut_upstream_is_visibly_cut(streaming: Fleet) -> None:
    for one in streaming.of_service('redattore'):
        one.set_faults(cut_after_bytes=200)
    try:
        with pytest.raises(client.IncompleteRead):
            request_completion(streaming, streaming.entries[0], 'cut', TOKENS)
    finally:
        for one in streaming.of_service('redattore'):
            one.set_faults(cut_after_bytes=None)


def test_plain_answer_survives_a_lost_sidecar(streaming: Fleet) -> None:
    with ThreadPoolExecutor(1) as pool:
        answer = pool.submit(
            request_completion,
            streaming,
            streaming.entries[0],
            'tried twice',
            200,
            stream=False,
        )
        _all_running(streaming, 1)
        victim = _unfinished(streaming)[0]
        victim.sidecar.kill()
        found = answer.result()
    victim.sidecar.restart()
    for entry in streaming.entries:
        streaming.wait_entry_ready(entry)
    assert found.status == 200
    assert found.json()['upstream'] != victim.name


def test_caller_that_goes_frees_its_slot(streaming: Fleet) -> None:
    before = len(_unfinished(streaming))
    connection = client.HTTPConnection(
        streaming.entries[0].url.removeprefix('http://'),
    )
    body = (
        b'{"model":"redattore","prompt":"gone","max_tokens":9999,"stream":true}'
    )
    connection.request('POST', '/v1/completions', body, auth_headers(streaming))
    answer = connection.getresponse()
    assert answer.read(10)
    answer.close()
    connection.close()
    wait_until(lambda: _running_now(streaming) == 0, 10)
    assert len(_unfinished(streaming)) >= before


def _running_now(fleet: Fleet) -> int:
    status = fleet.status(fleet.entries[0])
    return sum(one['running'] for one in status['upstreams'])
