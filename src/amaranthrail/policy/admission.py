"""Admit requests by deadline, and by fair share while capacity is scarce."""

from __future__ import annotations

import math
from dataclasses import dataclass

from ..outcomes import Reason, Refusal, not_run

#: Fraction of the time to the deadline: where a new request would wait longer
#: than that, capacity is scarce and fair shares are enforced.
SCARCITY_WAIT_SHARE = 0.25
#: Factor by which an organisation may exceed its fair share before it is
#: refused.
FAIR_SHARE_TOLERANCE = 1.1
#: Shortest retry-after in a refusal, in ms.
MIN_RETRY_AFTER_MS = 100
#: Fraction of the time to the deadline that the expected wait may take up.
#: The estimate is up to a heartbeat old, and requests must still be answered
#: in time when the queue is at its limit.
MAX_WAIT_SHARE = 0.6
#: Longest time in a slot that is planned for, as a multiple of the estimate.
COST_MARGIN = 1.2


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """Describe a request to be admitted; times in milliseconds.

    ``cost_ms`` is its expected time in a slot, ``remaining_ms`` the time to
    its deadline, and ``wait_ms`` the expected wait for a slot at the replica
    that it would be sent to.
    """

    organisation: str
    cost_ms: float
    remaining_ms: float
    wait_ms: float


class FairShares:
    """Track each organisation's requests in progress and their cost in ms."""

    def __init__(self) -> None:
        """Start with no requests in progress."""
        self._cost_ms: dict[str, float] = {}
        self._counts: dict[str, int] = {}
        self._total_ms = 0.0

    def in_progress_ms(self, organisation: str) -> float:
        """Return the summed cost of an organisation's requests, in ms."""
        return self._cost_ms.get(organisation, 0)

    def in_progress_count(self, organisation: str) -> int:
        """Return the number of an organisation's requests in progress."""
        return self._counts.get(organisation, 0)

    def add(self, organisation: str, cost_ms: float) -> None:
        """Count a request that starts; pair each call with ``remove``."""
        self._cost_ms[organisation] = (
            self.in_progress_ms(organisation) + cost_ms
        )
        self._counts[organisation] = self.in_progress_count(organisation) + 1
        self._total_ms += cost_ms

    def remove(self, organisation: str, cost_ms: float) -> None:
        """Stop counting a request, however it ended.

        ``cost_ms`` is the cost that it was added with.
        """
        self._total_ms -= cost_ms
        self._counts[organisation] -= 1
        self._cost_ms[organisation] -= cost_ms
        if not self._counts[organisation]:
            del self._counts[organisation]
            del self._cost_ms[organisation]

    def exceeds_fair_share(
        self,
        organisation: str,
        cost_ms: float,
        weights: dict[str, float],
        scale: float = 1,
    ) -> bool:
        """Tell whether a further request would exceed the fair share.

        Shares are divided by weight among the organisations with requests in
        progress, so an organisation that is alone is never limited. They are
        shares of ``scale`` times all work in progress. A scale below 1 is used
        while more work is in progress than there should be, so that
        organisations below their share are still admitted.
        """
        active = {*self._cost_ms, organisation}
        if len(active) == 1:
            return False
        weight_sum = sum(weights.get(name, 1) for name in active)
        share = weights.get(organisation, 1) / weight_sum
        requested_ms = self.in_progress_ms(organisation) + cost_ms
        allowed_ms = (
            FAIR_SHARE_TOLERANCE * scale * share * (self._total_ms + cost_ms)
        )
        return requested_ms > max(allowed_ms, cost_ms)


def check_admission(
    request: AdmissionRequest,
    shares: FairShares,
    weights: dict[str, float],
) -> Refusal | None:
    """Return the refusal of a request, None if it is admitted.

    ``weights`` has the fair-share weight of each organisation; 1 is the
    default.
    """
    finish_ms = request.wait_ms / MAX_WAIT_SHARE + request.cost_ms * COST_MARGIN
    if finish_ms > request.remaining_ms:
        late_ms = finish_ms - request.remaining_ms
        return not_run(
            Reason.NO_CAPACITY,
            f'expected to finish {late_ms:.0f} ms after the deadline',
            math.ceil(max(MIN_RETRY_AFTER_MS, late_ms)),
        )
    scarce_ms = SCARCITY_WAIT_SHARE * request.remaining_ms
    if request.wait_ms > scarce_ms and shares.exceeds_fair_share(
        request.organisation,
        request.cost_ms,
        weights,
        scarce_ms / request.wait_ms,
    ):
        return not_run(
            Reason.ORGANISATION_LIMIT,
            'capacity is short and the fair share is in use',
            math.ceil(max(MIN_RETRY_AFTER_MS, request.wait_ms)),
        )
    return None
