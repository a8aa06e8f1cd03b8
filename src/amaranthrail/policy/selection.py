"""Select the upstream that will finish a call soonest.

Load pattern: a load peak with bursts of 1.5 to 2.5 times its height on top,
served by several entries that do not see each other's calls. Engines slow down
with each call in their batch, so the one with the least work per slot answers
first. Entries learn of each other's calls late: if all of them sent their next
calls to the same least loaded engine, those would queue there while others
have free slots, so each entry looks at a few engines drawn at random.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence

import msgspec

from ..types import GroupName

#: Time after which an upstream's report of its other work has lost half its
#: weight, in ms; a call lasts about a second.
REPORT_HALF_LIFE_MS = 800.0
#: Extra work per slot that is accepted to keep a call in its failure domain:
#: bytes between failure domains are billed.
SAME_DOMAIN_BONUS = 0.1
#: Most calls per slot that are sent to an upstream; a call that exceeds it at
#: every upstream is refused.
MAX_LOAD_PER_SLOT = 4.0
#: Load per slot up to which a call starts at once, itself included.
FREE_LOAD_PER_SLOT = 1.0
#: Fewest upstreams that are compared where several entries place calls: more
#: choices than two balance little better, and two may both be full.
MIN_COMPARED = 3
#: Share of the compared upstreams that are in other domains, where there are
#: any: they take the calls that the own domain has no room for.
FAR_SHARE = 0.4


class UpstreamView(msgspec.Struct, frozen=True):
    """Describe one upstream that could serve a call.

    ``own_calls`` counts this entry's calls in flight there, ``other_calls`` is
    the estimate of all other work, ``group`` is the group that it is a rank of,
    and ``is_ejected`` says that its recent calls failed, ``is_refusing`` that
    it refused many of them. ``wait_ms`` is the time until it takes a call, 0 if
    it takes one now. ``is_cold`` says that it is still slow after its start.
    """

    name: str
    slots: int
    own_calls: int
    other_calls: float = 0
    group: GroupName | None = None
    is_same_domain: bool = False
    is_ejected: bool = False
    is_refusing: bool = False
    wait_ms: float = 0
    is_cold: bool = False

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
    entries: int = 1,
) -> UpstreamView | None:
    """Return the upstream of least cost, None if none takes a call.

    Ejected upstreams are selected only where no other is available, full ones
    only where no other has a free slot, and ones that refuse calls only where
    no other with a free slot accepts them. Where several ``entries`` place
    calls, a random sample is compared. Upstreams of equal cost are selected at
    random, warm ones before cold ones.
    """
    available = [
        view
        for view in views
        if not view.wait_ms and view.load_per_slot <= MAX_LOAD_PER_SLOT
    ]
    healthy = [view for view in available if not view.is_ejected] or available
    free = [
        view for view in healthy if view.load_per_slot <= FREE_LOAD_PER_SLOT
    ]
    accepting = [view for view in free if not view.is_refusing]
    candidates = accepting or free or healthy
    if not candidates:
        return None
    compared = max(MIN_COMPARED, math.ceil(len(candidates) / entries))
    if compared < len(candidates):
        candidates = _draw(candidates, compared, rng)
    least_cost = min(view.cost for view in candidates)
    cheapest = [view for view in candidates if view.cost == least_cost]
    warm = [view for view in cheapest if not view.is_cold]
    return rng.choice(warm or cheapest)


def _draw(
    candidates: Sequence[UpstreamView], count: int, rng: random.Random
) -> list[UpstreamView]:
    """Draw some candidates, most of them in the same domain.

    As many are compared in all as without domains, so a call finds a free
    upstream as often, and one of the same domain that is as free more often.
    """
    near = [view for view in candidates if view.is_same_domain]
    far = [view for view in candidates if not view.is_same_domain]
    far_count = min(len(far), max(1, round(FAR_SHARE * count)))
    near_count = min(len(near), count - far_count)
    return [
        *rng.sample(near, near_count),
        *rng.sample(far, min(len(far), count - near_count)),
    ]
