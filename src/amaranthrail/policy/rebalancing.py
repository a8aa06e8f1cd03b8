"""Decide when to read expert counts and when to change an expert map.

Load pattern: a load peak with bursts on top, while the experts in demand change
every few seconds. With few calls a step is short under any map, so only at the
peak is a change worth the transfer of its expert replicas. Steps are longer
while counts are read and experts are copied. In a large group, where admission
lets steps take nearly the whole allowed gap, a change without room for that
makes all streams in progress late.
"""

from __future__ import annotations

import math
from enum import Enum

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
#: Most numbers that a change of a small group sends: every rank gets the whole
#: map, the experts of each rank in each layer set. Groups of up to about 40
#: ranks are small; their changes are planned and begun by the thresholds above.
SMALL_MAP_NUMBERS = 100_000
#: Longest time that a host's own link may take to send a map to all ranks, in
#: ms: small against the two to three seconds for which a demand lasts.
MAX_SEND_MS = 250.0
#: Bytes of one number of a map in JSON, with its separators: experts have one
#: to three digits.
BYTES_PER_NUMBER = 4
#: Speed in Mbit/s of the fastest link that any entry is expected to have. A
#: group that it cannot send a map to in time has its map changed by no entry.
FASTEST_LINK_MBPS = 1000.0
#: Factor by which steps are longer while any rank copies experts.
COPYING_FACTOR = 1.15
#: Longest time for which one rank of a large group copies experts in a change,
#: in ms; ranks copy in parallel, one expert after another.
MAX_COPYING_MS = 100.0
#: Least net saving of a change of a large group, as a fraction of the time of
#: the most loaded ranks, at a high and at a moderate load.
LARGE_HIGH_LOAD_MIN_SAVING = 0.1
LARGE_MODERATE_LOAD_MIN_SAVING = 0.25
_BITS_PER_BYTE = 8
_KBIT_PER_MBIT = 1000


class ChangeRoom(Enum):
    """Name what the step time of a large group says on a change now.

    A change is allowed with ROOM and where steps are LATE anyway.
    """

    IN_TIME = 'in-time'
    ROOM = 'room'
    NO_ROOM = 'no-room'
    LATE = 'late'

    @property
    def allows_change(self) -> bool:
        """Tell whether copying makes no stream late that is in time now."""
        return self in {ChangeRoom.ROOM, ChangeRoom.LATE}


def has_small_map(sets: int, placements: int, ranks: int) -> bool:
    """Tell whether a group is small enough for frequent, complete changes.

    ``placements`` is the most experts that each of the ``ranks`` holds in one
    of the layer sets.
    """
    return sets * placements * ranks * ranks <= SMALL_MAP_NUMBERS


def send_time_ms(numbers: int, receivers: int, link_mbps: float) -> float:
    """Return the time that a link takes to send a map to all receivers.

    It is infinite for a link of 0 Mbit/s, which the settings allow.
    """
    if link_mbps <= 0:
        return math.inf
    bits = numbers * BYTES_PER_NUMBER * _BITS_PER_BYTE * receivers
    return bits / (link_mbps * _KBIT_PER_MBIT)


def can_rebalance(
    sets: int,
    placements: int,
    ranks: int,
    link_mbps: float = FASTEST_LINK_MBPS,
    receivers: int | None = None,
) -> bool:
    """Tell whether a host can send a map of this size to all ranks in time.

    ``link_mbps`` is the speed of its own link; without it, the result tells
    whether any host can. ``receivers`` is how many copies of the map it sends
    itself, one for each of the ranks unless others pass it on.
    """
    if has_small_map(sets, placements, ranks):
        return True
    copies = ranks if receivers is None else receivers
    numbers = sets * placements * ranks
    return send_time_ms(numbers, copies, link_mbps) <= MAX_SEND_MS


def judge_room(step_ms: float, target_gap_ms: float) -> ChangeRoom:
    """Tell whether a large group has room for a change of its map.

    ``target_gap_ms`` is the longest allowed gap between a stream's events.
    """
    if not has_moderate_load(step_ms, target_gap_ms):
        return ChangeRoom.IN_TIME
    if step_ms > target_gap_ms:
        return ChangeRoom.LATE
    if step_ms * COPYING_FACTOR <= target_gap_ms:
        return ChangeRoom.ROOM
    return ChangeRoom.NO_ROOM


def large_group_min_saving(step_ms: float, target_gap_ms: float) -> float:
    """Return the least net saving for which a large group's map is changed."""
    if has_high_load(step_ms, target_gap_ms):
        return LARGE_HIGH_LOAD_MIN_SAVING
    return LARGE_MODERATE_LOAD_MIN_SAVING


def max_rank_copies(copy_ms: float, sets: int, spare: int) -> int:
    """Return how many experts one rank of a large group copies in a change.

    ``copy_ms`` is the time that one copy takes, 0 where it is unknown;
    ``spare`` bounds the copies in each of the layer sets.
    """
    most = sets * spare
    if copy_ms <= 0:
        return most
    return min(most, max(1, int(MAX_COPYING_MS / copy_ms)))


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
