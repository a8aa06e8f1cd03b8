"""Run direct entries as processes against stand-ins of the platform."""

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

from amaranthrail.adapters.httpclient import Address, HttpClient, HttpResponse
from amaranthrail.adapters.httpserver import (
    Handler,
    ServerLimits,
    ServerState,
    serve_connection,
)
from amaranthrail.exceptions import HttpError

from .keyedlog import KeyedLog
from .replica import Replica

_MAX_BODY_BYTES = 8_000_000
_READY_TIMEOUT_S = 20.0
_POLL_INTERVAL_S = 0.05
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
limits.memory_mb=300
bounds.grace_s=8
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.retry_budget_slack=92
bounds.cold_overage=1.5
bounds.cold_slack=5
platform.address={store}
"""


def make_configuration(
    version: int, *, cold_start_s: float = 0, cold_per_s: float = 0
) -> bytes:
    """Return a configuration with a route for each kind of call, as JSON.

    Version N has one more route, ``/vN/``, by which tests recognise it.
    ``cold_per_s`` is the limit of calls to a cold replica, 0 for none.
    """
    kinds = {
        'stream': ('streaming', 'engine'),
        'long': ('streaming', 'engine'),
        'whole': ('idempotent', 'engine'),
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
            'timeout_ms': 20_000 if name == 'long' else 4000,
            'max_attempts': 1 if name == 'book' else 2,
            'stream_resume': kind == 'streaming',
        }
        for name, (kind, service) in kinds.items()
    ]
    content = {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': name,
                'cold_start_s': cold_start_s,
                'cold_per_s': cold_per_s,
            }
            for name in ('engine', 'plain')
        ],
        'tenants': [{'name': 'band', 'api_keys': ['key-1']}],
    }
    return json.dumps(content).encode()


async def start_server(nursery: trio.Nursery, handler: Handler) -> Address:
    """Serve HTTP on a free loopback port in the nursery; return its address."""
    state = ServerState(lambda: ServerLimits(_MAX_BODY_BYTES))

    async def serve_stream(stream: trio.SocketStream) -> None:
        await serve_connection(stream, handler, state)

    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    nursery.start_soon(trio.serve_listeners, serve_stream, listeners)
    host, port = listeners[0].socket.getsockname()[:2]
    return Address(host, port)


class EntryProcess:
    """Control one entry process and call it as clients do."""

    def __init__(self, host: str, directory: Path) -> None:
        """Set the entry's IP address and the directory of its files."""
        self._host = host
        self._settings = directory / f'{host}.conf'
        self._log = directory / f'{host}.log'
        self._process: subprocess.Popen[bytes] | None = None
        self.client = HttpClient(Address(host, 8227))

    @property
    def host(self) -> str:
        """Return the IP address on which the entry listens."""
        return self._host

    @property
    def address(self) -> str:
        """Return the ``HOST:PORT`` for callers."""
        return f'{self._host}:8227'

    @property
    def pid(self) -> int:
        """Return the id of the latest process, 0 before the first."""
        return 0 if self._process is None else self._process.pid

    def start(self, settings: str) -> None:
        """Write the settings file and start the process."""
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
        """Overwrite the settings file; the process reads it at SIGHUP."""
        self._settings.write_text(settings)

    def log_text(self) -> str:
        """Return all output of the process, of earlier starts too."""
        return self._log.read_text()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if one was started."""
        if self._process is not None:
            self._process.send_signal(number)

    async def wait(self) -> int:
        """Wait until the process has exited; return its exit code."""
        if self._process is None:
            return 0
        return await trio.to_thread.run_sync(
            self._process.wait, abandon_on_cancel=True
        )

    async def until_ready(self) -> None:
        """Wait until the readiness probe gets 200. Raises trio.TooSlowError."""
        probe = HttpClient(Address(self._host, 8220))
        with trio.fail_after(_READY_TIMEOUT_S):
            while not await _is_ready(probe):  # noqa: ASYNC110
                await trio.sleep(_POLL_INTERVAL_S)

    async def call(self, method: str, path: str, attempt: str) -> HttpResponse:
        """Send a call with a valid API key and a deadline of 3 s."""
        headers = (
            ('host', 'h.example'),
            ('attempt-id', attempt),
            ('authorization', 'Token key-1'),
            ('deadline-remaining-ms', '3000'),
        )
        return await self.client.call(method, path, headers)


class PlatformFleet:
    """Run the store, the replicas and the entries that use them."""

    def __init__(self, nursery: trio.Nursery, directory: Path) -> None:
        """Set the nursery of the servers and the directory of the files."""
        self._nursery = nursery
        self._directory = directory
        self.store_address = Address('', 0)
        self.log = KeyedLog()
        self.replicas: dict[str, Replica] = {}
        self.entries: list[EntryProcess] = []

    async def start(self) -> None:
        """Start the store and write version 1 of the configuration."""
        self.store_address = await start_server(self._nursery, self.log.handle)
        self.log.topic('keyed.op').put('config', make_configuration(1))

    async def add_replica(self, name: str, service: str) -> Replica:
        """Start a replica and write its record to the store."""
        replica = Replica(name)
        address = await start_server(self._nursery, replica.handle)
        self.replicas[name] = replica
        self.write_replica_record(name, service, address=str(address))
        return replica

    def write_replica_record(
        self, name: str, service: str, **changes: Any
    ) -> None:
        """Write a replica's record to the store; ``changes`` set its fields."""
        record = {
            'service': service,
            'zone': 'a',
            'version': 'v1',
            'slots': 6,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'sequence': self.log.topic('keyed.servers').end_offset + 1,
            'born': 1,
            **changes,
        }
        payload = json.dumps(record).encode()
        self.log.topic('keyed.servers').put(name, payload)

    def settings(self, entry: EntryProcess) -> str:
        """Return the text of an entry's settings file."""
        return _SETTINGS.format(
            number=entry.host.rpartition('.')[2],
            host=entry.host,
            seeds=','.join(f'{seed.host}:8229' for seed in self.entries),
            store=self.store_address,
        )

    def prepare_entry(self) -> EntryProcess:
        """Return an entry on a loopback address that no other one uses."""
        second_octet, third_octet = divmod(os.getpid() % 62_500, 250)
        host = f'127.{second_octet + 1}.{third_octet}.{len(self.entries) + 1}'
        entry = EntryProcess(host, self._directory)
        self.entries.append(entry)
        return entry

    def add_entry(self) -> EntryProcess:
        """Start a new entry."""
        entry = self.prepare_entry()
        entry.start(self.settings(entry))
        return entry


