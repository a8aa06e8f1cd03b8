"""Change a group's expert map so that no step ever runs on two."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from enum import Enum

import trio

from ..orders import (
    AnyOrder,
    AnyReply,
    Arm,
    Ballot,
    Confirm,
    Declined,
    Done,
    Prepare,
    Promise,
    RankState,
    Withdraw,
)
from ..policy.experts import ExpertMap

#: How many steps ahead a map is armed, for all ranks to be armed before it.
STEPS_AHEAD = 20

#: Sends an order to a rank; None where no reply came in time.
SendOrder = Callable[[int, AnyOrder], Awaitable[AnyReply | None]]


class ChangeResult(Enum):
    """Say how far a change of map came."""

    CONFIRMED = 'confirmed'
    WITHDRAWN = 'withdrawn'
    RANK_MISSING = 'rank-missing'
    OUTBID = 'outbid'


@dataclass(frozen=True, slots=True)
class Quorum:
    """Hold every rank's state under one ballot; all ranks are needed."""

    ballot: Ballot
    states: tuple[RankState, ...]

    @property
    def version(self) -> int:
        """Return the version that the group uses."""
        return max(state.engine.version for state in self.states)

    @property
    def ranks(self) -> tuple[int, ...]:
        """Return the map that the group uses."""
        newest = max(self.states, key=lambda state: state.engine.version)
        return newest.engine.ranks

    @property
    def settled(self) -> bool:
        """Tell whether all ranks use one map and none is armed."""
        same = {state.engine.version for state in self.states} == {self.version}
        busy = any(
            state.engine.armed or state.engine.joining for state in self.states
        )
        return same and not busy


