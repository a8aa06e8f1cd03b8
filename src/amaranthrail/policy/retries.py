"""Bound retries to a share of first tries."""

from __future__ import annotations

_MAX_SAVED = 10.0


class RetryBudget:
    """Earn a share of a retry with each first try, up to a few saved."""

    def __init__(self, share: float) -> None:
        """Take the retries allowed for one first try."""
        self._share = share
        self._balance = _MAX_SAVED if share else 0.0

    @property
    def balance(self) -> float:
        """Return how many retries could be made now."""
        return self._balance

    def update_share(self, share: float) -> None:
        """Take a new share; what has been saved stays."""
        self._share = share

    def deposit(self) -> None:
        """Count a first try."""
        self._balance = min(_MAX_SAVED, self._balance + self._share)

    def try_withdraw(self) -> bool:
        """Take one retry from the budget; tell whether there was one."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
