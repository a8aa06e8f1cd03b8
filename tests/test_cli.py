"""Operate a fleet with the command line."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from standins.calling import wait_until
from standins.fleet import Fleet


def _write(path: Path, manifest: dict[str, Any]) -> str:
    file = path / 'manifest.json'
    file.write_text(json.dumps(manifest))
    return str(file)


def _in_force(fleet: Fleet) -> int:
    shown = fleet.command('manifest', 'show')
    return int(shown.stdout.split()[1])


def test_publish_accepts_then_refuses_a_stale_base(
    fleet: Fleet,
    tmp_path: Path,
) -> None:
    base = _in_force(fleet)
    file = _write(tmp_path, fleet.manifest())
    flags = ('--base', str(base), '--json')
    accepted = fleet.command('manifest', 'publish', file, *flags)
    assert accepted.returncode == 0
    version = json.loads(accepted.stdout)['version']
    assert version > base
    refused = fleet.command('manifest', 'publish', file, '--base', str(base))
    assert refused.returncode == 3
    assert f'version {version} is in force' in refused.stdout.decode()


def test_check_names_the_fault(fleet: Fleet, tmp_path: Path) -> None:
    manifest = fleet.manifest()
    manifest['services'][0]['slots'] = 'many'
    found = fleet.command('manifest', 'check', _write(tmp_path, manifest))
    assert found.returncode == 3
    assert 'services.0.slots' in found.stderr.decode()


def test_check_of_a_missing_file(fleet: Fleet) -> None:
    found = fleet.command('manifest', 'check', 'nowhere.json')
    assert found.returncode == 2
    assert 'nowhere.json' in found.stderr.decode()


def test_diff_tells_what_differs(fleet: Fleet, tmp_path: Path) -> None:
    manifest = fleet.manifest()
    same = fleet.command('manifest', 'diff', _write(tmp_path, manifest))
    assert (same.returncode, same.stdout) == (0, b'')
    manifest['limits'] = {'retry_share': 0.25}
    found = fleet.command('manifest', 'diff', _write(tmp_path, manifest))
    assert found.returncode == 1
    assert '+  "retry_share": 0.25' in found.stdout.decode()


def test_unknown_publish_tells_how_to_ask_again(
    fleet: Fleet,
    tmp_path: Path,
) -> None:
    file = _write(tmp_path, fleet.manifest())
    fleet.fault_platform(log='down')
    try:
        found = fleet.command('manifest', 'publish', file)
    finally:
        fleet.fault_platform(log='up')
    assert found.returncode == 4
    assert 'manifest show' in found.stdout.decode()


def test_drain_and_its_end(fleet: Fleet) -> None:
    victim = fleet.of_service('sportello')[0]
    assert fleet.command('drain', victim.name).returncode == 0
    wait_until(lambda: not _takes_work(fleet, victim.name))
    assert fleet.command('drain', victim.name, '--end').returncode == 0
    wait_until(lambda: _takes_work(fleet, victim.name))


def _takes_work(fleet: Fleet, name: str) -> bool:
    return all(
        upstream['takes_work']
        for entry in fleet.entries
        for upstream in fleet.status(entry)['upstreams']
        if upstream['upstream'] == name
    )


def test_status_json_is_for_programs(fleet: Fleet) -> None:
    found = fleet.command('status', '--json')
    assert found.returncode == 0
    assert [one['ready'] for one in json.loads(found.stdout)] == [True, True]


def test_timeline_puts_causes_first(fleet: Fleet) -> None:
    found = fleet.command('timeline', '--json', '--last', '10000')
    events = json.loads(found.stdout)
    starts = {one['subject'] for one in events if one['name'] == 'run-started'}
    seen: set[str] = set()
    for event in events:
        if event['name'] == 'filing-dispatched':
            seen.add(event['subject'])
        if event['name'] == 'run-started':
            assert event['subject'] in seen
    assert starts <= seen


@pytest.mark.parametrize(
    'command', [['lost', 'resolve', 'nobody/nothing', 'ran']]
)
def test_failure_is_told_in_one_line(fleet: Fleet, command: list[str]) -> None:
    found = fleet.command(*command)
    assert found.returncode == 1
    assert found.stderr.count(b'\n') == 1
