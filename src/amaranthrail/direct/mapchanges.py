"""Keep which rank groups have their expert map changed, here or elsewhere."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

import msgspec

from ..clock import Clock
from ..types import GroupName

#: Age from which an entry's announcement counts no more, in ms, as with the
#: calls of its reports: an entry that was lost changes nothing.
ANNOUNCEMENT_EXPIRY_MS = 450.0
#: Time after the last announcement of a change in which all entries look for a
#: step that it left held, in ms: a leader holds it within 5 s, and attempts to
#: recover it may fail. Each search reads all ranks, so a group that stops for
#: another reason later must not cause it.
RECENT_CHANGE_MS = 15_000.0
#: Most groups that are kept of one report.
MAX_GROUPS_PER_ENTRY = 64
#: Most groups whose changes are remembered; the latest are kept.
MAX_KNOWN_GROUPS = 1024


class _Announcement(msgspec.Struct, frozen=True):
    received_at: float
    groups: frozenset[str]


class MapChangeNotices:
    """Hold this entry's announced map changes and those of other entries."""

    def __init__(self, clock: Clock) -> None:
        """Start without announcements; ``clock`` decides when one expires."""
        self._clock = clock
        self._on_change: Callable[[], None] | None = None
        self._own: set[GroupName] = set()
        self._received: dict[str, _Announcement] = {}
        self._known: dict[GroupName, float] = {}

    @property
    def own(self) -> list[str]:
        """Return the groups that this entry is changing or about to change."""
        return list(map(str, sorted(self._own)))[:MAX_GROUPS_PER_ENTRY]

    def watch(self, on_change: Callable[[], None]) -> None:
        """Have ``on_change`` called when own announcements change."""
        self._on_change = on_change

    def announce(self, group: GroupName) -> None:
        """Announce a change of a group's map until it is withdrawn."""
        if group not in self._own:
            self._own.add(group)
            self._remember(group)
            self._report_change()

    def withdraw(self, group: GroupName) -> None:
        """End the announcement of a change."""
        if group in self._own:
            self._own.remove(group)
            self._remember(group)
            self._report_change()

    def record(self, sender: str, groups: Iterable[str]) -> None:
        """Replace what another entry has announced."""
        named = frozenset(list(groups)[:MAX_GROUPS_PER_ENTRY])
        for group in named:
            self._remember(GroupName(group))
        if named:
            self._received[sender] = _Announcement(self._clock.now(), named)
        else:
            self._received.pop(sender, None)

    def is_changing(self, group: GroupName | None) -> bool:
        """Tell whether any entry has announced a change of a group's map."""
        return group in self._own or self.is_changing_elsewhere(group)

    def is_changing_elsewhere(self, group: GroupName | None) -> bool:
        """Tell whether another entry has announced a change."""
        oldest = self._clock.now() - ANNOUNCEMENT_EXPIRY_MS
        return any(
            group in announcement.groups and announcement.received_at >= oldest
            for announcement in self._received.values()
        )

    def was_changing(self, group: GroupName | None) -> bool:
        """Tell whether a change of a group's map was announced recently.

        None stands for an unknown group, which may be any of them.
        """
        if group is None:
            return any(map(self.was_changing, self._known))
        if group in self._own:
            return True
        announced_at = self._known.get(group, -math.inf)
        return self._clock.now() - announced_at <= RECENT_CHANGE_MS

    def _remember(self, group: GroupName) -> None:
        self._known.pop(group, None)
        self._known[group] = self._clock.now()
        if len(self._known) > MAX_KNOWN_GROUPS:
            self._known.pop(next(iter(self._known)))

    def _report_change(self) -> None:
        if self._on_change is not None:
            self._on_change()
