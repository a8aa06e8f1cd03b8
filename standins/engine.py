"""Stand in for a model engine with continuous batching.

Run as ``python -m standins.engine HOST:PORT NAME [--slots N] [--step-ms X]``.
One engine step generates one token of every sequence in the batch and takes
longer the larger the batch. Prompts whose prefix is cached skip the prefill.
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

from .faults import Faults, send_response
from .serving import JSON, send_json, serve

_CHARS_PER_TOKEN = 4
_PREFIX_CHARS = 256
_MAX_CACHED_PREFIXES = 32
#: Share of its duration by which each further sequence lengthens a step.
BATCH_COST = 0.02
_PREFILL_STEP_TOKENS = 256
_LOAD_REPORT_INTERVAL_S = 0.5
_HTTP_BAD_REQUEST = 400
_INVALID_BODY_ERRORS = (
    msgspec.DecodeError,
    AttributeError,
    TypeError,
    ValueError,
)
_EVENT_STREAM_HEADERS = (('content-type', 'text/event-stream'),)


@dataclass(eq=False)
class Sequence:
    """Track one request that waits for the batch or is in it."""

    prefill_steps: int
    tokens_left: int
    priority: int
    arrival: int
    generated: int = 0
    progressed: trio.Event = field(default_factory=trio.Event)

    def advance(self) -> None:
        """Take one step: a step of the prefill, or else one token."""
        if self.prefill_steps:
            self.prefill_steps -= 1
            return
        self.generated += 1
        self.tokens_left -= 1
        self.progressed.set()
        self.progressed = trio.Event()


class Engine:
    """Serve completions from one batch of up to ``slots`` sequences."""

    def __init__(self, name: str, slots: int, step_ms: float) -> None:
        """Set the batch size, and the time of a step of one sequence in ms."""
        self._name = name
        self._slots = slots
        self._step_ms = step_ms
        self._faults = Faults()
        self._waiting: list[Sequence] = []
        self._batch: list[Sequence] = []
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self._arrived = trio.Event()
        self._received = 0
        self._prefix_hits = 0
        self._load = {'running': 0, 'waiting': 0}

    async def handle(self, request: HttpRequest, reply: ResponseWriter) -> None:
        """Serve a completion, the load report or the control API."""
        if request.path == '/load':
            await send_json(reply, self._load)
        elif request.path == '/control/cache':
            await send_json(
                reply, {'hits': self._prefix_hits, 'calls': self._received}
            )
        elif request.path.startswith('/control/'):
            await self._faults.handle_control(request, reply)
        else:
            await self._serve_completion(request, reply)

    async def step_forever(self) -> None:
        """Run engine steps while any sequence is waiting or in the batch."""
        while True:
            while not self._batch and not self._waiting:
                await self._arrived.wait()
            await self._faults.wait_not_stalled()
            self._fill_batch()
            slowdown = 1 + BATCH_COST * (len(self._batch) - 1)
            await trio.sleep(self._step_ms * slowdown / 1000)
            for sequence in tuple(self._batch):
                sequence.advance()
                if not sequence.tokens_left:
                    self._batch.remove(sequence)

    async def report_load(self) -> None:
        """Refresh the load report periodically; it lags as real ones do."""
        while True:
            await trio.sleep(_LOAD_REPORT_INTERVAL_S)
            self._load = {
                'running': len(self._batch),
                'waiting': len(self._waiting),
            }

    def _fill_batch(self) -> None:
        self._waiting.sort(key=lambda queued: (queued.priority, queued.arrival))
        while self._waiting and len(self._batch) < self._slots:
            self._batch.append(self._waiting.pop(0))

    async def _serve_completion(
        self, request: HttpRequest, reply: ResponseWriter
    ) -> None:
        try:
            content = msgspec.json.decode(request.body)
            text = content.get('prompt', '') or _joined_messages(content)
            tokens = int(content.get('max_tokens', 16))
        except _INVALID_BODY_ERRORS:
            await send_json(reply, {'error': 'bad request'}, _HTTP_BAD_REQUEST)
            return
        run = self._faults.record_run(request)
        if self._faults.delay_ms:
            await trio.sleep(self._faults.delay_ms / 1000)
        sequence = self._enqueue(text, tokens, request)
        try:
            if content.get('stream'):
                await self._send_stream(sequence, text, tokens, reply)
            else:
                await self._send_buffered(sequence, text, tokens, reply)
            run.finished = True
        finally:
            self._discard(sequence)

    def _enqueue(
        self,
        text: str,
        tokens: int,
        request: HttpRequest,
    ) -> Sequence:
        self._received += 1
        prompt_tokens = len(text) // _CHARS_PER_TOKEN
        cached = self._touch_prefix(text)
        prefill = 1 if cached else 1 + prompt_tokens // _PREFILL_STEP_TOKENS
        priority = int(request.header('x-priority') or '0')
        sequence = Sequence(prefill, max(1, tokens), priority, self._received)
        self._waiting.append(sequence)
        self._arrived.set()
        self._arrived = trio.Event()
        return sequence

    def _touch_prefix(self, text: str) -> bool:
        prefix = text[:_PREFIX_CHARS]
        cached = prefix in self._prefixes
        self._prefix_hits += cached
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if len(self._prefixes) > _MAX_CACHED_PREFIXES:
            self._prefixes.popitem(last=False)
        return cached

    def _discard(self, sequence: Sequence) -> None:
        for sequences in (self._waiting, self._batch):
            if sequence in sequences:
                sequences.remove(sequence)

    async def _send_stream(
        self,
        sequence: Sequence,
        text: str,
        tokens: int,
        reply: ResponseWriter,
    ) -> None:
        await self._faults.wait_not_silent()
        await reply.start(200, _EVENT_STREAM_HEADERS)
        sent_bytes = 0
        sent_tokens = 0
        while sent_tokens < tokens:
            while sequence.generated == sent_tokens:
                await sequence.progressed.wait()
            events = ''.join(
                f'data: {{"token":"{token_text(text, index)}"}}\n\n'
                for index in range(sent_tokens, sequence.generated)
            ).encode()
            sent_tokens = sequence.generated
            await self._faults.wait_not_silent()
            max_bytes = self._faults.cut_after_bytes
            if max_bytes is not None and sent_bytes + len(events) > max_bytes:
                await reply.send_chunk(events[: max_bytes - sent_bytes] or b' ')
                return
            await reply.send_chunk(events)
            sent_bytes += len(events)
        await reply.send_chunk(b'data: [DONE]\n\n')
        await reply.finish()

    async def _send_buffered(
        self,
        sequence: Sequence,
        text: str,
        tokens: int,
        reply: ResponseWriter,
    ) -> None:
        while sequence.tokens_left:
            await sequence.progressed.wait()
        words = [token_text(text, index) for index in range(tokens)]
        body = {'text': ' '.join(words), 'upstream': self._name}
        await send_response(
            reply, self._faults, JSON, msgspec.json.encode(body)
        )


def token_text(prompt: str, index: int) -> str:
    """Return the token at an index of a prompt's completion.

    It is the same at every engine, so tests can compute a whole response.
    """
    token_seed = f'{prompt}\0{index}'.encode()
    return hashlib.sha256(token_seed).hexdigest()[:6]


def _joined_messages(content: dict[str, Any]) -> str:
    return '\n'.join(
        message.get('content', '') for message in content.get('messages', [])
    )


def main() -> None:
    """Serve until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('listen')
    parser.add_argument('name')
    parser.add_argument('--slots', type=int, default=8)
    parser.add_argument('--step-ms', type=float, default=5)
    arguments = parser.parse_args()
    engine = Engine(arguments.name, arguments.slots, arguments.step_ms)
    trio.run(
        serve,
        arguments.listen,
        engine.handle,
        engine.step_forever,
        engine.report_load,
    )


if __name__ == '__main__':
    main()
