"""Limit requests for a newer configuration to one peer at a time."""

from __future__ import annotations

from .clock import Clock
from .configuration import Configuration

#: Time after which versions that have not arrived may be requested again, from
#: the next peer that reports them, in ms.
PULL_RETRY_MS = 500.0


class PullLimiter:
    """Track the latest request for a configuration."""

    def __init__(self, clock: Clock, configuration: Configuration) -> None:
        """Initialize with the configuration to compare peers' versions with."""
        self._clock = clock
        self._configuration = configuration
        self._requested = (0, 0)
        self._requested_at = clock.now()

    def should_pull(self, version: int, drains_version: int) -> bool:
        """Return whether to request these versions from the peer that has them.

        True is recorded as a request; the same or lower versions are then not
        requested again for PULL_RETRY_MS.
        """
        ahead = version > self._configuration.version
        if not ahead and drains_version <= self._configuration.drains_version:
            return False
        now = self._clock.now()
        requested = (version, drains_version)
        recently = now - self._requested_at < PULL_RETRY_MS
        if recently and requested <= self._requested:
            return False
        self._requested = requested
        self._requested_at = now
        return True
