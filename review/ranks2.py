"""A group of model replicas that run passes in lock-step, for the cases 6 to 10.

Each rank is an HTTP server of its own and follows PROTOCOL.md: reports are 200
ms old, copying takes its time, maps are not compared by the ranks. The group
notes each pass that begins while two ranks have different maps.
"""

from __future__ import annotations

import json
import random
import time

import trio

import bed2

RANKS = 16
SETS = 4
EXPERTS = 64
PLACEMENTS = 5
SPARE = 2
EXPERT_MB = 880.0
LINK_MBPS = 180_000.0
COPY_S = EXPERT_MB * 8 / LINK_MBPS
REPORT_AGE_S = 0.2
EVENTS = 28
#: Time of a pass: own work, and the experts' work at a skew of 1.
OWN_S = 0.035
EXPERTS_S = 0.022

EXPERT_ENGINE = {
    **bed2.ENGINE,
    'sets': SETS,
    'experts': EXPERTS,
    'placements': PLACEMENTS,
    'spare': SPARE,
    'expert_mb': EXPERT_MB,
    'link_mbps': LINK_MBPS,
    'expert_share': 0.85,
    'form_ms': 600.0,
}


class Rank(bed2.Replica):
    """One rank: its maps, its orders, and the streams sent to it."""

    def __init__(self, group, number, record):
        super().__init__(f'i-rank{number:02}', record)
        self.group = group
        self.number = number
        self.version = 0
        self.experts = [
            tuple(range(number, EXPERTS, RANKS)) for _ in range(SETS)
        ]
        self.born = int(time.time() * 1000)
        # The whole map in use, and the one that is prepared, as they were sent.
        self.content = 'map 0'
        self.next_content = ''
        self.highest = 0
        self.next_experts = None
        self.preparing = 0
        self.prepared_at = 0.0
        self.armed = None
        self.held = None
        self.sequence = 0
        self.counts = [0] * (SETS * EXPERTS)
        self.history = []
        # Called with each order before it is carried out, and for each answer;
        # see case.py.
        self.before_order = None
        self.note_answer = None
        # Time of a copy over that of its bytes on the link.
        self.copy_factor = 1.0

    @property
    def prepared(self):
        if self.preparing and trio.current_time() >= self.prepared_at:
            return self.preparing
        return 0

    def state(self):
        return {
            'stage': 'both',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'busy': bool(self.preparing and not self.prepared),
            'sequence': self.sequence,
            'queued': 0,
            'in_flight': 1,
            'kv_used': 0,
            'kv_total': 186000,
            'handles': 0,
            'pace': 1,
            'born': self.born,
            'group': {'name': 'g', 'epoch': 1, 'rank': self.number, 'state': 'open'},
            'size': RANKS,
            'step': self.group.step,
            'map': self.version,
            'prepared': self.prepared or None,
            'armed': self.armed
            and {'version': self.armed[0], 'step': self.armed[1]},
            'held': self.held,
        }

    def note_state(self):
        now = trio.current_time()
        self.history.append((now, self.state()))
        while len(self.history) > 2 and self.history[1][0] < now - REPORT_AGE_S:
            self.history.pop(0)

    def report(self):
        self.note_state()
        oldest = trio.current_time() - REPORT_AGE_S
        states = [state for at, state in self.history if at <= oldest]
        return states[-1] if states else self.history[0][1]

    def carry_out(self, order):
        """Carry an order out; return the status of its answer."""
        self.note_state()
        status = self._status_of(order)
        if status == 202:
            self.sequence += 1
        self.note_state()
        shown = {key: order[key] for key in ('operation', 'version', 'step') if key in order}
        self.record.write(f'{self.name} carries out {shown}: {status}')
        return status

    def _status_of(self, order):
        if order.get('epoch') != 1:
            return 409
        operation = order['operation']
        version, step = order.get('version', 0), order.get('step', 0)
        if operation == 'prepare':
            return self._prepare(version, order['map'])
        if operation == 'arm':
            if self.armed == (version, step) or self.version == version:
                return 200
            if self.armed or self.prepared != version or step <= self.group.step:
                return 409
            self.armed = (version, step)
            return 202
        if operation == 'disarm':
            if self.version == version:
                return 409
            if self.armed and self.armed[0] == version:
                self.armed = None
                return 202
            return 200
        if operation == 'hold':
            if self.held == step:
                return 200
            if self.held is not None or step <= self.group.step:
                return 409
            self.held = step
            return 202
        if operation == 'go':
            if self.held == step:
                self.held = None
                self.group.released.set()
                return 202
            return 200
        return 400

    def _prepare(self, version, placement):
        if version == self.preparing:
            return 200 if self.prepared else 202
        if self.armed or version <= self.highest:
            return 409
        mine = [tuple(by_rank[self.number]) for by_rank in placement]
        new = [
            len(set(wanted) - set(held))
            for wanted, held in zip(mine, self.experts, strict=True)
        ]
        if max(new) > SPARE or max(map(len, mine)) > PLACEMENTS:
            return 409
        self.highest = version
        self.preparing = version
        self.next_experts = mine
        self.next_content = json.dumps(placement)
        self.prepared_at = trio.current_time() + sum(new) * COPY_S * self.copy_factor
        return 202

    def begin_pass(self, step):
        if self.armed and self.armed[1] == step:
            self.version = self.armed[0]
            self.experts = self.next_experts
            self.content = self.next_content
            self.armed = None
            self.preparing = 0
        for index, weight in enumerate(self.group.weights):
            self.counts[index] += int(weight * 60)
        self.note_state()

    async def _serve_one(self, reader, stream):
        first, headers = await reader.head()
        method, path, _ = first.split()
        body = await reader.exactly(int(headers.get('content-length', '0')))
        request = {
            'method': method,
            'path': path,
            'headers': headers,
            'body': body,
            'attempt': headers.get('attempt-id', ''),
        }
        if self.note_answer is not None:
            self.note_answer(self)
        if late := getattr(reader, 'extra', None):
            # A second answer to an earlier request on this connection comes
            # where the next answer is expected.
            reader.extra = None
            self.record.write(f'{self.name} sends its second answer, before that to {path}')
            await stream.send_all(late)
        if headers.get('expect-replica', self.name) != self.name:
            await self.answer(stream, request, 421, b'{}', signed=False)
        elif path == '/amaranthrail/report':
            await self.send_json(stream, 200, self.report())
        elif path.startswith('/amaranthrail/picked'):
            content = {
                'step': self.group.step,
                'epoch': 1,
                'counts': self.counts,
                'born': self.born,
            }
            if 'lists' in path:
                content = {
                    'step': self.group.step,
                    'epoch': 1,
                    'map': {'version': self.version, 'experts': self.experts},
                    'prepared': None,
                    'born': self.born,
                }
            await self.send_json(stream, 200, content)
        elif path == '/amaranthrail/order':
            await self._serve_order(json.loads(body), reader, stream)
        else:
            self.note(request)
            await self.send_stream(stream, request)

    async def _serve_order(self, order, reader, stream):
        if self.before_order is not None and await self.before_order(
            self, order, reader, stream
        ):
            return
        await self.send_json(stream, self.carry_out(order), {})

    def json_answer(self, status, content):
        body = json.dumps(content).encode()
        lines = (
            f'HTTP/1.1 {status} Status',
            'Content-Type: application/json',
            f'Content-Length: {len(body)}',
            '',
            '',
        )
        return '\r\n'.join(lines).encode() + body

    async def send_json(self, stream, status, content):
        await stream.send_all(self.json_answer(status, content))

    async def send_stream(self, stream, request):
        group = self.group
        first = int(request['headers'].get('last-event-id', '0')) + 1
        head = self.head(
            request,
            200,
            ('Content-Type: text/event-stream', 'Transfer-Encoding: chunked'),
        )
        group.streams += 1
        group.wake.set()
        try:
            for number in range(first, EVENTS + 1):
                await group.passed.wait()
                event = f'id: {number}\ndata: piece {number}\n\n'.encode()
                chunk = b'%x\r\n%s\r\n' % (len(event), event)
                if number == first:
                    chunk = head + chunk
                await stream.send_all(chunk)
            await stream.send_all(b'0\r\n\r\n')
        finally:
            group.streams -= 1


