"""Do the main job on a local fleet and tell what happened.

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
_FILINGS = 6
_DRAFT_TOKENS = 24
_DELAY_MS = 3000
_TIMELINE_EVENTS = '60'
_LETTERS = (
    'Please send two cheque books to the tenants of via Roma 4.',
    'We need one cheque book for the pensioners of Bobbio.',
    'Is the address of the bowls club of Rivergaro still right?',
)


def main() -> None:
    """Run the tour; exit 1 if a promise did not hold."""
    began = time.monotonic()
    _say('Starting the fleet of Valtrebbia at its size of today.')
    with running_fleet(FleetPlan('valtrebbia')) as fleet:
        took = time.monotonic() - began
        _say(
            f'Ready after {took:.1f} s: {len(fleet.entries)} entries, '
            f'{len(fleet.upstreams)} upstreams, each with its sidecar.',
        )
        held = all(
            (
                _draft_letters(fleet),
                _file_orders(fleet),
                _repeat_a_filing(fleet),
                _lose_a_sidecar(fleet),
                _change_the_manifest(fleet),
            )
        )
        _show_timeline(fleet)
    _say('All processes have ended.')
    _say('Every promise held.' if held else 'A PROMISE DID NOT HOLD.')
    sys.exit(0 if held else 1)


def _say(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def _entry(fleet: Fleet, number: int) -> EntryProcess:
    return fleet.entries[number % len(fleet.entries)]


def _headers(fleet: Fleet, key: str = '') -> dict[str, str]:
    fields = {'Authorization': f'Bearer {fleet.token()}'}
    if key:
        fields['Idempotency-Key'] = key
    return fields


def _draft(fleet: Fleet, number: int) -> Response:
    order = {
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
        order,
        _headers(fleet),
    )


def _file(fleet: Fleet, key: str, number: int = 0) -> Response:
    return http_call(
        _entry(fleet, number).url,
        'POST',
        '/sportello/orders',
        {'books': 1, 'letter': _LETTERS[0]},
        _headers(fleet, key),
    )


def _draft_letters(fleet: Fleet) -> bool:
    with ThreadPoolExecutor(_DRAFTS) as pool:
        drafts = pool.map(lambda number: _draft(fleet, number), range(_DRAFTS))
        whole = [one.body.endswith(b'data: [DONE]\n\n') for one in drafts]
    _say(f'Drafts streamed whole: {sum(whole)} of {_DRAFTS}.')
    return all(whole)


def _file_orders(fleet: Fleet) -> bool:
    keys = [f'tour-{number}' for number in range(_FILINGS)]
    with ThreadPoolExecutor(_FILINGS) as pool:
        filed = pool.map(lambda key: _file(fleet, key), keys)
        statuses = [answer.status for answer in filed]
    _say(f'Filings answered: {statuses}.')
    return all(status == 200 for status in statuses)


def _repeat_a_filing(fleet: Fleet) -> bool:
    again = _file(fleet, 'tour-0', number=1)
    ran = _count_runs(fleet, 'tour-0')
    _say(
        'One filing repeated with its key at the other entry: '
        f'{again.status}, the same answer; it ran {ran} time(s).',
    )
    return again.status == 200 and ran == 1


def _count_runs(fleet: Fleet, key: str) -> int:
    return sum(run['key'] == key for run in fleet.runs('sportello'))


def _lose_a_sidecar(fleet: Fleet) -> bool:
    key = 'tour-lost'
    for one in fleet.upstreams_of('sportello'):
        one.set_faults(delay_ms=_DELAY_MS)
    with ThreadPoolExecutor(1) as pool:
        filing = pool.submit(_file, fleet, key)
        wait_until(lambda: _count_runs(fleet, key))
        victim = _running_upstream(fleet, key)
        victim.sidecar.kill()
        answer = _outcome(filing)
    victim.sidecar.restart()
    for one in fleet.upstreams_of('sportello'):
        one.set_faults(delay_ms=0)
    listed = fleet.run_command('lost', 'list').stdout.decode()
    _say(
        f'The sidecar of {victim.name} was killed during a filing: the caller '
        f'was told {answer.status}, outcome {answer.headers["x-outcome"]}. '
        f'The lost list:\n{listed}',
    )
    resolved = fleet.run_command(
        'lost',
        'resolve',
        f'organisation-01/{key}',
        'ran',
    )
    _say(f'An operator looked it up and resolved it: {_text(resolved.stdout)}')
    return key in listed and _count_runs(fleet, key) == 1


def _outcome(filing: Future[Response]) -> Response:
    return filing.result()


def _running_upstream(fleet: Fleet, key: str) -> UpstreamProcess:
    return next(
        one
        for one in fleet.upstreams_of('sportello')
        for run in http_call(one.url, 'GET', '/control/runs').json()
        if run['key'] == key
    )


def _change_the_manifest(fleet: Fleet) -> bool:
    manifest = fleet.manifest()
    manifest['limits'] = {'retry_share': 0.05}
    began = time.monotonic()
    published = fleet.publish(manifest)
    version = published.json()['version']
    wait_until(lambda: _in_force_everywhere(fleet, version))
    took = time.monotonic() - began
    _say(
        f'Manifest version {version} was accepted and is in force at every '
        f'entry and sidecar, {took:.1f} s after "publish" was typed.',
    )
    stale = fleet.publish(manifest, '--base', '1')
    _say(f'Another change from version 1: {stale.json()["reason"]}.')
    return published.status == 0 and stale.json()['state'] == 'refused'


def _in_force_everywhere(fleet: Fleet, version: int) -> bool:
    statuses = [fleet.status(entry) for entry in fleet.entries]
    return all(
        status
        and status['manifest_version'] == version
        and all(
            one['manifest_version'] == version for one in status['upstreams']
        )
        for status in statuses
    )


def _show_timeline(fleet: Fleet) -> None:
    shown = fleet.run_command('timeline', '--last', _TIMELINE_EVENTS)
    _say(f'The latest events of all processes:\n{_text(shown.stdout)}')


def _text(output: bytes) -> str:
    return output.decode().rstrip()


if __name__ == '__main__':
    main()
