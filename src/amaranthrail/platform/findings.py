"""Describe what is wrong with a configuration."""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator
from enum import Enum

import msgspec

#: Lowest and highest priority that upstreams distinguish.
_PRIORITIES = (0, 9)


class FindingKind(Enum):
    """State what is wrong with a part of a configuration.

    Entries cannot use one with an ERROR. An UNREACHABLE part never serves a
    call, and of CONTRADICTION only a part can hold.
    """

    ERROR = 'error'
    UNREACHABLE = 'unreachable'
    CONTRADICTION = 'contradiction'


class Finding(msgspec.Struct, frozen=True):
    """Describe a fault at a place; ``path`` is that in the document."""

    kind: FindingKind
    path: str
    text: str

    def formatted(self) -> str:
        """Return the finding as one line."""
        return f'{self.kind.value}: {self.path}: {self.text}'


Findings = Iterator[Finding]


def check_priority(path: str, priority: int | None) -> Findings:
    """Report a priority that upstreams do not distinguish."""
    lowest, highest = _PRIORITIES
    if priority is not None and not lowest <= priority <= highest:
        text = (
            f'{priority} is not from {lowest} to {highest}; the nearest counts'
        )
        yield contradiction(f'{path}.priority', text)


def check_above_zero(
    path: str, part: msgspec.Struct, fields: Iterable[str]
) -> Findings:
    """Report numbers of a part that are not above zero."""
    for field in fields:
        if not 0 < getattr(part, field) < math.inf:
            yield error(f'{path}.{field}', 'must be above 0')


def error(path: str, text: str) -> Finding:
    """Return an error at a place."""
    return Finding(FindingKind.ERROR, path, text)


def unreachable(path: str, text: str) -> Finding:
    """Return that a place never serves a call."""
    return Finding(FindingKind.UNREACHABLE, path, text)


def contradiction(path: str, text: str) -> Finding:
    """Return that a place and another cannot both hold."""
    return Finding(FindingKind.CONTRADICTION, path, text)
