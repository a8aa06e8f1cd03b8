"""Measure how long sound calls wait while others send in small parts.

For each form of responses and requests: one entry as a process, several
connections that send in that form at the rate of a link, and calls to another,
sound service, with the readiness probe beside them. The first figures are the
processor time of sound streams and of plain calls alone.
"""

from __future__ import annotations

import itertools
import json
import os
import re
import time
from pathlib import Path
from typing import Any

import trio

from amaranthrail.adapters.httpclient import Address, HttpClient
from amaranthrail.exceptions import HttpError
from standins.platformfleet import (
    EntryProcess,
    PlatformFleet,
    platform_fleet,
)
from standins.smallparts import (
    FORMS,
    REQUESTS,
    SmallPartsUpstream,
    send_requests,
)

from . import report
from .load import quantile

#: Connections that send in small parts, and for how long, in seconds.
SENDERS = 4
RUN_S = 6.0
#: Time between two sound calls, and between two probes, in seconds.
CALL_INTERVAL_S = 0.1
#: Time after which a call counts as unanswered, in seconds.
LATE_S = 1.5
_SOUND_CALLS = 400
_LONG_STEP = 'step held the event loop'
_METRICS_PORT = 7341
_COUNTER = re.compile(
    r'^amaranthrail_(input_turns|loop_long_steps_total) (\S+)$', re.M
)


def main(seed: int, file: Path | None, plot: Path | None) -> None:
    """Measure all forms, or those that SMALL_PARTS_FORMS names."""
    del seed, plot
    pattern = re.compile(os.environ.get('SMALL_PARTS_FORMS', ''))
    senders = int(os.environ.get('SMALL_PARTS_SENDERS', SENDERS))
    found: dict[str, dict[str, Any]] = {}
    if pattern.search('sound'):
        found['sound'] = trio.run(_measure_sound)
    for kind in (*FORMS, *REQUESTS):
        if pattern.search(kind):
            found[kind] = trio.run(_measure, kind, senders)
    report.show('smallparts', found, file)


async def _measure_sound() -> dict[str, Any]:
    """Return the processor time of a plain call and of a stream, in ms."""
    async with platform_fleet() as fleet:
        await fleet.add_replica('p1', 'plain')
        await fleet.add_replica('e1', 'engine')
        entry = fleet.add_entry()
        await entry.until_ready()
        found: dict[str, Any] = {}
        for path in ('/read/1', '/stream/1', '/read/1', '/stream/1'):
            began_ms = _processor_ms(entry.pid)
            for number in range(_SOUND_CALLS):
                await entry.call('GET', path, f'{path}-{number}')
            used_ms = _processor_ms(entry.pid) - began_ms
            name = f'{path} processor ms'
            found[name] = report.rounded(used_ms / _SOUND_CALLS)
    return found


async def _measure(kind: str, senders: int) -> dict[str, Any]:
    waits: dict[str, list[float]] = {'call': [], 'probe': []}
    async with platform_fleet() as fleet, trio.open_nursery() as nursery:
        for name in ('p1', 'p2'):
            await fleet.add_replica(name, 'plain')
        faulty = await _add_faulty(fleet, nursery, kind)
        entry = fleet.add_entry()
        await entry.until_ready()
        for number in range(senders):
            nursery.start_soon(_disturb, entry, kind, number)
        began_ms = _processor_ms(entry.pid)
        async with trio.open_nursery() as callers:
            for regular in waits.items():
                callers.start_soon(_call_regularly, entry, *regular)
            await trio.sleep(RUN_S)
            callers.cancel_scope.cancel()
        used_ms = _processor_ms(entry.pid) - began_ms
        counters = await _read_counters(entry)
        long_steps = _long_steps(entry.log_text())
        nursery.cancel_scope.cancel()
    answers = [*waits['call'], *waits['probe']]
    return {
        'p50 ms': report.rounded(quantile(answers, 0.5)),
        'max ms': report.rounded(max(answers)),
        'late': sum(wait >= LATE_S * 1000 for wait in answers),
        'calls': len(answers),
        'processor': report.rounded(used_ms / RUN_S / 1000),
        'received': len(faulty.calls),
        'long steps': long_steps,
        **counters,
    }


async def _add_faulty(
    fleet: PlatformFleet, nursery: trio.Nursery, kind: str
) -> SmallPartsUpstream:
    """Start two upstreams of the service that is not called soundly."""
    faulty = SmallPartsUpstream(FORMS.get(kind))
    for name in ('e1', 'e2'):
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        nursery.start_soon(trio.serve_listeners, faulty.serve, listeners)
        port = listeners[0].socket.getsockname()[1]
        address = f'127.0.0.1:{port}'
        fleet.write_replica_record(name, 'engine', address=address)
    return faulty


async def _disturb(entry: EntryProcess, kind: str, number: int) -> None:
    """Send requests in small parts, or calls whose responses are."""
    if kind in REQUESTS:
        await send_requests(entry.host, Address(entry.host, 8227).port, kind)
        return
    # The route decides whether the entry relays events or reads a whole body.
    path = '/stream/1' if kind.startswith('stream') else '/whole/1'
    for attempt in itertools.count():
        client = HttpClient(Address(entry.host, 8227))
        headers = (
            ('host', 'h.example'),
            ('attempt-id', f'disturb-{number}-{attempt}'),
            ('authorization', 'Token key-1'),
            ('deadline-remaining-ms', '3000'),
        )
        try:
            with trio.move_on_after(4):
                await client.call('GET', path, headers)
        except HttpError:
            await trio.sleep(0.01)


async def _call_regularly(
    entry: EntryProcess, part: str, waits: list[float]
) -> None:
    async with trio.open_nursery() as nursery:
        for number in itertools.count():
            nursery.start_soon(_call_once, entry, part, number, waits)
            await trio.sleep(CALL_INTERVAL_S)


async def _call_once(
    entry: EntryProcess, part: str, number: int, waits: list[float]
) -> None:
    began_at = time.monotonic()
    with trio.move_on_after(LATE_S):
        if part == 'probe':
            probe = HttpClient(Address(entry.host, 8220))
            await probe.call('GET', '/')
        else:
            await entry.call('GET', '/read/1', f'sound-{number}')
    # Calls that the end of the run cuts off are not counted.
    waits.append((time.monotonic() - began_at) * 1000)


def _processor_ms(pid: int) -> float:
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(') ')[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return 1000 * ticks / os.sysconf('SC_CLK_TCK')


def _long_steps(log: str) -> list[str]:
    """Return duration, task and connection of the long steps in a log."""
    lines = [
        json.loads(line) for line in log.splitlines() if _LONG_STEP in line
    ]
    return [
        f'{line["step_ms"]} ms, {line["task"]}, {line["work"]}'
        for line in lines
    ]


async def _read_counters(entry: EntryProcess) -> dict[str, float]:
    client = HttpClient(Address(entry.host, _METRICS_PORT))
    response = await client.call('GET', '/metrics')
    return {
        name: float(count)
        for name, count in _COUNTER.findall(response.body.decode())
    }
