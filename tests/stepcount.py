"""Count calls of a method between two switches of tasks."""

from __future__ import annotations

from typing import Any

import pytest
import trio


class LongestStep(trio.abc.Instrument):
    """Keep the most calls of a function that one step of a task makes."""

    def __init__(
        self, monkeypatch: pytest.MonkeyPatch, owner: Any, name: str
    ) -> None:
        """Count the calls of ``owner.name``."""
        self.most_calls = 0
        self._calls = 0
        function = getattr(owner, name)

        def count(*arguments: Any, **named: Any) -> Any:
            self._calls += 1
            self.most_calls = max(self.most_calls, self._calls)
            return function(*arguments, **named)

        monkeypatch.setattr(owner, name, count)

    def before_task_step(self, _task: trio.lowlevel.Task) -> None:
        self._calls = 0
