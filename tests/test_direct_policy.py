"""Replay the load patterns that the direct entry's decisions answer."""

from __future__ import annotations

import random

import pytest

from amaranthrail.policy.outliers import MAX_EJECTION_MS, Health
from amaranthrail.policy.rebalancing import (
    PRESSED_INTERVAL_MS,
    WARM_INTERVAL_MS,
    can_rebalance,
    has_high_load,
    should_change_map,
    should_read_counts,
)
from amaranthrail.policy.retryafter import (
    MIN_RETRY_AFTER_MS,
    RETRY_AFTER_JITTER_MS,
    choose_retry_after_ms,
)
from amaranthrail.policy.selection import (
    MAX_LOAD_PER_SLOT,
    UpstreamView,
    decay_others,
    select_upstream,
)
from amaranthrail.policy.shutdown import can_accept_call, can_exit
from amaranthrail.policy.windowbudget import WindowRetryBudget
from amaranthrail.ranks.keeper import CYCLE_MS

GAP_MS = 120.0
#: Bounds on repeats, as the users' sheets state them.
RATIO = 0.2
SLACK = 92.0
WINDOW_MS = 10_000.0


def test_a_leaving_entry_takes_what_it_can_finish() -> None:
    """Replays a kill 8 s after the signal to stop."""
    assert can_accept_call(0, 8000, 8000, streaming=True)
    assert not can_accept_call(3000, 8000, 8000, streaming=True)
    assert can_accept_call(3000, 1500, 8000, streaming=False)
    assert not can_accept_call(7000, 1500, 8000, streaming=False)


def test_the_last_entry_that_knows_waits_for_one_that_stays() -> None:
    """Replays a restart of all entries within 5 s while the store is away."""
    assert can_exit(active=0, store_lost=False, successors=0)
    assert can_exit(active=0, store_lost=True, successors=1)
    assert not can_exit(active=0, store_lost=True, successors=0)
    assert not can_exit(active=1, store_lost=False, successors=3)


def test_a_burst_is_spread_over_all_upstreams() -> None:
    source = random.Random(1)
    own = dict.fromkeys((f'u{one}' for one in range(16)), 0)
    for _ in range(64):
        seen = [UpstreamView(name, 6, count) for name, count in own.items()]
        chosen = select_upstream(seen, source)
        assert chosen is not None
        own[chosen.name] += 1
    assert set(own.values()) == {4}


def test_work_of_other_entries_counts() -> None:
    busy = UpstreamView('busy', 6, own_calls=0, other_calls=3)
    free = UpstreamView('free', 6, own_calls=2)
    chosen = select_upstream([busy, free], random.Random(1))
    assert chosen == free


def test_what_was_said_long_ago_counts_less() -> None:
    assert decay_others(4, 0) == pytest.approx(4)
    assert decay_others(4, 8000) == pytest.approx(0, abs=0.01)


def test_an_equal_upstream_nearby_goes_first() -> None:
    far = UpstreamView('far', 6, own_calls=1)
    near = UpstreamView('near', 6, own_calls=1, is_same_domain=True)
    source = random.Random(1)
    assert {select_upstream([far, near], source) for _ in range(20)} == {near}


def test_one_that_failed_lately_is_a_last_resort() -> None:
    failed = UpstreamView('failed', 6, own_calls=0, is_ejected=True)
    busy = UpstreamView('busy', 6, own_calls=5)
    source = random.Random(1)
    assert select_upstream([failed, busy], source) == busy
    assert select_upstream([failed], source) == failed


def test_nobody_is_overrun() -> None:
    own = int(6 * MAX_LOAD_PER_SLOT)
    full = [UpstreamView(f'u{one}', 6, own) for one in range(3)]
    assert select_upstream(full, random.Random(1)) is None
    assert select_upstream([], random.Random(1)) is None


