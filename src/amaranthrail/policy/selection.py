"""Place a call on the upstream that will run it soonest.

Load pattern: a wave of demand with bursts of 1.5 to 2.5 times its height on
top, met by several entries that do not see each other's calls. Engines slow
down with each call in their batch, so the one with the least work per slot
answers first.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

import msgspec

#: Time in which what an upstream said of others' work loses half its weight,
#: in milliseconds; a call lasts about a second.
REPORT_HALF_LIFE_MS = 800.0
#: Work per slot that a call from the same failure domain is worth; bytes
#: between failure domains are billed.
NEAR_BONUS = 0.1
#: Most calls per slot that are sent to an upstream before others are refused.
MAX_LOAD_PER_SLOT = 4.0


class UpstreamView(msgspec.Struct, frozen=True):
    """Describe one upstream that could take a call.

    ``own_calls`` counts this entry's calls in flight there, ``other_calls`` is
    the estimate of all other work, and ``is_ejected`` says that it failed
    lately.
    """

    name: str
    slots: int
    own_calls: int
    other_calls: float = 0
    is_same_domain: bool = False
    is_ejected: bool = False

    @property
    def load_per_slot(self) -> float:
        """Return the work per slot once the call has been added."""
        return (self.own_calls + self.other_calls + 1) / max(1, self.slots)

    @property
    def cost(self) -> float:
        """Return what is least at the upstream that answers soonest."""
        return self.load_per_slot - NEAR_BONUS * self.is_same_domain


def decay_others(others: float, age_ms: float) -> float:
    """Return what is left of an estimate of others' work after a while."""
    return float(others * 0.5 ** (age_ms / REPORT_HALF_LIFE_MS))


def select_upstream(
    views: Sequence[UpstreamView],
    source: random.Random,
) -> UpstreamView | None:
    """Return the upstream for a call, None where all are overrun.

    Those that failed lately are used only when nobody else is left.
    """
    open_views = [
        view for view in views if view.load_per_slot <= MAX_LOAD_PER_SLOT
    ]
    sound = [view for view in open_views if not view.is_ejected]
    candidates = sound or open_views
    if not candidates:
        return None
    least = min(view.cost for view in candidates)
    return source.choice([one for one in candidates if one.cost == least])
