"""Run an entry process: connect its components, serve, shut down gracefully."""

from __future__ import annotations

import ssl
from functools import partial

import trio

from ..adapters.httpserver import (
    ServerLimits,
    ServerState,
    serve_connection,
    wait_until_quiet,
    wait_while,
)
from ..adapters.listen import (
    handler_with_tls,
    open_listeners,
    serve_until,
)
from ..adapters.platform import HttpHostList, HttpLog
from ..consumer import StreamConsumer
from ..logs import part_logger
from ..records import CONTROL_STREAM
from ..runtime import Runtime
from ..settings import EntrySettings
from ..tls import client_context, server_context
from ..types import DomainName, ProcessName
from .administration import AdminContext, Administration
from .callerhandler import CallerHandler
from .context import EntryContext
from .keyedrequests import KeyedRequests
from .peers import make_peer_context
from .renewal import RecordRenewal
from .shards import Shards
from .upstreampool import UpstreamPool

_MAX_ADMIN_BODY_BYTES = 4 * 1024 * 1024
_log = part_logger('entry')


class Entry:
    """Own the components and the tasks of one entry process."""

    def __init__(self, settings: EntrySettings) -> None:
        """Create the components from validated settings; nothing runs yet."""
        self._settings = settings
        self._runtime = Runtime(
            ProcessName(settings.name),
            DomainName(settings.domain),
        )
        self._log_service = HttpLog(settings.platform)
        self._pool = UpstreamPool(
            make_peer_context(self._runtime, settings, self._peer_tls()),
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
        self._context = EntryContext(
            self._runtime,
            settings,
            self._pool,
            self._shards,
        )
        self._renewal = RecordRenewal(
            self._runtime,
            self._log_service,
            self._control,
            self._shards,
        )
        self._caller_server_state = ServerState(
            lambda: ServerLimits(self._context.max_body_bytes),
        )
        self._admin_server_state = ServerState(
            lambda: ServerLimits(_MAX_ADMIN_BODY_BYTES)
        )
        self._callers_served = trio.Event()
        self._stopping = trio.Event()

    @property
    def runtime(self) -> Runtime:
        """Return the process's identity, clock, metrics and configuration."""
        return self._runtime

    def stop(self) -> None:
        """Start a graceful shutdown; ``run`` returns when it is complete.

        New callers are refused; calls and jobs in progress are completed.
        """
        self._stopping.set()

    async def run(self) -> None:
        """Serve until stopped and until no call, job or queued fact is left."""
        settings = self._settings
        caller_listeners = await open_listeners(settings.listen, '--listen')
        admin_listeners = await open_listeners(
            settings.admin_listen, '--admin-listen'
        )
        self._runtime.timeline.add('started')
        _log.info('serving callers')
        async with trio.open_nursery() as nursery:
            keyed_requests = KeyedRequests(self._context, nursery)
            for task in (
                self._control.run,
                self._pool.run,
                self._shards.run,
                self._renewal.run,
                keyed_requests.settle_overdue,
                partial(self._listen_admin, admin_listeners, keyed_requests),
                partial(self._listen_callers, caller_listeners, keyed_requests),
            ):
                nursery.start_soon(task)
            await self._stopping.wait()
            await self._shut_down(keyed_requests)
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
        keyed_requests: KeyedRequests,
    ) -> None:
        caller_handler = CallerHandler(self._context, keyed_requests)
        state = self._caller_server_state

        async def serve(stream: trio.abc.Stream) -> None:
            await serve_connection(stream, caller_handler.handle, state)

        handler = handler_with_tls(serve, self._caller_tls())
        await serve_until(listeners, handler, state.wait_until_closing)
        self._callers_served.set()

    async def _listen_admin(
        self,
        listeners: list[trio.SocketListener],
        keyed_requests: KeyedRequests,
    ) -> None:
        administration = Administration(
            AdminContext(
                self._context, keyed_requests, self._control, self._log_service
            ),
        )
        state = self._admin_server_state

        async def serve(stream: trio.abc.Stream) -> None:
            await serve_connection(stream, administration.handle, state)

        await trio.serve_listeners(serve, listeners)

    async def _shut_down(self, keyed_requests: KeyedRequests) -> None:
        self._context.start_shutdown()
        self._caller_server_state.close()
        self._runtime.timeline.add('leaving')
        _log.info('leaving', active=self._caller_server_state.active)
        is_busy = partial(self._is_busy, keyed_requests)
        await wait_until_quiet(is_busy)
        self._caller_server_state.end()
        await self._callers_served.wait()
        await wait_while(is_busy)

    def _is_busy(self, keyed_requests: KeyedRequests) -> bool:
        return bool(
            self._caller_server_state.active
            or self._admin_server_state.active
            or keyed_requests.in_progress
            or self._shards.pending_count,
        )