class Group:
    """Run the passes of all ranks; note where their maps differ."""

    def __init__(self, record, seed=1):
        self.record = record
        self.random = random.Random(seed)
        self.step = 0
        self.streams = 0
        self.broken = []
        self.switches = 0
        self.wake = trio.Event()
        self.passed = trio.Event()
        self.released = trio.Event()
        self.ranks = [Rank(self, number, record) for number in range(RANKS)]
        self.shift()

    def shift(self):
        """Change which experts are in demand."""
        self.weights = []
        for _ in range(SETS):
            hot = self.random.sample(range(EXPERTS), 6)
            weights = [0.4] * EXPERTS
            for expert in hot:
                weights[expert] = 12.0
            self.weights.extend(weights)

    def skew(self):
        skews = []
        for index in range(SETS):
            weights = self.weights[index * EXPERTS : (index + 1) * EXPERTS]
            copies = [0] * EXPERTS
            for rank in self.ranks:
                for expert in rank.experts[index]:
                    copies[expert] += 1
            loads = [
                sum(weights[expert] / max(1, copies[expert]) for expert in rank.experts[index])
                for rank in self.ranks
            ]
            skews.append(max(loads) / (sum(loads) / len(loads)))
        return sum(skews) / len(skews)

    async def run(self):
        while True:
            if not self.streams:
                self.wake = trio.Event()
                await self.wake.wait()
            step = self.step + 1
            while any(rank.held == step for rank in self.ranks):
                self.released = trio.Event()
                await self.released.wait()
            self.step = step
            before = self.ranks[0].version
            for rank in self.ranks:
                rank.begin_pass(step)
            versions = {rank.name: rank.version for rank in self.ranks}
            maps = {(rank.version, rank.content) for rank in self.ranks}
            if len(maps) > 1:
                if not self.broken:
                    self.record.write(f'pass {step} begins with the maps {versions}')
                self.broken.append(step)
            elif self.ranks[0].version != before:
                self.switches += 1
                self.record.write(
                    f'pass {step} begins with map {self.ranks[0].version} at all ranks, '
                    f'skew {self.skew():.2f}'
                )
            await trio.sleep(OWN_S + EXPERTS_S * self.skew())
            self.passed.set()
            self.passed = trio.Event()


