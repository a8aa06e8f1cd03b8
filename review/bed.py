"""A small deployment on loopback for the cases: store, replicas, entries.

Standard library only. The stand-ins follow PROTOCOL.md; where it is silent
they behave like a sound store, replica or client.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qsl

ROOT = Path(__file__).resolve().parent.parent
HEARTBEAT_S = 1.2
RESTART_S = 1.0
MAX_ITEMS = 500
MAX_PAGE_BYTES = 1_000_000
TROUBLE = os.environ.get('TROUBLE', '1') != '0'

SETTINGS = """node_name=front-{number}
role=entry
machine_class=front
serves=front,control
ip={ip}
zone=piacenza
region=emilia-nord
zones.piacenza=emilia-nord
listen.front={ip}:{front}
listen.ready={ip}:{ready}
listen.control={ip}:{control}
internal_ports={internal},{last}
seed_nodes={seeds}
bootstrap=true
limits.cpu_share=0.817
limits.cpu_cores=1
limits.memory_mb=300
limits.max_fds=4100
discovery=platform
entry=vip
heartbeat_ms=1200
bounds.addr_reuse_s=2
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.drain_ms=2000
bounds.grace_s=8
bounds.config_apply_ms=2000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.retry_budget_slack=92
bounds.recovery_s=12
platform.address={store}
platform.form=log
"""


class Record:
    """Write what happens to record.txt, with seconds since the start."""

    def __init__(self, folder: str) -> None:
        self._started = time.monotonic()
        self._file = (Path(folder) / 'record.txt').open('w')

    def __call__(self, text: str) -> None:
        at = time.monotonic() - self._started
        self._file.write(f'{at:8.3f} {text}\n')
        self._file.flush()


class Request:
    def __init__(self, method: str, target: str, headers: dict[str, str],
                 body: bytes) -> None:
        self.method = method
        self.path, _, query = target.partition('?')
        self.query = dict(parse_qsl(query))
        self.headers = headers
        self.body = body


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    try:
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        first, *lines = head.split('\r\n')
        method, target, _ = first.split(' ')
        headers = {}
        for line in lines:
            name, found, text = line.partition(':')
            if found:
                headers[name.strip().lower()] = text.strip()
        body = await reader.readexactly(int(headers.get('content-length', 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


def response(status: int, headers: list[tuple[str, str]] = (),
             body: bytes = b'') -> bytes:
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{name}: {text}' for name, text in headers]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode('latin-1') + body


def json_response(status: int, content: object) -> bytes:
    headers = [('Content-Type', 'application/json')]
    return response(status, headers, json.dumps(content).encode())


async def serve(handle, host: str = '127.0.0.1'):
    """Serve HTTP; ``handle(request, writer)`` returns bytes, or None if it
    has written the response itself and the connection is to be closed."""

    async def serve_connection(reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                answer = await handle(request, writer)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve_connection, host, 0, backlog=512)
    host, port = server.sockets[0].getsockname()[:2]
    return server, f'{host}:{port}'


class Store:
    """The platform's store as a log of keyed topics."""

    def __init__(self) -> None:
        self.topics: dict[str, list[tuple[str, bytes]]] = {}
        self._changed = asyncio.Event()
        self.silent = False
        self.reads = 0
        self.address = ''

    async def start(self) -> None:
        self._server, self.address = await serve(self._handle)

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a record; without a value the key is dropped."""
        self.topics.setdefault(topic, []).append((key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: Request, writer) -> bytes | None:
        self.reads += 1
        if self.silent:
            await asyncio.sleep(600)
            return None
        topic = request.query.get('topic', '')
        records = self.topics.setdefault(topic, [])
        operation = request.path.rpartition('/')[2]
        if operation == 'log-newest':
            return json_response(200, self._newest(records, request.query))
        if operation == 'log-append':
            return self._append(topic, request.body)
        if operation != 'log-read':
            return json_response(404, {})
        start = int(request.query['from'])
        waited_until = time.monotonic() + int(
            request.query.get('wait_ms', 0)) / 1000
        while len(records) <= start:
            left = waited_until - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                break
        if self.silent:
            await asyncio.sleep(600)
            return None
        body = struct.pack('>QQ', len(records), 0)
        for key, value in records[start:]:
            record = bytes((len(key),)) + key.encode() + value
            body += struct.pack('>I', len(record)) + record
        return response(200, body=body)

    def _newest(self, records, query) -> dict:
        newest = {}
        for key, value in records:
            newest.pop(key, None)
            if value:
                newest[key] = value
        items, size = [], 0
        keys = sorted(key for key in newest if key > query.get('after', ''))
        for key in keys:
            value = newest[key]
            if len(items) == MAX_ITEMS or (
                    items and size + len(value) > MAX_PAGE_BYTES):
                break
            size += len(value)
            items.append({'key': key,
                          'value': base64.b64encode(value).decode(),
                          'offset': 0})
        return {'items': items, 'has_more': len(items) < len(keys),
                'end_offset': len(records)}

    def _append(self, topic: str, body: bytes) -> bytes:
        if topic in {'keyed.op', 'keyed.servers'}:
            return json_response(403, {})
        position = 0
        offset = len(self.topics[topic])
        while position < len(body):
            length = struct.unpack_from('>I', body, position)[0]
            record = body[position + 4:position + 4 + length]
            key = record[1:1 + record[0]].decode()
            self.put(topic, key, record[1 + record[0]:])
            position += 4 + length
        return json_response(
            200, {'offset': offset, 'end_offset': len(self.topics[topic])})


class Replica:
    """A sound replica of a plain service, with its record in the store."""

    def __init__(self, store: Store, record: Record, service: str, name: str,
                 work_s: float = 0.02) -> None:
        self.store = store
        self.record = record
        self.service = service
        self.name = name
        self.work_s = work_s
        self.state = 'ready'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self._written = ''
        self.running = 0
        self.address = ''
        self.runs: list[tuple[float, str]] = []
        self.extra_headers: list[tuple[str, str]] = []

    async def start(self) -> None:
        self._server, self.address = await serve(self.handle)
        self.heartbeat()
        self._beats = asyncio.create_task(self._beat())

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.state != 'gone':
                self.heartbeat()

    def heartbeat(self) -> None:
        """Write the entry; it changes only when more than `sequence` does."""
        self.sequence += 1
        if self._written == self.state:
            return
        self._written = self.state
        self.write_entry()

    def write_entry(self) -> None:
        entry = {
            'service': self.service, 'address': self.address,
            'zone': 'piacenza', 'version': 'v1', 'slots': 6,
            'state': self.state, 'cold_remaining_ms': 0,
            'sequence': self.sequence, 'born': self.born,
        }
        self.store.put('keyed.servers', self.name, json.dumps(entry).encode())

    def answer_headers(self, request: Request) -> list[tuple[str, str]]:
        attempt = request.headers.get('attempt-id', '')
        return [
            ('Attempt-Id', attempt),
            ('Replica-Signature', f'signature.{self.name}.{attempt}'),
            ('Replica-Load', f'{self.running},0,6'),
            *self.extra_headers,
        ]

    def misdirected(self, request: Request) -> bytes | None:
        if request.headers.get('expect-replica', self.name) == self.name:
            return None
        return response(421, [
            ('Attempt-Id', request.headers.get('attempt-id', '')),
            ('Replica-Id', self.name), ('Not-Executed', '1')])

    async def handle(self, request: Request, writer) -> bytes | None:
        if request.path.startswith('/amaranthrail/'):
            return json_response(200, self.report())
        wrong = self.misdirected(request)
        if wrong is not None:
            return wrong
        attempt = request.headers.get('attempt-id', '')
        self.runs.append((time.monotonic(), attempt))
        self.record(f'replica {self.name} runs {attempt}')
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        return response(200, self.answer_headers(request),
                        f'{self.name} did {attempt}'.encode())

    def report(self) -> dict:
        return {'stage': 'both', 'models': [], 'busy': False, 'sequence': 0,
                'queued': 0, 'in_flight': self.running, 'born': self.born}


class Entry:
    """One entry process; it is started again after it has ended."""

    def __init__(self, number: int, ip: str, ports: dict[str, int],
                 folder: Path, record: Record) -> None:
        self.number = number
        self.ip = ip
        self.ports = ports
        self.folder = folder
        self.record = record
        self.starts = 0
        self.own_ends = 0
        self.restarts = True
        self.process: subprocess.Popen | None = None
        self._signalled = False

    def write_settings(self, seeds: str, store: str) -> None:
        self.path = self.folder / f'front-{self.number}.conf'
        self.path.write_text(SETTINGS.format(
            number=self.number, ip=self.ip, seeds=seeds, store=store,
            **self.ports))

    @property
    def log_path(self) -> Path:
        return self.folder / f'front-{self.number}.log'

    def start(self) -> None:
        env = {name: os.environ[name] for name in ('PATH', 'HOME', 'LANG')
               if name in os.environ}
        env |= {'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                'AMARANTHRAIL_CONFIG': str(self.path)}
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-S', '-m', 'amaranthrail.platform'],
                cwd=ROOT, env=env, stdout=log, stderr=log)
        self.starts += 1
        self._signalled = False
        self.record(f'entry {self.number} started, pid {self.process.pid}')

    def send(self, number: signal.Signals) -> None:
        if number in {signal.SIGKILL, signal.SIGTERM}:
            self._signalled = True
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.record(f'entry {self.number} gets {number.name}')

    async def watch(self) -> None:
        """Record the process's ends and start it again after each."""
        while True:
            await asyncio.sleep(0.02)
            if self.process is None or self.process.poll() is None:
                continue
            if not self._signalled:
                self.own_ends += 1
                lines = self.log_path.read_text(errors='replace').splitlines()
                causes = [line.strip(' |+') for line in lines
                          if 'Error' in line and not line.startswith('{')]
                cause = causes[-1][:160] if causes else ''
                self.record(f'entry {self.number} ended by itself, status '
                            f'{self.process.returncode}: {cause}')
            else:
                self.record(f'entry {self.number} ended')
            self.process = None
            if self.restarts:
                await asyncio.sleep(RESTART_S)
                self.start()

    async def ready(self) -> bool:
        status, _, _ = await call(self.ip, self.ports['ready'], 'GET',
                                  '/amaranthrail/ready', {}, 1.0)
        return status == 200

    async def until_ready(self, timeout_s: float = 20) -> None:
        ends_at = time.monotonic() + timeout_s
        while time.monotonic() < ends_at:
            if await self.ready():
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f'entry {self.number} is not ready')


