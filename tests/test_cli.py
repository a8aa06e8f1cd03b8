"""Test the ``amaranthrail`` commands against a running fleet."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from standins.calling import wait_until
from standins.fleet import Fleet


def _write_manifest(folder: Path, manifest: dict[str, Any]) -> str:
    file = folder / 'manifest.json'
    file.write_text(json.dumps(manifest))
    return str(file)


def _version_in_force(fleet: Fleet) -> int:
    completed = fleet.run_command('manifest', 'show')
    return int(completed.stdout.split()[1])


def test_publish_accepts_then_refuses_a_stale_base(
    fleet: Fleet,
    tmp_path: Path,
) -> None:
    base = _version_in_force(fleet)
    file = _write_manifest(tmp_path, fleet.manifest())
    flags = ('--base', str(base), '--json')
    accepted = fleet.run_command('manifest', 'publish', file, *flags)
    assert accepted.returncode == 0
    version = json.loads(accepted.stdout)['version']
    assert version > base
    refused = fleet.run_command(
        'manifest', 'publish', file, '--base', str(base)
    )
    assert refused.returncode == 3
    assert f'version {version} is in force' in refused.stdout.decode()


def test_check_reports_the_path_of_a_fault(
    fleet: Fleet, tmp_path: Path
) -> None:
    manifest = fleet.manifest()
    manifest['services'][0]['slots'] = 'many'
    completed = fleet.run_command(
        'manifest', 'check', _write_manifest(tmp_path, manifest)
    )
    assert completed.returncode == 3
    assert 'services.0.slots' in completed.stderr.decode()


def test_check_of_a_missing_file(fleet: Fleet) -> None:
    completed = fleet.run_command('manifest', 'check', 'nowhere.json')
    assert completed.returncode == 2
    assert 'nowhere.json' in completed.stderr.decode()


def test_diff_shows_changed_lines(fleet: Fleet, tmp_path: Path) -> None:
    manifest = fleet.manifest()
    same = fleet.run_command(
        'manifest', 'diff', _write_manifest(tmp_path, manifest)
    )
    assert (same.returncode, same.stdout) == (0, b'')
    manifest['limits'] = {'retry_share': 0.25}
    completed = fleet.run_command(
        'manifest', 'diff', _write_manifest(tmp_path, manifest)
    )
    assert completed.returncode == 1
    assert '+  "retry_share": 0.25' in completed.stdout.decode()


def test_unknown_publish_says_how_to_check_the_result(
    fleet: Fleet,
    tmp_path: Path,
) -> None:
    file = _write_manifest(tmp_path, fleet.manifest())
    fleet.set_platform_faults(log='down')
    try:
        completed = fleet.run_command('manifest', 'publish', file)
    finally:
        fleet.set_platform_faults(log='up')
    assert completed.returncode == 4
    assert 'manifest show' in completed.stdout.decode()


def test_drain_starts_and_ends(fleet: Fleet) -> None:
    drained = fleet.upstreams_of('sportello')[0]
    assert fleet.run_command('drain', drained.name).returncode == 0
    wait_until(lambda: not _takes_work(fleet, drained.name))
    assert fleet.run_command('drain', drained.name, '--end').returncode == 0
    wait_until(lambda: _takes_work(fleet, drained.name))


def _takes_work(fleet: Fleet, name: str) -> bool:
    return all(
        upstream['takes_work']
        for entry in fleet.entries
        for upstream in fleet.status(entry)['upstreams']
        if upstream['upstream'] == name
    )


def test_status_as_json(fleet: Fleet) -> None:
    completed = fleet.run_command('status', '--json')
    assert completed.returncode == 0
    assert [entry['ready'] for entry in json.loads(completed.stdout)] == [
        True,
        True,
    ]


def test_timeline_lists_causes_before_effects(fleet: Fleet) -> None:
    completed = fleet.run_command('timeline', '--json', '--last', '10000')
    events = json.loads(completed.stdout)
    started = {
        event['subject'] for event in events if event['name'] == 'run-started'
    }
    dispatched: set[str] = set()
    for event in events:
        if event['name'] == 'filing-dispatched':
            dispatched.add(event['subject'])
        if event['name'] == 'run-started':
            assert event['subject'] in dispatched
    assert started <= dispatched


@pytest.mark.parametrize(
    'command', [['lost', 'resolve', 'nobody/nothing', 'ran']]
)
def test_failure_is_reported_in_one_line(
    fleet: Fleet, command: list[str]
) -> None:
    completed = fleet.run_command(*command)
    assert completed.returncode == 1
    assert completed.stderr.count(b'\n') == 1