async def start(bed, group, entries=2):
    """Start the ranks, the entries and the passes; return the entries."""
    bed.put_config(
        bed2.config(
            7,
            [
                bed2.route(
                    'stream-a', 'streaming', 'redattore', 8000,
                    target_ms=403, target_gap_ms=120,
                    stream_resume=True, session_affinity=True,
                ),
            ],
            [{**bed2.plain_service('redattore'), 'engine': EXPERT_ENGINE}],
        )
    )
    zones = ('piacenza', 'bobbio', 'rivergaro')
    for rank in group.ranks:
        await bed.add_replica(rank, 'redattore', zones[rank.number % 3])
    started = [bed.add_entry(zones[number % 3]) for number in range(entries)]
    for entry in started:
        await entry.until_ready()
    bed.nursery.start_soon(group.run)
    return started


async def stream(record, entry, number, served):
    """Send one stream and note its end."""
    response = await entry.call(
        'POST', f'/stream-a/{number}', f'stream-{number}', 8050, body=b'prompt',
        extra=('Model: m', 'Token-Usage: 714,139', f'Prompt-Prefix: 5c1e07a2:40,{number:08x}:674'),
    )
    served.append(response.complete and response.status == 200)
    record.write(f'client has {response.status} for stream-{number}, complete {response.complete}')
