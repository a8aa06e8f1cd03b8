"""Select the upstream that will finish a call soonest.

Load pattern: a load peak with bursts of 1.5 to 2.5 times its height on top,
served by several entries that do not see each other's calls. Engines slow down
with each call in their batch, so the one with the least work per slot answers
first.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

import msgspec

#: Time after which an upstream's report of its other work has lost half its
#: weight, in ms; a call lasts about a second.
REPORT_HALF_LIFE_MS = 800.0
#: Extra work per slot that is accepted to keep a call in its failure domain:
#: bytes between failure domains are billed.
SAME_DOMAIN_BONUS = 0.1
#: Most calls per slot that are sent to an upstream; a call that exceeds it at
#: every upstream is refused.
MAX_LOAD_PER_SLOT = 4.0


class UpstreamView(msgspec.Struct, frozen=True):
    """Describe one upstream that could serve a call.

    ``own_calls`` counts this entry's calls in flight there, ``other_calls`` is
    the estimate of all other work, and ``is_ejected`` says that its recent
    calls failed.
    """

    name: str
    slots: int
    own_calls: int
    other_calls: float = 0
    is_same_domain: bool = False
    is_ejected: bool = False

    @property
    def load_per_slot(self) -> float:
        """Return the work per slot, the new call included."""
        return (self.own_calls + self.other_calls + 1) / max(1, self.slots)

    @property
    def cost(self) -> float:
        """Return the load per slot less the bonus for the same domain."""
        return self.load_per_slot - SAME_DOMAIN_BONUS * self.is_same_domain


def decay_others(others: float, age_ms: float) -> float:
    """Return an estimate of other work, reduced by the age of its report."""
    return float(others * 0.5 ** (age_ms / REPORT_HALF_LIFE_MS))


def select_upstream(
    views: Sequence[UpstreamView],
    rng: random.Random,
) -> UpstreamView | None:
    """Return the upstream of least cost, None if all are overloaded.

    Ejected upstreams are selected only where no other is available. Upstreams
    of equal cost are selected at random.
    """
    available = [
        view for view in views if view.load_per_slot <= MAX_LOAD_PER_SLOT
    ]
    healthy = [view for view in available if not view.is_ejected]
    candidates = healthy or available
    if not candidates:
        return None
    least_cost = min(view.cost for view in candidates)
    return rng.choice([view for view in candidates if view.cost == least_cost])
