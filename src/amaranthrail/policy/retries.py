"""Limit retries to a share of first attempts, with a token bucket."""

from __future__ import annotations

#: Retries that can be saved up: the capacity of the token bucket.
_MAX_BALANCE = 10.0


class RetryBudget:
    """Add a share of a retry per first attempt, up to a maximum balance."""

    def __init__(self, share: float) -> None:
        """Set the retries per first attempt; start full unless it is 0."""
        self._share = share
        self._balance = _MAX_BALANCE if share else 0.0

    @property
    def balance(self) -> float:
        """Return how many retries could be made now."""
        return self._balance

    def update_share(self, share: float) -> None:
        """Change the retries per first attempt and keep the balance."""
        self._share = share

    def deposit(self) -> None:
        """Add the share for one first attempt."""
        self._balance = min(_MAX_BALANCE, self._balance + self._share)

    def try_withdraw(self) -> bool:
        """Withdraw one retry if the balance allows it; tell whether it did."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
