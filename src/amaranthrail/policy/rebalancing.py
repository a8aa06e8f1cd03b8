"""Decide when to read expert counts and when to change an expert map.

Load pattern: a load peak with bursts on top, while the experts in demand change
every few seconds. With few calls a step is short under any map, so only at the
peak is a change worth the transfer of its expert replicas. Steps are longer
while counts are read and experts are copied, and reading, planning and changing
a large group takes most of the time that a demand lasts: there a change makes
streams late and then fits a demand that is over.
"""

from __future__ import annotations

#: Fraction of the longest allowed gap between the events of a stream: a group
#: has a high load where its steps take longer. A longer prompt or a slower rank
#: lengthens a step by a third.
HIGH_LOAD_SHARE = 0.75
#: Fraction of that gap below which no counts are read and no map is changed,
#: as both are billed.
MODERATE_LOAD_SHARE = 0.5
#: Time between two readings of counts at a high and at a moderate load, in ms.
#: A reading is of two ranks at a high load and of one in turn at a moderate
#: load, and a shift of demand shows in the next one.
HIGH_LOAD_INTERVAL_MS = 200.0
MODERATE_LOAD_INTERVAL_MS = 800.0
#: Least fraction of the most loaded rank's time that a change must save, at a
#: high and at a moderate load: an outdated map is changed before the load
#: peaks.
HIGH_LOAD_MIN_SAVING = 0.2
MODERATE_LOAD_MIN_SAVING = 0.55
#: Most numbers that one change may send: every rank gets the whole map, the
#: experts of each rank in each layer set. So many take an entry's link about a
#: tenth of a second; a demand lasts two to three.
MAX_MAP_NUMBERS = 100_000


def can_rebalance(sets: int, placements: int, ranks: int) -> bool:
    """Tell whether a map of this size can be changed as fast as demand shifts.

    ``placements`` is the most experts that each of the ``ranks`` holds in one
    of the layer sets.
    """
    return sets * placements * ranks * ranks <= MAX_MAP_NUMBERS


def has_moderate_load(step_ms: float, target_gap_ms: float) -> bool:
    """Tell whether steps take long enough for the map to matter soon.

    ``target_gap_ms`` is the longest allowed gap between a stream's events.
    """
    return step_ms > MODERATE_LOAD_SHARE * target_gap_ms


def has_high_load(step_ms: float, target_gap_ms: float) -> bool:
    """Tell whether steps take so long that streams may soon be late."""
    return step_ms > HIGH_LOAD_SHARE * target_gap_ms


def should_read_counts(
    age_ms: float | None,
    step_ms: float,
    target_gap_ms: float,
) -> bool:
    """Tell whether a reading of the expert counts is due.

    ``age_ms`` is the time since the last reading, None before the first.
    """
    if not has_moderate_load(step_ms, target_gap_ms):
        return False
    if age_ms is None:
        return True
    if has_high_load(step_ms, target_gap_ms):
        return age_ms >= HIGH_LOAD_INTERVAL_MS
    return age_ms >= MODERATE_LOAD_INTERVAL_MS


def should_change_map(
    saving: float,
    step_ms: float,
    target_gap_ms: float,
) -> bool:
    """Tell whether a change is worth the transfer of its expert replicas.

    ``saving`` is the fraction of the most loaded rank's time that it saves.
    """
    if has_high_load(step_ms, target_gap_ms):
        return saving >= HIGH_LOAD_MIN_SAVING
    return (
        has_moderate_load(step_ms, target_gap_ms)
        and saving >= MODERATE_LOAD_MIN_SAVING
    )
