"""Eject upstreams whose calls fail, for a growing time (outlier ejection).

Load pattern: a few upstreams of a service crash, stop answering or fail some of
their calls while their health checks pass, so only the results of calls count.
A failure to connect ejects the upstream at once. A failed call may be the fault
of the call itself, so there the failure rate decides.
"""

from __future__ import annotations

from dataclasses import dataclass

#: Time of an upstream's first ejection, in ms; each further one without a
#: successful call in between is twice as long.
BASE_EJECTION_MS = 500.0
#: Longest ejection, in ms: it bounds how late calls return to an upstream that
#: has recovered.
MAX_EJECTION_MS = 4000.0
#: Weight of the latest call in the moving average of the failure rate.
LATEST_CALL_WEIGHT = 0.2
#: Failure rate from which an upstream is ejected. Healthy engines fail up to
#: 0.14 of idempotent calls, according to the users' specifications.
MAX_FAILURE_RATE = 0.45


@dataclass(slots=True)
class Health:
    """Track the failure rate and the ejections of one upstream.

    ``failure_rate`` is a moving average from 0 to 1, ``ejections`` counts the
    ejections since the last successful call, and ``ejected_until`` is in ms.
    """

    failure_rate: float = 0
    ejections: int = 0
    ejected_until: float = 0

    def is_ejected(self, now: float) -> bool:
        """Tell whether calls should go to other upstreams; ``now`` in ms."""
        return now < self.ejected_until

    def record_success(self) -> None:
        """Count a successful call; the next ejection is a short one again."""
        self.ejections = 0
        self.failure_rate -= LATEST_CALL_WEIGHT * self.failure_rate

    def record_failure(self, now: float) -> None:
        """Count a failed call; eject where the failure rate is too high."""
        self.failure_rate += LATEST_CALL_WEIGHT * (1 - self.failure_rate)
        if self.failure_rate >= MAX_FAILURE_RATE:
            self._eject(now)

    def record_unreachable(self, now: float) -> None:
        """Eject after a connection that could not be made or was broken.

        A response without end counts as a broken connection.
        """
        self._eject(now)

    def _eject(self, now: float) -> None:
        ejection_ms = BASE_EJECTION_MS * 2**self.ejections
        self.ejected_until = now + min(MAX_EJECTION_MS, ejection_ms)
        self.ejections += 1
