"""Test for how long the store is asked to hold a read."""

from __future__ import annotations

import pytest

from amaranthrail.policy.storereads import (
    MIN_WAIT_MS,
    REREAD_MS,
    RESPONSE_TIMEOUT_MS,
    choose_read_times,
    choose_wait_ms,
)


@pytest.mark.parametrize('contact_ms', [1500, 3000, 4500.5, 10_000])
def test_a_lost_read_is_replaced_within_the_time_without_contact(
    contact_ms: float,
) -> None:
    replaced_ms = choose_wait_ms(contact_ms) + RESPONSE_TIMEOUT_MS + REREAD_MS
    assert contact_ms - 1 < replaced_ms <= contact_ms


def test_reads_are_not_repeated_at_once_where_there_is_little_time() -> None:
    assert choose_wait_ms(500) == MIN_WAIT_MS


def test_a_read_after_a_lost_one_takes_no_longer_in_all() -> None:
    """A store that responds late has all of that time to respond."""
    first = choose_read_times(1900, has_failed=False)
    repeated = choose_read_times(1900, has_failed=True)
    assert repeated.wait_ms == 0
    assert repeated.timeout_ms == first.wait_ms + first.timeout_ms
