"""Stand in for the platform: log service, host list and weight store.

Run as ``python -m standins.platform HOST:PORT``. ``POST /control/faults`` takes
``{"log": "up" | "down" | "slow" | "lose_answers"}``, ``{"hosts_lag_ms": n}``,
``{"retention_ms": n}`` and ``{"weights_per_s": n}``; ``POST /control/hosts``
sets the list of hosts, which ``/hosts`` shows ``hosts_lag_ms`` later.
"""

from __future__ import annotations

import base64
import sys
import time
from dataclasses import dataclass, field
from enum import Enum

import trio

from amaranthrail.adapters.httpserver import HttpRequest, ResponseWriter

from .serving import read_json, send_json, serve

_SLOW_DELAY_MS = 700
_DAY_MS = 86_400_000
_MAX_RECORDS = 500
_NOT_FOUND = 404


class LogFault(Enum):
    """Select how the log service fails.

    DOWN closes connections without a response, SLOW delays each call and
    LOSE_ANSWERS appends records without a response.
    """

    UP = 'up'
    DOWN = 'down'
    SLOW = 'slow'
    LOSE_ANSWERS = 'lose_answers'


@dataclass
class Stream:
    """Hold a stream of the log: offset, time in ms and text of each record."""

    first_offset: int = 1
    records: list[tuple[int, int, bytes]] = field(default_factory=list)
    appended: trio.Event = field(default_factory=trio.Event)

    def append(self, text: bytes) -> int:
        """Append a record and return its offset."""
        offset = self.first_offset + len(self.records)
        self.records.append((offset, _wall_clock_ms(), text))
        self.wake_readers()
        return offset

    def records_after(self, offset: int) -> list[tuple[int, int, bytes]]:
        """Return the first records above an offset, at most 500."""
        start = max(0, offset + 1 - self.first_offset)
        return self.records[start : start + _MAX_RECORDS]

    def trim(self, retention_ms: float) -> None:
        """Drop records older than the retention time, in milliseconds."""
        oldest = _wall_clock_ms() - retention_ms
        while self.records and self.records[0][1] < oldest:
            self.records.pop(0)
            self.first_offset += 1

    def wake_readers(self) -> None:
        """Wake the reads that wait for a record."""
        self.appended.set()
        self.appended = trio.Event()


class Platform:
    """Serve the log, the host list and the weights, with fault injection."""

    def __init__(self) -> None:
        """Start with no streams, no hosts and no fault."""
        self._streams: dict[str, Stream] = {}
        self._log_fault = LogFault.UP
        self._retention_ms: float = _DAY_MS
        self._hosts_lag_ms = 0.0
        self._hosts: list[tuple[int, object]] = []
        self._appends = 0
        self._weights_per_s = 100.0
        self._next_weights_at = 0.0

    async def handle(self, request: HttpRequest, reply: ResponseWriter) -> None:
        """Serve a request to the service that its path names."""
        service = request.path.split('/')[1]
        match service:
            case 'log':
                await self._serve_log(request, reply)
            case 'hosts':
                await send_json(reply, self._visible_hosts())
            case 'weights':
                await self._send_weights(reply)
            case 'control':
                await self._handle_control(request, reply)
            case _:
                await send_json(reply, {}, _NOT_FOUND)

    async def trim(self) -> None:
        """Apply the retention time to all streams every 0.1 s."""
        while True:
            await trio.sleep(0.1)
            for stream in self._streams.values():
                stream.trim(self._retention_ms)

    def _stream(self, request: HttpRequest) -> Stream:
        name = request.path.split('/')[2]
        return self._streams.setdefault(name, Stream())

    async def _serve_log(
        self, request: HttpRequest, reply: ResponseWriter
    ) -> None:
        # A handler that returns without a response closes the connection.
        if self._log_fault is LogFault.DOWN:
            return
        if self._log_fault is LogFault.SLOW:
            await trio.sleep(_SLOW_DELAY_MS / 1000)
        stream = self._stream(request)
        if request.method == 'POST':
            offset = stream.append(request.body)
            self._appends += 1
            if self._log_fault is not LogFault.LOSE_ANSWERS:
                await send_json(reply, {'offset': offset})
            return
        await self._send_records(stream, request, reply)

    async def _send_records(
        self,
        stream: Stream,
        request: HttpRequest,
        reply: ResponseWriter,
    ) -> None:
        offset = int(request.query.get('after', '0'))
        wait_ms = int(request.query.get('wait_ms', '0'))
        with trio.move_on_after(wait_ms / 1000):
            while (
                not stream.records_after(offset)
                and self._log_fault is not LogFault.DOWN
            ):
                await stream.appended.wait()
        if self._log_fault is LogFault.DOWN:
            return
        records = [
            {
                'offset': record_offset,
                'time': appended_ms,
                'record': base64.b64encode(text).decode(),
            }
            for record_offset, appended_ms, text in stream.records_after(offset)
        ]
        page = {
            'first': stream.first_offset,
            'retention_ms': int(self._retention_ms),
            'records': records,
        }
        await send_json(reply, page)

    def _visible_hosts(self) -> object:
        visible_until = _wall_clock_ms() - self._hosts_lag_ms
        visible = [
            hosts for since, hosts in self._hosts if since <= visible_until
        ]
        return visible[-1] if visible else []

    async def _send_weights(self, reply: ResponseWriter) -> None:
        """Send one expert's weights, at most ``weights_per_s`` a second."""
        now = trio.current_time()
        self._next_weights_at = max(now, self._next_weights_at)
        self._next_weights_at += 1 / self._weights_per_s
        await trio.sleep_until(self._next_weights_at)
        await reply.send(200, (), bytes(1024))

    async def _handle_control(
        self, request: HttpRequest, reply: ResponseWriter
    ) -> None:
        match request.path:
            case '/control/faults':
                self._set_faults(read_json(request))
            case '/control/hosts':
                content = read_json(request)
                self._hosts.append((_wall_clock_ms(), content['hosts']))
            case '/control/counts':
                counts = {
                    name: stream.first_offset + len(stream.records) - 1
                    for name, stream in self._streams.items()
                }
                await send_json(reply, {'appends': self._appends, **counts})
                return
        await send_json(reply, {'done': True})

    def _set_faults(self, faults: dict[str, object]) -> None:
        fault = faults.get('log')
        if fault is not None:
            self._log_fault = LogFault(fault)
            for stream in self._streams.values():
                stream.wake_readers()
        self._hosts_lag_ms = float(
            str(faults.get('hosts_lag_ms', self._hosts_lag_ms)),
        )
        self._retention_ms = float(
            str(faults.get('retention_ms', self._retention_ms)),
        )
        self._weights_per_s = float(
            str(faults.get('weights_per_s', self._weights_per_s)),
        )


def _wall_clock_ms() -> int:
    return int(time.time() * 1000)


def main() -> None:
    """Serve until SIGTERM or SIGINT."""
    platform = Platform()
    trio.run(serve, sys.argv[1], platform.handle, platform.trim)


if __name__ == '__main__':
    main()
