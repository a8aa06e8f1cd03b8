"""Stand-ins of the platform, of replicas and of clients for the cases 12 on.

Only the standard library is used. All addresses are loopback addresses.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import random
import shutil
import signal
import struct
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.2
MAX_HEAD = 262144
# Clients' deadline for streams, and the gap after which they give up.
DEADLINE_S = 8.051
GAP_S = 2.0
HOST = 'desk.example'
KEY = 'key-of-the-desk'
PORTS = {'front': 8227, 'ready': 8220}
SETTINGS = """\
node_name={name}
role=entry
machine_class=front
serves=front,control
ip={host}
zone=piacenza
region=emilia-nord
zones.piacenza=emilia-nord
zones.bobbio=emilia-nord
zones.rivergaro=emilia-nord
listen.front={host}:8227
listen.ready={host}:8220
listen.control={host}:8229
internal_ports=7340,7355
seed_nodes={seeds}
bootstrap={bootstrap}
limits.cpu_share=0.817
limits.memory_mb=300
limits.max_fds=1024
limits.link_mbps=1000.0
discovery=platform
heartbeat_ms=1200
bounds.addr_reuse_s=2
bounds.contact_ms=3000
bounds.drain_ms=2000
bounds.grace_s=8
bounds.config_apply_ms=2000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.retry_budget_slack=92
bounds.recovery_s=12
bounds.stall_ms=1500
platform.address={store}
platform.form=log
"""


class CannotRun(Exception):
    """Say why a case could not be tried."""


class Record:
    """Write what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._began = time.monotonic()

    def now(self):
        return time.monotonic() - self._began

    def write(self, text):
        self._file.write(f'{self.now():8.3f}  {text}\n')
        self._file.flush()


class Head:
    """Hold the first line and the fields of a message."""

    def __init__(self, first, fields):
        self.first = first
        self.fields = fields

    def get(self, name, default=''):
        return self.fields.get(name, default)


