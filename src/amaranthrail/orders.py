"""Define the orders that change a group's expert map, and their replies.

GroupOrder and GroupReply frames carry them as tagged msgpack maps.
"""

from __future__ import annotations

import msgspec

from .decoding import Undecodable, decode
from .exceptions import FrameError
from .ports import EngineState

#: Largest number of ranks in a group; it keeps fencing numbers unique.
MAX_RANKS = 1024


class Ballot(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Identify one round of a coordinator's orders; the higher ballot wins."""

    number: int
    rank: int

    @property
    def fence(self) -> int:
        """Return the fencing number, also the version of the ballot's map.

        It is unique to the ballot and increases with it, so an order that
        arrives late is never mistaken for one of another ballot.
        """
        return self.number * MAX_RANKS + self.rank + 1


class Order(msgspec.Struct, frozen=True):
    """Serve as the base of orders to the sidecar with ``incarnation``."""

    ballot: Ballot
    incarnation: str


class Promise(Order, frozen=True, tag='promise'):
    """Ask a rank to refuse lower ballots and to report its state.

    Sent with an empty incarnation, as the reply is what reports it.
    """


class Prepare(Order, frozen=True, tag='prepare'):
    """Fetch the weights of the experts that the rank will hold."""

    experts: tuple[int, ...]


class Arm(Order, frozen=True, tag='arm'):
    """Arm a map for ``from_step``; the rank holds there until confirmed.

    ``ranks`` is the map: the rank of each expert.
    """

    version: int
    from_step: int
    ranks: tuple[int, ...]


class Confirm(Order, frozen=True, tag='confirm'):
    """Confirm an armed map, which releases the held step."""

    version: int


class Withdraw(Order, frozen=True, tag='withdraw'):
    """Discard an armed map that has not been confirmed."""

    version: int


class RankState(msgspec.Struct, frozen=True, tag='state'):
    """Report the state of a rank's engine.

    ``confirmed`` is true if the armed map will be used; the sidecar may know
    that before its engine does.
    """

    incarnation: str
    rank: int
    engine: EngineState
    confirmed: bool


class Done(msgspec.Struct, frozen=True, tag='done'):
    """Acknowledge an order."""


class Declined(msgspec.Struct, frozen=True, tag='declined'):
    """Refuse an order; only a ballot above ``promised`` can succeed."""

    reason: str
    promised: Ballot


AnyOrder = Promise | Prepare | Arm | Confirm | Withdraw
AnyReply = RankState | Done | Declined

_order_decoder: msgspec.msgpack.Decoder[AnyOrder] = msgspec.msgpack.Decoder(
    AnyOrder,
)
_reply_decoder: msgspec.msgpack.Decoder[AnyReply] = msgspec.msgpack.Decoder(
    AnyReply,
)


def encode_order(order: AnyOrder | AnyReply) -> bytes:
    """Return an order or a reply in msgpack."""
    return msgspec.msgpack.encode(order)


def decode_order(payload: bytes) -> AnyOrder:
    """Return the order in a frame's payload. Raises FrameError."""
    order = decode(_order_decoder.decode, payload)
    if isinstance(order, Undecodable):
        raise FrameError(f'no valid order: {order.cause}')
    return order


def decode_reply(payload: bytes) -> AnyReply:
    """Return the reply in a frame's payload. Raises FrameError."""
    reply = decode(_reply_decoder.decode, payload)
    if isinstance(reply, Undecodable):
        raise FrameError(f'no valid reply: {reply.cause}')
    return reply
