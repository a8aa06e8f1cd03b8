"""Let connections whose input is costly take turns in the event loop."""

from __future__ import annotations

import itertools
from bisect import insort

import trio

from ..clock import Clock, sleep
from ..logs import part_logger
from ..policy.parsing import turn_interval_ms

#: Least time between two log lines on costly connections, in ms.
_LOG_INTERVAL_MS = 1000.0
_log = part_logger('turns')


class _Waiter:
    """Hold the place of one connection among those that wait."""

    def __init__(self, earlier_turns: int, number: int) -> None:
        self.is_first = trio.Event()
        self._place = (earlier_turns, number)

    def __lt__(self, other: _Waiter) -> bool:
        return self._place < other._place


class TurnQueue:
    """Give turns one at a time, with pauses for all other work between them.

    The connection with the fewest turns so far goes first (least attained
    service), so one that is costly for a moment does not wait for those that
    always are.
    """

    def __init__(self) -> None:
        """Start without waiting connections."""
        self._clock = Clock(trio.current_time)
        self._numbers = itertools.count()
        self._waiters: list[_Waiter] = []
        self._next_at: float = self._clock.now()
        self._turns = 0
        self._logged_at = -_LOG_INTERVAL_MS

    @property
    def turns(self) -> int:
        """Return how many turns were given."""
        return self._turns

    @property
    def waiting(self) -> int:
        """Return how many connections wait for a turn."""
        return len(self._waiters)

    async def take(self, name: str, earlier_turns: int, units: int) -> None:
        """Wait for a turn; the caller then does ``units`` of work at once.

        ``earlier_turns`` is the number of turns of its connection before, and
        ``name`` tells which it is.
        """
        waiter = _Waiter(earlier_turns, next(self._numbers))
        insort(self._waiters, waiter)
        try:
            await self._wait(waiter)
            self._next_at = self._clock.now() + turn_interval_ms(units)
        finally:
            self._waiters.remove(waiter)
            if self._waiters:
                self._waiters[0].is_first.set()
        self._turns += 1
        self._log_turn(name, earlier_turns)

    async def _wait(self, waiter: _Waiter) -> None:
        # Others run before each turn, also where there is no need to wait.
        await trio.lowlevel.checkpoint()
        while self._waiters[0] is not waiter or self._pause_ms() > 0:
            if self._waiters[0] is waiter:
                await sleep(self._pause_ms())
            else:
                waiter.is_first = trio.Event()
                await waiter.is_first.wait()

    def _pause_ms(self) -> float:
        """Return the time until the next turn may begin."""
        return self._next_at - self._clock.now()

    def _log_turn(self, name: str, earlier_turns: int) -> None:
        now = self._clock.now()
        if now - self._logged_at < _LOG_INTERVAL_MS:
            return
        self._logged_at = now
        _log.info(
            'costly input is read slowly',
            work=name,
            turns=earlier_turns + 1,
            waiting=self.waiting,
            all_turns=self._turns,
        )


_queue: trio.lowlevel.RunVar[TurnQueue] = trio.lowlevel.RunVar('turn_queue')


def turn_queue() -> TurnQueue:
    """Return the queue of the running event loop, which all parts share."""
    try:
        return _queue.get()
    except LookupError:
        queue = TurnQueue()
        _queue.set(queue)
        return queue
