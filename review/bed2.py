"""A bench of processes for the cases 6 to 10: entries, a store, replicas, clients.

The entries are started as the deploy file says. The store is the project's own
stand-in (standins/keyedlog.py), with the operator's and the replicas' records
written here. Replicas and clients are small ones of this file, on raw sockets.
"""

from __future__ import annotations

import json
import os
import random
import shlex
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from contextlib import asynccontextmanager
from pathlib import Path

import trio

from amaranthrail.adapters.httpserver import (
    ServerLimits,
    ServerState,
    serve_connection,
)
from standins.keyedlog import KeyedLog

ROOT = Path(__file__).resolve().parent.parent
KEY = 'n2ctnfzs989anu6wsjnb'
HOST = 'ficu95.example'
READY_S = 20.0

SETTINGS = """node_name={name}
role=entry
machine_class=front
serves=front,control
ip={ip}
zone={zone}
region=emilia-nord
zones.piacenza=emilia-nord
zones.bobbio=emilia-nord
zones.rivergaro=emilia-nord
listen.front={ip}:{front}
listen.ready={ip}:{ready}
listen.control={ip}:{control}
internal_ports={internal},{internal_end}
seed_nodes={seeds}
bootstrap=true
failure_counted=false
limits.cpu_share=0.817
limits.cpu_cores=1
limits.memory_mb=300
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,experts
fault_tolerance.machines=1
fault_tolerance.zones=0
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.addr_reuse_s=2
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.outer_bound_ms=5000
bounds.fail_closed=false
bounds.revoke_ms=5000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.retry_budget_slack=92
bounds.recovery_s=12
bounds.pass_ms=120
bounds.retry_after_s=0
bounds.stall_ms=1500
bounds.require_fencing=false
platform.address={store}
platform.form=log
platform.writes_per_s=400
platform.reads_per_s=2000
platform.parts=12
platform.keep_s=300
"""


class Record:
    """Write what was sent, answered and run to record.txt, with times."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._began = time.monotonic()

    def now(self):
        return time.monotonic() - self._began

    def write(self, text):
        self._file.write(f'{self.now():9.3f} {text}\n')
        self._file.flush()


class Response:
    """A response as a client read it; status 0 for none, complete or not."""

    def __init__(self, status=0, headers=None, body=b'', complete=False):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.complete = complete


class Reader:
    """Read lines and counted bytes from a stream."""

    def __init__(self, stream):
        self.stream = stream
        self.pending = b''

    async def more(self):
        part = bytes(await self.stream.receive_some(65_536))
        self.pending += part
        return bool(part)

    async def line(self):
        while b'\r\n' not in self.pending:
            if not await self.more():
                raise EOFError
        line, _, self.pending = self.pending.partition(b'\r\n')
        return line

    async def exactly(self, size):
        while len(self.pending) < size:
            if not await self.more():
                raise EOFError
        part, self.pending = self.pending[:size], self.pending[size:]
        return part

    async def head(self):
        first = await self.line()
        headers = {}
        while line := await self.line():
            name, _, text = line.decode('latin-1').partition(':')
            headers[name.strip().lower()] = text.strip()
        return first.decode('latin-1'), headers

    async def chunks(self):
        while size := int((await self.line()).partition(b';')[0], 16):
            yield await self.exactly(size)
            await self.line()
        await self.line()


def head_of(method, path, attempt, deadline_ms, body=b'', extra=()):
    """Return a client's request as it is sent."""
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        f'Attempt-Id: {attempt}',
        f'Deadline-Remaining-Ms: {deadline_ms}',
        f'Authorization: Token {KEY}',
        *extra,
    ]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode() + body


async def read_response(reader):
    """Read one response to its end; one that breaks off is not complete."""
    response = Response()
    try:
        first, response.headers = await reader.head()
        response.status = int(first.split()[1])
        if response.headers.get('transfer-encoding') == 'chunked':
            async for part in reader.chunks():
                response.body += part
        else:
            length = int(response.headers.get('content-length', '0'))
            response.body = await reader.exactly(length)
        response.complete = True
    except (EOFError, OSError, trio.BrokenResourceError, ValueError):
        response.complete = False
    return response


