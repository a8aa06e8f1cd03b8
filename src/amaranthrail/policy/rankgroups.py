"""Decide which rank groups of a service may take a stream.

Load pattern: a service has several groups that run their steps in lock-step.
One rank that is lost, slow or held stops or slows its whole group, while the
other groups serve at their usual speed; demand is often spread unevenly too, so
that one group is beyond its limit and another is not.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

import msgspec

from ..types import GroupName
from .selection import UpstreamView

#: Time without an event of any of its streams after which a group counts as
#: stopped, in ms; a step at a load peak takes 60 to 130.
GROUP_SILENCE_MS = 500.0


class GroupLoad(msgspec.Struct, frozen=True):
    """Describe the load of a group, a new stream included.

    ``least_load`` and ``mean_load`` are the work per slot of its least loaded
    engine and of all its engines. ``step_ms`` is the recent duration of a step,
    None if no stream runs. ``silent_ms`` is the time since the last event of
    this entry's streams, 0 if it has none there. ``is_map_changing`` says that
    a change of its expert map is under way or about to begin, for which ranks
    copy experts and steps take longer.
    """

    least_load: float
    mean_load: float
    step_ms: float | None = None
    silent_ms: float = 0
    is_map_changing: bool = False

    @property
    def is_silent(self) -> bool:
        """Tell whether the group has stopped or is far too slow."""
        return self.silent_ms > GROUP_SILENCE_MS


def split_by_group(
    views: Iterable[UpstreamView],
) -> dict[GroupName | None, list[UpstreamView]]:
    """Return the upstreams of each group; None is the unknown one."""
    groups: dict[GroupName | None, list[UpstreamView]] = {}
    for view in views:
        groups.setdefault(view.group, []).append(view)
    return groups


def make_group_load(
    views: Sequence[UpstreamView],
    step_ms: float | None,
    silent_ms: float,
    *,
    is_map_changing: bool = False,
) -> GroupLoad:
    """Return the load of a group's upstreams with one more call.

    The other arguments are as in GroupLoad. An upstream that takes no
    call now is not the least loaded; its calls make steps longer all the same.
    """
    open_views = [view for view in views if not view.wait_ms] or views
    calls = sum(view.own_calls + view.other_calls for view in views)
    slots = sum(view.slots for view in views)
    return GroupLoad(
        min(view.load_per_slot for view in open_views),
        (calls + 1) / max(1, slots),
        step_ms,
        silent_ms,
        is_map_changing,
    )


def serving_groups(
    loads: Mapping[GroupName | None, GroupLoad],
) -> dict[GroupName | None, GroupLoad]:
    """Return the groups that are not silent, all where none serves."""
    serving = {name: load for name, load in loads.items() if not load.is_silent}
    return serving or dict(loads)
