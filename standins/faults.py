"""Hold the faults and the record of runs that all upstream stand-ins share."""

from __future__ import annotations

from dataclasses import dataclass, field

import trio

from amaranthrail.adapters.httpserver import HttpRequest, ResponseWriter

from .serving import read_json, send_json

_NOT_FOUND = 404


@dataclass
class Run:
    """Record one request that truly ran."""

    key: str
    method: str
    path: str
    finished: bool = False


@dataclass
class Faults:
    """Hold what an upstream does wrong, and all that ran there."""

    delay_ms: float = 0
    stall: bool = False
    silent: bool = False
    cut_after_bytes: int | None = None
    runs: list[Run] = field(default_factory=list)
    changed: trio.Event = field(default_factory=trio.Event)

    def begin(self, request: HttpRequest) -> Run:
        """Record that a request starts to run."""
        key = request.header('idempotency-key') or ''
        run = Run(key, request.method, request.path)
        self.runs.append(run)
        return run

    async def wait_unstalled(self) -> None:
        """Return once the upstream is not stalled."""
        while self.stall:
            await self.changed.wait()

    async def wait_heard(self) -> None:
        """Return once the upstream's bytes get through."""
        while self.silent:
            await self.changed.wait()

    async def control(
        self, request: HttpRequest, reply: ResponseWriter
    ) -> None:
        """Serve ``/control/runs`` and ``/control/faults``."""
        if request.path == '/control/runs':
            await send_json(reply, self.runs)
            return
        if request.path != '/control/faults':
            await send_json(reply, {}, _NOT_FOUND)
            return
        for name, setting in read_json(request).items():
            setattr(self, name, setting)
        self.changed.set()
        self.changed = trio.Event()
        await send_json(reply, {'done': True})


async def send_cut(
    reply: ResponseWriter,
    faults: Faults,
    headers: tuple[tuple[str, str], ...],
    body: bytes,
) -> None:
    """Send an answer, or only its first bytes where that fault is set."""
    await faults.wait_heard()
    if faults.cut_after_bytes is None:
        await reply.send(200, headers, body)
        return
    length = ('content-length', str(len(body)))
    await reply.start(200, (*headers, length))
    await reply.send_chunk(body[: faults.cut_after_bytes])