async def call(ip, port, method, path, attempt, deadline_ms, **request):
    """Send one request on a new connection; return its response."""
    try:
        stream = await trio.open_tcp_stream(ip, port)
    except OSError:
        return Response()
    async with stream:
        try:
            await stream.send_all(
                head_of(method, path, attempt, deadline_ms, **request)
            )
        except trio.BrokenResourceError:
            return Response()
        return await read_response(Reader(stream))


class Replica:
    """A sound replica: runs requests and streams, and notes what it ran.

    ``behave(request, stream)`` may answer a request itself and return True.
    """

    def __init__(self, name, record, work_s=0.02, events=28, pause_s=0.03):
        self.name = name
        self.record = record
        self.work_s = work_s
        self.events = events
        self.pause_s = pause_s
        self.ran = []
        self.behave = None
        self.address = ''

    async def serve(self, stream):
        async with stream:
            reader = Reader(stream)
            try:
                while True:
                    await self._serve_one(reader, stream)
            except (EOFError, OSError, trio.BrokenResourceError, ValueError):
                return

    async def _serve_one(self, reader, stream):
        first, headers = await reader.head()
        method, path, _ = first.split()
        length = int(headers.get('content-length', '0'))
        body = await reader.exactly(length)
        request = {
            'method': method,
            'path': path,
            'headers': headers,
            'body': body,
            'attempt': headers.get('attempt-id', ''),
        }
        if path == '/health':
            extra = (f'Replica-Id: {self.name}',)
            await self.answer(stream, request, 200, b'', extra, signed=False)
            return
        if path.startswith('/amaranthrail/'):
            await self.answer(stream, request, 404, b'', signed=False)
            return
        if headers.get('expect-replica', self.name) != self.name:
            self.record.write(f'{self.name} 421 {request["attempt"]}')
            await self.answer(stream, request, 421, b'', signed=False)
            return
        if self.behave is not None and await self.behave(request, stream):
            return
        self.note(request)
        await trio.sleep(self.work_s)
        if '/stream' in path:
            await self.send_stream(stream, request)
        else:
            await self.answer(stream, request, 200, b'x' * 800)

    def note(self, request):
        self.ran.append((self.record.now(), request['attempt']))
        self.record.write(f'{self.name} runs {request["attempt"]}')

    def head(self, request, status, extra=(), *, signed=True):
        lines = [
            f'HTTP/1.1 {status} Status',
            f'Attempt-Id: {request["attempt"]}',
            'Replica-Load: 1,0,6',
            *extra,
        ]
        if signed:
            lines.append('Replica-Signature: 3e1b.07.5a2.600.0.c9f2a4d1')
        return '\r\n'.join((*lines, '', '')).encode()

    async def answer(self, stream, request, status, body, extra=(), *, signed=True):
        length = f'Content-Length: {len(body)}'
        head = self.head(request, status, (length, *extra), signed=signed)
        await stream.send_all(head + body)

    async def send_stream(self, stream, request):
        first = int(request['headers'].get('last-event-id', '0')) + 1
        head = self.head(
            request,
            200,
            ('Content-Type: text/event-stream', 'Transfer-Encoding: chunked'),
        )
        await stream.send_all(head)
        for number in range(first, self.events + 1):
            event = f'id: {number}\ndata: piece {number}\n\n'.encode()
            await stream.send_all(b'%x\r\n%s\r\n' % (len(event), event))
            await trio.sleep(self.pause_s)
        await stream.send_all(b'0\r\n\r\n')


