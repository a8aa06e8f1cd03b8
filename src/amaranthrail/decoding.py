"""Decode what other programs wrote, with failure as an outcome.

All bytes from outside are decoded through ``decode``: upstreams, the platform,
callers and other entries may send anything.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated, TypeVar

import msgspec

#: Most digits of a count; floats hold counts of as many digits exactly.
_MAX_COUNT_DIGITS = 15
#: Longest cause of a failure in characters; errors may quote their input.
_MAX_CAUSE_LENGTH = 200

_MAX_WHOLE = 9_223_372_036_854_775_807
#: A whole number that every encoding between processes holds.
Whole = Annotated[int, msgspec.Meta(ge=0, le=_MAX_WHOLE)]

_Payload = TypeVar('_Payload', bytes, str)
_Decoded = TypeVar('_Decoded')


class Undecodable(msgspec.Struct, frozen=True):
    """State why a payload could not be decoded."""

    cause: str


def decode(
    parse: Callable[[_Payload], _Decoded], payload: _Payload
) -> _Decoded | Undecodable:
    """Return the result of ``parse``, or why the payload is not valid.

    Every error counts: parsers raise RecursionError for deep nesting,
    OverflowError for large numbers, and more that their documentation does not
    name. ``parse`` must have no effects besides.
    """
    try:
        return parse(payload)
    except Exception as error:
        cause = f'{type(error).__name__}: {error}'
        return Undecodable(cause[:_MAX_CAUSE_LENGTH])


def parse_count(text: str) -> int | None:
    """Return a decimal number of few digits, None for anything else."""
    digits = text.strip()
    if not digits.isdecimal() or len(digits) > _MAX_COUNT_DIGITS:
        return None
    return int(digits)
