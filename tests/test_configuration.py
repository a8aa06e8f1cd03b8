"""Test that readers agree on one manifest despite races and lag."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from amaranthrail.clock import Clock
from amaranthrail.configpulls import PULL_RETRY_MS, PullLimiter
from amaranthrail.configuration import Configuration
from amaranthrail.records import CONTROL_STREAM, Drain, encode_record

from . import build
from .memory import MemoryLog

READERS = 3


def _apply_log(log: MemoryLog, reader: Configuration, after: int = 0) -> None:
    for entry in log.entries(CONTROL_STREAM):
        if entry.offset > after:
            reader.apply(log.first(CONTROL_STREAM), entry)


def test_one_of_concurrent_changes_is_accepted() -> None:
    log = MemoryLog()
    for name in ('one', 'two', 'three'):
        log.put(CONTROL_STREAM, encode_record(build.change(name, 0)))
    reader = Configuration()
    _apply_log(log, reader)
    results = [reader.publish_result(name) for name in ('one', 'two', 'three')]
    assert [result and result.accepted for result in results] == [
        True,
        False,
        False,
    ]
    assert {result and result.version for result in results} == {1}
    assert reader.version == 1


def test_first_copy_of_a_retried_append_counts() -> None:
    log = MemoryLog()
    text = encode_record(build.change('one', 0))
    for _ in range(3):
        log.put(CONTROL_STREAM, text)
    reader = Configuration()
    _apply_log(log, reader)
    result = reader.publish_result('one')
    assert result is not None
    assert result.accepted
    assert reader.version == 1


def test_invalid_manifest_is_refused_with_its_faults() -> None:
    log = MemoryLog()
    valid = encode_record(build.change('bad', 0))
    log.put(CONTROL_STREAM, valid.replace(b'"format"', b'"farmat"'))
    reader = Configuration()
    _apply_log(log, reader)
    result = reader.publish_result('bad')
    assert result is not None
    assert 'farmat: Extra inputs' in result.reason
    assert reader.version == 0


def test_reader_of_a_truncated_log_waits_for_a_snapshot() -> None:
    log = MemoryLog()
    log.put(CONTROL_STREAM, encode_record(build.change('one', 0)))
    log.put(CONTROL_STREAM, encode_record(build.change('two', 1)))
    log.trim(CONTROL_STREAM, 2)
    reader = Configuration()
    _apply_log(log, reader)
    # The version in force before "two" is unknown, so "two" is not applied.
    assert reader.version == 0
    snapshot = build.snapshot('s', 2, build.manifest_text())
    log.put(CONTROL_STREAM, encode_record(snapshot))
    _apply_log(log, reader, after=2)
    assert reader.version == 2


@pytest.mark.parametrize('version', [0, 5, 99])
def test_snapshot_of_an_impossible_version_is_skipped(version: int) -> None:
    log = MemoryLog()
    snapshot = build.snapshot('s', version, build.manifest_text())
    log.put(CONTROL_STREAM, encode_record(snapshot))
    reader = Configuration()
    _apply_log(log, reader)
    assert (reader.version, reader.skipped_records) == (0, 1)


def test_latest_drain_order_is_in_force() -> None:
    reader = Configuration()
    log = MemoryLog()
    for draining in (True, False, True):
        order = Drain(id='d', upstream='u', draining=draining, author='t')
        log.put(CONTROL_STREAM, encode_record(order))
    _apply_log(log, reader)
    assert reader.is_draining('u')
    reader.adopt(0, b'', (('u', 2, False),))
    assert reader.is_draining('u')
    reader.adopt(0, b'', (('u', 9, False),))
    assert not reader.is_draining('u')


def test_configuration_is_pulled_from_one_peer() -> None:
    now_s = [10.0]
    clock = Clock(lambda: now_s[0], lambda: now_s[0])
    limiter = PullLimiter(clock, Configuration())
    assert limiter.should_pull(3, 0)
    assert not any(limiter.should_pull(3, 0) for _ in range(4))
    assert limiter.should_pull(4, 0)
    now_s[0] += (PULL_RETRY_MS + 1) / 1000
    assert limiter.should_pull(4, 0)
    assert not limiter.should_pull(0, 0)


class ManifestAgreement(RuleBasedStateMachine):
    """Run readers that lag, restart, and adopt the state of peers."""

    def __init__(self) -> None:
        super().__init__()
        self.log = MemoryLog()
        self.readers = [Configuration() for _ in range(READERS)]
        self.positions = [0 for _ in range(READERS)]
        self.highest = [0 for _ in range(READERS)]
        self.texts: dict[int, bytes] = {}
        self.changes = 0

    @rule(publisher=st.integers(0, READERS - 1), behind=st.integers(0, 2))
    def publish(self, publisher: int, behind: int) -> None:
        self.changes += 1
        base = max(0, self.readers[publisher].version - behind)
        record = build.change(f'c{self.changes}', base, self.changes)
        self.log.put(CONTROL_STREAM, encode_record(record))

    @precondition(lambda self: self.log.entries(CONTROL_STREAM))
    @rule(data=st.data())
    def retry_append(self, data: st.DataObject) -> None:
        entries = self.log.entries(CONTROL_STREAM)
        text = data.draw(st.sampled_from([entry.text for entry in entries]))
        self.log.put(CONTROL_STREAM, text)

    @rule(text=st.binary(max_size=5))
    def append_garbage(self, text: bytes) -> None:
        self.log.put(CONTROL_STREAM, text)

    @rule(reader=st.integers(0, READERS - 1), count=st.integers(1, 5))
    def read_records(self, reader: int, count: int) -> None:
        entries = [
            entry
            for entry in self.log.entries(CONTROL_STREAM)
            if entry.offset > self.positions[reader]
        ]
        for entry in entries[:count]:
            self.positions[reader] = int(entry.offset)
            oldest_offset = self.log.first(CONTROL_STREAM)
            self.readers[reader].apply(oldest_offset, entry)

    @rule(reader=st.integers(0, READERS - 1), peer=st.integers(0, READERS - 1))
    def adopt_from_peer(self, reader: int, peer: int) -> None:
        in_force = self.readers[peer].in_force
        if in_force is not None:
            drains = self.readers[peer].drain_list()
            self.readers[reader].adopt(in_force.version, in_force.text, drains)

    @rule(reader=st.integers(0, READERS - 1))
    def append_snapshot(self, reader: int) -> None:
        in_force = self.readers[reader].in_force
        if in_force is not None:
            record = build.snapshot('s', in_force.version, in_force.text)
            self.log.put(CONTROL_STREAM, encode_record(record))

    @rule(reader=st.integers(0, READERS - 1))
    def restart(self, reader: int) -> None:
        self.readers[reader] = Configuration()
        self.positions[reader] = 0
        self.highest[reader] = 0

    @invariant()
    def versions_never_decrease(self) -> None:
        for number, reader in enumerate(self.readers):
            assert reader.version >= self.highest[number]
            self.highest[number] = reader.version

    @invariant()
    def each_version_has_one_text(self) -> None:
        for reader in self.readers:
            in_force = reader.in_force
            if in_force is not None:
                text = self.texts.setdefault(in_force.version, in_force.text)
                assert text == in_force.text

    def teardown(self) -> None:
        for reader in range(READERS):
            self.read_records(reader, 10_000)
        assert len({reader.version for reader in self.readers}) == 1


ManifestAgreement.TestCase.settings = settings(
    derandomize=True,
    max_examples=60,
    stateful_step_count=30,
    deadline=None,
)
TestManifestAgreement = ManifestAgreement.TestCase
