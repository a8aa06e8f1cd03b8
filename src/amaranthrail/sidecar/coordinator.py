"""Change a group's expert map so that no step runs with two maps."""

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

#: How many steps ahead of the newest step a map is armed, so that all ranks
#: have armed it before they reach that step.
ARM_AHEAD_STEPS = 20

#: Sends an order to a rank; returns None if no reply arrives in time.
SendOrder = Callable[[int, AnyOrder], Awaitable[AnyReply | None]]


class ChangeResult(Enum):
    """Describe how a change of the map, or the recovery of one, ended.

    OUTBID means that a rank has promised an equal or a higher ballot number;
    RANK_MISSING that a rank did not reply or declined otherwise.
    """

    CONFIRMED = 'confirmed'
    WITHDRAWN = 'withdrawn'
    RANK_MISSING = 'rank-missing'
    OUTBID = 'outbid'


@dataclass(frozen=True, slots=True)
class GroupState:
    """Hold the states that all ranks reported with a promise to one ballot.

    A ballot needs the promises of all ranks; a majority is not enough.
    """

    ballot: Ballot
    states: tuple[RankState, ...]

    @property
    def version(self) -> int:
        """Return the highest version that any rank uses."""
        return max(state.engine.version for state in self.states)

    @property
    def ranks(self) -> tuple[int, ...]:
        """Return the newest map in use: the rank of each expert."""
        newest = max(self.states, key=lambda state: state.engine.version)
        return newest.engine.ranks

    @property
    def is_settled(self) -> bool:
        """Tell whether all ranks use one map and no change is pending."""
        same = {state.engine.version for state in self.states} == {self.version}
        pending = any(
            state.engine.armed or state.engine.joining for state in self.states
        )
        return same and not pending


