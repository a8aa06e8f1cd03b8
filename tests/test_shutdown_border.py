"""Test which late calls a process accepts in its graceful shutdown.

The grace period counts from the moment SIGTERM is sent. A process that handles
the signal late has less time left, so it must not accept calls for longer.
"""

from __future__ import annotations

import itertools
import json
import signal
from typing import NamedTuple

import h11
import pytest
import trio

from amaranthrail.adapters.httpclient import (
    MAX_RESPONSE_BYTES,
    HttpExchange,
    HttpResponse,
    ResponseLimit,
)
from amaranthrail.exceptions import HttpError
from standins.platformfleet import (
    EntryProcess,
    PlatformFleet,
    make_configuration,
    platform_fleet,
)
from standins.replica import STREAM_EVENTS

_GRACE_S = 8
#: A call sent later than this after SIGTERM must be answered, in seconds.
_LAST_EXCUSED_S = 3
#: Replicas of each service. Each states 6 slots, and no call of a test may be
#: refused because all slots are in use.
_REPLICAS = 12
#: A whole stream takes 9.1 s, so that it lasts until after the kill.
_EVENT_PAUSE_S = 1.3
_PLAIN_PAUSE_S = 2.5
#: No stream may end by its timeout before the kill.
_STREAM_TIMEOUT_MS = 30_000
#: Time from SIGTERM to the end of a stream that ends before the kill.
_STREAM_END_S = 7.2
#: Events that the caller of this stream has already.
_HELD_EVENTS = 3
#: Without it a stream is not complete, even if its response has an end.
_LAST_EVENT = f'data: {STREAM_EVENTS}\n\n'.encode()
#: This is 2 s after SIGTERM, as an entry without calls ends after 2.6 s.
_STREAM_SENT_S = _STREAM_END_S - _EVENT_PAUSE_S * (
    STREAM_EVENTS - _HELD_EVENTS + 1
)


class _Call(NamedTuple):
    """Describe a call; ``at_s`` is the time from SIGTERM to its sending."""

    at_s: float
    path: str
    connection: str
    held_events: int = 0


class _Result(NamedTuple):
    call: _Call
    sent_s: float
    ended_s: float
    end: str
    is_complete: bool
    has_run: bool


class _Shutdown(NamedTuple):
    exit_code: int
    ended_s: float
    results: list[_Result]


class _Case(NamedTuple):
    """Set the time for which the process is stopped around SIGTERM."""

    delay_s: float
    calls: tuple[_Call, ...]


_BORDER_CALLS = (
    # This stream keeps the process from ending before the other calls.
    _Call(1, '/stream/first', 'new'),
    *(
        _Call(at_s, f'/{route}/{connection}-{at_s}', connection)
        for at_s, route, connection in itertools.product(
            (2.7, 2.85, 2.95, 3.02, 3.1, 3.2, 3.3, 3.45, 3.7, 4),
            ('stream', 'read'),
            ('kept', 'unused', 'new'),
        )
    ),
)
_ENDING_STREAM = (_Call(_STREAM_SENT_S, '/stream/ending', 'new', _HELD_EVENTS),)
_CASES = {
    'border': _Case(0, _BORDER_CALLS),
    'border, signal handled late': _Case(0.5, _BORDER_CALLS),
    'ending stream': _Case(0, _ENDING_STREAM),
    'ending stream, signal handled late': _Case(0.5, _ENDING_STREAM),
}


class _Caller:
    """Make one call on a connection of its own."""

    def __init__(self, entry: EntryProcess, call: _Call) -> None:
        self._host = entry.host
        self._call = call
        # Replicas are shared by the entries, so the path names the entry too.
        self._path = f'{call.path}-{entry.host}'
        self._parser = h11.Connection(h11.CLIENT)
        self._stream: trio.SocketStream | None = None

    async def prepare(self) -> None:
        if self._call.connection == 'unused':
            await self._connect()
        if self._call.connection == 'kept':
            assert (await self._send('/read/first')).status == 200
            self._parser.start_next_cycle()

    async def run(self, fleet: PlatformFleet, signalled_at: float) -> _Result:
        await trio.sleep_until(signalled_at + self._call.at_s)
        sent_s = trio.current_time() - signalled_at
        is_complete = False
        try:
            response = await self._send(self._path)
        except (HttpError, OSError, trio.BrokenResourceError) as error:
            end = repr(error)
        else:
            end = str(response.status)
            is_complete = _is_complete(self._call, response)
        has_run = any(
            request.path == self._path
            for replica in fleet.replicas.values()
            for request in replica.executed
        )
        ended_s = trio.current_time() - signalled_at
        return _Result(self._call, sent_s, ended_s, end, is_complete, has_run)

    async def _connect(self) -> trio.SocketStream:
        if self._stream is None:
            self._stream = await trio.open_tcp_stream(self._host, 8227)
        return self._stream

    async def _send(self, path: str) -> HttpResponse:
        headers = [
            ('host', 'h.example'),
            ('attempt-id', path),
            ('authorization', 'Token key-1'),
        ]
        if self._call.held_events:
            headers.append(('last-event-id', str(self._call.held_events)))
        stream = await self._connect()
        request = h11.Request(method='GET', target=path, headers=headers)
        head = self._parser.send(request) or b''
        self._parser.send(h11.EndOfMessage())
        await stream.send_all(head)
        exchange = HttpExchange(
            self._parser, stream, ResponseLimit(MAX_RESPONSE_BYTES)
        )
        await exchange.read_head()
        body = await exchange.read_body()
        return HttpResponse(exchange.status, exchange.headers, body)


