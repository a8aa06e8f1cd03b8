"""Inject faults into upstream stand-ins and record the requests they ran."""

from __future__ import annotations

from dataclasses import dataclass, field

import trio

from amaranthrail.adapters.httpserver import HttpRequest, ResponseWriter

from .serving import read_json, send_json

_NOT_FOUND = 404


@dataclass
class Run:
    """Describe one request that the upstream executed."""

    key: str
    method: str
    path: str
    finished: bool = False


@dataclass
class Faults:
    """Hold the injected faults of an upstream and the requests it executed.

    ``/control/faults`` sets the attributes by name: ``delay_ms`` is added to
    each request, ``stall`` stops the work and ``silent`` the bytes of
    responses, both until reset, and ``cut_after_bytes`` ends a response early.
    """

    delay_ms: float = 0
    stall: bool = False
    silent: bool = False
    cut_after_bytes: int | None = None
    runs: list[Run] = field(default_factory=list)
    changed: trio.Event = field(default_factory=trio.Event)

    def record_run(self, request: HttpRequest) -> Run:
        """Record that a request is being executed."""
        key = request.header('idempotency-key') or ''
        run = Run(key, request.method, request.path)
        self.runs.append(run)
        return run

    async def wait_not_stalled(self) -> None:
        """Wait until the fault ``stall`` is not set."""
        while self.stall:
            await self.changed.wait()

    async def wait_not_silent(self) -> None:
        """Wait until the fault ``silent`` is not set."""
        while self.silent:
            await self.changed.wait()

    async def handle_control(
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


async def send_response(
    reply: ResponseWriter,
    faults: Faults,
    headers: tuple[tuple[str, str], ...],
    body: bytes,
) -> None:
    """Send a 200 response; end it early where ``cut_after_bytes`` is set."""
    await faults.wait_not_silent()
    if faults.cut_after_bytes is None:
        await reply.send(200, headers, body)
        return
    length = ('content-length', str(len(body)))
    await reply.start(200, (*headers, length))
    await reply.send_chunk(body[: faults.cut_after_bytes])
