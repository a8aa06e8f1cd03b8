"""Declare the interface to one rank that expert map changes need."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Protocol

import msgspec

from ..adapters.httpclient import Address

#: The experts that each rank holds, by layer set and rank.
Placement = tuple[tuple[tuple[int, ...], ...], ...]


class RankReport(msgspec.Struct, frozen=True):
    """Hold the state that a rank reports.

    ``epoch`` numbers the times that the group was formed; a new group epoch
    starts with map version 0. ``step`` is the last engine step that was begun.
    ``version`` is the map in use, ``prepared_version`` the one whose expert
    weights are all copied, and ``armed_version`` the one that comes into use
    with step ``armed_step``. ``held_step`` is the step that waits for a release
    order. All of them are 0 for none. ``slowdown`` is over 1 at a slow rank.
    """

    group: str
    epoch: int
    rank: int
    size: int
    open: bool
    step: int
    version: int = 0
    prepared_version: int = 0
    armed_version: int = 0
    armed_step: int = 0
    held_step: int = 0
    slowdown: float = 1


class RankCounts(msgspec.Struct, frozen=True):
    """Hold how often each expert was selected since the rank's start.

    ``selections`` has one number per expert, the layer sets after each other.
    """

    epoch: int
    step: int
    selections: tuple[int, ...]


class RankExperts(msgspec.Struct, frozen=True):
    """Hold the map version in use at a rank and its experts, by layer set."""

    epoch: int
    version: int
    experts: tuple[tuple[int, ...], ...]


class OrderKind(Enum):
    """Name the kinds of order that a rank accepts."""

    PREPARE = 'prepare'
    ARM = 'arm'
    DISARM = 'disarm'
    HOLD = 'hold'
    # The platform's word for the release of a held step.
    RELEASE = 'go'


class MapOrder(msgspec.Struct, frozen=True):
    """Order a rank to do a part of a map change.

    A rank whose group has entered a new epoch since ``epoch`` refuses it.
    ``is_urgent`` says that the group waits for it.
    """

    kind: OrderKind
    epoch: int
    version: int = 0
    step: int = 0
    placement: Placement = ()
    is_urgent: bool = False


class OrderResult(Enum):
    """Name the results of an order; an unanswered one may still be executed."""

    BEGUN = 'begun'
    DONE = 'done'
    REFUSED = 'refused'
    UNANSWERED = 'unanswered'

    @property
    def accepted(self) -> bool:
        """Tell whether the rank has begun or completed the order."""
        return self in {OrderResult.BEGUN, OrderResult.DONE}


class RankPort(Protocol):
    """Fetch the state of one rank and send it orders.

    What is fetched is None if the rank does not respond.
    """

    async def fetch_report(self) -> RankReport | None:
        """Return the rank's state."""

    async def fetch_counts(self) -> RankCounts | None:
        """Return how often its calls selected each expert."""

    async def fetch_experts(self) -> RankExperts | None:
        """Return the experts that it holds in the map in use."""

    async def send_order(self, order: MapOrder) -> OrderResult:
        """Send an order and return whether the rank accepted it."""


#: Returns the port to the upstream with a name at an address. Another upstream
#: that has the address by now counts as one that does not respond.
MakeRank = Callable[[str, Address], RankPort]
