"""Test an entry that gets its stop signal before it listens."""

from __future__ import annotations

import socket

import trio

from .platformbench import PlatformBench, run_on_platform


def test_an_entry_stopped_before_it_listens_ends_without_serving() -> None:
    """Guards against calls accepted by an entry that is killed in a moment.

    Its port is in use at first, and the time to the kill counts from the stop.
    """

    async def scenario(bench: PlatformBench) -> None:
        with socket.socket() as holder:
            entry = await bench.start_entry()
            address = (entry.address.host, entry.address.port)
            holder.bind(address)
            holder.listen()
            await trio.sleep(0.1)
            entry.entry.stop()
            with trio.fail_after(1):
                await entry.until_ended()

    run_on_platform(scenario)
