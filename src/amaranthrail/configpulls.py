"""Ask for a newer configuration at one peer, not at all that have it."""

from __future__ import annotations

from .clock import Clock
from .configuration import Configuration

#: After this long without the configuration, another peer is asked.
PULL_RETRY_MS = 500.0


class PullLimiter:
    """Remember what has been asked for last."""

    def __init__(self, clock: Clock, configuration: Configuration) -> None:
        """Take the configuration that is to be kept up to date."""
        self._clock = clock
        self._configuration = configuration
        self._asked = (0, 0)
        self._asked_at = clock.now()

    def should_pull(self, version: int, drains_version: int) -> bool:
        """Tell whether to ask a peer that has these versions, and note it."""
        ahead = version > self._configuration.version
        if not ahead and drains_version <= self._configuration.drains_version:
            return False
        now = self._clock.now()
        asked = (version, drains_version)
        recently = now - self._asked_at < PULL_RETRY_MS
        if recently and asked <= self._asked:
            return False
        self._asked = asked
        self._asked_at = now
        return True
