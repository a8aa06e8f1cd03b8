"""Run the entry of this host with the platform's settings file."""

from __future__ import annotations

import os
import signal
import sys
import time
from functools import partial
from pathlib import Path

import trio

from ..clock import Clock, sleep
from ..direct.ports import WireFormat
from ..direct.service import DirectEntry
from ..direct.settings import DirectSettings
from ..exceptions import SettingError
from ..logs import (
    BoundedWriter,
    LogFormat,
    LogLevel,
    configure_logs,
    part_logger,
)
from ..looptimes import LoopTimes
from ..signals import LoopMonitor, on_stop_signal, receive_signals
from . import headers, records
from .ranks import HttpRank
from .settings import SETTINGS_VARIABLE, load_settings
from .store import PlatformStore

EXIT_SETTING = 2
#: Time in which the settings may become valid after a start, in seconds: the
#: file may be in the middle of being written.
SETTINGS_PATIENCE_S = 2.0
_SETTINGS_RETRY_S = 0.05
#: Time between two checks whether the settings file has changed, in ms.
SETTINGS_INTERVAL_MS = 1000.0
_log = part_logger('settings')
WIRE_FORMAT = WireFormat(
    configuration_key='config',
    evacuation_prefix='evacuate/',
    read_request=headers.read_request_metadata,
    request_headers=headers.build_request_headers,
    read_response=headers.read_response_metadata,
    response_headers=headers.filter_response_headers,
    refusal_headers=headers.build_refusal_headers,
    read_deployment=records.read_deployment,
    read_upstream=records.read_upstream,
)


def main() -> None:
    """Run until SIGTERM; exit with status 2 if the settings are not valid."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, ''))
    writer = BoundedWriter(sys.stdout.fileno())
    settings = _load_first(path)
    configure_logs(
        LogFormat.JSON,
        LogLevel.INFO,
        writer,
        process=settings.name,
    )
    entry = DirectEntry(
        settings,
        PlatformStore(settings.store),
        WIRE_FORMAT,
        partial(HttpRank, link_mbps=settings.link_mbps),
    )
    monitor = LoopTimes(entry.metrics, Clock())
    trio.run(partial(_run, entry, path, writer, monitor), instruments=[monitor])
    # Freeing all objects takes the interpreter 0.1 s and more on a busy host;
    # the kill at the end of the grace period may come before.
    os._exit(0)


def _load_first(path: Path) -> DirectSettings:
    """Return the settings; exit with status 2 if they stay invalid."""
    deadline = time.monotonic() + SETTINGS_PATIENCE_S
    while True:
        try:
            return load_settings(path)
        except SettingError as error:
            if time.monotonic() > deadline:
                sys.stderr.write(f'amaranthrail: {error}\n')
                sys.exit(EXIT_SETTING)
        time.sleep(_SETTINGS_RETRY_S)


async def _run(
    entry: DirectEntry,
    path: Path,
    writer: BoundedWriter,
    monitor: LoopMonitor,
) -> None:
    on_stop_signal(Clock(), monitor, entry.record_stop, entry.stop)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(writer.run)
        nursery.start_soon(_reload_on_signal, entry, path)
        nursery.start_soon(_watch_settings, entry, path)
        await entry.run()
        nursery.cancel_scope.cancel()
    writer.flush_now()


async def _reload_on_signal(entry: DirectEntry, path: Path) -> None:
    with receive_signals(signal.SIGHUP) as signals:
        async for _ in signals:
            _reload(entry, path)


async def _watch_settings(entry: DirectEntry, path: Path) -> None:
    """Reload the settings when the file changes, also without SIGHUP."""
    modified_at = _modified_at(path)
    while True:
        await sleep(SETTINGS_INTERVAL_MS)
        latest = _modified_at(path)
        if latest != modified_at:
            modified_at = latest
            _reload(entry, path)


def _modified_at(path: Path) -> float | None:
    try:
        return path.stat().st_mtime
    except OSError as error:
        _log.warning('settings file not found', cause=str(error))
        return None


def _reload(entry: DirectEntry, path: Path) -> None:
    try:
        settings = load_settings(path)
    except SettingError as error:
        _log.error('settings not reloaded', cause=str(error))
        return
    entry.apply_settings(settings)
