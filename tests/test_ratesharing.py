"""Test that a limit holds for all entries together, and is used."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec
import pytest

from amaranthrail.clock import Clock
from amaranthrail.direct.members import MAX_REPORT_PEERS
from amaranthrail.direct.peermessages import LimitReport
from amaranthrail.direct.ratelimits import LimitSharing, RateLimit
from amaranthrail.policy.membership import report_rounds
from amaranthrail.policy.ratesharing import (
    EntryUse,
    SharedLimit,
    expected_calls,
)

from .platformbuild import FakeTime, direct_upstream

#: Over any 4 s, the users allow one and a half times the rate, and 5 calls.
RULE_WINDOW_MS = 4000.0
#: Share of the limit that is used where the calls are five times as many.
LEAST_USE = 0.5
STEP_MS = 20.0
REPORT_MS = 100.0
#: Share of reports that are lost.
LOST_SHARE = 0.05
RESPONSE_MS = 100.0
SETTLED_MS = 8000.0
DURATION_MS = 28_000.0


def allowed_calls(per_s: float) -> float:
    return 1.5 * per_s * RULE_WINDOW_MS / 1000 + 5


class SimulatedEntry:
    """Hold one entry's view of the limited upstream."""

    def __init__(self, started_at: int, entries: int, time: FakeTime) -> None:
        self.started_at = started_at
        self.sharing = LimitSharing(Clock(time))
        self.sharing.update_entries(
            entries, report_rounds(entries, MAX_REPORT_PEERS)
        )
        self.limit = RateLimit(direct_upstream('e1'), self.sharing)


class SimulatedEntries:
    """Send calls of all entries to one upstream with a limit.

    ``weights`` divide ``calls_per_s`` over the entries. ``is_reached`` says
    whether a report of an entry reaches another; ``names`` whether the
    response to an entry's call names the limit.
    """

    def __init__(self, entries: int, per_s: float, seed: int = 1) -> None:
        self.random = random.Random(seed)
        self.time = FakeTime()
        self.per_s = per_s
        self.entries = [
            SimulatedEntry(number, entries, self.time)
            for number in range(entries)
        ]
        self.weights = [1.0 for _ in range(entries)]
        self.calls_per_s = 5 * per_s
        self.is_reached: Callable[[int, int], bool] = lambda _from, _to: True
        self.names: Callable[[int], bool] = lambda _entry: True
        self.sent_at: list[float] = []
        self.now_ms = 0.0
        self._answers: list[tuple[float, int]] = []
        self._report_at = [
            self.random.random() * REPORT_MS for _ in range(entries)
        ]
        for entry in self.entries:
            entry.sharing.random.seed(self.random.random())

    def run(self, duration_ms: float = DURATION_MS) -> None:
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            for number, entry in enumerate(self.entries):
                if self.now_ms >= self._report_at[number]:
                    self._report_at[number] += REPORT_MS
                    self._send_report(number, entry)
            self._receive_responses()
            self._send_calls()
            self.now_ms += STEP_MS
            self.time.advance_ms(STEP_MS)

    def restart(self, number: int) -> None:
        count = len(self.entries)
        self.entries[number] = SimulatedEntry(
            self.entries[number].started_at + 1000, count, self.time
        )

    def worst_window(self) -> int:
        """Return the most calls in 4 s, from 3 s after the limit was named."""
        counted = [at for at in self.sent_at if at > 3000]
        return max(
            (
                sum(at <= each < at + RULE_WINDOW_MS for each in counted)
                for at in counted
            ),
            default=0,
        )

    def use(self) -> float:
        settled = sum(at > SETTLED_MS for at in self.sent_at)
        return settled / ((self.now_ms - SETTLED_MS) / 1000) / self.per_s

    def _send_report(self, number: int, entry: SimulatedEntry) -> None:
        report = entry.limit.report()
        if report is None:
            return
        others = [each for each in range(len(self.entries)) if each != number]
        receivers = min(MAX_REPORT_PEERS, len(others))
        for other in self.random.sample(others, receivers):
            is_lost = self.random.random() < LOST_SHARE
            if is_lost or not self.is_reached(number, other):
                continue
            self.entries[other].limit.apply_report(
                report, f'10.0.0.{number}', entry.started_at
            )

    def _receive_responses(self) -> None:
        due = [each for each in self._answers if each[0] <= self.now_ms]
        self._answers = self._answers[len(due) :]
        for _, number in due:
            if self.names(number):
                self.entries[number].limit.record_named(self.per_s)

    def _send_calls(self) -> None:
        total = sum(self.weights)
        for number, weight in enumerate(self.weights):
            mean = self.calls_per_s * STEP_MS / 1000 * weight / total
            while mean > 0:
                if self.random.random() < mean:
                    self._send_call(number)
                mean -= 1

    def _send_call(self, number: int) -> None:
        entry = self.entries[number]
        entry.sharing.record_call(direct_upstream('e1').service)
        if entry.limit.wait_ms:
            return
        entry.limit.record_call()
        self.sent_at.append(self.now_ms)
        self._answers.append((self.now_ms + RESPONSE_MS, number))


