"""Admit what can be answered in time, and share capacity when it is short."""

from __future__ import annotations

import math
from dataclasses import dataclass

from ..outcomes import Reason, Refusal, not_run

#: Capacity counts as short once new work would wait for this share of its
#: time to the deadline.
SHORT_WAIT_SHARE = 0.25
#: An organisation may exceed its fair share by this factor before it binds.
SHARE_SLACK = 1.1
MIN_RETRY_AFTER_MS = 100
#: Share of the time to the deadline that waiting may take up: the estimate is
#: late by up to a heartbeat, and a queue at its limit must still be answered.
MAX_WAIT_SHARE = 0.6
#: Work in a slot may take this many times its estimate.
COST_MARGIN = 1.2


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """Describe a request that asks to be admitted.

    ``wait_ms`` is the expected wait at the replica it would go to.
    """

    organisation: str
    cost_ms: float
    left_ms: float
    wait_ms: float


class FairShares:
    """Track what each organisation has in progress, in milliseconds."""

    def __init__(self) -> None:
        """Start with nothing in progress."""
        self._held: dict[str, float] = {}
        self._counts: dict[str, int] = {}
        self._total = 0.0

    def held(self, organisation: str) -> float:
        """Return the work that an organisation has in progress."""
        return self._held.get(organisation, 0)

    def in_progress_count(self, organisation: str) -> int:
        """Return how many requests an organisation has in progress."""
        return self._counts.get(organisation, 0)

    def add(self, organisation: str, cost_ms: float) -> None:
        """Count work in."""
        self._held[organisation] = self.held(organisation) + cost_ms
        self._counts[organisation] = self.in_progress_count(organisation) + 1
        self._total += cost_ms

    def remove(self, organisation: str, cost_ms: float) -> None:
        """Count work out; every take is matched on every way out."""
        self._total -= cost_ms
        self._counts[organisation] -= 1
        self._held[organisation] -= cost_ms
        if not self._counts[organisation]:
            del self._counts[organisation]
            del self._held[organisation]

    def exceeds(
        self,
        organisation: str,
        cost_ms: float,
        weights: dict[str, float],
        scale: float = 1,
    ) -> bool:
        """Tell whether more work would take more than a fair share.

        Shares go by weight among organisations with work in progress, so a
        lone organisation is never bound. They are shares of ``scale`` times
        all work in progress: below 1 where there is more than there should
        be, so that those under their share still get in.
        """
        active = {*self._held, organisation}
        if len(active) == 1:
            return False
        weight_sum = sum(weights.get(name, 1) for name in active)
        share = weights.get(organisation, 1) / weight_sum
        wanted = self.held(organisation) + cost_ms
        allowed = SHARE_SLACK * scale * share * (self._total + cost_ms)
        return wanted > max(allowed, cost_ms)


def check_admission(
    demand: AdmissionRequest,
    shares: FairShares,
    weights: dict[str, float],
) -> Refusal | None:
    """Return why a request is not admitted, None where it is."""
    finish_ms = demand.wait_ms / MAX_WAIT_SHARE + demand.cost_ms * COST_MARGIN
    if finish_ms > demand.left_ms:
        late_ms = finish_ms - demand.left_ms
        return not_run(
            Reason.NO_CAPACITY,
            f'expected to finish {late_ms:.0f} ms after the deadline',
            math.ceil(max(MIN_RETRY_AFTER_MS, late_ms)),
        )
    short_ms = SHORT_WAIT_SHARE * demand.left_ms
    if demand.wait_ms > short_ms and shares.exceeds(
        demand.organisation,
        demand.cost_ms,
        weights,
        short_ms / demand.wait_ms,
    ):
        return not_run(
            Reason.ORGANISATION_LIMIT,
            'capacity is short and the fair share is in use',
            math.ceil(max(MIN_RETRY_AFTER_MS, demand.wait_ms)),
        )
    return None
