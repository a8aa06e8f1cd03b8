"""Agree on one manifest, whoever publishes and whoever cannot read the log."""

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


def _read(log: MemoryLog, reader: Configuration, after: int = 0) -> None:
    for entry in log.entries(CONTROL_STREAM):
        if entry.offset > after:
            reader.apply(log.first(CONTROL_STREAM), entry)


def test_racing_changes_have_one_winner() -> None:
    log = MemoryLog()
    for name in ('one', 'two', 'three'):
        log.put(CONTROL_STREAM, encode_record(build.change(name, 0)))
    reader = Configuration()
    _read(log, reader)
    verdicts = [reader.publish_result(name) for name in ('one', 'two', 'three')]
    assert [one and one.accepted for one in verdicts] == [True, False, False]
    assert {one and one.version for one in verdicts} == {1}
    assert reader.version == 1


def test_first_copy_of_a_repeated_append_counts() -> None:
    log = MemoryLog()
    text = encode_record(build.change('one', 0))
    for _ in range(3):
        log.put(CONTROL_STREAM, text)
    reader = Configuration()
    _read(log, reader)
    verdict = reader.publish_result('one')
    assert verdict is not None
    assert verdict.accepted
    assert reader.version == 1


def test_invalid_manifest_is_refused_with_its_faults() -> None:
    log = MemoryLog()
    good = encode_record(build.change('bad', 0))
    log.put(CONTROL_STREAM, good.replace(b'"format"', b'"farmat"'))
    reader = Configuration()
    _read(log, reader)
    verdict = reader.publish_result('bad')
    assert verdict is not None
    assert 'farmat: Extra inputs' in verdict.reason
    assert reader.version == 0


def test_late_reader_waits_for_a_snapshot() -> None:
    log = MemoryLog()
    log.put(CONTROL_STREAM, encode_record(build.change('one', 0)))
    log.put(CONTROL_STREAM, encode_record(build.change('two', 1)))
    log.trim(CONTROL_STREAM, 2)
    reader = Configuration()
    _read(log, reader)
    # What version "two" was made from cannot be known, so it is not judged.
    assert reader.version == 0
    snapshot = build.snapshot('s', 2, build.manifest_text())
    log.put(CONTROL_STREAM, encode_record(snapshot))
    _read(log, reader, after=2)
    assert reader.version == 2


@pytest.mark.parametrize('version', [0, 5, 99])
def test_snapshot_from_the_future_is_skipped(version: int) -> None:
    log = MemoryLog()
    snapshot = build.snapshot('s', version, build.manifest_text())
    log.put(CONTROL_STREAM, encode_record(snapshot))
    reader = Configuration()
    _read(log, reader)
    assert (reader.version, reader.skipped_records) == (0, 1)


def test_drains_follow_the_latest_word() -> None:
    reader = Configuration()
    log = MemoryLog()
    for draining in (True, False, True):
        order = Drain(id='d', upstream='u', draining=draining, author='t')
        log.put(CONTROL_STREAM, encode_record(order))
    _read(log, reader)
    assert reader.is_draining('u')
    reader.adopt(0, b'', (('u', 2, False),))
    assert reader.is_draining('u')
    reader.adopt(0, b'', (('u', 9, False),))
    assert not reader.is_draining('u')


def test_one_peer_is_asked_for_a_change() -> None:
    now_s = [10.0]
    clock = Clock(lambda: now_s[0], lambda: now_s[0])
    pulls = PullLimiter(clock, Configuration())
    assert pulls.should_pull(3, 0)
    assert not any(pulls.should_pull(3, 0) for _ in range(4))
    assert pulls.should_pull(4, 0)
    now_s[0] += (PULL_RETRY_MS + 1) / 1000
    assert pulls.should_pull(4, 0)
    assert not pulls.should_pull(0, 0)


class OneManifest(RuleBasedStateMachine):
    """Drive readers that lag, are cut off, start late and hear peers."""

    def __init__(self) -> None:
        super().__init__()
        self.log = MemoryLog()
        self.readers = [Configuration() for _ in range(READERS)]
        self.read = [0 for _ in range(READERS)]
        self.highest = [0 for _ in range(READERS)]
        self.texts: dict[int, bytes] = {}
        self.count = 0

    @rule(publisher=st.integers(0, READERS - 1), behind=st.integers(0, 2))
    def publish(self, publisher: int, behind: int) -> None:
        self.count += 1
        base = max(0, self.readers[publisher].version - behind)
        record = build.change(f'c{self.count}', base, self.count)
        self.log.put(CONTROL_STREAM, encode_record(record))

    @precondition(lambda self: self.log.entries(CONTROL_STREAM))
    @rule(data=st.data())
    def repeat_append(self, data: st.DataObject) -> None:
        entries = self.log.entries(CONTROL_STREAM)
        text = data.draw(st.sampled_from([one.text for one in entries]))
        self.log.put(CONTROL_STREAM, text)

    @rule(text=st.binary(max_size=5))
    def append_garbage(self, text: bytes) -> None:
        self.log.put(CONTROL_STREAM, text)

    @rule(reader=st.integers(0, READERS - 1), count=st.integers(1, 5))
    def read_on(self, reader: int, count: int) -> None:
        entries = [
            one
            for one in self.log.entries(CONTROL_STREAM)
            if one.offset > self.read[reader]
        ]
        for entry in entries[:count]:
            self.read[reader] = int(entry.offset)
            first = self.log.first(CONTROL_STREAM)
            self.readers[reader].apply(first, entry)

    @rule(reader=st.integers(0, READERS - 1), peer=st.integers(0, READERS - 1))
    def hear_peer(self, reader: int, peer: int) -> None:
        told = self.readers[peer].in_force
        if told is not None:
            drains = self.readers[peer].drain_list()
            self.readers[reader].adopt(told.version, told.text, drains)

    @rule(reader=st.integers(0, READERS - 1))
    def renew(self, reader: int) -> None:
        in_force = self.readers[reader].in_force
        if in_force is not None:
            record = build.snapshot('s', in_force.version, in_force.text)
            self.log.put(CONTROL_STREAM, encode_record(record))

    @rule(reader=st.integers(0, READERS - 1))
    def start_anew(self, reader: int) -> None:
        self.readers[reader] = Configuration()
        self.read[reader] = 0
        self.highest[reader] = 0

    @invariant()
    def versions_never_go_back(self) -> None:
        for number, reader in enumerate(self.readers):
            assert reader.version >= self.highest[number]
            self.highest[number] = reader.version

    @invariant()
    def a_version_is_one_text(self) -> None:
        for reader in self.readers:
            told = reader.in_force
            if told is not None:
                text = self.texts.setdefault(told.version, told.text)
                assert text == told.text

    def teardown(self) -> None:
        for reader in range(READERS):
            self.read_on(reader, 10_000)
        assert len({reader.version for reader in self.readers}) == 1


OneManifest.TestCase.settings = settings(
    derandomize=True,
    max_examples=60,
    stateful_step_count=30,
    deadline=None,
)
TestOneManifest = OneManifest.TestCase
