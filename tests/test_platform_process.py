"""Test the entry as a process against stand-ins of the platform."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
import trio

from standins.platformfleet import (
    EntryProcess,
    PlatformFleet,
    make_configuration,
    platform_fleet,
)

from .platformbench import wait_until

#: Time between two stop signals, in seconds.
RESEND_S = 0.0005


def run_with_fleet(
    scenario: Callable[[PlatformFleet, EntryProcess], Awaitable[None]],
) -> None:
    async def main() -> None:
        with trio.fail_after(60):
            async with platform_fleet() as fleet:
                await fleet.add_replica('e1', 'engine')
                await fleet.add_replica('p1', 'plain')
                entry = fleet.add_entry()
                await entry.until_ready()
                await scenario(fleet, entry)

    trio.run(main)


def test_a_stream_completes_during_graceful_shutdown() -> None:
    async def scenario(fleet: PlatformFleet, entry: EntryProcess) -> None:
        fleet.replicas['e1'].pause_s = 0.2
        async with trio.open_nursery() as nursery:

            async def stop() -> None:
                await wait_until(lambda: bool(fleet.replicas['e1'].executed))
                entry.send_signal(signal.SIGTERM)

            nursery.start_soon(stop)
            response = await entry.call('POST', '/stream/1', 'a1')
        assert (response.status, response.body.count(b'\n\n')) == (200, 6)
        assert await entry.wait() == 0
        lines = [json.loads(line) for line in entry.log_text().splitlines()]
        events = [line['event'] for line in lines]
        assert (events[0], events[-1]) == ('entry: started', 'entry: ended')
        call_line = lines[events.index('call: answered')]
        assert call_line['request'] == 'a1'

    run_with_fleet(scenario)


def test_stop_signals_sent_again_do_not_end_a_shutdown() -> None:
    """Guards against an end by the signal and without the last log lines.

    A SIGTERM that came as the entry had finished met the default handler.
    """

    async def scenario(_fleet: PlatformFleet, entry: EntryProcess) -> None:
        statuses: list[int] = []

        async def wait() -> None:
            statuses.append(await entry.wait())

        async with trio.open_nursery() as nursery:
            nursery.start_soon(wait)
            while not statuses:
                entry.send_signal(signal.SIGTERM)
                await trio.sleep(RESEND_S)
        assert statuses == [0]
        last_line = entry.log_text().splitlines()[-1]
        assert json.loads(last_line)['event'] == 'entry: ended'

    run_with_fleet(scenario)


@pytest.mark.parametrize('signalled', [True, False])
def test_changed_settings_are_reloaded(*, signalled: bool) -> None:
    async def scenario(fleet: PlatformFleet, entry: EntryProcess) -> None:
        # Modification times are only as precise as the file system's clock.
        await trio.sleep(0.05)
        added = 'bounds.retry_budget_slack=5\n'
        entry.change_settings(fleet.settings(entry) + added)
        if signalled:
            entry.send_signal(signal.SIGHUP)
        await wait_until(lambda: 'settings reloaded' in entry.log_text())
        entry.change_settings('node_name=')
        await wait_until(lambda: 'settings not reloaded' in entry.log_text())
        assert (await entry.call('GET', '/read/1', 'a1')).status == 200

    run_with_fleet(scenario)


def test_a_killed_entry_serves_again_after_a_restart() -> None:
    async def scenario(fleet: PlatformFleet, entry: EntryProcess) -> None:
        fleet.log.topic('keyed.op').put('config', make_configuration(7))
        entry.send_signal(signal.SIGKILL)
        await entry.wait()
        entry.start(fleet.settings(entry))
        await entry.until_ready()
        await wait_until(lambda: '"version": 7' in entry.log_text())
        assert (await entry.call('GET', '/read/1', 'a1')).status == 200

    run_with_fleet(scenario)


def test_invalid_settings_exit_with_a_one_line_error(tmp_path: Path) -> None:
    path = tmp_path / 'settings.conf'
    path.write_text('node_name=entry-1\nip=127.0.0.1\n')
    completed = subprocess.run(
        [sys.executable, '-m', 'amaranthrail.platform'],
        env={**os.environ, 'AMARANTHRAIL_CONFIG': str(path)},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert completed.returncode == 2
    assert completed.stderr.startswith(
        "amaranthrail: setting internal_ports is ''"
    )
    assert completed.stderr.count('\n') == 1


_SIGHUP_DURING_START = """
import os, runpy, signal, sys, types

def main():
    os.kill(os.getpid(), signal.SIGHUP)

program = types.ModuleType('program')
program.main = main
sys.modules['amaranthrail.platform.program'] = program
runpy.run_module('amaranthrail.platform', run_name='__main__')
"""


def test_sighup_during_start_does_not_end_the_process() -> None:
    """Guard against a death at the start, seen with soak seed 7013.

    The settings changed while an entry started again, and the SIGHUP for them
    came before the program handled it.
    """
    completed = subprocess.run(
        [sys.executable, '-c', _SIGHUP_DURING_START],
        check=False,
    )
    assert completed.returncode == 0


_PRINT_MODULES = """
import sys
import amaranthrail.platform.program
print(' '.join(sys.modules))
"""


@pytest.mark.parametrize(
    'library',
    ['prometheus_client', 'http.server', 'pydantic', 'typer'],
)
def test_the_entry_does_not_import_unused_libraries(library: str) -> None:
    """Guard against slow starts.

    After a loss of all entries, callers reach none until one has started.
    """
    completed = subprocess.run(
        [sys.executable, '-S', '-c', _PRINT_MODULES],
        env={**os.environ, 'PYTHONPATH': os.pathsep.join(sys.path)},
        capture_output=True,
        text=True,
        check=True,
    )
    assert library not in completed.stdout.split()
