"""Learn news from other entries while the store gives none."""

from __future__ import annotations

import random

import msgspec
import trio

from ..adapters.messages import (
    STREAM_ERRORS,
    receive_message,
    send_message,
)
from ..clock import move_on_after, sleep
from ..logs import part_logger
from .clusterstate import ClusterState, NewerVersion
from .deployment import UpstreamRecord
from .members import Members
from .peermessages import (
    RecordVersion,
    RemovedUpstream,
    SyncRequest,
    SyncResponse,
    decode_ask,
    decode_news,
    encode_message,
)
from .ports import Snapshot, StorePort, StoreRecord, Topic
from .settings import DirectSettings
from .sync import StoreContact

#: Silence of the store after which other entries are asked, in ms; it may
#: hold a read for 3,000.
SILENCE_MS = 3400.0
#: Time between two questions, in ms: news cross 5 entries within a second.
ASK_INTERVAL_MS = 300.0
#: Bound of one question, in ms.
ASK_TIMEOUT_MS = 800.0
#: Time between reads of the list of entries, in ms; reports of loads name
#: entries too, and calls are billed.
LIST_INTERVAL_MS = 30_000.0
#: Time until a failed write of this entry's own record is tried again, in ms.
REGISTER_AGAIN_MS = 2000.0
#: Time after which an entry that knows a later configuration is asked for it,
#: in ms: the store tells within 400, and it must be in force within 2,000.
OVERDUE_MS = 800.0
_BROKEN = (*STREAM_ERRORS, msgspec.DecodeError)
_log = part_logger('peers')


class PeerTies(msgspec.Struct, frozen=True):
    """Hold what tells how this entry stands to store and other entries."""

    store: StorePort
    contact: StoreContact
    members: Members


class Peers:
    """Know the other entries, ask them and answer them."""

    def __init__(
        self,
        settings: DirectSettings,
        ties: PeerTies,
        world: ClusterState,
    ) -> None:
        """Take what lists entries and what is to be told."""
        self._settings = settings
        self._store = ties.store
        self._contact = ties.contact
        self._members = ties.members
        self._world = world
        self._random = random.Random()

    def apply_settings(self, settings: DirectSettings) -> None:
        """Take changed settings."""
        self._settings = settings

    async def run(self) -> None:
        """Keep the list of entries and ask them when need be, for good."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._register)
            nursery.start_soon(self._follow_list)
            await self._ask_on()

    async def serve(self, stream: trio.SocketStream) -> None:
        """Answer the questions of one connection."""
        async with stream:
            try:
                with move_on_after(ASK_TIMEOUT_MS):
                    await self._answer(stream)
            except _BROKEN as error:
                _log.warning('question failed', cause=str(error))

    async def _register(self) -> None:
        """Write this entry's record until the store has taken it."""
        key = self._settings.host
        while True:
            payload = self._settings.name.encode()
            failed = await self._store.write(Topic.ENTRIES, key, payload)
            if failed is None:
                return
            await sleep(REGISTER_AGAIN_MS)

    async def _follow_list(self) -> None:
        while True:
            listed = await self._store.read_snapshot(Topic.ENTRIES)
            if isinstance(listed, Snapshot):
                self._members.take_listed(
                    record.key for record in listed.records
                )
                await self._strike_lost()
            await sleep(LIST_INTERVAL_MS * self._random.uniform(0.5, 1))

    async def _strike_lost(self) -> None:
        """Drop the records of hosts that have long been silent.

        Where one of them can be reached again, it is heard without a record.
        """
        if not self._members.check_lead():
            return
        for host in self._members.long_lost:
            await self._store.write(Topic.ENTRIES, host, b'')
            _log.info('record of a lost entry dropped', peer=host)

    async def _ask_on(self) -> None:
        while True:
            await sleep(ASK_INTERVAL_MS)
            newer = self._world.newer
            if newer is not None and self._is_overdue(newer):
                await self._ask(newer.host)
                self._world.forget_newer()
            elif self._lacks_news():
                await self._ask_any()

    def _lacks_news(self) -> bool:
        """Tell whether the store gives this entry nothing or not enough."""
        silent = self._contact.silent_ms > SILENCE_MS
        return self._contact.lost or silent or not self._world.complete

    async def _ask_any(self) -> None:
        hosts = sorted(self._members.hosts)
        if hosts:
            await self._ask(self._random.choice(hosts))

    def _is_overdue(self, newer: NewerVersion) -> bool:
        """Tell whether the store should have told of a version by now."""
        return self._contact.clock.now() - newer.noted_at > OVERDUE_MS

    async def _ask(self, host: str) -> None:
        cause = 'no answer in time'
        try:
            with move_on_after(ASK_TIMEOUT_MS):
                news = await self._exchange(host)
                self._take(news, host)
                return
        except _BROKEN as error:
            cause = str(error)
        _log.info('peer not asked', peer=host, cause=cause)

    async def _exchange(self, host: str) -> SyncResponse:
        port = self._settings.peer_port
        async with await trio.open_tcp_stream(host, port) as stream:
            await send_message(stream, encode_message(self._question()))
            payload = await receive_message(stream)
            return decode_news(payload or b'')

    async def _answer(self, stream: trio.SocketStream) -> None:
        payload = await receive_message(stream)
        if payload is not None:
            news = self._news_for(decode_ask(payload))
            await send_message(stream, encode_message(news))

    def _question(self) -> SyncRequest:
        known = {
            record.name: RecordVersion(
                record.started_at,
                record.sequence,
                record.state.value,
            )
            for record in self._world.directory.records()
        }
        return SyncRequest(self._world.version, known)

    def _news_for(self, ask: SyncRequest) -> SyncResponse:
        deployment = self._world.deployment
        configuration = b''
        if deployment is not None and deployment.version > ask.version:
            configuration = deployment.text
        return SyncResponse(
            configuration,
            {
                record.name: record.text
                for record in self._world.directory.records()
                if _is_news(record, ask.upstreams.get(record.name))
            },
            [
                RemovedUpstream(name, *order_key)
                for name, order_key in self._world.directory.gone()
                if name in ask.upstreams
            ],
        )

    def _take(self, news: SyncResponse, host: str) -> None:
        if news.configuration:
            self._world.take_deployment(news.configuration, host)
        for name, payload in news.upstreams.items():
            self._world.take_upstream(StoreRecord(name, payload), host)
        for gone in news.gone:
            order_key = (gone.started_at, gone.sequence)
            self._world.directory.remove_until(gone.name, order_key, host)


def _is_news(record: UpstreamRecord, known: RecordVersion | None) -> bool:
    if known is None:
        return True
    if record.order_key <= (known.started_at, known.sequence):
        return False
    restarted = record.started_at != known.started_at
    return restarted or record.state.value != known.state