def test_an_unreachable_upstream_is_left_for_ever_longer() -> None:
    health = Health()
    pauses = []
    now = 0.0
    for _ in range(6):
        health.record_unreachable(now)
        pauses.append(health.ejected_until - now)
        now = health.ejected_until
    assert pauses == sorted(pauses)
    assert pauses[-1] == pytest.approx(MAX_EJECTION_MS)
    health.record_success()
    health.record_unreachable(now)
    assert health.is_ejected(now)
    assert not health.is_ejected(now + MAX_EJECTION_MS)


@pytest.mark.parametrize(
    ('share', 'is_left'),
    # A sound upstream fails 0.14 of idempotent calls; a grey one 0.45.
    [(0.14, False), (0.9, True)],
)
def test_only_an_upstream_that_fails_often_is_left(
    share: float,
    *,
    is_left: bool,
) -> None:
    source = random.Random(3)
    health = Health()
    left = 0
    for now in range(400):
        if source.random() < share:
            health.record_failure(now)
        else:
            health.record_success()
        left += health.is_ejected(now)
    assert (left > 200) is is_left


@pytest.mark.parametrize('entries', [1, 4, 5, 12])
def test_repeats_of_all_entries_keep_the_bound(entries: int) -> None:
    """A third of a service fails while callers repeat at once."""
    source = random.Random(entries)
    budgets = [
        WindowRetryBudget(RATIO, SLACK, WINDOW_MS) for _ in range(entries)
    ]
    calls: list[float] = []
    repeats: list[float] = []
    for now in range(0, 40_000, 10):
        budget = source.choice(budgets)
        budget.record_call(now)
        calls.append(now)
        if budget.try_withdraw(now, entries):
            repeats.append(now)
    for end in range(0, 40_000, 250):
        allowed = RATIO * count_in_window(calls, end) + SLACK
        assert allowed >= count_in_window(repeats, end)


def count_in_window(times: list[float], end: float) -> int:
    return sum(end - WINDOW_MS < one <= end for one in times)


def test_callers_that_are_refused_together_return_apart() -> None:
    source = random.Random(1)
    returns = [choose_retry_after_ms(source) for _ in range(300)]
    assert min(returns) >= MIN_RETRY_AFTER_MS
    tenths = [
        int((one - MIN_RETRY_AFTER_MS) * 10 / RETRY_AFTER_JITTER_MS)
        for one in returns
    ]
    busiest = max(tenths.count(tenth) for tenth in range(10))
    assert busiest < 2 * len(returns) / 10


def test_nothing_is_counted_on_calm_seconds() -> None:
    assert not should_read_counts(None, 20, GAP_MS)
    assert should_read_counts(None, 65, GAP_MS)


@pytest.mark.parametrize(
    ('pass_ms', 'interval_ms'),
    [(100, PRESSED_INTERVAL_MS), (65, WARM_INTERVAL_MS)],
)
def test_counts_are_an_interval_apart(
    pass_ms: float,
    interval_ms: float,
) -> None:
    assert not should_read_counts(interval_ms - 1, pass_ms, GAP_MS)
    assert should_read_counts(interval_ms, pass_ms, GAP_MS)


def test_each_look_under_pressure_counts() -> None:
    """Replays a shift every 3.3 s: a second between counts is too long."""
    assert PRESSED_INTERVAL_MS < CYCLE_MS
    assert should_read_counts(CYCLE_MS, 130, GAP_MS)


def test_only_long_passes_and_large_savings_change_a_map() -> None:
    assert not should_change_map(0.7, 20, GAP_MS)
    assert should_change_map(0.3, 100, GAP_MS)
    assert not should_change_map(0.1, 100, GAP_MS)


def test_a_stale_map_is_changed_while_a_wave_rises() -> None:
    # A shift on a calm group triples the most loaded rank's share.
    assert not has_high_load(65, GAP_MS)
    assert should_change_map(0.65, 65, GAP_MS)
    assert not should_change_map(0.3, 65, GAP_MS)


def test_a_large_group_keeps_its_map_as_demand_would_outrun_a_change() -> None:
    """Replays asmv-libretti and the same site grown."""
    assert can_rebalance(sets=4, experts=64)
    assert not can_rebalance(sets=12, experts=144)
