"""Test which late calls a process accepts in its graceful shutdown.

The grace period counts from the moment SIGTERM is sent. A process that handles
the signal late has less time left, so it must not accept calls for longer.
"""

from __future__ import annotations

import itertools
import json
import re
import signal
from contextlib import suppress
from typing import NamedTuple

import pytest
import trio

from standins.platformfleet import (
    EntryProcess,
    PlatformFleet,
    make_configuration,
    platform_fleet,
)
from standins.replica import STREAM_EVENTS

GRACE_S = 8
#: A call sent later than this after SIGTERM must be answered, in seconds.
LAST_EXCUSED_S = 3
#: Replicas of each service: no call is refused because all slots are in use.
REPLICAS = 12
#: A whole stream takes 9.1 s, so that it lasts until after the kill.
EVENT_PAUSE_S = 1.3
PLAIN_PAUSE_S = 2.5
#: No stream may end by its timeout before the kill.
STREAM_TIMEOUT_MS = 30_000
#: Time from SIGTERM to the end of a stream that ends before the kill, and the
#: events that its caller has already. It is sent 2 s after SIGTERM.
STREAM_END_S = 7.2
HELD_EVENTS = 3
STREAM_SENT_S = STREAM_END_S - EVENT_PAUSE_S * (STREAM_EVENTS - HELD_EVENTS + 1)
REQUEST = (
    'GET {path} HTTP/1.1\r\nhost: h.example\r\nattempt-id: {path}\r\n'
    'authorization: Token key-1\r\nlast-event-id: {last_id}\r\n\r\n'
)
CONTENT_LENGTH = re.compile(rb'content-length: (\d+)', re.IGNORECASE)


class Call(NamedTuple):
    """Describe a call; ``at_s`` is the time from SIGTERM to its sending."""

    at_s: float
    path: str
    connection: str
    last_id: str = ''


class Result(NamedTuple):
    call: Call
    sent_s: float
    response: bytes
    has_run: bool


class Shutdown(NamedTuple):
    exit_code: int
    ended_s: float
    results: list[Result]


BORDER_CALLS = (
    # This stream keeps the process from ending before the other calls.
    Call(1, '/stream/first', 'new'),
    *(
        Call(at_s, f'/{route}/{connection}-{at_s}', connection)
        for at_s, route, connection in itertools.product(
            (2.7, 2.85, 2.95, 3.02, 3.1, 3.2, 3.3, 3.45, 3.7, 4),
            ('stream', 'read'),
            ('kept', 'unused', 'new'),
        )
    ),
)
ENDING_STREAM = (Call(STREAM_SENT_S, '/stream/end', 'new', str(HELD_EVENTS)),)
#: The time for which the process is stopped around SIGTERM, and the calls.
CASES = {
    'border': (0, BORDER_CALLS),
    'border, signal handled late': (0.5, BORDER_CALLS),
    'ending stream': (0, ENDING_STREAM),
    'ending stream, signal handled late': (0.5, ENDING_STREAM),
}


class Caller:
    """Make one call on a connection of its own."""

    def __init__(self, entry: EntryProcess, call: Call) -> None:
        self.call = call
        # Replicas are shared by the entries, so the path names the entry too.
        self.path = f'{call.path}-{entry.host}'
        self._host = entry.host
        self._stream: trio.SocketStream | None = None

    async def prepare(self) -> None:
        if self.call.connection != 'new':
            self._stream = await trio.open_tcp_stream(self._host, 8227)
        if self._stream is not None and self.call.connection == 'kept':
            await self._stream.send_all(_request('/read/first'))
            assert b' 200 ' in await self._stream.receive_some()

    async def send(self) -> bytes:
        """Return all that arrives until the connection ends."""
        received = bytearray()
        # The process may be killed.
        with suppress(OSError, trio.BrokenResourceError):
            stream = self._stream
            if stream is None:
                stream = await trio.open_tcp_stream(self._host, 8227)
            await stream.send_all(_request(self.path, self.call.last_id))
            async for part in stream:
                received.extend(part)
        return bytes(received)


def _request(path: str, last_id: str = '') -> bytes:
    return REQUEST.format(path=path, last_id=last_id).encode()