class Entry:
    """One process of the product."""

    def __init__(self, bed, number, zone='piacenza'):
        self.bed = bed
        self.number = number
        self.zone = zone
        self.ip = f'{bed.network}.{number}'
        self.settings = bed.directory / f'entry-{number}.conf'
        self.log = bed.directory / f'entry-{number}.log'
        self.process = None

    def start(self):
        bed = self.bed
        self.settings.write_text(
            SETTINGS.format(
                name=f'front-{self.zone}-{self.number}',
                ip=self.ip,
                zone=self.zone,
                seeds=','.join(
                    f'{bed.network}.{number}:{bed.ports[2]}'
                    for number in range(1, bed.seed_count + 1)
                ),
                store=bed.store_addresses.get(self.number, bed.store_address),
                front=bed.ports[0],
                ready=bed.ports[1],
                control=bed.ports[2],
                internal=bed.ports[3],
                internal_end=bed.ports[3] + 15,
            )
        )
        with self.log.open('ab') as output:
            self.process = subprocess.Popen(
                bed.command,
                cwd=ROOT,
                stdout=output,
                stderr=output,
                env={
                    'PATH': os.environ['PATH'],
                    'HOME': os.environ.get('HOME', '/'),
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'AMARANTHRAIL_CONFIG': str(self.settings),
                },
            )
        bed.record.write(f'entry {self.number} started')

    def signal(self, number):
        self.bed.record.write(f'entry {self.number} gets {number.name}')
        self.process.send_signal(number)

    async def probe(self):
        """Ask whether the entry is ready; return the status, 0 for none."""
        with trio.move_on_after(1):
            response = await call(
                self.ip, self.bed.ports[1], 'GET', '/amaranthrail/ready', '-', 1000
            )
            return response.status
        return 0

    async def until_ready(self):
        with trio.fail_after(READY_S):
            while await self.probe() != 200:
                await trio.sleep(0.05)

    async def call(self, method, path, attempt, deadline_ms, **request):
        return await call(
            self.ip, self.bed.ports[0], method, path, attempt, deadline_ms, **request
        )


class Ingress:
    """The platform's way in: probes entries and chooses one for a connection.

    An entry is out of rotation after two misses, and back after a 200. If fewer
    than half are in rotation, all are used.
    """

    def __init__(self, bed):
        self._bed = bed
        self._misses = {entry.number: 0 for entry in bed.entries}
        self._random = random.Random(1)

    async def run(self):
        async with trio.open_nursery() as probes:
            for entry in self._bed.entries:
                probes.start_soon(self._probe, entry)

    async def _probe(self, entry):
        while True:
            began = trio.current_time()
            ready = await entry.probe() == 200
            before = self._misses[entry.number]
            self._misses[entry.number] = 0 if ready else before + 1
            if not ready:
                self._bed.record.write(f'probe of entry {entry.number} missed')
            await trio.sleep(max(0, 1 - (trio.current_time() - began)))

    def choose(self):
        entries = self._bed.entries
        used = [entry for entry in entries if self._misses[entry.number] < 2]
        if len(used) < len(entries) / 2:
            used = entries
        return self._random.choice(used)


