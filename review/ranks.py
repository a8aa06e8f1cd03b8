"""A group of model replicas that run their passes together, for the cases."""

from __future__ import annotations

import asyncio
import json
import time
from copy import deepcopy

from bed import Record, Replica, Request, Store, json_response, response

PASS_S = 0.1
REPORT_LAG_S = 0.2
EVENTS = 28
EXPERTS = 64
PLACES = 5
SPARE = 2
EXPERT_MB = 880.0
LINK_MBPS = 180_000.0
COPY_S = EXPERT_MB * 8 / LINK_MBPS
#: Tokens a pass that choose each expert; those of one of 16 ranks are liked most.
HOT = {0: 1000, 16: 1000, 32: 1000, 48: 1000}
USUAL = 50

ENGINE = {
    'slots': 6, 'kv_capacity_tokens': 186000, 'kv_token_bytes': 192512,
    'link_mbps': LINK_MBPS, 'stride': 5, 'models': [{'name': 'm'}],
    'step_ms': 5.85, 'per_seq_ms': 0.71, 'context_per_k': 0.072,
    'read_per_s': 61200.0, 'pairs_per_m': 0.325, 'chunk': 512,
    'report_lag_ms': REPORT_LAG_S * 1000, 'usual': {'prompt': 835,
                                                     'answer': 139},
    'sets': 1, 'experts': EXPERTS, 'placements': PLACES, 'spare': SPARE,
    'expert_mb': EXPERT_MB, 'expert_share': 0.85, 'form_ms': 600.0,
}


class Group:
    """Begin passes while requests run; note passes with different maps."""

    def __init__(self, record: Record, size: int) -> None:
        self.record = record
        self.size = size
        self.step = 0
        self.began = asyncio.Event()
        self.ranks: list[Rank] = []
        self.streams = 0
        self.mixed: list[int] = []
        self.changes = 0
        # Called with a rank and an order that it has just begun.
        self.on_order = None

    def first_map(self, rank: int) -> list[int]:
        return [expert for expert in range(EXPERTS)
                if expert % self.size == rank]

    async def run(self) -> None:
        while True:
            await asyncio.sleep(PASS_S)
            while not self.streams or any(
                    rank.held == self.step + 1 for rank in self.ranks):
                await asyncio.sleep(0.002)
            self._begin()

    def _begin(self) -> None:
        self.step += 1
        for rank in self.ranks:
            if rank.armed and rank.armed[1] == self.step:
                rank.version, rank.map = rank.armed[0], rank.armed_map
                rank.armed = None
                rank.note()
            rank.count()
        maps = {(rank.version, json.dumps(rank.map)) for rank in self.ranks}
        versions = [rank.version for rank in self.ranks]
        if len(maps) > 1:
            if not self.mixed:
                self.record(f'pass {self.step} begins with different maps, '
                            f'versions by rank {versions}')
            self.mixed.append(self.step)
        elif versions[0] != getattr(self, '_last', 0):
            self._last = versions[0]
            self.changes += 1
            self.record(f'pass {self.step} begins with map {versions[0]} '
                        'at all ranks')
        for rank in self.ranks:
            rank.note()
        self.began.set()
        self.began = asyncio.Event()


