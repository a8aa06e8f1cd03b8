"""Start direct entries as processes against stand-ins of the platform."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path
from typing import Any

import trio

from amaranthrail.adapters.httpclient import Address, HttpAnswer, HttpClient
from amaranthrail.adapters.httpserver import (
    Handler,
    ServerLimits,
    ServerState,
    serve_connection,
)
from amaranthrail.exceptions import HttpError

from .keyedlog import KeyedLog
from .replica import Replica

_MAX_BODY_BYTES = 1_000_000
_READY_S = 20.0
_LOOK_S = 0.05
_HTTP_OK = 200
_SETTINGS = """
node_name=entry-{number}
ip={host}
zone=a
listen.front={host}:8227
listen.ready={host}:8220
internal_ports=7340,7355
seed_nodes={seeds}
limits.max_fds=1024
bounds.grace_s=8
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.retry_budget_slack=92
platform.address={store}
"""


def make_configuration(version: int) -> bytes:
    """Return a configuration with a route for each kind of call.

    One more route, ``/vN/``, is there only in version N.
    """
    kinds = {
        'stream': ('streaming', 'engine'),
        'read': ('idempotent', 'plain'),
        'book': ('non_idempotent', 'plain'),
        f'v{version}': ('idempotent', 'plain'),
    }
    routes = [
        {
            'name': name,
            'host': 'h.example',
            'path_prefix': f'/{name}/',
            'kind': kind,
            'service': service,
            'timeout_ms': 4000,
            'max_attempts': 1 if name == 'book' else 2,
            'stream_resume': name == 'stream',
        }
        for name, (kind, service) in kinds.items()
    ]
    content = {
        'version': version,
        'routes': routes,
        'services': [{'name': 'engine'}, {'name': 'plain'}],
        'tenants': [{'name': 'band', 'api_keys': ['key-1']}],
    }
    return json.dumps(content).encode()


async def start_server(nursery: trio.Nursery, handler: Handler) -> Address:
    """Serve HTTP on a free port and return its address."""
    state = ServerState(lambda: ServerLimits(_MAX_BODY_BYTES))

    async def serve(stream: trio.SocketStream) -> None:
        await serve_connection(stream, handler, state)

    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    nursery.start_soon(trio.serve_listeners, serve, listeners)
    host, port = listeners[0].socket.getsockname()[:2]
    return Address(host, port)


class EntryProcess:
    """Hold one entry's process and call it as clients do."""

    def __init__(self, host: str, directory: Path) -> None:
        """Take the entry's host and where its files go."""
        self._host = host
        self._settings = directory / f'{host}.conf'
        self._log = directory / f'{host}.log'
        self._process: subprocess.Popen[bytes] | None = None
        self.client = HttpClient(Address(host, 8227))

    @property
    def host(self) -> str:
        """Return the host's IP number."""
        return self._host

    @property
    def address(self) -> str:
        """Return where callers reach it."""
        return f'{self._host}:8227'

    def start(self, settings: str) -> None:
        """Start the process with these settings."""
        self._settings.write_text(settings)
        with self._log.open('ab') as output:
            self._process = subprocess.Popen(
                [sys.executable, '-m', 'amaranthrail.platform'],
                stdout=output,
                stderr=output,
                env={
                    **os.environ,
                    'AMARANTHRAIL_CONFIG': str(self._settings),
                },
            )

    def change_settings(self, settings: str) -> None:
        """Write other settings for the process to find."""
        self._settings.write_text(settings)

    def log_text(self) -> str:
        """Return what the process has written."""
        return self._log.read_text()

    def send_signal(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        if self._process is not None:
            self._process.send_signal(number)

    async def wait(self) -> int:
        """Return the exit code once the process has ended."""
        if self._process is None:
            return 0
        return await trio.to_thread.run_sync(self._process.wait)

    async def until_ready(self) -> None:
        """Return once the entry calls itself ready."""
        probe = HttpClient(Address(self._host, 8220))
        with trio.fail_after(_READY_S):
            while not await _is_ready(probe):  # noqa: ASYNC110
                await trio.sleep(_LOOK_S)

    async def call(self, method: str, path: str, attempt: str) -> HttpAnswer:
        """Return the answer to one call."""
        headers = (
            ('host', 'h.example'),
            ('attempt-id', attempt),
            ('authorization', 'Token key-1'),
            ('deadline-remaining-ms', '3000'),
        )
        return await self.client.call(method, path, headers)


class PlatformFleet:
    """Hold the platform's stand-ins and the entries that use them."""

    def __init__(self, nursery: trio.Nursery, directory: Path) -> None:
        """Take where servers run and where files go."""
        self._nursery = nursery
        self._directory = directory
        self.store_address = Address('', 0)
        self.log = KeyedLog()
        self.replicas: dict[str, Replica] = {}
        self.entries: list[EntryProcess] = []

    async def start(self) -> None:
        """Start the store and write the first configuration."""
        self.store_address = await start_server(self._nursery, self.log.handle)
        self.log.topic('keyed.op').put('config', make_configuration(1))

    async def add_replica(self, name: str, service: str) -> Replica:
        """Start a replica and write its record."""
        replica = Replica(name)
        address = await start_server(self._nursery, replica.handle)
        self.replicas[name] = replica
        self.announce(name, service, address=str(address))
        return replica

    def announce(self, name: str, service: str, **changes: Any) -> None:
        """Write a replica's record."""
        record = {
            'service': service,
            'zone': 'a',
            'slots': 6,
            'state': 'ready',
            'sequence': self.log.topic('keyed.servers').end + 1,
            'born': 1,
            **changes,
        }
        payload = json.dumps(record).encode()
        self.log.topic('keyed.servers').put(name, payload)

    def settings(self, entry: EntryProcess) -> str:
        """Return the settings of an entry."""
        return _SETTINGS.format(
            number=entry.host.rpartition('.')[2],
            host=entry.host,
            seeds=','.join(f'{one.host}:8229' for one in self.entries),
            store=self.store_address,
        )

    def add_entry(self) -> EntryProcess:
        """Start another entry on a loopback address of its own."""
        group, lower = divmod(os.getpid() % 62_500, 250)
        host = f'127.{group + 1}.{lower}.{len(self.entries) + 1}'
        entry = EntryProcess(host, self._directory)
        self.entries.append(entry)
        entry.start(self.settings(entry))
        return entry


@asynccontextmanager
async def platform_fleet() -> AsyncIterator[PlatformFleet]:
    """Give a fleet and end its processes afterwards."""
    with tempfile.TemporaryDirectory() as directory:
        async with trio.open_nursery() as nursery:
            fleet = PlatformFleet(nursery, Path(directory))
            await fleet.start()
            try:
                yield fleet
            finally:
                for entry in fleet.entries:
                    entry.send_signal(signal.SIGKILL)
                nursery.cancel_scope.cancel()


async def _is_ready(probe: HttpClient) -> bool:
    try:
        return (await probe.call('GET', '/')).status == _HTTP_OK
    except HttpError:
        # Not listening yet.
        return False


async def _tour() -> None:
    async with platform_fleet() as fleet:
        for name, service in (('e1', 'engine'), ('e2', 'engine')):
            await fleet.add_replica(name, service)
        await fleet.add_replica('p1', 'plain')
        entries = [fleet.add_entry() for _ in range(3)]
        for entry in entries:
            await entry.until_ready()
        tell = partial(print, flush=True)
        tell(f'{len(entries)} entries are ready')
        for path in ('/stream/1', '/read/1', '/book/1'):
            answer = await entries[0].call('POST', path, f'tour{path}')
            tell(f'{path}: {answer.status}, {len(answer.body)} bytes')
        entries[0].send_signal(signal.SIGKILL)
        answer = await entries[1].call('GET', '/read/2', 'tour-after-kill')
        tell(f'one entry was killed; another answers {answer.status}')
        fleet.log.topic('keyed.op').put('config', make_configuration(2))
        entries[1].send_signal(signal.SIGTERM)
        tell(f'an entry was told to leave: exit {await entries[1].wait()}')
        tell('its last lines:')
        tell('\n'.join(entries[1].log_text().splitlines()[-4:]))


if __name__ == '__main__':
    trio.run(_tour)