class Bed:
    """The store, the replicas and the entries of one run."""

    def __init__(self, nursery, directory, record):
        self.nursery = nursery
        self.directory = directory
        self.record = record
        self.log = KeyedLog()
        self.store_address = ''
        self.store_addresses = {}
        self.entries = []
        self.records = {}
        self.seed_count = 3
        second, third = divmod(os.getpid() % 62_500, 250)
        self.network = f'127.{second + 1}.{third}'
        self.ports = free_ports(f'{self.network}.1')
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        self.command = shlex.split(deploy['roles']['entry']['run'])

    async def listen(self, serve, host='127.0.0.1'):
        listeners = await trio.open_tcp_listeners(0, host=host)
        self.nursery.start_soon(trio.serve_listeners, serve, listeners)
        return '{}:{}'.format(*listeners[0].socket.getsockname()[:2])

    async def start_store(self):
        self.store_address = await self.listen(self.serve_store(self.log))

    def serve_store(self, log):
        state = ServerState(lambda: ServerLimits(8_000_000))

        async def serve(stream):
            await serve_connection(stream, log.handle, state)

        return serve

    def put_config(self, config):
        text = json.dumps(config).encode()
        self.log.topic('keyed.op').put('config', text)
        self.record.write(f'operator writes version {config["version"]}')

    async def add_replica(self, replica, service, zone='piacenza'):
        replica.address = await self.listen(replica.serve)
        self.records[replica.name] = {
            'service': service,
            'address': replica.address,
            'zone': zone,
            'version': 'v1',
            'slots': 6,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'sequence': 0,
            'born': getattr(replica, 'born', int(time.time() * 1000)),
        }
        self.beat(replica.name)

    def beat(self, name, **changes):
        """Write a replica's record, with the next sequence number."""
        record = self.records[name]
        record.update(changes, sequence=record['sequence'] + 1)
        self.log.topic('keyed.servers').put(name, json.dumps(record).encode())

    def drop(self, name):
        """Remove a replica's record, as after three silent heartbeats."""
        self.log.topic('keyed.servers').put(name, b'')
        self.record.write(f'store removes the entry of {name}')

    def add_entry(self, zone='piacenza'):
        entry = Entry(self, len(self.entries) + 1, zone)
        self.entries.append(entry)
        entry.start()
        return entry

    def stop(self):
        for entry in self.entries:
            if entry.process is not None and entry.process.poll() is None:
                entry.process.send_signal(signal.SIGCONT)
                entry.process.kill()
                entry.process.wait()


def free_ports(ip):
    """Return ports that are free there: front, ready, control, internal."""
    for first in range(21_000, 31_000, 40):
        try:
            for port in range(first, first + 24):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(type=kind) as probe:
                        probe.bind((ip, port))
        except OSError:
            continue
        return first, first + 1, first + 2, first + 4
    raise OSError('no free ports')


@asynccontextmanager
async def open_bed(record):
    """Yield a bed with a store; end all its processes afterwards."""
    with tempfile.TemporaryDirectory() as directory:
        async with trio.open_nursery() as nursery:
            bed = Bed(nursery, Path(directory), record)
            await bed.start_store()
            try:
                yield bed
            finally:
                bed.stop()
                if logs := os.environ.get('KEEP_LOGS'):
                    for entry in bed.entries:
                        target = Path(logs) / entry.log.name
                        target.write_bytes(entry.log.read_bytes())
                nursery.cancel_scope.cancel()


def route(name, kind, service, timeout_ms, **fields):
    """Return a route as the platform writes it."""
    return {
        'name': name,
        'host': HOST,
        'path_prefix': f'/{name}/',
        'kind': kind,
        'timeout_ms': timeout_ms,
        'target_latency_ms': fields.pop('target_ms', 128),
        'priority': 1,
        'service': service,
        'max_attempts': 2,
        'allow_anonymous': False,
        **fields,
    }


def config(version, routes, services):
    """Return a configuration with one tenant and the limits of the example."""
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': 'hule930', 'api_keys': [KEY], 'priority': 1}],
    }


def plain_service(name):
    return {
        'name': name,
        'health_path': '/health',
        'max_connections': 110,
        'protocol': 'h1',
        'tls': False,
    }


ENGINE = {
    'slots': 6,
    'kv_capacity_tokens': 186000,
    'stride': 5,
    'models': [{'name': 'm'}],
    'step_ms': 5.85,
    'per_seq_ms': 0.71,
    'context_per_k': 0.072,
    'read_per_s': 61200.0,
    'chunk': 512,
    'report_lag_ms': 200.0,
    'usual': {'prompt': 835, 'answer': 139},
}


def main(scenario, folder):
    """Run a scenario; exit with its verdict, 2 if it could not run."""
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(Path(folder) / 'record.txt')
    record.write(f'trouble: {trouble}')
    try:
        with_limit = trio.fail_after(110)

        async def run():
            with with_limit:
                return await scenario(record, trouble)

        verdict = trio.run(run)
    except BaseException as error:  # noqa: BLE001
        record.write(f'could not run: {error!r}')
        raise SystemExit(2) from error
    raise SystemExit(verdict)