async def call(host: str, port: int, method: str, path: str,
               headers: dict[str, str], timeout_s: float):
    """Send a request on a new connection; return status, headers and body.

    The status is 0 where no complete response has come.
    """
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            fields = ''.join(f'{name}: {text}\r\n'
                             for name, text in headers.items())
            if method == 'POST':
                fields += 'Content-Length: 0\r\n'
            host_field = '' if 'Host' in headers else 'Host: x\r\n'
            writer.write(f'{method} {path} HTTP/1.1\r\n{host_field}{fields}\r\n'
                         .encode())
            head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
            first, *lines = head.split('\r\n')
            answer = {}
            for line in lines:
                name, found, text = line.partition(':')
                if found:
                    answer[name.strip().lower()] = text.strip()
            if answer.get('transfer-encoding') == 'chunked':
                body = b''
                while True:
                    size = int(await reader.readline(), 16)
                    body += (await reader.readexactly(size + 2))[:-2]
                    if not size:
                        break
            else:
                body = await reader.readexactly(
                    int(answer.get('content-length', 0)))
            return int(first.split(' ')[1]), answer, body
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return 0, {}, b''
    finally:
        if writer is not None:
            writer.close()


def free_ports(ips: list[str]) -> dict[str, int]:
    """Return ports that are free on all addresses, and two in a row."""
    while True:
        first = random.randrange(20_000, 32_000)
        ports = list(range(first, first + 6))
        sockets = []
        try:
            for ip in ips:
                for port in ports:
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        sock = socket.socket(socket.AF_INET, kind)
                        sockets.append(sock)
                        sock.bind((ip, port))
        except OSError:
            continue
        finally:
            for sock in sockets:
                sock.close()
        return {'front': first, 'ready': first + 1, 'control': first + 2,
                'internal': first + 3, 'last': first + 5}


