"""Divide capacity that is too small between organisations by max-min fairness.

Load pattern: one of some twenty organisations, or one of its keys, asks for
several times its usual work for seconds, at all entries, and the capacity is
too small for all. Without shares its requests crowd out those of the others in
proportion to their number.

What is not enough for all is divided so that an organisation that asks for less
than the common level gets all of it, and the others get the level. Those that
ask for most keep a part of the mean share all the same.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

#: Least share of its requests that an organisation gets, against the mean share
#: of all: well above the quarter that is promised, as shares are estimates.
MIN_RELATIVE_SHARE = 0.5
#: Time in which a request loses half of its weight in the demand, in ms: some
#: ten reports arrive meanwhile.
DEMAND_HALF_LIFE_MS = 1000.0
#: Demand above the capacity from which it is divided: less is noise.
SCARCITY_FACTOR = 1.05


def decay_weight(weight: float, age_ms: float) -> float:
    """Return the weight that requests have left after ``age_ms``."""
    return float(weight * 0.5 ** (age_ms / DEMAND_HALF_LIFE_MS))


def find_level(demands: Collection[float], capacity: float) -> float:
    """Return the most that each gets so that all of it fits the capacity.

    The result is infinite where there is enough for all.
    """
    left = capacity
    waiting = sorted(demands)
    while waiting:
        level = left / len(waiting)
        if waiting[0] > level:
            return max(0.0, level)
        left -= waiting.pop(0)
    return float('inf')


def find_share(
    organisation: str,
    demands: Mapping[str, float],
    other_demand: float,
    capacity: float,
) -> float:
    """Return the share of an organisation's requests that are within its part.

    ``demands`` are those of the largest organisations and of this one,
    ``other_demand`` is that of all smaller ones together, which get all that
    they ask for. All figures have the same unit.
    """
    demand = demands.get(organisation, 0.0)
    total = sum(demands.values()) + other_demand
    if demand <= 0 or len(demands) < 2 or total <= SCARCITY_FACTOR * capacity:
        return 1
    level = find_level(demands.values(), capacity - other_demand)
    least = MIN_RELATIVE_SHARE * capacity / total
    return min(1.0, max(level / demand, least))


class ShareCredit:
    """Tell requests within a share from those above it, evenly spread."""

    def __init__(self) -> None:
        """Start with credit for one request."""
        self._credit = 1.0

    def is_above(self, share: float) -> bool:
        """Tell whether the next request is above the share."""
        self._credit = min(1.0, self._credit + share)
        if self._credit < 1:
            return True
        self._credit -= 1
        return False
