"""Count the bytes of bodies that a process holds, against one limit."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from ..exceptions import ResponseTooLargeError
from ..policy.buffering import may_hold


class BufferBudget:
    """Hold the limit of all buffered bodies and what is left of it."""

    def __init__(self, limit_bytes: int) -> None:
        """Start with the whole limit free."""
        self._free_bytes = limit_bytes

    @property
    def free_bytes(self) -> int:
        """Return what no body takes."""
        return self._free_bytes

    def take(self, size_bytes: int) -> None:
        """Take bytes, or return them where the number is negative."""
        self._free_bytes -= size_bytes

    @contextmanager
    def share(self) -> Iterator[BufferShare]:
        """Yield a share that is returned at the end of the block."""
        share = BufferShare(self)
        try:
            yield share
        finally:
            share.release()


class BufferShare:
    """Hold the size of one body while it is buffered."""

    def __init__(self, budget: BufferBudget) -> None:
        """Start with nothing held."""
        self._budget = budget
        self._size_bytes = 0

    def resize(self, size_bytes: int) -> bool:
        """Set the size; return False and keep it where it may not grow."""
        added_bytes = size_bytes - self._size_bytes
        free_bytes = self._budget.free_bytes - added_bytes
        if added_bytes > 0 and not may_hold(size_bytes, free_bytes):
            return False
        self._budget.take(added_bytes)
        self._size_bytes = size_bytes
        return True

    def hold(self, size_bytes: int) -> None:
        """Set the size.

        Raises ResponseTooLargeError where it may not grow so far.
        """
        if not self.resize(size_bytes):
            raise ResponseTooLargeError(f'{size_bytes} bytes, memory is short')

    def release(self) -> None:
        """Return all that is held."""
        self.resize(0)


class BufferLease:
    """Hold the shares of the responses to one call until it ends."""

    def __init__(self, budget: BufferBudget) -> None:
        """Start without shares."""
        self._budget = budget
        self._shares: list[BufferShare] = []

    def open_share(self) -> BufferShare:
        """Return a new share."""
        share = BufferShare(self._budget)
        self._shares.append(share)
        return share

    def close(self) -> None:
        """Release all shares."""
        for share in self._shares:
            share.release()