class Rank(Replica):
    """One rank: streams, reports of some hundred ms ago, and orders."""

    def __init__(self, store: Store, record: Record, service: str, name: str,
                 group: Group) -> None:
        super().__init__(store, record, service, name)
        self.group = group
        self.number = len(group.ranks)
        group.ranks.append(self)
        self.version = 0
        # The map as sent: by set and rank. Map 0 assigns experts in turn.
        self.map = [[group.first_map(rank) for rank in range(group.size)]]
        self.highest = 0
        self.copying = 0
        self.prepared = 0
        self.prepared_map = None
        self.armed: tuple[int, int] | None = None
        self.armed_map = None
        self.held = 0
        self.accepted = 0
        self.counts = [0] * EXPERTS
        self._history: list[tuple[float, dict]] = []
        self.note()

    def count(self) -> None:
        for expert in range(EXPERTS):
            self.counts[expert] += HOT.get(expert, USUAL)

    def note(self) -> None:
        """Keep the state for reports."""
        now = time.monotonic()
        state = {
            'stage': 'both', 'models': [{'name': 'm', 'version': 1,
                                         'adapters': []}],
            'busy': bool(self.copying), 'sequence': self.accepted,
            'queued': 0, 'in_flight': self.running, 'kv_used': 0,
            'kv_total': 186000, 'handles': 0, 'born': self.born,
            'group': {'name': 'g0', 'epoch': 1, 'rank': self.number,
                      'state': 'open'},
            'size': self.group.size, 'step': self.group.step,
            'map': self.version, 'prepared': self.prepared or None,
            'armed': None if self.armed is None else {
                'version': self.armed[0], 'step': self.armed[1]},
            'held': self.held or None, 'pace': 1,
        }
        self._history.append((now, deepcopy(state)))
        while len(self._history) > 2 and (
                self._history[1][0] < now - 2 * REPORT_LAG_S):
            self._history.pop(0)

    def report(self) -> dict:
        as_of = time.monotonic() - REPORT_LAG_S
        known = [state for at, state in self._history if at <= as_of]
        return known[-1] if known else self._history[0][1]

    async def handle(self, request: Request, writer) -> bytes | None:
        if request.path == '/amaranthrail/picked':
            if 'lists' in request.query:
                return json_response(200, {
                    'step': self.group.step, 'epoch': 1, 'map': {
                        'version': self.version,
                        'experts': [self.map[0][self.number]]}})
            return json_response(200, {'step': self.group.step, 'epoch': 1,
                                       'counts': self.counts})
        if request.path == '/amaranthrail/order':
            return await self._order(json.loads(request.body))
        if request.path.startswith('/amaranthrail/'):
            return json_response(200, self.report())
        wrong = self.misdirected(request)
        if wrong is not None:
            return wrong
        await self._stream(request, writer)
        return None

    async def _order(self, order: dict) -> bytes:
        status = self._apply(order)
        self.note()
        fields = {key: text for key, text in order.items() if key != 'map'}
        self.record(f'rank {self.number}: {fields} -> {status}')
        if self.group.on_order is not None and status == 202:
            self.group.on_order(self, order)
        return json_response(status, {})

    def _apply(self, order: dict) -> int:
        if order.get('epoch', 1) != 1:
            return 409
        version, step = order.get('version', 0), order.get('step', 0)
        operation = order['operation']
        if operation == 'prepare':
            return self._prepare(version, order['map'])
        if operation == 'arm':
            if self.armed == (version, step):
                return 200
            if version != self.prepared or step <= self.group.step:
                return 409
            self.armed, self.armed_map = (version, step), self.prepared_map
        elif operation == 'disarm':
            if version == self.version:
                return 409
            if self.armed is None or self.armed[0] != version:
                return 200
            self.armed = None
        elif operation == 'hold':
            if self.held == step:
                return 200
            if self.held or step <= self.group.step:
                return 409
            self.held = step
        elif operation == 'go':
            if self.held != step:
                return 200
            self.held = 0
        else:
            return 400
        self.accepted += 1
        return 202

    def _prepare(self, version: int, new: list) -> int:
        if version in {self.prepared, self.copying}:
            return 200
        if version <= self.highest or self.armed is not None:
            return 409
        added = len(set(new[0][self.number]) - set(self.map[0][self.number]))
        if added > SPARE:
            return 409
        self.highest = self.copying = version
        self.prepared = 0
        self.accepted += 1
        asyncio.create_task(self._copy(version, new, added * COPY_S))
        return 202

    async def _copy(self, version: int, new: list, seconds: float) -> None:
        await asyncio.sleep(seconds)
        if self.copying == version:
            self.copying = 0
            self.prepared, self.prepared_map = version, new
            self.note()

    async def _stream(self, request: Request, writer) -> None:
        attempt = request.headers.get('attempt-id', '')
        first = int(request.headers.get('last-event-id', 0)) + 1
        self.record(f'rank {self.number} runs {attempt} from event {first}')
        head = [('Content-Type', 'text/event-stream'),
                ('Transfer-Encoding', 'chunked'), ('Connection', 'close'),
                *self.answer_headers(request)]
        lines = ['HTTP/1.1 200 OK'] + [f'{name}: {text}' for name, text in head]
        self.running += 1
        self.group.streams += 1
        try:
            writer.write('\r\n'.join([*lines, '', '']).encode())
            for number in range(first, EVENTS + 1):
                await self.group.began.wait()
                event = f'id: {number}\ndata: {number}\n\n'.encode()
                writer.write(f'{len(event):x}\r\n'.encode() + event + b'\r\n')
                await writer.drain()
            writer.write(b'0\r\n\r\n')
            await writer.drain()
        finally:
            self.running -= 1
            self.group.streams -= 1
