"""Load tool: send requests at set moments and time what comes back."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from contextlib import aclosing
from dataclasses import dataclass, field

import msgspec
import trio

from amaranthrail.adapters.httpclient import HttpClient, parse_address
from amaranthrail.exceptions import HttpError
from standins.fleet import Fleet
from standins.launch import EntryProcess

LAST_EVENT = b'data: [DONE]\n\n'


@dataclass(frozen=True)
class Shot:
    """Say what is sent when; times in seconds from the start."""

    at: float
    kind: str
    entry: int
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes = b''
    give_up_s: float = 60


@dataclass
class Hit:
    """Hold what became of a shot; times in seconds after it was sent."""

    shot: Shot
    status: int = 0
    first_s: float = 0
    total_s: float = 0
    whole: bool = False
    gaps_s: list[float] = field(default_factory=list)
    retry_after_s: float = 0


Follow = Callable[[Hit], 'Shot | None']


def poisson(
    source: random.Random, rate: float, seconds: float
) -> Iterator[float]:
    """Yield arrival times at a mean rate."""
    now = source.expovariate(rate)
    while now < seconds:
        yield now
        now += source.expovariate(rate)


def draft_shot(
    fleet: Fleet,
    at: float,
    kind: str,
    entry: int,
    tokens: int,
    prompt: str,
    organisation: int = 0,
    deadline_ms: int | None = None,
) -> Shot:
    """Return a streamed draft of a number of tokens."""
    body = {
        'model': fleet.deployment.model,
        'prompt': prompt,
        'max_tokens': tokens,
        'stream': True,
    }
    token = fleet.token(organisation)
    headers = [('authorization', f'Bearer {token}')]
    give_up = 60.0
    if deadline_ms is not None:
        headers.append(('x-deadline-ms', str(deadline_ms)))
        give_up = deadline_ms / 1000
    return Shot(
        at,
        kind,
        entry,
        'POST',
        '/v1/completions',
        tuple(headers),
        msgspec.json.encode(body),
        give_up,
    )


def fire(
    entries: list[EntryProcess],
    shots: list[Shot],
    follow: Follow | None = None,
) -> list[Hit]:
    """Send all shots at their moments, and what ``follow`` makes of a hit."""
    return trio.run(_fire, entries, shots, follow)


async def _fire(
    entries: list[EntryProcess],
    shots: list[Shot],
    follow: Follow | None,
) -> list[Hit]:
    clients = [HttpClient(parse_address(entry.url)) for entry in entries]
    hits: list[Hit] = []
    start = trio.current_time()

    async def shoot(shot: Shot) -> None:
        next_shot: Shot | None = shot
        while next_shot is not None:
            await trio.sleep_until(start + next_shot.at)
            hit = Hit(next_shot)
            hits.append(hit)
            client = clients[next_shot.entry % len(clients)]
            with trio.move_on_after(next_shot.give_up_s):
                await _send(client, hit)
            next_shot = follow(hit) if follow else None

    async with trio.open_nursery() as nursery:
        for shot in shots:
            nursery.start_soon(shoot, shot)
    return hits


async def _send(client: HttpClient, hit: Hit) -> None:
    shot = hit.shot
    began = trio.current_time()
    last = began
    tail = b''
    try:
        async with client.exchange(
            shot.method,
            shot.target,
            shot.headers,
            shot.body,
        ) as exchange:
            hit.status = exchange.status
            fields = dict(exchange.headers)
            hit.retry_after_s = float(fields.get('retry-after', 0))
            async with aclosing(exchange.body_chunks()) as parts:
                async for part in parts:
                    now = trio.current_time()
                    if hit.first_s:
                        hit.gaps_s.append(now - last)
                    else:
                        hit.first_s = now - began
                    last = now
                    tail = (tail + part)[-len(LAST_EVENT) :]
            is_stream = fields.get('content-type') == 'text/event-stream'
            hit.whole = tail == LAST_EVENT or not is_stream
    except HttpError:
        hit.whole = False
    hit.total_s = trio.current_time() - began


def quantile(values: list[float], share: float) -> float:
    """Return the value that a share of all do not exceed."""
    if not values:
        return float('nan')
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def served(hits: list[Hit]) -> list[Hit]:
    """Return the hits that got a whole answer in time."""
    return [hit for hit in hits if hit.whole and hit.status == 200]
