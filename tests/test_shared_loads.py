"""Know from other entries' reports how many calls each upstream has."""

from __future__ import annotations

import random

import msgspec
import pytest
from msgspec.structs import replace

from amaranthrail.clock import Clock
from amaranthrail.direct.deployment import UpstreamRecord, UpstreamState
from amaranthrail.direct.loads import REPORT_LIFE_MS, SharedLoads
from amaranthrail.direct.news import Report, decode_report, encode_message
from amaranthrail.direct.ports import ReportedLoad
from amaranthrail.direct.upstreams import Upstream
from amaranthrail.policy.selection import UpstreamView, select_upstream
from amaranthrail.types import DomainName, ServiceName

ENTRIES = 12
UPSTREAMS = 72
SLOTS = 5


class FakeTime:
    def __init__(self) -> None:
        self.now_s = 100.0

    def __call__(self) -> float:
        return self.now_s


def test_reports_of_all_entries_add_up() -> None:
    shared = SharedLoads(Clock(FakeTime()))
    assert not shared.totals()
    shared.take('10.0.0.1', {'e1': 2})
    shared.take('10.0.0.2', {'e1': 1, 'e2': 4})
    assert shared.totals() == {'e1': 3, 'e2': 4}
    shared.take('10.0.0.1', {})
    assert shared.totals()['e1'] == 1


def test_a_report_of_an_entry_that_fell_silent_is_forgotten() -> None:
    time = FakeTime()
    shared = SharedLoads(Clock(time))
    shared.take('10.0.0.1', {'e1': 2})
    time.now_s += (REPORT_LIFE_MS + 1) / 1000
    shared.take('10.0.0.2', {'e1': 1})
    assert shared.totals()['e1'] == 1


def test_a_report_is_read_as_it_was_written() -> None:
    report = Report({'e1': 3}, ['10.0.0.3'], 1000, 2000)
    assert decode_report(encode_message(report)) == report
    with pytest.raises(msgspec.DecodeError):
        decode_report(b'\xff')


def test_a_crest_met_by_twelve_entries_overruns_no_upstream() -> None:
    """Replays 300 streams on 360 slots, as on the grown sites."""
    source = random.Random(1)
    own = [dict.fromkeys(range(UPSTREAMS), 0) for _ in range(ENTRIES)]
    for stream in range(300):
        calls = own[stream % ENTRIES]
        views = [UpstreamView(str(one), SLOTS, calls[one]) for one in calls]
        told = [
            replace(
                view, other_calls=sum(each[one] for each in own) - calls[one]
            )
            for one, view in enumerate(views)
        ]
        chosen = select_upstream(told, source)
        assert chosen is not None
        calls[int(chosen.name)] += 1
    totals = [sum(each[one] for each in own) for one in range(UPSTREAMS)]
    assert max(totals) <= SLOTS


def test_calls_of_an_entry_that_lost_power_still_count() -> None:
    """Replays a loss of all entries: engines go on with their streams."""
    time = FakeTime()
    record = UpstreamRecord(
        'e1',
        ServiceName('engine'),
        '10.0.0.9',
        80,
        DomainName('a'),
        SLOTS,
        UpstreamState.READY,
        started_at=1,
        beat=1,
    )
    upstream = Upstream(record, Clock(time))
    upstream.note_load(ReportedLoad(running=5, waiting=2, slots=SLOTS))
    assert upstream.view(DomainName('a'), 1).other_calls == pytest.approx(7)
    time.now_s += 10
    assert upstream.view(DomainName('a'), 1).other_calls == pytest.approx(1)