class Bed:
    """The store, the entries and the files of one run."""

    def __init__(self, folder: str) -> None:
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.store = Store()
        self.entries: list[Entry] = []
        self._watches: list[asyncio.Task] = []

    async def start_entries(self, count: int, gap_s: float = 0.1) -> None:
        base = f'127.{random.randrange(1, 250)}.{random.randrange(1, 250)}'
        ips = [f'{base}.{number}' for number in range(1, count + 1)]
        ports = free_ports(ips)
        seeds = ','.join(f'{ip}:{ports["control"]}' for ip in ips[:3])
        for number, ip in enumerate(ips, 1):
            entry = Entry(number, ip, ports, self.folder, self.record)
            entry.write_settings(seeds, self.store.address)
            self.entries.append(entry)
            entry.start()
            self._watches.append(asyncio.create_task(entry.watch()))
            await asyncio.sleep(gap_s)
        for entry in self.entries:
            await entry.until_ready()

    def close(self) -> None:
        for watch in self._watches:
            watch.cancel()
        for entry in self.entries:
            if entry.process is not None and entry.process.poll() is None:
                entry.process.kill()
                entry.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name: str, kind: str, service: str, **more) -> dict:
    return {'name': name, 'host': 'h.example', 'path_prefix': f'/{name}/',
            'kind': kind, 'timeout_ms': 4000, 'target_latency_ms': 400,
            'priority': 1, 'service': service, 'allow_anonymous': False,
            'max_attempts': 1 if kind == 'non_idempotent' else 2, **more}


def configuration(version: int, routes: list[dict],
                  services: list[dict]) -> bytes:
    return json.dumps({
        'version': version, 'routes': routes, 'services': services,
        'limits': {'max_header_bytes': 16384, 'max_body_bytes': 4194304,
                   'header_timeout_ms': 3000, 'idle_timeout_ms': 15000},
        'tenants': [{'name': 'hule930', 'api_keys': ['key-1'],
                     'priority': 1}],
    }).encode()


def client_headers(attempt: str, deadline_ms: int = 4000) -> dict[str, str]:
    return {'Host': 'h.example', 'Attempt-Id': attempt,
            'Deadline-Remaining-Ms': str(deadline_ms),
            'Authorization': 'Token key-1'}


def run(case) -> None:
    """Run ``case(bed)`` in the folder of the script; exit with its status.

    The status is 2 where the case could not run.
    """
    bed = Bed(sys.argv[1])
    status = 2

    def stop(*_) -> None:
        bed.close()
        os._exit(2)

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, stop)

    async def main() -> int:
        async with asyncio.timeout(110):
            return await case(bed)

    try:
        status = asyncio.run(main())
    except Exception as error:
        bed.record(f'the case could not run: {error!r}')
    finally:
        bed.close()
    bed.record(f'exit {status}')
    sys.stderr.flush()
    # Connections that are still open need no orderly end.
    os._exit(status)
