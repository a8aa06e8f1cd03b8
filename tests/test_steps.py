"""Test that many records or frames are handled in short steps of work."""

from __future__ import annotations

import struct
from types import SimpleNamespace
from typing import Any

import pytest
import trio
from trio.testing import MockClock, memory_stream_pair

from amaranthrail.adapters.httpclient import Address, HttpResponse
from amaranthrail.adapters.link import Link
from amaranthrail.clock import Clock
from amaranthrail.direct.clusterstate import ClusterState
from amaranthrail.direct.peermessages import SyncResponse
from amaranthrail.direct.peers import PeerSync
from amaranthrail.direct.ports import Changes, Snapshot, StoreRecord, Topic
from amaranthrail.direct.sync import (
    StoreStatus,
    TopicFollower,
    UpstreamSync,
    follow_configuration,
)
from amaranthrail.frames import Heartbeat, encode_frame
from amaranthrail.platform import store as platform_store
from amaranthrail.platform.program import WIRE_FORMAT
from amaranthrail.policy.storereads import RESPONSE_TIMEOUT_MS, ReadTimes

from .platformbuild import configuration, upstream_record
from .stepcount import LongestStep

RECORDS = 500
#: Records, of some 40 microseconds each, and frames that one step may handle.
MOST_RECORDS = 64
MOST_FRAMES = 64
#: Records without content, of a microsecond each.
MOST_EMPTY_RECORDS = 1000


class OneSnapshot:
    """Return one snapshot, then hold each read for good."""

    def __init__(self, records: list[StoreRecord]) -> None:
        self._records = tuple(records)

    async def read_snapshot(
        self, _topic: Topic, _timeout_ms: int = RESPONSE_TIMEOUT_MS
    ) -> Snapshot:
        await trio.lowlevel.checkpoint()
        return Snapshot(self._records, len(self._records), 1)

    async def read_changes(
        self, _topic: Topic, _offset: int, _times: ReadTimes
    ) -> Changes:
        await trio.sleep_forever()
        raise AssertionError

    async def write(self, _topic: Topic, _key: str, _payload: bytes) -> None:
        raise AssertionError


def follow_once(
    topic: Topic, records: list[StoreRecord], longest: LongestStep
) -> ClusterState:
    """Return the state after one snapshot of a topic."""

    async def main() -> ClusterState:
        status = StoreStatus(Clock(trio.current_time))
        cluster = ClusterState(status.clock, WIRE_FORMAT)
        store = OneSnapshot(records)
        follower = TopicFollower(store, topic, status, lambda: 400)
        with trio.move_on_after(5):
            if topic is Topic.UPSTREAMS:
                await UpstreamSync(follower, cluster, status).run()
            else:
                await follow_configuration(follower, cluster)
        return cluster

    clock = MockClock(autojump_threshold=0)
    return trio.run(main, clock=clock, instruments=[longest])


def test_other_tasks_run_while_upstream_records_are_applied(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a long list of upstreams that stops an entry."""
    longest = LongestStep(monkeypatch, ClusterState, 'apply_upstream')
    record = upstream_record('10.0.0.9:80')
    records = [StoreRecord(f'p{number}', record) for number in range(RECORDS)]
    cluster = follow_once(Topic.UPSTREAMS, records, longest)
    assert len(cluster.directory) == RECORDS
    assert longest.most_calls <= MOST_RECORDS


def test_other_tasks_run_while_configuration_records_are_applied(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    longest = LongestStep(monkeypatch, ClusterState, 'apply_configuration')
    records = [
        StoreRecord('config', configuration(number))
        for number in range(1, RECORDS)
    ]
    cluster = follow_once(Topic.CONFIGURATION, records, longest)
    assert cluster.version == RECORDS - 1
    assert longest.most_calls <= MOST_RECORDS


def test_other_tasks_run_while_records_of_an_entry_are_applied(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    longest = LongestStep(monkeypatch, ClusterState, 'apply_upstream')
    record = upstream_record('10.0.0.9:80')
    response = SyncResponse(
        b'', {f'p{number}': record for number in range(RECORDS)}, [], []
    )

    async def main() -> ClusterState:
        cluster = ClusterState(Clock(trio.current_time), WIRE_FORMAT)
        sync: Any = SimpleNamespace(_cluster=cluster)
        await PeerSync._apply_response(sync, response, '10.0.0.2')
        return cluster

    cluster = trio.run(main, instruments=[longest])
    assert len(cluster.directory) == RECORDS
    assert longest.most_calls <= MOST_RECORDS


def test_other_tasks_run_while_small_records_are_decoded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a page of the store that holds very many records."""
    longest = LongestStep(monkeypatch, platform_store, '_read_record')
    count = 5 * MOST_EMPTY_RECORDS
    body = struct.pack('>QQ', count, 0) + count * b'\0\0\0\2\1a'

    async def respond(*_arguments: object) -> HttpResponse:
        await trio.lowlevel.checkpoint()
        return HttpResponse(200, (), body)

    async def main() -> object:
        store = platform_store.PlatformStore(Address('127.0.0.1', 1))
        monkeypatch.setattr(store, '_call', respond)
        return await store.read_changes(Topic.UPSTREAMS, 0, ReadTimes(0, 500))

    changes = trio.run(main, instruments=[longest])
    assert isinstance(changes, Changes)
    assert len(changes.records) == count
    assert longest.most_calls <= MOST_EMPTY_RECORDS


def test_other_tasks_run_while_small_frames_are_received(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against frames of one connection that are handled in a row."""
    longest = LongestStep(monkeypatch, Link, 'receive')
    frame = encode_frame(Heartbeat(1, 0, 1, 1))

    async def main() -> None:
        ours, theirs = memory_stream_pair()
        link = Link(ours, Clock())
        link.allow_full_frames()
        await theirs.send_all(RECORDS * frame)
        for _ in range(RECORDS):
            await link.receive()

    trio.run(main, instruments=[longest])
    assert longest.most_calls <= MOST_FRAMES + 1
