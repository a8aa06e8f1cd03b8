"""Stand in for a model engine that batches continuously.

Run as ``python -m standins.engine HOST:PORT NAME [--slots N] [--step-ms X]``.
One step makes one token of every sequence in the batch and takes longer the
larger the batch. Prompts whose prefix is cached skip the prefill.
"""

from __future__ import annotations

import argparse
import hashlib
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Any

import msgspec
import trio

from amaranthrail.adapters.httpserver import HttpRequest, ResponseWriter

from .faults import Faults, send_cut
from .serving import JSON, send_json, serve

_CHARS_PER_TOKEN = 4
_PREFIX_CHARS = 256
_PREFIX_ENTRIES = 32
#: Each further sequence of a batch lengthens its step by this share.
BATCH_COST = 0.02
_PREFILL_STEP_TOKENS = 256
_LOAD_LAG_S = 0.5
_BAD_REQUEST = 400
_BAD_ORDER = (
    msgspec.DecodeError,
    AttributeError,
    TypeError,
    ValueError,
)
_STREAM = (('content-type', 'text/event-stream'),)


@dataclass(eq=False)
class Sequence:
    """Hold one request in the batch."""

    prefill_steps: int
    tokens_left: int
    priority: int
    order: int
    made: int = 0
    advanced: trio.Event = field(default_factory=trio.Event)

    def advance(self) -> None:
        """Take part in one step."""
        if self.prefill_steps:
            self.prefill_steps -= 1
            return
        self.made += 1
        self.tokens_left -= 1
        self.advanced.set()
        self.advanced = trio.Event()


class Engine:
    """Batch sequences, step by step."""

    def __init__(self, name: str, slots: int, step_ms: float) -> None:
        """Take the batch's size and the time of a step of one sequence."""
        self._name = name
        self._slots = slots
        self._step_ms = step_ms
        self._faults = Faults()
        self._waiting: list[Sequence] = []
        self._batch: list[Sequence] = []
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self._arrived = trio.Event()
        self._count = 0
        self._hits = 0
        self._load = {'running': 0, 'waiting': 0}

    async def handle(self, request: HttpRequest, reply: ResponseWriter) -> None:
        """Answer one request."""
        if request.path == '/load':
            await send_json(reply, self._load)
        elif request.path == '/control/cache':
            await send_json(reply, {'hits': self._hits, 'calls': self._count})
        elif request.path.startswith('/control/'):
            await self._faults.control(request, reply)
        else:
            await self._complete(request, reply)

    async def step_forever(self) -> None:
        """Step the batch whenever there is one."""
        while True:
            while not self._batch and not self._waiting:
                await self._arrived.wait()
            await self._faults.wait_unstalled()
            self._fill_batch()
            growth = 1 + BATCH_COST * (len(self._batch) - 1)
            await trio.sleep(self._step_ms * growth / 1000)
            for sequence in tuple(self._batch):
                sequence.advance()
                if not sequence.tokens_left:
                    self._batch.remove(sequence)

    async def report_load(self) -> None:
        """Refresh the load report, late."""
        while True:
            await trio.sleep(_LOAD_LAG_S)
            self._load = {
                'running': len(self._batch),
                'waiting': len(self._waiting),
            }

    def _fill_batch(self) -> None:
        self._waiting.sort(key=lambda one: (one.priority, one.order))
        while self._waiting and len(self._batch) < self._slots:
            self._batch.append(self._waiting.pop(0))

    async def _complete(
        self, request: HttpRequest, reply: ResponseWriter
    ) -> None:
        try:
            order = msgspec.json.decode(request.body)
            text = order.get('prompt', '') or _prompt_of(order)
            tokens = int(order.get('max_tokens', 16))
        except _BAD_ORDER:
            await send_json(reply, {'error': 'bad request'}, _BAD_REQUEST)
            return
        run = self._faults.begin(request)
        if self._faults.delay_ms:
            await trio.sleep(self._faults.delay_ms / 1000)
        sequence = self._enter(text, tokens, request)
        try:
            if order.get('stream'):
                await self._stream(sequence, text, tokens, reply)
            else:
                await self._whole(sequence, text, tokens, reply)
            run.finished = True
        finally:
            self._leave(sequence)

    def _enter(
        self,
        text: str,
        tokens: int,
        request: HttpRequest,
    ) -> Sequence:
        self._count += 1
        prompt_tokens = len(text) // _CHARS_PER_TOKEN
        cached = self._touch_prefix(text)
        prefill = 1 if cached else 1 + prompt_tokens // _PREFILL_STEP_TOKENS
        priority = int(request.header('x-priority') or '0')
        sequence = Sequence(prefill, max(1, tokens), priority, self._count)
        self._waiting.append(sequence)
        self._arrived.set()
        self._arrived = trio.Event()
        return sequence

    def _touch_prefix(self, text: str) -> bool:
        prefix = text[:_PREFIX_CHARS]
        cached = prefix in self._prefixes
        self._hits += cached
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if len(self._prefixes) > _PREFIX_ENTRIES:
            self._prefixes.popitem(last=False)
        return cached

    def _leave(self, sequence: Sequence) -> None:
        for members in (self._waiting, self._batch):
            if sequence in members:
                members.remove(sequence)

    async def _stream(
        self,
        sequence: Sequence,
        text: str,
        tokens: int,
        reply: ResponseWriter,
    ) -> None:
        await self._faults.wait_heard()
        await reply.start(200, _STREAM)
        sent = 0
        told = 0
        while told < tokens:
            while sequence.made == told:
                await sequence.advanced.wait()
            event = ''.join(
                f'data: {{"token":"{token_text(text, index)}"}}\n\n'
                for index in range(told, sequence.made)
            ).encode()
            told = sequence.made
            await self._faults.wait_heard()
            bound = self._faults.cut_after_bytes
            if bound is not None and sent + len(event) > bound:
                await reply.send_chunk(event[: bound - sent] or b' ')
                return
            await reply.send_chunk(event)
            sent += len(event)
        await reply.send_chunk(b'data: [DONE]\n\n')
        await reply.finish()

    async def _whole(
        self,
        sequence: Sequence,
        text: str,
        tokens: int,
        reply: ResponseWriter,
    ) -> None:
        while sequence.tokens_left:
            await sequence.advanced.wait()
        words = [token_text(text, index) for index in range(tokens)]
        body = {'text': ' '.join(words), 'upstream': self._name}
        await send_cut(reply, self._faults, JSON, msgspec.json.encode(body))


def token_text(prompt: str, index: int) -> str:
    """Return the token that a prompt leads to, the same at every engine."""
    seed = f'{prompt}\0{index}'.encode()
    return hashlib.sha256(seed).hexdigest()[:6]


def _prompt_of(order: dict[str, Any]) -> str:
    return '\n'.join(
        one.get('content', '') for one in order.get('messages', [])
    )


def main() -> None:
    """Serve until told to end."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('listen')
    parser.add_argument('name')
    parser.add_argument('--slots', type=int, default=8)
    parser.add_argument('--step-ms', type=float, default=5)
    given = parser.parse_args()
    engine = Engine(given.name, given.slots, given.step_ms)
    trio.run(
        serve,
        given.listen,
        engine.handle,
        engine.step_forever,
        engine.report_load,
    )


if __name__ == '__main__':
    main()
