"""Limit requests for a newer configuration to one peer at a time."""

from __future__ import annotations

from .clock import Clock
from .configuration import Configuration

#: Time after which another peer may be asked for the same versions, in ms.
PULL_RETRY_MS = 500.0


class PullLimiter:
    """Track the latest request for a configuration."""

    def __init__(self, clock: Clock, configuration: Configuration) -> None:
        """Initialize with the configuration to compare peers' versions with."""
        self._clock = clock
        self._configuration = configuration
        self._asked = (0, 0)
        self._asked_at = clock.now()

    def should_pull(self, version: int, drains_version: int) -> bool:
        """Return whether to request these versions from the peer that has them.

        True is recorded as a request; the same or lower versions are then not
        requested again for PULL_RETRY_MS.
        """
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
