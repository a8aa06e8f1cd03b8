"""Eject upstreams whose calls fail, for a growing time (outlier ejection).

Load pattern: a few upstreams of a service crash, stop answering or fail some of
their calls while their health checks pass, so only the results of calls count.
A failure to connect ejects the upstream at once. A failed call may be the fault
of the call itself, so there the failure rate decides.
Another pattern: half of a service's upstreams refuse most of their calls, and
look as healthy and less loaded than the others. A refusal costs a retry, of
which all entries together have few, so upstreams that refuse are chosen after
those that accept; they are not ejected, since a refused call can still be sent
elsewhere.
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
#: Weight of the latest call in the moving average of the refusal rate.
LATEST_REFUSAL_WEIGHT = 0.3
#: Refusal rate from which an upstream counts as refusing. A single refusal is
#: enough for a time, as one entry has few calls to one upstream.
MAX_REFUSAL_RATE = 0.2
#: Time in which the refusal rate falls by half, in ms: an upstream that refuses
#: is tried again after some seconds.
REFUSAL_HALF_LIFE_MS = 4000.0


@dataclass(slots=True)
class Health:
    """Track the failure rate and the ejections of one upstream.

    ``failure_rate`` is a moving average from 0 to 1, ``ejections`` counts the
    ejections since the last successful call, and ``ejected_until`` is in ms.
    ``refusal_rate`` is a moving average as of ``refusal_rate_at``, in ms.
    """

    failure_rate: float = 0
    ejections: int = 0
    ejected_until: float = 0
    refusal_rate: float = 0
    refusal_rate_at: float = 0

    def is_ejected(self, now: float) -> bool:
        """Tell whether calls should go to other upstreams; ``now`` in ms."""
        return now < self.ejected_until

    def is_refusing(self, now: float) -> bool:
        """Tell whether it has refused many of its calls lately."""
        return self._decay_refusals(now) >= MAX_REFUSAL_RATE

    def record_admission(self, now: float, *, refused: bool) -> None:
        """Count a call that the upstream has refused or not."""
        rate = self._decay_refusals(now)
        self.refusal_rate = rate + LATEST_REFUSAL_WEIGHT * (refused - rate)
        self.refusal_rate_at = now

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

    def _decay_refusals(self, now: float) -> float:
        age_ms = now - self.refusal_rate_at
        return float(self.refusal_rate * 0.5 ** (age_ms / REFUSAL_HALF_LIFE_MS))

    def _eject(self, now: float) -> None:
        ejection_ms = BASE_EJECTION_MS * 2**self.ejections
        self.ejected_until = now + min(MAX_EJECTION_MS, ejection_ms)
        self.ejections += 1
