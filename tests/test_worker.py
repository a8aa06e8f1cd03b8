"""Run requests against an upstream that closes each idle connection."""

from __future__ import annotations

import pytest
import trio

from amaranthrail.adapters.httpclient import Address, HttpClient
from amaranthrail.outcomes import Outcome, Reason
from amaranthrail.runtime import Runtime
from amaranthrail.sidecar.run import Run
from amaranthrail.sidecar.slots import SlotQueue
from amaranthrail.sidecar.worker import Worker
from amaranthrail.types import DomainName, ProcessName

from . import build

RESPONSE = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'


async def _respond_once(stream: trio.SocketStream) -> None:
    async with stream:
        await stream.receive_some(65_536)
        await stream.send_all(RESPONSE)


async def _execute_two_runs(**changes: object) -> list[Run]:
    runtime = Runtime(ProcessName('p'), DomainName('d'))
    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    port = listeners[0].socket.getsockname()[1]
    upstream = HttpClient(Address('127.0.0.1', port))
    worker = Worker(runtime, SlotQueue(runtime.clock, 1), upstream)
    runs = [
        Run(build.dispatch(name, 'i', **changes), runtime.clock.now())
        for name in ('first', 'second')
    ]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, _respond_once, listeners)
        for run in runs:
            await worker.execute(run)
            await trio.sleep(0.05)
        nursery.cancel_scope.cancel()
    return runs


@pytest.mark.parametrize('intent', ['', 'n'])
def test_closed_idle_connection_does_not_fail_run(intent: str) -> None:
    async def execute() -> list[Run]:
        return await _execute_two_runs(intent=intent)

    for run in trio.run(execute):
        assert run.failure is None
        assert (run.ended, run.length) == (True, 2)


def test_run_with_less_time_than_cost_does_not_start() -> None:
    async def execute() -> list[Run]:
        return await _execute_two_runs(left_ms=50.0, cost_ms=60.0)

    for run in trio.run(execute):
        assert not run.started
        assert run.failure is not None
        assert run.failure.outcome is Outcome.NOT_RUN
        assert run.failure.reason is Reason.EXPIRED
