"""Bound the work that the input of single connections takes from others.

Load pattern: an upstream or a caller sends its messages in very small parts at
the full rate of its link, on several connections at once. Each part costs the
parser as much as a whole one, so that a second of input takes longer than a
second. Other connections are read between any two short steps, and costly ones
together get a part of the processor: they are read more slowly than they send.
Sound input comes in few parts, and seldom waits.

Work is counted in units of about ten microseconds: one event of the parser, or
a few header lines or events of a stream.
"""

from __future__ import annotations

import math

#: Work on the bytes of one read that is done without a turn, in units: streams
#: that catch up after a pause have as many events.
FREE_UNITS = 32
#: Work in one turn, in units: a millisecond or two, a small part of the half
#: second that calls of other services may wait.
TURN_UNITS = 64
#: Work in the turns of all connections together, in units per second: a
#: quarter of a core or less.
TURN_UNITS_PER_S = 16_000.0
#: Header lines, or events of a stream, that cost as much as one unit.
LINES_PER_UNIT = 4
#: Cost of a long line that may take the parser quadratic time, in units.
LONG_LINE_UNITS = 512
#: Turns in a row after which an attempt that is given up counts as a failure of
#: its upstream. A sound stream that catches up takes one or two.
MIN_COSTLY_TURNS = 16

_MS_PER_SECOND = 1000.0


def head_units(line_count: int) -> int:
    """Return the cost of a message's head or trailers by its lines."""
    return math.ceil(line_count / LINES_PER_UNIT)


def event_units(event_count: int) -> int:
    """Return the cost of splitting off so many events of a stream."""
    return math.ceil(event_count / LINES_PER_UNIT)


def turn_interval_ms(units: int) -> float:
    """Return the least time from a turn of so many units to the next, in ms."""
    return _MS_PER_SECOND * units / TURN_UNITS_PER_S


def is_costly(turns: int) -> bool:
    """Tell whether a message has cost more than sound ones do."""
    return turns >= MIN_COSTLY_TURNS