@pytest.mark.parametrize('per_s', [0.2, 1, 5, 50])
@pytest.mark.parametrize('entries', [1, 2, 5, 60])
def test_a_limit_holds_for_all_entries_together(
    entries: int, per_s: float
) -> None:
    """Guards against upstreams in need that get far more than they take."""
    simulation = SimulatedEntries(entries, per_s)
    simulation.run()
    assert simulation.worst_window() <= allowed_calls(per_s)


@pytest.mark.parametrize('per_s', [1, 20])
def test_a_limit_holds_for_three_hundred_entries(per_s: float) -> None:
    simulation = SimulatedEntries(300, per_s)
    simulation.run(20_000)
    assert simulation.worst_window() <= allowed_calls(per_s)


@pytest.mark.parametrize('entries', [1, 5, 60])
@pytest.mark.parametrize('per_s', [1, 5, 50])
def test_one_entry_with_all_calls_uses_the_limit(
    entries: int, per_s: float
) -> None:
    """Guards against equal shares, which leave it unused."""
    simulation = SimulatedEntries(entries, per_s)
    simulation.weights = [float(number == 0) for number in range(entries)]
    simulation.run()
    assert simulation.worst_window() <= allowed_calls(per_s)
    assert simulation.use() >= LEAST_USE


@pytest.mark.parametrize('per_s', [1, 5, 50])
def test_entries_with_equal_calls_use_the_limit(per_s: float) -> None:
    simulation = SimulatedEntries(5, per_s)
    simulation.run()
    assert simulation.use() >= LEAST_USE


@pytest.mark.parametrize('entries', [2, 5, 60])
def test_a_limit_holds_with_entries_that_hear_no_other(entries: int) -> None:
    """Entries that reach the upstream but not each other keep their part."""
    simulation = SimulatedEntries(entries, 5)
    simulation.run(6000)
    simulation.is_reached = lambda _from, _to: False
    simulation.run()
    assert simulation.worst_window() <= allowed_calls(5)


def test_a_limit_holds_as_entries_start_again() -> None:
    """Entries that start again have forgotten what they sent."""
    simulation = SimulatedEntries(5, 5)
    for number in (0, 1, 2, 3, 4, 0, 1, 2, 3, 4):
        simulation.run(1500)
        simulation.restart(number)
    simulation.run(4000)
    assert simulation.worst_window() <= allowed_calls(5)


@pytest.mark.parametrize('entries', [2, 60])
def test_a_limit_holds_at_an_entry_that_never_received_it(
    entries: int,
) -> None:
    simulation = SimulatedEntries(entries, 2)
    simulation.names = lambda entry: entry == 0
    simulation.run()
    assert simulation.worst_window() <= allowed_calls(2)


def make_limit(time: FakeTime) -> RateLimit:
    limit = RateLimit(direct_upstream('e1'), LimitSharing(Clock(time)))
    limit.record_named(1)
    return limit


def is_in_force(limit: RateLimit) -> bool:
    return limit.in_force


def test_a_limit_ends_once_a_response_does_not_name_it() -> None:
    time = FakeTime()
    sent_before_ms = Clock(time).now()
    time.advance_ms(50)
    limit = make_limit(time)
    # A response to an earlier call may be older than the limit.
    limit.record_unnamed(sent_before_ms)
    assert is_in_force(limit)
    time.advance_ms(50)
    limit.record_unnamed(Clock(time).now())
    assert not is_in_force(limit)
    assert not limit.wait_ms
    time.advance_ms(50)
    limit.record_named(2)
    assert is_in_force(limit)


def test_the_end_of_a_limit_reaches_other_entries() -> None:
    time = FakeTime()
    first, second = make_limit(time), make_limit(time)
    time.advance_ms(100)
    first.record_unnamed(Clock(time).now())
    report = first.report()
    assert isinstance(report, LimitReport)
    second.apply_report(report, '10.0.0.1', 1)
    assert not second.in_force
    time.advance_ms(6000)
    assert first.report() is None


def test_reports_that_go_round_do_not_renew_a_limit() -> None:
    """Ages grow by the time that each report is under way."""
    time = FakeTime()
    entries = [make_limit(time) for _ in range(3)]
    for _ in range(300):
        for number, entry in enumerate(entries):
            report = entry.report()
            assert report is not None
            time.advance_ms(1)
            for other in entries:
                if other is not entry:
                    other.apply_report(report, f'10.0.0.{number}', 1)
        time.advance_ms(97)
    report = entries[0].report()
    assert report is not None
    assert report.named_age_ms > 29_000


def test_a_limit_of_an_earlier_start_is_ignored() -> None:
    time = FakeTime()
    report = make_limit(time).report()
    assert report is not None
    restarted = msgspec.structs.replace(direct_upstream('e1'), started_at=2000)
    limit = RateLimit(restarted, LimitSharing(Clock(time)))
    limit.apply_report(report, '10.0.0.1', 1)
    assert not limit.in_force


def test_an_upstream_that_takes_nothing_gets_a_call_now_and_then() -> None:
    """It could not say that its limit has ended."""
    limit = SharedLimit(0, 200)
    assert expected_calls(limit, EntryUse(5, 0), [], 5000) > 0
    assert not expected_calls(limit, EntryUse(5, 4), [], 5000)
