"""Handle many records in steps between which other tasks run."""

from __future__ import annotations

from collections.abc import AsyncIterator, Iterable
from typing import TypeVar

import trio

from ..looptimes import name_work

#: Records that are applied in one step, of some 40 microseconds each.
RECORDS_PER_STEP = 64

_Record = TypeVar('_Record')


async def in_steps(
    records: Iterable[_Record], work: str, step_size: int = RECORDS_PER_STEP
) -> AsyncIterator[_Record]:
    """Yield the records; let other tasks run after each ``step_size``.

    ``work`` names them in log lines on long steps.
    """
    name_work(work)
    for number, record in enumerate(records, start=1):
        yield record
        if number % step_size == 0:
            await trio.lowlevel.checkpoint()
