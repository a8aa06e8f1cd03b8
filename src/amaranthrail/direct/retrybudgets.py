"""Bound the retries to each service."""

from __future__ import annotations

from collections.abc import Callable

from ..clock import Clock
from ..policy.windowbudget import WindowRetryBudget
from ..types import ServiceName
from .settings import RetryBudgetLimits


class RetryBudgets:
    """Keep one retry budget per service, created at its first call."""

    def __init__(
        self,
        limits: RetryBudgetLimits,
        clock: Clock,
        entry_count: Callable[[], int],
    ) -> None:
        """Bound each service by ``limits``, which are for all entries.

        ``entry_count`` returns how many entries may be running; the slack is
        divided evenly among them.
        """
        self._limits = limits
        self._clock = clock
        self._started_at = clock.now()
        self._entry_count = entry_count
        self._budgets: dict[ServiceName, WindowRetryBudget] = {}

    def apply_limits(self, limits: RetryBudgetLimits) -> None:
        """Put changed limits in force; all counts restart at zero then."""
        if limits != self._limits:
            self._limits = limits
            self._budgets.clear()

    def record_call(self, service: ServiceName) -> None:
        """Count a caller's request, from which the budget grows."""
        self._budget(service).record_call(self._clock.now())

    def try_withdraw(
        self, service: ServiceName, usable_share: float = 1
    ) -> bool:
        """Take a retry from a service's budget; return whether one was left.

        Only the part ``usable_share`` of the budget counts.
        """
        return self._budget(service).try_withdraw(
            self._clock.now(), self._entry_count(), usable_share
        )

    def _budget(self, service: ServiceName) -> WindowRetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            limits = self._limits
            budget = WindowRetryBudget(
                limits.ratio,
                limits.slack,
                limits.window_ms,
                self._started_at,
            )
            self._budgets[service] = budget
        return budget
