"""Test that many records or frames are handled in short steps of work."""

from __future__ import annotations

import struct
from collections.abc import Awaitable, Callable
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
from amaranthrail.policy.storereads import ReadTimes

from .platformbuild import configuration, upstream_record
from .stepcount import LongestStep

COUNT = 5000
RECORD = upstream_record('10.0.0.9:80')


async def follow(topic: Topic, records: list[StoreRecord]) -> ClusterState:
    """Return the state after one snapshot of a topic."""
    snapshot = Snapshot(tuple(records), len(records), 1)

    async def read_snapshot(*_arguments: object) -> Snapshot:
        await trio.lowlevel.checkpoint()
        return snapshot

    async def read_changes(*_arguments: object) -> Changes:
        await trio.sleep_forever()
        raise AssertionError

    store: Any = SimpleNamespace(
        read_snapshot=read_snapshot, read_changes=read_changes
    )
    status = StoreStatus(Clock(trio.current_time))
    cluster = ClusterState(status.clock, WIRE_FORMAT)
    follower = TopicFollower(store, topic, status, lambda: 400)
    with trio.move_on_after(5):
        if topic is Topic.UPSTREAMS:
            await UpstreamSync(follower, cluster, status).run()
        else:
            await follow_configuration(follower, cluster)
    return cluster


async def apply_upstreams() -> int:
    names = (f'p{number}' for number in range(COUNT))
    records = [StoreRecord(name, RECORD) for name in names]
    return len((await follow(Topic.UPSTREAMS, records)).directory)


async def apply_configurations() -> int:
    texts = (configuration(number) for number in range(1, COUNT + 1))
    records = [StoreRecord('config', text) for text in texts]
    return (await follow(Topic.CONFIGURATION, records)).version


async def apply_records_of_an_entry() -> int:
    cluster = ClusterState(Clock(trio.current_time), WIRE_FORMAT)
    sync: Any = SimpleNamespace(_cluster=cluster)
    upstreams = {f'p{number}': RECORD for number in range(COUNT)}
    response = SyncResponse(b'', upstreams, [], [])
    await PeerSync._apply_response(sync, response, '10.0.0.2')
    return len(cluster.directory)


async def decode_small_records() -> int:
    body = struct.pack('>QQ', COUNT, 0) + COUNT * b'\0\0\0\2\1a'

    async def respond(*_arguments: object) -> HttpResponse:
        await trio.lowlevel.checkpoint()
        return HttpResponse(200, (), body)

    store: Any = platform_store.PlatformStore(Address('127.0.0.1', 1))
    store._call = respond
    changes = await store.read_changes(Topic.UPSTREAMS, 0, ReadTimes(0, 500))
    return len(changes.records)


async def receive_frames() -> int:
    ours, theirs = memory_stream_pair()
    link = Link(ours, Clock())
    link.allow_full_frames()
    await theirs.send_all(COUNT * encode_frame(Heartbeat(1, 0, 1, 1)))
    return len([await link.receive() for _ in range(COUNT)])


@pytest.mark.parametrize(
    ('handle', 'owner', 'method', 'most_calls'),
    [
        (apply_upstreams, ClusterState, 'apply_upstream', 64),
        (apply_configurations, ClusterState, 'apply_configuration', 64),
        (apply_records_of_an_entry, ClusterState, 'apply_upstream', 64),
        (decode_small_records, platform_store, '_read_record', 1000),
        # The step in which one call ends begins the next.
        (receive_frames, Link, 'receive', 65),
    ],
)
def test_other_tasks_run_while_many_are_handled(
    handle: Callable[[], Awaitable[int]],
    owner: Any,
    method: str,
    most_calls: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a long list or a full read that stops an entry."""
    longest = LongestStep(monkeypatch, owner, method)
    clock = MockClock(autojump_threshold=0)
    assert trio.run(handle, clock=clock, instruments=[longest]) == COUNT
    assert longest.most_calls <= most_calls
