"""Keep the repeat budget of each service."""

from __future__ import annotations

from collections.abc import Callable

from ..clock import Clock
from ..policy.windowbudget import WindowRetryBudget
from ..types import ServiceName
from .settings import RepeatBounds


class Repeats:
    """Count calls and repeats by service."""

    def __init__(
        self,
        bounds: RepeatBounds,
        clock: Clock,
        entries: Callable[[], int],
    ) -> None:
        """Take the bounds for all entries and how many there may be."""
        self._bounds = bounds
        self._clock = clock
        self._entries = entries
        self._budgets: dict[ServiceName, WindowRetryBudget] = {}

    def take_bounds(self, bounds: RepeatBounds) -> None:
        """Put changed bounds in force; counts begin anew with them."""
        if bounds != self._bounds:
            self._bounds = bounds
            self._budgets.clear()

    def note_call(self, service: ServiceName) -> None:
        """Count a call that a caller sent."""
        self._budget(service).record_call(self._clock.now())

    def spend(self, service: ServiceName) -> bool:
        """Count a repeat if one is left; tell whether it was."""
        return self._budget(service).try_withdraw(
            self._clock.now(), self._entries()
        )

    def _budget(self, service: ServiceName) -> WindowRetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self._bounds
            budget = WindowRetryBudget(
                bounds.ratio,
                bounds.slack,
                bounds.window_ms,
            )
            self._budgets[service] = budget
        return budget
