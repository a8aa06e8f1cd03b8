"""Stand in for the platform: log service, host list and weight store.

Run as ``python -m standins.platform HOST:PORT``. ``POST /control/faults`` takes
``{"log": "up" | "down" | "slow" | "lose_answers"}``, ``{"hosts_lag_ms": n}``,
``{"retention_ms": n}`` and ``{"weights_per_s": n}``; ``POST /control/hosts``
sets the true list of hosts.
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

_SLOW_MS = 700
_DAY_MS = 86_400_000
_MAX_RECORDS = 500
_NOT_FOUND = 404


class LogFault(Enum):
    """Say how the log misbehaves."""

    UP = 'up'
    DOWN = 'down'
    SLOW = 'slow'
    LOSE_ANSWERS = 'lose_answers'


@dataclass
class Stream:
    """Hold one stream of the log."""

    first: int = 1
    records: list[tuple[int, int, bytes]] = field(default_factory=list)
    appended: trio.Event = field(default_factory=trio.Event)

    def append(self, text: bytes) -> int:
        """Append a record and return its offset."""
        offset = self.first + len(self.records)
        self.records.append((offset, _wall_ms(), text))
        self.wake()
        return offset

    def after(self, offset: int) -> list[tuple[int, int, bytes]]:
        """Return records above an offset."""
        start = max(0, offset + 1 - self.first)
        return self.records[start : start + _MAX_RECORDS]

    def trim(self, retention_ms: float) -> None:
        """Drop records older than the retention time."""
        oldest = _wall_ms() - retention_ms
        while self.records and self.records[0][1] < oldest:
            self.records.pop(0)
            self.first += 1

    def wake(self) -> None:
        """Wake those who wait for a record."""
        self.appended.set()
        self.appended = trio.Event()


class Platform:
    """Hold the platform's state and its faults."""

    def __init__(self) -> None:
        """Start empty and healthy."""
        self._streams: dict[str, Stream] = {}
        self._fault = LogFault.UP
        self._retention_ms: float = _DAY_MS
        self._hosts_lag_ms = 0.0
        self._hosts: list[tuple[int, object]] = []
        self._appends = 0
        self._weights_per_s = 100.0
        self._weights_next = 0.0

    async def handle(self, request: HttpRequest, reply: ResponseWriter) -> None:
        """Answer one request."""
        part = request.path.split('/')[1]
        match part:
            case 'log':
                await self._log(request, reply)
            case 'hosts':
                await send_json(reply, self._visible_hosts())
            case 'weights':
                await self._weights(reply)
            case 'control':
                await self._control(request, reply)
            case _:
                await send_json(reply, {}, _NOT_FOUND)

    async def trim(self) -> None:
        """Drop old records from time to time."""
        while True:
            await trio.sleep(0.1)
            for stream in self._streams.values():
                stream.trim(self._retention_ms)

    def _stream(self, request: HttpRequest) -> Stream:
        name = request.path.split('/')[2]
        return self._streams.setdefault(name, Stream())

    async def _log(self, request: HttpRequest, reply: ResponseWriter) -> None:
        # A handler that returns without an answer closes the connection.
        if self._fault is LogFault.DOWN:
            return
        if self._fault is LogFault.SLOW:
            await trio.sleep(_SLOW_MS / 1000)
        stream = self._stream(request)
        if request.method == 'POST':
            offset = stream.append(request.body)
            self._appends += 1
            if self._fault is not LogFault.LOSE_ANSWERS:
                await send_json(reply, {'offset': offset})
            return
        await self._read(stream, request, reply)

    async def _read(
        self,
        stream: Stream,
        request: HttpRequest,
        reply: ResponseWriter,
    ) -> None:
        after = int(request.query.get('after', '0'))
        wait_ms = int(request.query.get('wait_ms', '0'))
        with trio.move_on_after(wait_ms / 1000):
            while not stream.after(after) and self._fault is not LogFault.DOWN:
                await stream.appended.wait()
        if self._fault is LogFault.DOWN:
            return
        found = [
            {
                'offset': offset,
                'time': moment,
                'record': base64.b64encode(text).decode(),
            }
            for offset, moment, text in stream.after(after)
        ]
        batch = {
            'first': stream.first,
            'retention_ms': int(self._retention_ms),
            'records': found,
        }
        await send_json(reply, batch)

    def _visible_hosts(self) -> object:
        seen_until = _wall_ms() - self._hosts_lag_ms
        visible = [hosts for since, hosts in self._hosts if since <= seen_until]
        return visible[-1] if visible else []

    async def _weights(self, reply: ResponseWriter) -> None:
        """Send one expert's weights, no faster than the store's rate."""
        now = trio.current_time()
        self._weights_next = max(now, self._weights_next)
        self._weights_next += 1 / self._weights_per_s
        await trio.sleep_until(self._weights_next)
        await reply.send(200, (), bytes(1024))

    async def _control(
        self, request: HttpRequest, reply: ResponseWriter
    ) -> None:
        match request.path:
            case '/control/faults':
                self._set_faults(read_json(request))
            case '/control/hosts':
                order = read_json(request)
                self._hosts.append((_wall_ms(), order['hosts']))
            case '/control/counts':
                counts = {
                    name: stream.first + len(stream.records) - 1
                    for name, stream in self._streams.items()
                }
                await send_json(reply, {'appends': self._appends, **counts})
                return
        await send_json(reply, {'done': True})

    def _set_faults(self, order: dict[str, object]) -> None:
        fault = order.get('log')
        if fault is not None:
            self._fault = LogFault(fault)
            for stream in self._streams.values():
                stream.wake()
        self._hosts_lag_ms = float(
            str(order.get('hosts_lag_ms', self._hosts_lag_ms)),
        )
        self._retention_ms = float(
            str(order.get('retention_ms', self._retention_ms)),
        )
        self._weights_per_s = float(
            str(order.get('weights_per_s', self._weights_per_s)),
        )


def _wall_ms() -> int:
    return int(time.time() * 1000)


def main() -> None:
    """Serve until told to end."""
    platform = Platform()
    trio.run(serve, sys.argv[1], platform.handle, platform.trim)


if __name__ == '__main__':
    main()