def _is_complete(response: bytes) -> bool:
    head, _, body = response.partition(b'\r\n\r\n')
    length = CONTENT_LENGTH.search(head)
    if length is not None:
        return len(body) == int(length[1])
    last_event = f'data: {STREAM_EVENTS}\n\n'.encode()
    return last_event in body and body.endswith(b'\r\n0\r\n\r\n')


async def _shut_down(
    fleet: PlatformFleet,
    entry: EntryProcess,
    callers: list[Caller],
    delay: float,
) -> Shutdown:
    results: list[Result] = []
    if delay:
        entry.send_signal(signal.SIGSTOP)
    signalled_at = trio.current_time()
    entry.send_signal(signal.SIGTERM)

    async def run(caller: Caller) -> None:
        await trio.sleep_until(signalled_at + caller.call.at_s)
        sent_s = trio.current_time() - signalled_at
        response = await caller.send()
        runs = (run for one in fleet.replicas.values() for run in one.executed)
        has_run = any(run.path == caller.path for run in runs)
        results.append(Result(caller.call, sent_s, response, has_run))

    async def kill_at_end() -> None:
        await trio.sleep_until(signalled_at + GRACE_S)
        entry.send_signal(signal.SIGKILL)

    async with trio.open_nursery() as nursery:
        for caller in callers:
            nursery.start_soon(run, caller)
        nursery.start_soon(kill_at_end)
        await trio.sleep(delay)
        entry.send_signal(signal.SIGCONT)
        exit_code = await entry.wait()
        ended_s = trio.current_time() - signalled_at
    return Shutdown(exit_code, ended_s, results)


async def _run_cases(fleet: PlatformFleet) -> dict[str, Shutdown]:
    """Run all cases at the same time, each with an entry of its own."""
    shutdowns: dict[str, Shutdown] = {}
    callers: dict[EntryProcess, list[Caller]] = {}
    for _, calls in CASES.values():
        entry = fleet.add_entry()
        await entry.until_ready()
        callers[entry] = [Caller(entry, call) for call in calls]
        for caller in callers[entry]:
            await caller.prepare()
    for name, replica in fleet.replicas.items():
        is_engine = name.startswith('engine')
        replica.pause_s = EVENT_PAUSE_S if is_engine else PLAIN_PAUSE_S

    async def run_case(name: str, entry: EntryProcess) -> None:
        delay_s = CASES[name][0]
        shutdowns[name] = await _shut_down(
            fleet, entry, callers[entry], delay_s
        )

    async with trio.open_nursery() as nursery:
        for name, entry in zip(CASES, callers, strict=True):
            nursery.start_soon(run_case, name, entry)
    return shutdowns


async def _run_fleet() -> dict[str, Shutdown]:
    content = json.loads(make_configuration(1))
    for route in content['routes']:
        if route['kind'] == 'streaming':
            route['timeout_ms'] = STREAM_TIMEOUT_MS
    with trio.fail_after(60):
        async with platform_fleet() as fleet:
            fleet.log.topic('keyed.op').put(
                'config', json.dumps(content).encode()
            )
            for service in ('engine', 'plain'):
                for number in range(REPLICAS):
                    await fleet.add_replica(f'{service}-{number}', service)
            return await _run_cases(fleet)


@pytest.fixture(scope='module')
def shutdowns() -> dict[str, Shutdown]:
    return trio.run(_run_fleet)


@pytest.mark.parametrize('case', CASES)
def test_no_call_sent_past_the_border_is_lost(
    case: str, shutdowns: dict[str, Shutdown]
) -> None:
    """Guards against calls that are accepted late and cut off by the kill."""
    results = shutdowns[case].results
    lost = [
        result
        for result in results
        if result.sent_s > LAST_EXCUSED_S
        and result.has_run
        and not _is_complete(result.response)
    ]
    assert not lost
    # Where no call was accepted, none could be lost.
    assert any(b' 200 ' in result.response for result in results)


@pytest.mark.parametrize('case', [name for name in CASES if 'ending' in name])
def test_a_process_ends_itself_after_a_late_stream(
    case: str, shutdowns: dict[str, Shutdown]
) -> None:
    """Guards against streams that are cut off though they end in time."""
    shutdown = shutdowns[case]
    (stream,) = shutdown.results
    assert _is_complete(stream.response), stream
    assert shutdown.exit_code == 0, shutdown
    assert STREAM_END_S < shutdown.ended_s < GRACE_S