class Coordinator:
    """Run ballots for one group; several coordinators may do so at once."""

    def __init__(self, rank: int, group_size: int, send: SendOrder) -> None:
        """Set the coordinator's own rank, the group size and how to send."""
        self._rank = rank
        self._group_size = group_size
        self._send = send
        self._ballot_number = 0

    async def collect_promises(self) -> GroupState | ChangeResult:
        """Have all ranks promise a new ballot, then finish a pending change.

        A map that an earlier coordinator left armed is confirmed on all ranks
        if any rank has confirmed it, and otherwise withdrawn from all. The
        state is returned only if no change was pending.
        """
        self._ballot_number += 1
        ballot = Ballot(self._ballot_number, self._rank)
        replies = await self._query_all(lambda _: Promise(ballot, ''))
        states = [reply for reply in replies if isinstance(reply, RankState)]
        if len(states) < self._group_size:
            return self._record_declined(replies)
        group = GroupState(ballot, tuple(states))
        if group.is_settled:
            return group
        return await self._finish_pending(group)

    async def change_map(
        self,
        group: GroupState,
        placement: ExpertMap,
        old: ExpertMap,
    ) -> ChangeResult:
        """Switch all ranks from the old map to the placement at one step."""
        moved = placement.moved_from(old)
        prepared = await self._send_to_all(
            group,
            lambda state: Prepare(
                group.ballot,
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
        return await self._arm_and_confirm(group, placement)

    async def _arm_and_confirm(
        self,
        group: GroupState,
        placement: ExpertMap,
    ) -> ChangeResult:
        # Fetching the weights took time, so the step to arm for is computed
        # from the current steps of the ranks.
        replies = await self._query_all(lambda _: Promise(group.ballot, ''))
        states = [reply for reply in replies if isinstance(reply, RankState)]
        if len(states) < self._group_size:
            return self._record_declined(replies)
        current = GroupState(group.ballot, tuple(states))
        if not current.is_settled or current.version != group.version:
            return ChangeResult.WITHDRAWN
        step = max(state.engine.step for state in states) + ARM_AHEAD_STEPS
        version = current.ballot.fence
        armed = await self._send_to_all(
            current,
            lambda state: Arm(
                current.ballot,
                state.incarnation,
                version,
                step,
                placement.ranks,
            ),
        )
        if not armed:
            await self._send_to_all(
                current,
                lambda state: Withdraw(
                    current.ballot, state.incarnation, version
                ),
            )
            return ChangeResult.WITHDRAWN
        return await self._confirm(current, version)

    async def _confirm(self, group: GroupState, version: int) -> ChangeResult:
        confirmed = await self._send_to_all(
            group,
            lambda state: Confirm(group.ballot, state.incarnation, version),
        )
        if confirmed:
            return ChangeResult.CONFIRMED
        return ChangeResult.RANK_MISSING

    async def _finish_pending(self, group: GroupState) -> ChangeResult:
        armed_version = max(state.engine.armed for state in group.states)
        pending = [state for state in group.states if state.engine.armed]
        if not pending:
            return await self._initialize_joining(group)
        if any(_is_confirmed(state, armed_version) for state in group.states):
            all_done = await self._send_to_ranks(
                pending,
                lambda state: Confirm(
                    group.ballot, state.incarnation, armed_version
                ),
            )
            return (
                ChangeResult.CONFIRMED
                if all_done
                else ChangeResult.RANK_MISSING
            )
        all_done = await self._send_to_ranks(
            pending,
            lambda state: Withdraw(
                group.ballot,
                state.incarnation,
                state.engine.armed,
            ),
        )
        return ChangeResult.WITHDRAWN if all_done else ChangeResult.RANK_MISSING

    async def _initialize_joining(self, group: GroupState) -> ChangeResult:
        """Give the group's map to engines that have restarted."""
        joining = [state for state in group.states if state.engine.joining]
        version = group.version
        armed = await self._send_to_ranks(
            joining,
            lambda state: Arm(
                group.ballot,
                state.incarnation,
                version,
                state.engine.step,
                group.ranks,
            ),
        )
        confirmed = armed and await self._send_to_ranks(
            joining,
            lambda state: Confirm(group.ballot, state.incarnation, version),
        )
        if confirmed:
            return ChangeResult.CONFIRMED
        return ChangeResult.RANK_MISSING

    async def _send_to_all(
        self,
        group: GroupState,
        make_order: Callable[[RankState], AnyOrder],
    ) -> bool:
        return await self._send_to_ranks(group.states, make_order)

    async def _send_to_ranks(
        self,
        states: Sequence[RankState],
        make_order: Callable[[RankState], AnyOrder],
    ) -> bool:
        """Send orders in parallel; tell whether every rank replied Done."""
        by_rank = {state.rank: make_order(state) for state in states}
        replies = await self._send_orders(list(by_rank), by_rank.__getitem__)
        self._record_declined(replies)
        return all(isinstance(reply, Done) for reply in replies)

    async def _query_all(
        self,
        make_order: Callable[[int], AnyOrder],
    ) -> list[AnyReply | None]:
        return await self._send_orders(range(self._group_size), make_order)

    async def _send_orders(
        self,
        ranks: Sequence[int],
        make_order: Callable[[int], AnyOrder],
    ) -> list[AnyReply | None]:
        replies: list[AnyReply | None] = []

        async def send_order(rank: int) -> None:
            replies.append(await self._send(rank, make_order(rank)))

        async with trio.open_nursery() as nursery:
            for rank in ranks:
                nursery.start_soon(send_order, rank)
        return replies

    def _record_declined(
        self,
        replies: Sequence[AnyReply | None],
    ) -> ChangeResult:
        """Raise the ballot number to the highest that a rank has promised.

        The coordinator's next ballot must exceed it. Return OUTBID if a rank
        had promised this number or a higher one, and otherwise RANK_MISSING.
        """
        outbid = False
        for reply in replies:
            if isinstance(reply, Declined):
                outbid |= reply.promised.number >= self._ballot_number
                self._ballot_number = max(
                    self._ballot_number, reply.promised.number
                )
        return ChangeResult.OUTBID if outbid else ChangeResult.RANK_MISSING


def _is_confirmed(state: RankState, version: int) -> bool:
    return state.confirmed or state.engine.version == version
