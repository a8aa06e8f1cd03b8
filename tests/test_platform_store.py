"""Test the client of the platform's store on paths that fail."""

from __future__ import annotations

import trio

from amaranthrail.adapters.httpclient import Address
from amaranthrail.adapters.httpserver import (
    HttpRequest,
    ResponseWriter,
    ServerLimits,
    ServerState,
    serve_connection,
)
from amaranthrail.direct.ports import Changes, Snapshot, StoreFailure, Topic
from amaranthrail.platform.store import PlatformStore
from amaranthrail.policy.storereads import ReadTimes
from standins.keyedlog import KeyedLog
from standins.platformfleet import start_server

from .platformbuild import configuration


class SilentPath:
    """Serve a store; connections can fall silent without an error."""

    def __init__(self, log: KeyedLog) -> None:
        self.log = log
        self.opened = 0
        self.silenced = 0

    def silence(self) -> None:
        """Lose all further responses on the connections open by now."""
        self.silenced = self.opened

    async def serve(self, stream: trio.SocketStream) -> None:
        self.opened += 1
        number = self.opened

        async def handle(request: HttpRequest, reply: ResponseWriter) -> None:
            if number <= self.silenced:
                await trio.sleep_forever()
            await self.log.handle(request, reply)

        state = ServerState(lambda: ServerLimits(1_000_000))
        await serve_connection(stream, handle, state)


def test_a_retry_uses_no_connection_from_before_a_silence() -> None:
    """Guards against one timeout after another on old connections."""

    async def main() -> None:
        path = SilentPath(KeyedLog())
        path.log.topic('keyed.op').put('config', configuration(1))
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
            nursery.start_soon(trio.serve_listeners, path.serve, listeners)
            store = PlatformStore(
                Address(*listeners[0].socket.getsockname()[:2])
            )
            async with trio.open_nursery() as readers:
                for _ in range(2):
                    readers.start_soon(store.read_snapshot, Topic.CONFIGURATION)
            assert path.opened == 2
            path.silence()
            lost = await store.read_snapshot(Topic.CONFIGURATION)
            retried = await store.read_snapshot(Topic.CONFIGURATION)
            nursery.cancel_scope.cancel()
        assert lost is StoreFailure.UNREACHABLE
        assert isinstance(retried, Snapshot)

    trio.run(main)


def test_a_record_written_between_two_pages_is_read() -> None:
    """Guards against a record that no read of the topic returns.

    The record of a key on the first page was replaced while the second page
    was read.
    """

    async def main() -> None:
        log = KeyedLog()
        topic = log.topic('keyed.servers')
        for name in ('i-1', 'i-2'):
            topic.put(name, b'old')
        log.page_size = 1
        log.before_page = lambda: topic.put('i-1', b'new')
        async with trio.open_nursery() as nursery:
            address = await start_server(nursery, log.handle)
            store = PlatformStore(address)
            snapshot = await store.read_snapshot(Topic.UPSTREAMS)
            assert isinstance(snapshot, Snapshot)
            changes = await store.read_changes(
                Topic.UPSTREAMS, snapshot.end, ReadTimes(0)
            )
            assert isinstance(changes, Changes)
            nursery.cancel_scope.cancel()
        latest = {
            record.key: record.payload
            for record in (*snapshot.records, *changes.records)
        }
        assert latest == {'i-1': b'new', 'i-2': b'old'}

    trio.run(main)
