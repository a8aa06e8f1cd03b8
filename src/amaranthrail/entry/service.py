"""Run an entry: wire its parts, serve callers, leave without cutting off."""

from __future__ import annotations

import ssl
from functools import partial

import trio

from ..adapters.httpserver import ServerLimits, ServerState, serve_connection
from ..adapters.listen import handler_with_tls, open_listeners
from ..adapters.platform import HttpHostList, HttpLog
from ..clock import sleep
from ..consumer import StreamConsumer
from ..logs import part_logger
from ..records import CONTROL_STREAM
from ..runtime import Runtime
from ..settings import EntrySettings
from ..tls import client_context, server_context
from ..types import DomainName, ProcessName
from .administration import Administration, AdminParts
from .callers import Callers
from .core import EntryCore
from .keyedrequests import KeyedRequests
from .peers import make_access
from .renewal import RecordRenewal
from .shards import Shards
from .upstreampool import UpstreamPool

_CHECK_MS = 20.0
_MAX_MANIFEST_BYTES = 4 * 1024 * 1024
_log = part_logger('entry')


class Entry:
    """Own the parts of one entry process."""

    def __init__(self, settings: EntrySettings) -> None:
        """Take the checked settings."""
        self._settings = settings
        self._runtime = Runtime(
            ProcessName(settings.name),
            DomainName(settings.domain),
        )
        self._log_service = HttpLog(settings.platform)
        self._roster = UpstreamPool(
            make_access(self._runtime, settings, self._peer_tls()),
            HttpHostList(settings.platform),
        )
        self._shards = Shards(
            settings.shards,
            HttpLog(settings.platform),
            self._runtime.clock,
            settings.shard_interval_ms,
        )
        self._control = StreamConsumer(
            HttpLog(settings.platform),
            CONTROL_STREAM,
            self._runtime.configuration.apply,
        )
        self._core = EntryCore(
            self._runtime,
            settings,
            self._roster,
            self._shards,
        )
        self._upkeep = RecordRenewal(
            self._runtime,
            self._log_service,
            self._control,
            self._shards,
        )
        self._callers_state = ServerState(
            lambda: ServerLimits(self._core.max_body_bytes),
        )
        self._stopping = trio.Event()

    @property
    def runtime(self) -> Runtime:
        """Return what the parts of the process share."""
        return self._runtime

    def stop(self) -> None:
        """Begin to leave: refuse new callers, finish what is in progress."""
        self._stopping.set()

    async def run(self) -> None:
        """Serve until stopped and until the last answer has gone out."""
        settings = self._settings
        callers = await open_listeners(settings.listen, '--listen')
        admin = await open_listeners(settings.admin_listen, '--admin-listen')
        self._runtime.timeline.add('started')
        _log.info('serving callers')
        async with trio.open_nursery() as nursery:
            filings = KeyedRequests(self._core, nursery)
            for task in (
                self._control.run,
                self._roster.run,
                self._shards.run,
                self._upkeep.run,
                filings.sweep,
                partial(self._listen_admin, admin, filings),
                partial(self._listen_callers, callers, filings),
            ):
                nursery.start_soon(task)
            await self._stopping.wait()
            await self._leave(filings)
            nursery.cancel_scope.cancel()
        _log.info('ended')

    def _peer_tls(self) -> ssl.SSLContext | None:
        files = self._settings.peer_tls
        return None if files is None else client_context(files)

    def _caller_tls(self) -> ssl.SSLContext | None:
        files = self._settings.caller_tls
        return None if files is None else server_context(files)

    async def _listen_callers(
        self,
        listeners: list[trio.SocketListener],
        filings: KeyedRequests,
    ) -> None:
        callers = Callers(self._core, filings)
        state = self._callers_state

        async def serve(stream: trio.abc.Stream) -> None:
            await serve_connection(stream, callers.handle, state)

        handler = handler_with_tls(serve, self._caller_tls())
        async with trio.open_nursery() as connections:
            async with trio.open_nursery() as accepting:
                accepting.start_soon(
                    partial(
                        trio.serve_listeners,
                        handler,
                        listeners,
                        handler_nursery=connections,
                    ),
                )
                await state.wait_until_closing()
                accepting.cancel_scope.cancel()
            for listener in listeners:
                await listener.aclose()

    async def _listen_admin(
        self,
        listeners: list[trio.SocketListener],
        filings: KeyedRequests,
    ) -> None:
        administration = Administration(
            AdminParts(self._core, filings, self._control, self._log_service),
        )
        state = ServerState(lambda: ServerLimits(_MAX_MANIFEST_BYTES))

        async def serve(stream: trio.abc.Stream) -> None:
            await serve_connection(stream, administration.handle, state)

        await trio.serve_listeners(serve, listeners)

    async def _leave(self, filings: KeyedRequests) -> None:
        self._core.leave()
        self._callers_state.close()
        self._runtime.timeline.add('leaving')
        _log.info('leaving', active=self._callers_state.active)
        while self._is_busy(filings):
            await sleep(_CHECK_MS)

    def _is_busy(self, filings: KeyedRequests) -> bool:
        return bool(
            self._callers_state.active
            or filings.in_progress
            or self._shards.waiting,
        )