async def read_message(reader):
    """Return a head and its body, None at the end of the connection."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode('latin-1').split('\r\n')
    fields = {}
    for line in lines[1:]:
        name, colon, text = line.partition(':')
        if colon:
            fields[name.strip().lower()] = text.strip()
    head = Head(lines[0].split(' ', 2), fields)
    body = b''
    try:
        if 'chunked' in head.get('transfer-encoding').lower():
            while True:
                size = int((await reader.readline()).split(b';')[0], 16)
                part = await reader.readexactly(size + 2)
                if not size:
                    break
                body += part[:-2]
        else:
            body = await reader.readexactly(int(head.get('content-length', '0')))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return head, body


def message(status, body=b'', **fields):
    """Return a response with a length."""
    lines = [f'HTTP/1.1 {status} x', f'Content-Length: {len(body)}']
    lines += [f'{name.replace("_", "-")}: {text}' for name, text in fields.items()]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


class Server:
    """Serve HTTP on a loopback address, one request at a time a connection."""

    def __init__(self, host):
        self.host = host
        self.port = 0
        self._server = None

    @property
    def address(self):
        return f'{self.host}:{self.port}'

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, self.host, 0, limit=MAX_HEAD
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        try:
            while True:
                received = await read_message(reader)
                if received is None:
                    return
                reply = asyncio.ensure_future(self._reply(writer, *received))
                gone = asyncio.ensure_future(reader.read(1))
                await asyncio.wait(
                    {reply, gone}, return_when=asyncio.FIRST_COMPLETED
                )
                # The caller's close ends the work.
                for task in (gone, reply) if reply.done() else (reply,):
                    task.cancel()
                    with contextlib.suppress(asyncio.CancelledError):
                        if task is gone or not task.done():
                            await task
                if reply.cancelled() or not reply.result():
                    return
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _reply(self, writer, head, body):
        """Send the answer; return False where the connection is to be closed."""
        answer = await self.answer(head, body)
        if answer is None:
            return False
        if isinstance(answer, bytes):
            writer.write(answer)
            await writer.drain()
            return True
        async for part in answer:
            if part is None:
                return False
            writer.write(part)
            await writer.drain()
        return True


class Store(Server):
    """The platform's store: the log calls that PROTOCOL.md describes."""

    def __init__(self, host):
        super().__init__(host)
        self._topics = {}
        self._changed = asyncio.Event()
        # While it is down, it answers nothing.
        self.is_down = False

    def put(self, topic, key, value):
        self._topics.setdefault(topic, []).append((key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(self, head, body):
        if self.is_down:
            await asyncio.sleep(3600)
        target, _, text = head.first[1].partition('?')
        query = dict(part.partition('=')[::2] for part in text.split('&'))
        topic = query.get('topic', '')
        call = target.rpartition('/')[2]
        if call == 'log-newest':
            return self._newest(topic)
        if call == 'log-read':
            return await self._read(topic, query)
        if call == 'log-append':
            while body:
                size = struct.unpack('>I', body[:4])[0]
                raw, body = body[4 : 4 + size], body[4 + size :]
                self.put(topic, raw[1 : 1 + raw[0]].decode(), raw[1 + raw[0] :])
            end = len(self._topics[topic])
            return self._json({'offset': end - 1, 'end_offset': end})
        return message(404, b'{}')

    def _json(self, content):
        body = json.dumps(content).encode()
        return message(200, body, Content_Type='application/json', Store_Era='0')

    def _newest(self, topic):
        records = self._topics.get(topic, [])
        newest = {}
        for offset, (key, value) in enumerate(records):
            newest.pop(key, None)
            if value:
                newest[key] = {
                    'key': key,
                    'value': base64.b64encode(value).decode(),
                    'offset': offset,
                }
        return self._json(
            {
                'items': [newest[key] for key in sorted(newest)],
                'has_more': False,
                'end_offset': len(records),
            }
        )

    async def _read(self, topic, query):
        start = int(query.get('from', '0'))
        until = time.monotonic() + int(query.get('wait_ms', '0')) / 1000
        records = self._topics.setdefault(topic, [])
        while len(records) <= start and time.monotonic() < until:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(
                    self._changed.wait(), until - time.monotonic()
                )
        body = struct.pack('>QQ', len(records), 0)
        for key, value in records[start:]:
            name = key.encode()
            raw = bytes([len(name)]) + name + value
            body += struct.pack('>I', len(raw)) + raw
        if self.is_down:
            await asyncio.sleep(3600)
        return message(200, body, Store_Era='0')


class Replica(Server):
    """A plain replica: runs requests, registers itself, tells its health."""

    def __init__(self, name, host, service, store, record, slots=6):
        super().__init__(host)
        self.name = name
        self.service = service
        self.slots = slots
        self.zone = 'piacenza'
        self.reaches_store = True
        self.work_s = 0.0225
        self.running = 0
        self.runs = []
        self._store = store
        self.record = record
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._listed = False
        self._written_at = 0.0

    async def register(self):
        """Write to the store every heartbeat; the entry lapses after three."""
        while True:
            now = time.monotonic()
            if self.reaches_store:
                self._sequence += 1
                self._written_at = now
                if not self._listed:
                    self.record.write(f'{self.name} is in the store')
                self._listed = True
                content = {
                    'service': self.service,
                    'address': self.address,
                    'zone': self.zone,
                    'version': 'v1',
                    'slots': self.slots,
                    'state': 'ready',
                    'cold_remaining_ms': 0,
                    'sequence': self._sequence,
                    'born': self._born,
                }
                self._store.put(
                    'keyed.servers', self.name, json.dumps(content).encode()
                )
            elif self._listed and now - self._written_at >= 3 * HEARTBEAT_S:
                self._listed = False
                self.record.write(f'the store removes the entry of {self.name}')
                self._store.put('keyed.servers', self.name, b'')
            await asyncio.sleep(HEARTBEAT_S if self.reaches_store else 0.1)

    async def answer(self, head, body):
        method, path = head.first[:2]
        attempt = head.get('attempt-id')
        if path == '/health':
            return message(
                200, Replica_Id=self.name, Replica_Load=f'{self.running},0,{self.slots}'
            )
        if head.get('expect-replica', self.name) != self.name:
            return message(421, Attempt_Id=attempt)
        return await self.respond(method, path, attempt)

    async def respond(self, method, path, attempt):
        return await self.run(path, attempt)

    async def run(self, path, attempt, status=200):
        """Run a request; the response is signed, as all of a run are."""
        self.runs.append((self.record.now(), attempt, path))
        self.record.write(f'{self.name} runs {attempt} {path}')
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        self.record.write(f'{self.name} answers {attempt} with {status}')
        return message(
            status,
            f'{self.name} ran {path}'.encode(),
            Attempt_Id=attempt,
            Replica_Signature=f'{self.name}.{attempt}',
            Replica_Load=f'{self.running},0,{self.slots}',
        )


STALL_S = 1.5
FORM_S = 0.6
SETS = 4
EXPERTS = 64
QUEUE = 6
EVENTS = 28
EVENT_GAP_S = 0.04
ENGINE = {
    'slots': 6,
    'kv_capacity_tokens': 186000,
    'kv_token_bytes': 192512,
    'link_mbps': 180000.0,
    'stride': 5,
    'models': [{'name': 'm'}],
    'step_ms': 5.85,
    'per_seq_ms': 0.71,
    'context_per_k': 0.072,
    'read_per_s': 61200.0,
    'pairs_per_m': 0.325,
    'chunk': 512,
    'report_lag_ms': 200.0,
    'usual': {'prompt': 835, 'answer': 139},
    'sets': SETS,
    'experts': EXPERTS,
    'placements': 5,
    'spare': 2,
    'expert_mb': 880.0,
    'expert_share': 0.85,
    'form_ms': 600.0,
}


def step_count(group):
    """Return the passes of a group, none while it is stopped."""
    if group.is_open:
        group.steps = int(time.monotonic() / EVENT_GAP_S) % 1000000
    return getattr(group, 'steps', 0)


class Group:
    """The ranks of one group: all of them stop while one is missing."""

    def __init__(self):
        self.is_open = True
        self.changed = asyncio.Event()
        self.ranks = []
        self.epoch = 1
        self.missing = ''
        self._missing = 0

    def lose(self, name):
        """A rank is gone: all stop."""
        self._missing += 1
        self.missing = name
        self._set_open(False)

    async def find(self):
        """A rank is back: the group opens FORM_S after the last one."""
        self._missing -= 1
        await asyncio.sleep(FORM_S)
        if not self._missing and not self.is_open:
            self.epoch += 1
            self._set_open(True)

    def _set_open(self, is_open):
        self.is_open = is_open
        self.changed.set()
        self.changed = asyncio.Event()

    async def work(self, seconds):
        """Work so long; return False if the group stops for STALL_S."""
        until = time.monotonic() + seconds
        while True:
            if not self.is_open:
                try:
                    await asyncio.wait_for(self.changed.wait(), STALL_S)
                except asyncio.TimeoutError:
                    return False
                until = time.monotonic() + seconds
                continue
            left = until - time.monotonic()
            if left <= 0:
                return True
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Rank(Replica):
    """A model replica that is a rank of the group."""

    group = None
    first_event_s = 0.25

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self._writers = set()
        self.is_up = True
        # Requests whose answer has not begun.
        self.waiting = 0
        self.group.ranks.append(self)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            await super()._serve(reader, writer)
        finally:
            self._writers.discard(writer)

    async def answer(self, head, body):
        """Answer; requests beyond slots and queue are turned away."""
        method, path = head.first[:2]
        attempt = head.get('attempt-id')
        call = path.partition('?')[0]
        if call == '/amaranthrail/report':
            return self._json(self._report())
        if call == '/amaranthrail/picked':
            counts = [step_count(self.group)] * (SETS * EXPERTS)
            return self._json(
                {'step': step_count(self.group), 'epoch': 1, 'counts': counts}
            )
        if call == '/amaranthrail/order':
            return message(409, b'{}', Content_Type='application/json')
        if head.get('expect-replica', self.name) != self.name:
            return message(421, Attempt_Id=attempt, At_Server=self.name)
        if self.running >= self.slots + QUEUE:
            return self._refuse(attempt, self.name)
        return self.stream(head, attempt)

    async def stream(self, head, attempt):
        """Write a stream; cut it, or refuse it, where the group stops."""
        self.running += 1
        self.waiting += 1
        try:
            try:
                is_done = await self.group.work(self.first_event_s)
            finally:
                self.waiting -= 1
            if not is_done:
                yield self._refuse(attempt, self.group.missing)
                return
            if self.crashes_on(head):
                yield None
                return
            first = int(head.get('last-event-id') or '0') + 1
            lines = [
                'HTTP/1.1 200 OK',
                'Content-Type: text/event-stream',
                'Transfer-Encoding: chunked',
                f'Attempt-Id: {attempt}',
                f'Replica-Signature: {self.name}.{attempt}',
                'Weight-Versions: 1',
                f'Replica-Load: {self.running},0,{self.slots}',
            ]
            yield '\r\n'.join(lines).encode() + b'\r\n\r\n'
            for number in range(first, EVENTS + 1):
                event = f'id: {number}\ndata: {number}\n\n'.encode()
                yield f'{len(event):x}\r\n'.encode() + event + b'\r\n'
                if not await self.group.work(EVENT_GAP_S):
                    yield None
                    return
            yield b'0\r\n\r\n'
        finally:
            self.running -= 1

    def crashes_on(self, head):
        """Tell whether the replica crashes as it begins to answer."""
        return False

    def _refuse(self, attempt, at_fault):
        return message(
            503,
            Attempt_Id=attempt,
            Not_Executed='1',
            At_Server=at_fault,
            Replica_Load=f'{self.running},0,{self.slots}',
        )

    def _json(self, content):
        return message(
            200, json.dumps(content).encode(), Content_Type='application/json'
        )

    def _report(self):
        return {
            'stage': 'both',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'busy': False,
            'sequence': 0,
            'queued': 0,
            'in_flight': self.running,
            'kv_used': 800 * self.running,
            'kv_total': 186000,
            'handles': 0,
            'pace': 1.0,
            'born': self._born,
            'group': {
                'name': 'g0',
                'epoch': self.group.epoch,
                'rank': self.group.ranks.index(self),
                'state': 'open' if self.group.is_open else 'broken',
            },
            'size': len(self.group.ranks),
            'step': step_count(self.group),
            'map': 0,
        }

    async def crash(self, down_s):
        """Crash, and come back under the same id after ``down_s``."""
        if not self.is_up:
            return
        self.is_up = False
        self.record.write(
            f'{self.name} crashes with {self.running} requests, '
            f'{self.waiting} of them without an answer'
        )
        self.reaches_store = False
        self.group.lose(self.name)
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()
        await asyncio.sleep(down_s)
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=MAX_HEAD
        )
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self.reaches_store = True
        self.record.write(f'{self.name} is back')
        self.is_up = True
        await self.group.find()


class Entry:
    """One entry, started with the command of the deploy file."""

    def __init__(self, name, host, folder):
        self.name = name
        self.host = host
        self._folder = folder
        self.process = None

    def start(self, store, seeds, bootstrap='true'):
        settings = self._folder / f'{self.name}.conf'
        settings.write_text(
            SETTINGS.format(
                name=self.name,
                host=self.host,
                store=store,
                bootstrap=bootstrap,
                seeds=','.join(f'{seed}:8229' for seed in seeds),
            )
        )
        python = shutil.which('python3.11') or shutil.which('python3')
        with open(self._folder / f'{self.name}.log', 'ab') as log:
            self.process = subprocess.Popen(
                [python, '-S', '-m', 'amaranthrail.platform'],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    'PATH': os.environ.get('PATH', ''),
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'AMARANTHRAIL_CONFIG': str(settings),
                },
            )

    async def until_ready(self):
        until = time.monotonic() + 30
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CannotRun(f'{self.name} ended with {self.process.returncode}')
            try:
                status, _, _ = await asyncio.wait_for(
                    call((self.host, PORTS['ready']), 'GET', '/amaranthrail/ready'), 2
                )
                if status == 200:
                    return
            except (OSError, ValueError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRun(f'{self.name} is not ready')

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


async def call(address, method, path, **fields):
    """Send a request on a new connection; return status, fields and body.

    The status is 0 where the connection closed without an answer.
    """
    reader, writer = await asyncio.open_connection(*address)
    try:
        lines = [f'{method} {path} HTTP/1.1', f'Host: {HOST}']
        lines += [f'{name.replace("_", "-")}: {text}' for name, text in fields.items()]
        if method == 'POST':
            lines.append('Content-Length: 0')
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
        await writer.drain()
        received = await read_message(reader)
        if received is None:
            return 0, {}, b''
        head, body = received
        return int(head.first[1]), head.fields, body
    finally:
        writer.close()


_ids = itertools.count(1)


def new_attempt():
    return f'{next(_ids):08x}{random.getrandbits(32):08x}'


async def send(
    record, entry, path, attempt, deadline_ms, give_up_s=None, **fields
):
    """Send one client attempt and record it; 0 stands for no answer.

    The client gives up after ``give_up_s``, by default soon after its deadline.
    """
    record.write(f'client sends {attempt} POST {path} to {entry.name}')
    try:
        status, got, _ = await asyncio.wait_for(
            call(
                (entry.host, PORTS['front']),
                'POST',
                path,
                Attempt_Id=attempt,
                Authorization=f'Token {KEY}',
                Deadline_Remaining_Ms=str(deadline_ms),
                **fields,
            ),
            give_up_s or deadline_ms / 1000 + 0.5,
        )
    except (OSError, asyncio.TimeoutError):
        status, got = 0, {}
    signed = 'signed' if 'replica-signature' in got else 'not signed'
    record.write(f'client gets {attempt} {status} ({signed})')
    return status, got


async def stream(record, entry, path, attempt, deadline_ms, **fields):
    """Send a client attempt for a stream; give up after a gap of GAP_S.

    Return the status, the fields, whether an event came and whether the stream
    was complete. The status is 0 where no head came.
    """
    record.write(f'client sends {attempt} POST {path} to {entry.name}')
    status, got, data, is_complete = 0, {}, b'', False
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(entry.host, PORTS['front']), 1
        )
        lines = [
            f'POST {path} HTTP/1.1',
            f'Host: {HOST}',
            'Content-Length: 0',
            f'Attempt-Id: {attempt}',
            f'Authorization: Token {KEY}',
            f'Deadline-Remaining-Ms: {deadline_ms}',
        ]
        lines += [f'{name.replace("_", "-")}: {text}' for name, text in fields.items()]
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
        raw = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), GAP_S)
        first, *rest = raw.decode('latin-1').split('\r\n')
        status = int(first.split(' ')[1])
        for line in rest:
            name, _, text = line.partition(':')
            got[name.strip().lower()] = text.strip()
        if 'chunked' in got.get('transfer-encoding', '').lower():
            size = 1
            while size:
                line = await asyncio.wait_for(reader.readline(), GAP_S)
                size = int(line, 16)
                data += (await asyncio.wait_for(reader.readexactly(size + 2), GAP_S))[:-2]
        else:
            size = int(got.get('content-length', '0'))
            data = await asyncio.wait_for(reader.readexactly(size), GAP_S)
        is_complete = True
    except (OSError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer is not None:
            writer.close()
    has_begun = status == 200 and b'\n\n' in data
    is_complete = status == 200 and is_complete
    record.write(
        f'client gets {attempt} {status}, {data.count(bytes(2 * [10]))} events'
        f'{", complete" if is_complete else ""}'
    )
    return status, got, has_begun, is_complete


async def ask_stream(record, entries, path, **fields):
    """Ask for a stream, once more at another entry; return both results."""
    first = random.randrange(len(entries))
    until = time.monotonic() + DEADLINE_S
    results = []
    for number in range(2):
        left = until - time.monotonic()
        results.append(
            await stream(
                record,
                entries[(first + number) % len(entries)],
                path,
                new_attempt(),
                int(left * 1000),
                **fields,
            )
        )
        status, got, _, is_complete = results[-1]
        if is_complete or 400 <= status < 429 and status not in (408, 421):
            break
        pause = float(got.get('retry-after', '0.1'))
        await asyncio.sleep(min(pause, (until - time.monotonic()) / 3))
    return results


class KeptConnection:
    """A client's connection that is kept for many requests."""

    def __init__(self, entry):
        self.entry = entry
        self._reader = None
        self._writer = None

    @property
    def is_open(self):
        return self._writer is not None

    async def open(self):
        """Open the connection; return False where nothing listens."""
        try:
            self._reader, self._writer = await asyncio.open_connection(
                self.entry.host, PORTS['front']
            )
        except OSError:
            return False
        return True

    async def call(self, method, path, **fields):
        """Send a request; status 0 is a connection closed without an answer."""
        if self._writer is None and not await self.open():
            return 0, {}
        lines = [f'{method} {path} HTTP/1.1', f'Host: {HOST}', 'Content-Length: 0']
        lines += [f'{name.replace("_", "-")}: {text}' for name, text in fields.items()]
        self._writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
        await self._writer.drain()
        received = await read_message(self._reader)
        if received is None:
            self.close()
            return 0, {}
        head, _ = received
        if head.get('connection').lower() == 'close':
            self.close()
        return int(head.first[1]), head.fields

    def close(self):
        if self._writer is not None:
            self._writer.close()
            self._writer = None


def configuration(routes, version=7, max_header_bytes=16384, more_keys=()):
    """Return a configuration; ``more_keys`` are those of a second tenant."""
    services = sorted({route['service'] for route in routes})
    return json.dumps(
        {
            'version': version,
            'routes': routes,
            'services': [
                {'name': name, 'health_path': '/health', 'engine': ENGINE}
                if name == 'redattore'
                else {'name': name, 'health_path': '/health'}
                for name in services
            ],
            'limits': {
                'max_header_bytes': max_header_bytes,
                'max_body_bytes': 1048576,
                'header_timeout_ms': 3000,
                'idle_timeout_ms': 15000,
            },
            'tenants': [
                {'name': 'desk', 'api_keys': [KEY]},
                {'name': 'guild', 'api_keys': list(more_keys)},
            ],
        }
    ).encode()


def route(name, kind, service, max_attempts, timeout_ms=4000, **fields):
    return {
        **fields,
        'name': name,
        'host': HOST,
        'path_prefix': f'/{name}/',
        'kind': kind,
        'service': service,
        'timeout_ms': timeout_ms,
        'target_latency_ms': 128,
        'priority': 3,
        'max_attempts': max_attempts,
    }


def free_hosts(count):
    """Return loopback addresses on which the ports of entries are free."""
    import socket

    for _ in range(200):
        base = f'127.{random.randrange(1, 255)}.{random.randrange(1, 255)}'
        hosts = [f'{base}.{number}' for number in range(2, count + 2)]
        try:
            for host in hosts:
                for port in (*PORTS.values(), 8229, 7340, 7341):
                    with socket.socket() as probe:
                        probe.bind((host, port))
        except OSError:
            continue
        return hosts
    raise CannotRun('no free loopback addresses')


@contextlib.asynccontextmanager
async def fleet(record, entries, routes, **limits):
    """Yield the store and started entries; add(replica) starts a replica."""
    hosts = free_hosts(entries + 1)
    tasks = []
    with tempfile.TemporaryDirectory() as folder:
        store = Store(hosts[-1])
        await store.start()
        store.put('keyed.op', 'config', configuration(routes, **limits))
        started = [
            Entry(f'front-{number}', host, Path(folder))
            for number, host in enumerate(hosts[:-1], 1)
        ]

        async def add(replica):
            await replica.start()
            tasks.append(asyncio.ensure_future(replica.register()))

        async def start():
            for entry in started:
                entry.start(store.address, hosts[:-1])
            for entry in started:
                await entry.until_ready()
            record.write(f'{len(started)} entries are ready')
            await asyncio.sleep(1.0)

        try:
            yield store, started, add, start
        finally:
            for entry in started:
                entry.end()
            for task in tasks:
                task.cancel()
            if 'KEEP_LOGS' in os.environ:
                for log in Path(folder).glob('*.log'):
                    shutil.copy(log, os.environ['KEEP_LOGS'])


def main(play):
    """Play a case: exit 1 if the rule was broken, 0 if it held, 2 if not run."""
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(Path(sys.argv[1]) / 'record.txt')
    record.write(f'the disruption is {"on" if trouble else "off"}')
    loop = asyncio.new_event_loop()
    loop.set_exception_handler(lambda _loop, _context: None)
    try:
        broken = loop.run_until_complete(
            asyncio.wait_for(play(record, trouble), 110)
        )
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        record.write(f'the case could not run: {error!r}')
        os._exit(2)
    record.write('the rule was broken' if broken else 'the rule held')
    sys.stdout.flush()
    os._exit(1 if broken else 0)
