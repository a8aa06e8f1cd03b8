"""Have news sent to the other entries without waiting for the next report."""

from __future__ import annotations

import trio


class ReportTrigger:
    """Let any part of an entry request that its next report is sent at once."""

    def __init__(self) -> None:
        """Start without a request."""
        self._requested = trio.Event()

    def request(self) -> None:
        """Have the next report sent at once."""
        self._requested.set()

    async def wait(self) -> None:
        """Wait for a request; one made since the last call is enough."""
        await self._requested.wait()
        self._requested = trio.Event()
