"""Tell who lives and who leads while entries die, are cut off and return."""

from __future__ import annotations

import pytest

from amaranthrail.clock import Clock
from amaranthrail.direct.members import MEMORY_MS, Members
from amaranthrail.policy.membership import (
    LEADER_DELAY_MS,
    LIVENESS_TIMEOUT_MS,
    Member,
    is_leader,
    liveness_timeout_ms,
    runs_longer_than,
)

SETTLED = 10_000.0


class FakeTime:
    def __init__(self) -> None:
        self.now_s = 100.0
        self.wall_s = 1_000_000.0

    def __call__(self) -> float:
        return self.now_s

    def wall(self) -> float:
        return self.wall_s

    def pass_ms(self, span_ms: float) -> None:
        self.now_s += span_ms / 1000
        self.wall_s += span_ms / 1000


def new_members(time: FakeTime, host: str = 'b') -> Members:
    return Members(host, Clock(time, time.wall))


def heard(host: str, time: FakeTime) -> Member:
    return Member(host, 1, time() * 1000)


def test_who_has_run_longest_leads() -> None:
    own = Member('b', 5000, 0)
    older = Member('c', 4000, SETTLED)
    younger = Member('a', 6000, SETTLED)
    assert is_leader(own, [younger], SETTLED)
    assert not is_leader(own, [younger, older], SETTLED)
    assert is_leader(older, [younger, own], 2 * SETTLED)


def test_entries_that_started_together_agree_on_one() -> None:
    one, other = Member('a', 5000, 0), Member('b', 5000, 0)
    now = SETTLED
    heard = [Member(each.host, 5000, now) for each in (one, other)]
    assert is_leader(one, [heard[1]], now)
    assert not is_leader(other, [heard[0]], now)


@pytest.mark.parametrize('leaving', [True, False])
def test_the_lead_passes_on_once_the_leader_goes(*, leaving: bool) -> None:
    own = Member('b', 5000, 0)
    silent_ms = 0 if leaving else LIVENESS_TIMEOUT_MS
    leader = Member('a', 4000, SETTLED - silent_ms, int(leaving))
    assert is_leader(own, [leader], SETTLED)


def test_an_entry_waits_to_hear_the_others_before_it_leads() -> None:
    own = Member('a', 5000, SETTLED)
    assert not is_leader(own, [], SETTLED + LEADER_DELAY_MS - 1)
    assert is_leader(own, [], SETTLED + LEADER_DELAY_MS)


def test_an_entry_that_leaves_does_not_lead() -> None:
    time = FakeTime()
    members = new_members(time)
    time.pass_ms(LIVENESS_TIMEOUT_MS)
    assert members.check_lead()
    members.leave()
    assert not members.check_lead()


def test_reports_come_less_often_the_more_entries_there_are() -> None:
    assert (
        liveness_timeout_ms(1, 24)
        == liveness_timeout_ms(25, 24)
        == pytest.approx(LIVENESS_TIMEOUT_MS)
    )
    assert liveness_timeout_ms(330, 24) == pytest.approx(
        14 * LIVENESS_TIMEOUT_MS
    )


def test_an_entry_out_of_reach_still_counts_for_the_bound_on_repeats() -> None:
    time = FakeTime()
    members = new_members(time)
    members.take_seeds(['a', 'b'])
    members.note_heard(heard('c', time))
    time.pass_ms(3_600_000)
    assert members.count == 3
    assert members.alive == []


def test_replaced_hosts_are_forgotten() -> None:
    """Replays days of 110 replaced hosts: each had counted for good."""
    time = FakeTime()
    members = new_members(time)
    for host in range(1000):
        members.note_heard(heard(f'h{host}', time))
        time.pass_ms(MEMORY_MS / 100)
    assert members.count <= 101


def test_a_listed_host_that_is_never_heard_is_long_lost() -> None:
    time = FakeTime()
    members = new_members(time)
    members.take_listed(['a', 'b', 'c'])
    time.pass_ms(MEMORY_MS / 2)
    members.note_heard(heard('c', time))
    assert members.long_lost == frozenset()
    time.pass_ms(MEMORY_MS / 2)
    assert members.long_lost == {'a'}


def test_who_can_be_asked_after_this_entry_has_ended() -> None:
    time = FakeTime()
    members = new_members(time)
    members.leave()
    left_at = members.own.shutdown_at
    now = time() * 1000
    members.note_heard(Member('a', 1, now, left_at - 1))
    members.note_heard(Member('c', 1, now, has_cluster_state=False))
    assert members.successors == 0
    members.note_heard(Member('a', 1, now, left_at + 1))
    members.note_heard(Member('c', 1, now))
    assert members.successors == 2


def test_of_entries_that_leave_together_one_stays_to_the_last() -> None:
    one, other = Member('a', 1, 0, 5000), Member('b', 1, 0, 5000)
    assert runs_longer_than(other, one)
    assert not runs_longer_than(one, other)
