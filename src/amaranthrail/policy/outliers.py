"""Avoid upstreams whose calls fail, and come back to them gradually.

Load pattern: a few upstreams of a service crash, go dark or fail a part of
their calls while their health answers are good. Only what calls met counts. A
failure to connect speaks for itself; a failed call may be the call's own fault,
so the share of failures decides.
"""

from __future__ import annotations

from dataclasses import dataclass

#: Time for which the first failure to connect keeps calls away, in ms.
FIRST_PAUSE_MS = 500.0
#: Longest such time: an upstream that is back is noticed this late at most.
MAX_EJECTION_MS = 4000.0
#: Weight of the latest call in the share of failures.
CALL_WEIGHT = 0.2
#: Share of failures from which an upstream is avoided; engines that are well
#: fail up to 0.14 of idempotent calls by themselves on the users' sheets.
MAX_FAILURE_SHARE = 0.45


@dataclass(slots=True)
class Health:
    """Remember how an upstream's latest calls ended."""

    failure_share: float = 0
    consecutive: int = 0
    ejected_until: float = 0

    def is_ejected(self, now: float) -> bool:
        """Tell whether calls should go elsewhere for now."""
        return now < self.ejected_until

    def record_success(self) -> None:
        """Count a call that ended well."""
        self.consecutive = 0
        self.failure_share -= CALL_WEIGHT * self.failure_share

    def record_failure(self, now: float) -> None:
        """Count a call that the upstream failed."""
        self.failure_share += CALL_WEIGHT * (1 - self.failure_share)
        if self.failure_share >= MAX_FAILURE_SHARE:
            self._pause(now)

    def record_unreachable(self, now: float) -> None:
        """Count a connection that could not be made or was cut."""
        self._pause(now)

    def _pause(self, now: float) -> None:
        pause_ms = FIRST_PAUSE_MS * 2**self.consecutive
        self.ejected_until = now + min(MAX_EJECTION_MS, pause_ms)
        self.consecutive += 1