class Coordinator:
    """Run ballots for one group; any number may do so at the same time."""

    def __init__(self, rank: int, ranks: int, send: SendOrder) -> None:
        """Take the coordinator's own rank and the size of the group."""
        self._rank = rank
        self._ranks = ranks
        self._send = send
        self._number = 0

    async def gather(self) -> Quorum | ChangeResult:
        """Have all ranks promise a fresh ballot, then settle what is open.

        What an earlier coordinator left armed is confirmed everywhere if any
        rank has it confirmed, and withdrawn everywhere otherwise; only a
        group with nothing open is returned.
        """
        self._number += 1
        ballot = Ballot(self._number, self._rank)
        replies = await self._ask_all(lambda _: Promise(ballot, ''))
        states = [one for one in replies if isinstance(one, RankState)]
        if len(states) < self._ranks:
            return self._note_refusals(replies)
        quorum = Quorum(ballot, tuple(states))
        if quorum.settled:
            return quorum
        return await self._settle(quorum)

    async def change(
        self,
        quorum: Quorum,
        placement: ExpertMap,
        old: ExpertMap,
    ) -> ChangeResult:
        """Bring a new map into use, at one step for all ranks."""
        moved = placement.moved_from(old)
        prepared = await self._order_all(
            quorum,
            lambda state: Prepare(
                quorum.ballot,
                state.incarnation,
                tuple(
                    expert
                    for expert in moved
                    if placement.ranks[expert] == state.rank
                ),
            ),
        )
        if not prepared:
            return ChangeResult.RANK_MISSING
        return await self._arm_and_confirm(quorum, placement)

    async def _arm_and_confirm(
        self,
        quorum: Quorum,
        placement: ExpertMap,
    ) -> ChangeResult:
        # Preparing took time; the step to arm for follows from where the
        # ranks are now.
        replies = await self._ask_all(lambda _: Promise(quorum.ballot, ''))
        states = [one for one in replies if isinstance(one, RankState)]
        if len(states) < self._ranks:
            return self._note_refusals(replies)
        now = Quorum(quorum.ballot, tuple(states))
        if not now.settled or now.version != quorum.version:
            return ChangeResult.WITHDRAWN
        step = max(state.engine.step for state in states) + STEPS_AHEAD
        version = now.ballot.fence
        armed = await self._order_all(
            now,
            lambda state: Arm(
                now.ballot,
                state.incarnation,
                version,
                step,
                placement.ranks,
            ),
        )
        if not armed:
            await self._order_all(
                now,
                lambda state: Withdraw(now.ballot, state.incarnation, version),
            )
            return ChangeResult.WITHDRAWN
        return await self._confirm(now, version)

    async def _confirm(self, quorum: Quorum, version: int) -> ChangeResult:
        confirmed = await self._order_all(
            quorum,
            lambda state: Confirm(quorum.ballot, state.incarnation, version),
        )
        if confirmed:
            return ChangeResult.CONFIRMED
        return ChangeResult.RANK_MISSING

    async def _settle(self, quorum: Quorum) -> ChangeResult:
        armed = max(state.engine.armed for state in quorum.states)
        pending = [state for state in quorum.states if state.engine.armed]
        if not pending:
            return await self._join(quorum)
        if any(_is_confirmed(state, armed) for state in quorum.states):
            done = await self._order_each(
                pending,
                lambda state: Confirm(quorum.ballot, state.incarnation, armed),
            )
            return ChangeResult.CONFIRMED if done else ChangeResult.RANK_MISSING
        done = await self._order_each(
            pending,
            lambda state: Withdraw(
                quorum.ballot,
                state.incarnation,
                state.engine.armed,
            ),
        )
        return ChangeResult.WITHDRAWN if done else ChangeResult.RANK_MISSING

    async def _join(self, quorum: Quorum) -> ChangeResult:
        """Give the group's map to engines that have started anew."""
        joining = [state for state in quorum.states if state.engine.joining]
        version = quorum.version
        armed = await self._order_each(
            joining,
            lambda state: Arm(
                quorum.ballot,
                state.incarnation,
                version,
                state.engine.step,
                quorum.ranks,
            ),
        )
        confirmed = armed and await self._order_each(
            joining,
            lambda state: Confirm(quorum.ballot, state.incarnation, version),
        )
        if confirmed:
            return ChangeResult.CONFIRMED
        return ChangeResult.RANK_MISSING

    async def _order_all(
        self,
        quorum: Quorum,
        make: Callable[[RankState], AnyOrder],
    ) -> bool:
        return await self._order_each(quorum.states, make)

    async def _order_each(
        self,
        states: Sequence[RankState],
        make: Callable[[RankState], AnyOrder],
    ) -> bool:
        """Send an order to ranks at once; tell whether all have done it."""
        by_rank = {state.rank: make(state) for state in states}
        replies = await self._ask(list(by_rank), by_rank.__getitem__)
        self._note_refusals(replies)
        return all(isinstance(reply, Done) for reply in replies)

    async def _ask_all(
        self,
        make: Callable[[int], AnyOrder],
    ) -> list[AnyReply | None]:
        return await self._ask(range(self._ranks), make)

    async def _ask(
        self,
        ranks: Sequence[int],
        make: Callable[[int], AnyOrder],
    ) -> list[AnyReply | None]:
        replies: list[AnyReply | None] = []

        async def ask(rank: int) -> None:
            replies.append(await self._send(rank, make(rank)))

        async with trio.open_nursery() as nursery:
            for rank in ranks:
                nursery.start_soon(ask, rank)
        return replies

    def _note_refusals(
        self,
        replies: Sequence[AnyReply | None],
    ) -> ChangeResult:
        """Learn which ballot must be exceeded next time."""
        outbid = False
        for reply in replies:
            if isinstance(reply, Declined):
                outbid |= reply.promised.number >= self._number
                self._number = max(self._number, reply.promised.number)
        return ChangeResult.OUTBID if outbid else ChangeResult.RANK_MISSING


def _is_confirmed(state: RankState, armed: int) -> bool:
    return state.confirmed or state.engine.version == armed
