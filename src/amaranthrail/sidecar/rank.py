"""Check one rank's map orders against ballots; pass them to its engine."""

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

#: Lower than every ballot of a coordinator.
NO_BALLOT = Ballot(0, -1)
#: Time after the sidecar's start in which it declines orders. By its end, the
#: last order that an earlier incarnation sent to an engine without fencing has
#: arrived there.
STARTUP_QUIET_MS = 1500.0
#: A lower rank that has sent no promise order for this long is not the leader.
LEADER_LEASE_MS = 3000.0


class RankAcceptor:
    """Accept or decline orders for the engine of one rank.

    The map in use and the armed map are read from the engine each time, so a
    restart of the sidecar loses only its promise. Orders name the incarnation
    that gave the promise, so that one for an earlier incarnation is declined
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
        """Set the rank's number, engine and weight store; make no promise."""
        self._number = number
        self._incarnation = incarnation
        self._engine = engine
        self._weights = weights
        self._clock = clock
        self._quiet_until = clock.now() + STARTUP_QUIET_MS
        self._promised = NO_BALLOT
        self._confirmed_version = 0
        self._last_leader: tuple[int, float] | None = None
        self._order_lock = trio.Lock()

    @property
    def promised(self) -> Ballot:
        """Return the highest promised ballot; lower ones are declined."""
        return self._promised

    @property
    def number(self) -> int:
        """Return the rank's number in its group, from 0."""
        return self._number

    def can_lead(self) -> bool:
        """Tell whether no lower rank holds the leader lease.

        The lease is longer for a higher rank, so that when it expires the next
        lowest rank leads first.
        """
        if self._last_leader is None:
            return (
                self._number == 0 or self._clock.now() > self._first_lead_at()
            )
        leader, since = self._last_leader
        lease_ms = LEADER_LEASE_MS * (1 + self._number / MAX_RANKS)
        return leader >= self._number or self._clock.now() - since > lease_ms

    async def handle_order(self, order: AnyOrder) -> AnyReply:
        """Carry out an order and return its reply, Declined if refused."""
        if isinstance(order, Prepare):
            return await self._prepare(order)
        async with self._order_lock:
            declined = self._check_order(order)
            if declined is not None:
                return declined
            return await self._execute(order)

    def _first_lead_at(self) -> float:
        return self._quiet_until + LEADER_LEASE_MS

    def _check_order(self, order: AnyOrder) -> Declined | None:
        if order.ballot < self._promised:
            return Declined('a higher ballot was promised', self._promised)
        if self._clock.now() < self._quiet_until:
            return Declined('the sidecar has just started', self._promised)
        if isinstance(order, Promise):
            self._promised = order.ballot
            self._last_leader = (order.ballot.rank, self._clock.now())
            return None
        if order.incarnation != self._incarnation:
            return Declined('meant for another incarnation', self._promised)
        if order.ballot != self._promised:
            return Declined('the ballot was never promised', self._promised)
        return None

    async def _execute(self, order: AnyOrder) -> AnyReply:
        match order:
            case Promise():
                return await self._report_state()
            case Arm():
                done = await self._engine.arm(
                    order.ballot.fence,
                    order.version,
                    order.from_step,
                    order.ranks,
                )
            case Confirm():
                self._confirmed_version = order.version
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
        # Fetching weights is slow and does not change the map, so it does not
        # take the lock and delays no other order.
        declined = self._check_order(order)
        if declined is not None:
            return declined
        for expert in order.experts:
            if not await self._weights.fetch(expert):
                return self._decline(f'no weights of expert {expert}')
        return Done()

    async def _report_state(self) -> AnyReply:
        state = await self._engine.state()
        if state is None:
            return self._decline('the engine does not answer')
        # A release may take effect although its response was lost, so a map
        # that this sidecar has confirmed is reported as confirmed.
        confirmed_here = (
            bool(state.armed) and state.armed == self._confirmed_version
        )
        confirmed = state.confirmed or confirmed_here
        return RankState(self._incarnation, self._number, state, confirmed)

    def _decline(self, reason: str) -> Declined:
        return Declined(reason, self._promised)
