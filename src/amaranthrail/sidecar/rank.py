"""Accept or refuse map orders for one rank, and pass them to its engine."""

from __future__ import annotations

import trio

from ..clock import Clock
from ..orders import (
    MAX_RANKS,
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
from ..ports import RankEnginePort, WeightStorePort
from ..types import Incarnation

NO_BALLOT = Ballot(0, -1)
#: After its start a rank promises nothing for this long, so that what an
#: earlier incarnation last sent to an engine without fencing has arrived.
STARTUP_QUIET_MS = 1500.0
#: A lower rank that sent no order for this long no longer leads.
LEAD_LEASE_MS = 3000.0


class Rank:
    """Guard one rank's engine.

    What is in use and what is armed is read from the engine each time, so a
    restarted sidecar has lost nothing but its promise; orders name the
    incarnation that promised, so that none meant for an earlier one passes,
    whether or not the engine checks fencing numbers.
    """

    def __init__(
        self,
        number: int,
        incarnation: Incarnation,
        engine: RankEnginePort,
        weights: WeightStorePort,
        clock: Clock,
    ) -> None:
        """Take the rank's number in its group and its engine."""
        self._number = number
        self._incarnation = incarnation
        self._engine = engine
        self._weights = weights
        self._clock = clock
        self._quiet_until = clock.now() + STARTUP_QUIET_MS
        self._promised = NO_BALLOT
        self._confirming = 0
        self._led_by: tuple[int, float] | None = None
        self._one_at_a_time = trio.Lock()

    @property
    def promised(self) -> Ballot:
        """Return the highest ballot that has been promised."""
        return self._promised

    @property
    def number(self) -> int:
        """Return the rank's number in its group."""
        return self._number

    def may_lead(self) -> bool:
        """Tell whether no lower rank has been leading of late."""
        if self._led_by is None:
            return self._number == 0 or self._clock.now() > self._own_turn()
        leader, since = self._led_by
        lease = LEAD_LEASE_MS * (1 + self._number / MAX_RANKS)
        return leader >= self._number or self._clock.now() - since > lease

    async def take(self, order: AnyOrder) -> AnyReply:
        """Carry out an order, or decline it."""
        if isinstance(order, Prepare):
            return await self._prepare(order)
        async with self._one_at_a_time:
            refusal = self._check(order)
            if refusal is not None:
                return refusal
            return await self._carry_out(order)

    def _own_turn(self) -> float:
        return self._quiet_until + LEAD_LEASE_MS

    def _check(self, order: AnyOrder) -> Declined | None:
        if order.ballot < self._promised:
            return Declined('a higher ballot was promised', self._promised)
        if self._clock.now() < self._quiet_until:
            return Declined('the sidecar has just started', self._promised)
        if isinstance(order, Promise):
            self._promised = order.ballot
            self._led_by = (order.ballot.rank, self._clock.now())
            return None
        if order.incarnation != self._incarnation:
            return Declined('meant for another incarnation', self._promised)
        if order.ballot != self._promised:
            return Declined('the ballot was never promised', self._promised)
        return None

    async def _carry_out(self, order: AnyOrder) -> AnyReply:
        match order:
            case Promise():
                return await self._tell()
            case Arm():
                done = await self._engine.arm(
                    order.ballot.fence,
                    order.version,
                    order.from_step,
                    order.ranks,
                )
            case Confirm():
                self._confirming = order.version
                done = await self._engine.release(
                    order.ballot.fence,
                    order.version,
                )
            case Withdraw():
                done = await self._engine.cancel(
                    order.ballot.fence,
                    order.version,
                )
            case _:
                done = False
        return Done() if done else self._decline('the engine refused')

    async def _prepare(self, order: Prepare) -> AnyReply:
        # Fetching is slow and changes nothing, so it holds up no other order.
        refusal = self._check(order)
        if refusal is not None:
            return refusal
        for expert in order.experts:
            if not await self._weights.fetch(expert):
                return self._decline(f'no weights of expert {expert}')
        return Done()

    async def _tell(self) -> AnyReply:
        state = await self._engine.state()
        if state is None:
            return self._decline('the engine does not answer')
        # A release may take effect though its answer was lost, so a map once
        # confirmed here counts as confirmed.
        sure = bool(state.armed) and state.armed == self._confirming
        confirmed = state.confirmed or sure
        return RankState(self._incarnation, self._number, state, confirmed)

    def _decline(self, reason: str) -> Declined:
        return Declined(reason, self._promised)
