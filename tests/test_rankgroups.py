"""Replay the loss and the overload of one of a service's rank groups."""

from __future__ import annotations

import pytest

from amaranthrail.policy.rankgroups import (
    GROUP_SILENCE_MS,
    GroupLoad,
    make_group_load,
    serving_groups,
    split_by_group,
)
from amaranthrail.policy.selection import UpstreamView
from amaranthrail.types import GroupName

FIRST = GroupName('g0')
SECOND = GroupName('g1')
SERVING = GroupLoad(0.4, 0.5, step_ms=70)
STOPPED = GroupLoad(0.2, 0.3, silent_ms=GROUP_SILENCE_MS + 1)


def test_a_stopped_group_is_avoided_while_another_serves() -> None:
    """Replays a lost rank: its group answers after 1.5 s, and with 503."""
    loads: dict[GroupName | None, GroupLoad] = {
        FIRST: STOPPED,
        SECOND: SERVING,
    }
    assert serving_groups(loads) == {SECOND: SERVING}


@pytest.mark.parametrize('count', [1, 2, 20])
def test_stopped_groups_are_used_where_none_serves(count: int) -> None:
    loads: dict[GroupName | None, GroupLoad] = {
        GroupName(f'g{number}'): STOPPED for number in range(count)
    }
    assert serving_groups(loads) == loads


def test_upstreams_of_unknown_groups_are_a_group_of_their_own() -> None:
    views = [
        UpstreamView('u1', 5, 1, group=FIRST),
        UpstreamView('u2', 5, 2),
        UpstreamView('u3', 5, 3, group=FIRST),
    ]
    groups = split_by_group(views)
    assert [view.name for view in groups[FIRST]] == ['u1', 'u3']
    assert [view.name for view in groups[None]] == ['u2']


def test_the_mean_load_counts_one_more_call_once() -> None:
    views = [UpstreamView('u1', 5, 4), UpstreamView('u2', 5, 2, 3)]
    load = make_group_load(views, None, 0)
    assert load.mean_load == pytest.approx(1)
    assert load.least_load == pytest.approx(1)
