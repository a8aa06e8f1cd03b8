"""Define the orders that change a group's expert map, and their answers.

They travel inside GroupOrder and GroupReply frames as tagged msgpack.
"""

from __future__ import annotations

import msgspec

from .exceptions import FrameError
from .ports import EngineState

MAX_RANKS = 1024


class Ballot(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Number a coordinator's turn; the higher one wins."""

    number: int
    rank: int

    @property
    def fence(self) -> int:
        """Return the fencing number; also the version of the ballot's map.

        It is unique to the ballot and grows with it, so that an order that
        arrives late can never be taken for one of another ballot.
        """
        return self.number * MAX_RANKS + self.rank + 1


class Order(msgspec.Struct, frozen=True):
    """Be the base of orders; ``incarnation`` is whom the order is for."""

    ballot: Ballot
    incarnation: str


class Promise(Order, frozen=True, tag='promise'):
    """Ask a rank to refuse lower ballots and to tell its state.

    Sent with an empty incarnation: it is how that is learnt.
    """


class Prepare(Order, frozen=True, tag='prepare'):
    """Fetch the weights of experts that the rank will hold."""

    experts: tuple[int, ...]


class Arm(Order, frozen=True, tag='arm'):
    """Take a map from a step on, holding there until told to go on."""

    version: int
    from_step: int
    ranks: tuple[int, ...]


class Confirm(Order, frozen=True, tag='confirm'):
    """Let an armed map come into use."""

    version: int


class Withdraw(Order, frozen=True, tag='withdraw'):
    """Drop an armed map that has not been confirmed."""

    version: int


class RankState(msgspec.Struct, frozen=True, tag='state'):
    """Tell the state of a rank's engine.

    ``confirmed`` tells whether what is armed will come to use; the sidecar
    may know that before its engine does.
    """

    incarnation: str
    rank: int
    engine: EngineState
    confirmed: bool


class Done(msgspec.Struct, frozen=True, tag='done'):
    """Acknowledge an order."""


class Declined(msgspec.Struct, frozen=True, tag='declined'):
    """Refuse an order; ``promised`` is the ballot that must be exceeded."""

    reason: str
    promised: Ballot


AnyOrder = Promise | Prepare | Arm | Confirm | Withdraw
AnyReply = RankState | Done | Declined


def encode_order(order: AnyOrder | AnyReply) -> bytes:
    """Return the bytes of an order or a reply."""
    return msgspec.msgpack.encode(order)


def decode_order(payload: bytes) -> AnyOrder:
    """Return the order in a frame. Raises FrameError."""
    try:
        return msgspec.msgpack.decode(payload, type=AnyOrder)
    except (msgspec.DecodeError, RecursionError) as error:
        raise FrameError(f'no valid order: {error}') from error


def decode_reply(payload: bytes) -> AnyReply:
    """Return the reply in a frame. Raises FrameError."""
    try:
        return msgspec.msgpack.decode(payload, type=AnyReply)
    except (msgspec.DecodeError, RecursionError) as error:
        raise FrameError(f'no valid reply: {error}') from error
