"""Demonstrate the main functions on a local fleet and check their results.

Run as ``python -m standins.tour``, or ``make run``.
"""

from __future__ import annotations

import sys
import time
from concurrent.futures import Future, ThreadPoolExecutor

from .calling import Response, http_call, wait_until
from .fleet import Fleet, running_fleet
from .launch import EntryProcess, FleetPlan, UpstreamProcess

_DRAFTS = 12
_ORDERS = 6
_DRAFT_TOKENS = 24
_UPSTREAM_DELAY_MS = 3000
_TIMELINE_EVENTS = '60'
_LETTERS = (
    'Please send two cheque books to the tenants of via Roma 4.',
    'We need one cheque book for the pensioners of Bobbio.',
    'Is the address of the bowls club of Rivergaro still right?',
)


def main() -> None:
    """Run all checks; exit with 1 if one has failed."""
    started_at = time.monotonic()
    _print('Starting the Valtrebbia fleet at its present size.')
    with running_fleet(FleetPlan('valtrebbia')) as fleet:
        elapsed_s = time.monotonic() - started_at
        _print(
            f'Ready after {elapsed_s:.1f} s: {len(fleet.entries)} entries, '
            f'{len(fleet.upstreams)} upstreams, each with its sidecar.',
        )
        passed = all(
            (
                _stream_drafts(fleet),
                _send_orders(fleet),
                _retry_at_other_entry(fleet),
                _kill_sidecar(fleet),
                _publish_manifest(fleet),
            )
        )
        _show_timeline(fleet)
    _print('All processes have exited.')
    _print('All checks passed.' if passed else 'A CHECK FAILED.')
    sys.exit(0 if passed else 1)


def _print(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def _entry(fleet: Fleet, number: int) -> EntryProcess:
    return fleet.entries[number % len(fleet.entries)]


def _headers(fleet: Fleet, key: str = '') -> dict[str, str]:
    fields = {'Authorization': f'Bearer {fleet.token()}'}
    if key:
        fields['Idempotency-Key'] = key
    return fields


def _request_draft(fleet: Fleet, number: int) -> Response:
    content = {
        'model': fleet.deployment.model,
        'messages': [
            {'role': 'user', 'content': _LETTERS[number % len(_LETTERS)]},
        ],
        'max_tokens': _DRAFT_TOKENS,
        'stream': True,
    }
    return http_call(
        _entry(fleet, number).url,
        'POST',
        '/v1/chat/completions',
        content,
        _headers(fleet),
    )


def _send_order(fleet: Fleet, key: str, number: int = 0) -> Response:
    return http_call(
        _entry(fleet, number).url,
        'POST',
        '/sportello/orders',
        {'books': 1, 'letter': _LETTERS[0]},
        _headers(fleet, key),
    )


def _stream_drafts(fleet: Fleet) -> bool:
    with ThreadPoolExecutor(_DRAFTS) as pool:
        drafts = pool.map(
            lambda number: _request_draft(fleet, number), range(_DRAFTS)
        )
        complete = [
            draft.body.endswith(b'data: [DONE]\n\n') for draft in drafts
        ]
    _print(f'Drafts streamed completely: {sum(complete)} of {_DRAFTS}.')
    return all(complete)


def _send_orders(fleet: Fleet) -> bool:
    keys = [f'tour-{number}' for number in range(_ORDERS)]
    with ThreadPoolExecutor(_ORDERS) as pool:
        responses = pool.map(lambda key: _send_order(fleet, key), keys)
        statuses = [response.status for response in responses]
    _print(f'Keyed requests got statuses {statuses}.')
    return all(status == 200 for status in statuses)


def _retry_at_other_entry(fleet: Fleet) -> bool:
    retry = _send_order(fleet, 'tour-0', number=1)
    runs = _count_runs(fleet, 'tour-0')
    _print(
        'One keyed request retried with its key at the other entry: '
        f'status {retry.status}; it ran {runs} time(s).',
    )
    return retry.status == 200 and runs == 1


def _count_runs(fleet: Fleet, key: str) -> int:
    return sum(run['key'] == key for run in fleet.runs('sportello'))


def _kill_sidecar(fleet: Fleet) -> bool:
    key = 'tour-lost'
    for upstream in fleet.upstreams_of('sportello'):
        upstream.set_faults(delay_ms=_UPSTREAM_DELAY_MS)
    with ThreadPoolExecutor(1) as pool:
        order = pool.submit(_send_order, fleet, key)
        wait_until(lambda: _count_runs(fleet, key))
        victim = _upstream_of_run(fleet, key)
        victim.sidecar.kill()
        response = _wait_response(order)
    victim.sidecar.restart()
    for upstream in fleet.upstreams_of('sportello'):
        upstream.set_faults(delay_ms=0)
    listed = fleet.run_command('lost', 'list').stdout.decode()
    _print(
        f'The sidecar of {victim.name} was killed during a keyed request: the '
        f'caller got {response.status}, outcome '
        f'{response.headers["x-outcome"]}. The lost list:\n{listed}',
    )
    resolved = fleet.run_command(
        'lost',
        'resolve',
        f'organisation-01/{key}',
        'ran',
    )
    _print(f'An operator resolved it as ran: {_text(resolved.stdout)}')
    return key in listed and _count_runs(fleet, key) == 1


def _wait_response(order: Future[Response]) -> Response:
    return order.result()


def _upstream_of_run(fleet: Fleet, key: str) -> UpstreamProcess:
    return next(
        upstream
        for upstream in fleet.upstreams_of('sportello')
        for run in http_call(upstream.url, 'GET', '/control/runs').json()
        if run['key'] == key
    )


def _publish_manifest(fleet: Fleet) -> bool:
    manifest = fleet.manifest()
    manifest['limits'] = {'retry_share': 0.05}
    started_at = time.monotonic()
    published = fleet.publish(manifest)
    version = published.json()['version']
    wait_until(lambda: _in_force_everywhere(fleet, version))
    elapsed_s = time.monotonic() - started_at
    _print(
        f'Manifest version {version} was accepted and is in force at every '
        f'entry and sidecar, {elapsed_s:.1f} s after "publish" was run.',
    )
    stale = fleet.publish(manifest, '--base', '1')
    _print(f'Result of a change based on version 1: {stale.json()["reason"]}.')
    return published.status == 0 and stale.json()['state'] == 'refused'


def _in_force_everywhere(fleet: Fleet, version: int) -> bool:
    statuses = [fleet.status(entry) for entry in fleet.entries]
    return all(
        status
        and status['manifest_version'] == version
        and all(
            upstream['manifest_version'] == version
            for upstream in status['upstreams']
        )
        for status in statuses
    )


def _show_timeline(fleet: Fleet) -> None:
    shown = fleet.run_command('timeline', '--last', _TIMELINE_EVENTS)
    _print(
        f'The latest timeline events of all processes:\n{_text(shown.stdout)}'
    )


def _text(output: bytes) -> str:
    return output.decode().rstrip()


if __name__ == '__main__':
    main()
