"""Exchange updates directly between entries while the store gives none."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable

import msgspec
import trio

from ..adapters.messages import (
    STREAM_ERRORS,
    receive_message,
    send_message,
)
from ..clock import move_on_after, sleep
from ..containment import contain_errors, repeat_step
from ..decoding import Undecodable
from ..logs import part_logger
from .clusterstate import ClusterState
from .deployment import UpstreamRecord
from .members import Members
from .peermessages import (
    PrepareRequest,
    PrepareResponse,
    RecordVersion,
    RemovedUpstream,
    SyncRequest,
    SyncResponse,
    decode_prepare_request,
    decode_sync_request,
    decode_sync_response,
    encode_message,
)
from .ports import Snapshot, StorePort, StoreRecord, Topic
from .settings import DirectSettings
from .steps import in_steps
from .sync import StoreStatus
from .versionreports import NewerVersion

#: Interval between sync requests while the store fails, in ms: updates reach 5
#: entries within a second.
SYNC_INTERVAL_MS = 300.0
#: Interval between checks for an overdue version, in ms.
OVERDUE_CHECK_MS = 100.0
#: Timeout of one sync request, in ms: one may fail and the next one bring the
#: configuration within the 2,000 in which it must be in force.
SYNC_TIMEOUT_MS = 400.0
#: Longest interval between reads of the store's list of entries, in ms; load
#: reports name entries too, and calls to the store are billed.
LIST_INTERVAL_MS = 30_000.0
#: Delay until a failed write of this entry's own record is retried, in ms.
REGISTER_RETRY_MS = 2000.0
#: Time after which an entry that reported a later configuration gets a sync
#: request, in ms: the store delivers the configuration within 400.
OVERDUE_MS = 500.0
_log = part_logger('peers')


ServePrepare = Callable[[PrepareRequest], Awaitable[PrepareResponse]]


class PeerSyncSources(msgspec.Struct, frozen=True):
    """Bundle the store, its status and the other entries for PeerSync.

    ``serve_prepare`` serves a request to prepare ranks, None for nobody does.
    """

    store: StorePort
    store_status: StoreStatus
    members: Members
    serve_prepare: ServePrepare | None = None


class PeerSync:
    """Send and serve sync requests; keep the store's list of entries."""

    def __init__(
        self,
        settings: DirectSettings,
        sources: PeerSyncSources,
        cluster: ClusterState,
    ) -> None:
        """Serve requests from ``cluster`` and apply responses to it."""
        self._settings = settings
        self._store = sources.store
        self._store_status = sources.store_status
        self._members = sources.members
        self._serve_prepare = sources.serve_prepare
        self._cluster = cluster
        self._random = random.Random()

    def apply_settings(self, settings: DirectSettings) -> None:
        """Use reloaded settings for the requests that follow."""
        self._settings = settings

    async def run(self) -> None:
        """Register, follow the list and request updates until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._register)
            nursery.start_soon(self._follow_list)
            await self._request_updates()

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve the one request of a connection, then close it."""
        with contain_errors(_log, 'sync request failed'):
            await self._serve_one(stream)

    async def _serve_one(self, stream: trio.SocketStream) -> None:
        async with stream:
            try:
                payload = None
                with move_on_after(SYNC_TIMEOUT_MS):
                    payload = await receive_message(stream)
                if payload is not None:
                    await self._respond(stream, payload)
            except STREAM_ERRORS as error:
                _log.warning('sync request not served', cause=str(error))

    async def _register(self) -> None:
        """Write this entry's record, with retries until the store accepts.

        It is written again in each later era: the store may have lost it.
        """
        key = self._settings.host
        while True:
            payload = self._settings.name.encode()
            era = self._store_status.era
            failure = await self._store.write(Topic.ENTRIES, key, payload)
            if failure is None:
                await self._store_status.wait_for_era_after(era)
            else:
                await sleep(REGISTER_RETRY_MS)

    async def _follow_list(self) -> None:
        await repeat_step(self._read_list, _log, 'list of entries not read')

    async def _read_list(self) -> None:
        snapshot = await self._store.read_snapshot(Topic.ENTRIES)
        if isinstance(snapshot, Snapshot):
            self._members.replace_listed(
                record.key for record in snapshot.records
            )
            await self._drop_lost_records()
        await sleep(LIST_INTERVAL_MS * self._random.uniform(0.5, 1))

    async def _drop_lost_records(self) -> None:
        """Drop the records of lost hosts if this entry is the leader.

        An entry that becomes reachable again needs no record: its reports are
        enough.
        """
        if not self._members.check_leadership():
            return
        for host in self._members.lost_hosts:
            await self._store.write(Topic.ENTRIES, host, b'')
            _log.info('record of a lost entry dropped', peer=host)

    async def _request_updates(self) -> None:
        async with trio.open_nursery() as nursery:
            for step in (
                self._request_overdue_version,
                self._request_evacuations,
                self._sync_if_needed,
            ):
                nursery.start_soon(
                    repeat_step, step, _log, 'sync with entry ended'
                )

    async def _sync_if_needed(self) -> None:
        await sleep(SYNC_INTERVAL_MS)
        if self._needs_peers():
            await self._sync_with_any()

    async def _request_overdue_version(self) -> None:
        """Request an overdue version from one of the entries that have it."""
        await sleep(OVERDUE_CHECK_MS)
        newer = self._cluster.newer_version
        if newer is None or not newer.hosts or not self._is_overdue(newer):
            return
        host = self._random.choice(newer.hosts)
        await self._sync_with(host)
        if self._cluster.version < newer.version:
            self._cluster.drop_version_report(host)

    async def _request_evacuations(self) -> None:
        """Request the evacuations of an entry that knows others."""
        await sleep(OVERDUE_CHECK_MS)
        reports = self._cluster.evacuation_reports
        digest = self._cluster.evacuations.digest
        overdue_ms = 0 if self._store_status.lost else OVERDUE_MS
        hosts = reports.overdue_hosts(digest, overdue_ms)
        if not hosts:
            return
        host = self._random.choice(hosts)
        if not await self._sync_with(host):
            reports.drop_host(host)

    def _needs_peers(self) -> bool:
        """Tell whether the store fails or this entry's state is incomplete."""
        return self._store_status.lost or not self._cluster.complete

    async def _sync_with_any(self) -> None:
        hosts = sorted(self._members.hosts)
        if hosts:
            await self._sync_with(self._random.choice(hosts))

    def _is_overdue(self, newer: NewerVersion) -> bool:
        """Tell whether the store should have delivered a version by now.

        A store that fails delivers none, and the entry that has it may be lost.
        """
        if self._store_status.lost:
            return True
        return self._store_status.clock.now() - newer.first_seen_at > OVERDUE_MS

    async def _sync_with(self, host: str) -> bool:
        """Apply another entry's response; return whether there was one."""
        response: SyncResponse | Undecodable | None = None
        cause = 'no response in time'
        try:
            with move_on_after(SYNC_TIMEOUT_MS):
                response = await self._exchange(host)
        except STREAM_ERRORS as error:
            cause = str(error)
        if isinstance(response, SyncResponse):
            await self._apply_response(response, host)
            return True
        if response is not None:
            cause = response.cause
        _log.info(
            'sync with entry failed',
            peer=host,
            cause=cause,
            version=self._cluster.version,
        )
        return False

    async def _exchange(self, host: str) -> SyncResponse | Undecodable:
        port = self._settings.peer_port
        async with await trio.open_tcp_stream(host, port) as stream:
            await send_message(stream, encode_message(self._make_request()))
            payload = await receive_message(stream)
            return decode_sync_response(payload or b'')

    async def _respond(self, stream: trio.SocketStream, payload: bytes) -> None:
        """Respond to a request; one to prepare ranks has its own time limit."""
        prepare = decode_prepare_request(payload)
        if self._serve_prepare and not isinstance(prepare, Undecodable):
            prepared = await self._serve_prepare(prepare)
            with move_on_after(SYNC_TIMEOUT_MS):
                await send_message(stream, encode_message(prepared))
            return
        with move_on_after(SYNC_TIMEOUT_MS):
            await self._respond_to_sync(stream, payload)

    async def _respond_to_sync(
        self, stream: trio.SocketStream, payload: bytes
    ) -> None:
        request = decode_sync_request(payload)
        if isinstance(request, Undecodable):
            _log.warning('sync request not decoded', cause=request.cause)
            return
        self._cluster.evacuations.apply_reports(
            request.evacuations, 'sync request'
        )
        response = self._make_response(request)
        await send_message(stream, encode_message(response))

    def _make_request(self) -> SyncRequest:
        versions = {
            record.name: RecordVersion(
                record.started_at,
                record.sequence,
                record.state.value,
            )
            for record in self._cluster.directory.records()
        }
        return SyncRequest(
            self._cluster.version, versions, self._cluster.evacuations.report()
        )

    def _make_response(self, request: SyncRequest) -> SyncResponse:
        deployment = self._cluster.deployment
        configuration = b''
        if deployment is not None and deployment.version > request.version:
            configuration = deployment.payload
        return SyncResponse(
            configuration,
            {
                record.name: record.payload
                for record in self._cluster.directory.records()
                if _is_update(record, request.upstreams.get(record.name))
            },
            [
                RemovedUpstream(name, *order_key)
                for name, order_key in self._cluster.directory.removed()
                if name in request.upstreams
            ],
            self._cluster.evacuations.report(),
        )

    async def _apply_response(self, response: SyncResponse, host: str) -> None:
        # Before the configuration, by which an entry becomes ready.
        self._cluster.apply_evacuation_reports(response.evacuations, host)
        if response.configuration:
            self._cluster.apply_deployment(response.configuration, host)
        work = f'records of entry {host}'
        async for name, payload in in_steps(response.upstreams.items(), work):
            with contain_errors(_log, 'record not applied', key=name):
                self._cluster.apply_upstream(StoreRecord(name, payload), host)
        async for removed in in_steps(response.removed, work):
            order_key = (removed.started_at, removed.sequence)
            self._cluster.directory.remove_until(removed.name, order_key, host)


def _is_update(
    record: UpstreamRecord, peer_version: RecordVersion | None
) -> bool:
    """Tell whether a record matters to an entry that has another or none.

    A later record with the same start and state is left out.
    """
    if peer_version is None:
        return True
    if record.order_key <= (peer_version.started_at, peer_version.sequence):
        return False
    restarted = record.started_at != peer_version.started_at
    return restarted or record.state.value != peer_version.state
