"""Decide when experts are counted and when a change of map should_change_map.

Load pattern: a wave of demand with bursts on top, while the experts in demand
change every few seconds. With few calls a pass is short whatever the map, so
only the crest should_change_map for the copies of a change. Passes are longer
while counts
are read and experts copied, and a large group is read, planned and ordered for
most of the time that demand lasts: there a change makes streams late and then
serves a demand that has gone.
"""

from __future__ import annotations

#: Part of the pause that streams may have from which a group is under
#: pressure: a longer prompt or a slower rank lengthens a pass by a third.
PRESSURE_SHARE = 0.75
#: Part of that pause below which nothing is counted or changed, as both are
#: billed.
WARM_SHARE = 0.5
#: Time between two readings of counts under pressure and before it, in ms: each
#: look under pressure reads one rank, and a change of demand shows in the next.
PRESSED_INTERVAL_MS = 200.0
WARM_INTERVAL_MS = 800.0
#: Least share of the most loaded rank's time that a change must save under
#: pressure, and before it: a map that has gone stale is changed while a wave
#: rises.
PRESSED_SAVING = 0.2
WARM_SAVING = 0.55
#: Most counts that one reading of a rank may have, experts times sets: a group
#: pauses half a ms for each 400, and a map of that many experts is out of date
#: by the time it is in use.
MAX_COUNTS = 1024


def can_rebalance(sets: int, experts: int) -> bool:
    """Tell whether changes of a map of this size can follow demand."""
    return sets * experts <= MAX_COUNTS


def has_moderate_load(pass_ms: float, target_gap_ms: float) -> bool:
    """Tell whether a group has enough work for its map to matter soon."""
    return pass_ms > WARM_SHARE * target_gap_ms


def has_high_load(pass_ms: float, target_gap_ms: float) -> bool:
    """Tell whether passes have become long for streams to be in time."""
    return pass_ms > PRESSURE_SHARE * target_gap_ms


def should_read_counts(
    age_ms: float | None,
    pass_ms: float,
    target_gap_ms: float,
) -> bool:
    """Tell whether to read counts; ``age_ms`` is None before the first."""
    if not has_moderate_load(pass_ms, target_gap_ms):
        return False
    if age_ms is None:
        return True
    if has_high_load(pass_ms, target_gap_ms):
        return age_ms >= PRESSED_INTERVAL_MS
    return age_ms >= WARM_INTERVAL_MS


def should_change_map(
    saving: float, pass_ms: float, target_gap_ms: float
) -> bool:
    """Tell whether a change that saves this share is worth its copies."""
    if has_high_load(pass_ms, target_gap_ms):
        return saving >= PRESSED_SAVING
    return has_moderate_load(pass_ms, target_gap_ms) and saving >= WARM_SAVING