def _is_complete(call: _Call, response: HttpResponse) -> bool:
    """Tell whether a response that has an end lacks no event."""
    if response.status != 200 or call.path.startswith('/read/'):
        return True
    return response.body.endswith(_LAST_EVENT)


async def _shut_down(
    fleet: PlatformFleet,
    entry: EntryProcess,
    callers: list[_Caller],
    delay_s: float,
) -> _Shutdown:
    results: list[_Result] = []
    if delay_s:
        entry.send_signal(signal.SIGSTOP)
    signalled_at = trio.current_time()
    entry.send_signal(signal.SIGTERM)

    async def run_caller(caller: _Caller) -> None:
        results.append(await caller.run(fleet, signalled_at))

    async def kill_at_end() -> None:
        await trio.sleep_until(signalled_at + _GRACE_S)
        entry.send_signal(signal.SIGKILL)

    async with trio.open_nursery() as nursery:
        for caller in callers:
            nursery.start_soon(run_caller, caller)
        nursery.start_soon(kill_at_end)
        await trio.sleep(delay_s)
        entry.send_signal(signal.SIGCONT)
        exit_code = await entry.wait()
        ended_s = trio.current_time() - signalled_at
    return _Shutdown(exit_code, ended_s, sorted(results))


def _make_configuration() -> bytes:
    content = json.loads(make_configuration(1))
    for route in content['routes']:
        if route['kind'] == 'streaming':
            route['timeout_ms'] = _STREAM_TIMEOUT_MS
    return json.dumps(content).encode()


async def _prepare_callers(
    entry: EntryProcess, calls: tuple[_Call, ...]
) -> list[_Caller]:
    await entry.until_ready()
    callers = [_Caller(entry, call) for call in calls]
    for caller in callers:
        await caller.prepare()
    return callers


async def _run_cases(fleet: PlatformFleet) -> dict[str, _Shutdown]:
    """Run all cases at the same time, each with an entry of its own."""
    shutdowns: dict[str, _Shutdown] = {}
    entries = {name: fleet.add_entry() for name in _CASES}
    callers = {
        name: await _prepare_callers(entry, _CASES[name].calls)
        for name, entry in entries.items()
    }
    for name, replica in fleet.replicas.items():
        is_engine = name.startswith('engine')
        replica.pause_s = _EVENT_PAUSE_S if is_engine else _PLAIN_PAUSE_S

    async def run_case(name: str) -> None:
        shutdowns[name] = await _shut_down(
            fleet, entries[name], callers[name], _CASES[name].delay_s
        )

    async with trio.open_nursery() as nursery:
        for name in _CASES:
            nursery.start_soon(run_case, name)
    return shutdowns


async def _run_fleet() -> dict[str, _Shutdown]:
    with trio.fail_after(60):
        async with platform_fleet() as fleet:
            fleet.log.topic('keyed.op').put('config', _make_configuration())
            for service, number in itertools.product(
                ('engine', 'plain'), range(_REPLICAS)
            ):
                await fleet.add_replica(f'{service}-{number}', service)
            return await _run_cases(fleet)


@pytest.fixture(scope='module')
def shutdowns() -> dict[str, _Shutdown]:
    return trio.run(_run_fleet)


@pytest.mark.parametrize('case', _CASES)
def test_no_call_sent_past_the_border_is_lost(
    case: str, shutdowns: dict[str, _Shutdown]
) -> None:
    """Guard against calls that are accepted late and cut off by the kill."""
    results = shutdowns[case].results
    lost = [
        f'{result.call.path} sent at {result.sent_s:.3f} s, '
        f'ended at {result.ended_s:.3f} s: {result.end}'
        for result in results
        if result.sent_s > _LAST_EXCUSED_S
        and result.has_run
        and not result.is_complete
    ]
    assert not lost, '\n'.join(lost)
    # Where no call was accepted, none could be lost.
    assert any(result.end == '200' for result in results)


@pytest.mark.parametrize(
    'case', [name for name in _CASES if name.startswith('ending')]
)
def test_a_process_ends_itself_after_a_late_stream(
    case: str, shutdowns: dict[str, _Shutdown]
) -> None:
    """Guard against streams that are cut off though they end in time."""
    shutdown = shutdowns[case]
    (stream,) = shutdown.results
    assert (stream.end, stream.is_complete) == ('200', True), stream
    assert shutdown.exit_code == 0, shutdown
    assert _STREAM_END_S < shutdown.ended_s < _GRACE_S