@asynccontextmanager
async def platform_fleet() -> AsyncIterator[PlatformFleet]:
    """Yield a fleet with a store; kill its entries afterwards."""
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
        # The entry does not listen yet.
        return False


async def _run_tour() -> None:
    async with platform_fleet() as fleet:
        for name, service in (('e1', 'engine'), ('e2', 'engine')):
            await fleet.add_replica(name, service)
        await fleet.add_replica('p1', 'plain')
        entries = [fleet.add_entry() for _ in range(3)]
        for entry in entries:
            await entry.until_ready()
        write = partial(print, flush=True)
        write(f'{len(entries)} entries are ready')
        for path in ('/stream/1', '/read/1', '/book/1'):
            response = await entries[0].call('POST', path, f'tour{path}')
            write(f'{path}: {response.status}, {len(response.body)} bytes')
        entries[0].send_signal(signal.SIGKILL)
        response = await entries[1].call('GET', '/read/2', 'tour-after-kill')
        write(f'killed entry 1; entry 2 responds with {response.status}')
        fleet.log.topic('keyed.op').put('config', make_configuration(2))
        entries[1].send_signal(signal.SIGTERM)
        write(
            f'entry 2 shut down after SIGTERM: exit {await entries[1].wait()}'
        )
        write('the last lines of its log:')
        write('\n'.join(entries[1].log_text().splitlines()[-4:]))


if __name__ == '__main__':
    trio.run(_run_tour)
