"""Change a group's expert map at the same step on all ranks, or on none.

An order may get no response and still be executed seconds later. A late order
does no harm because of what the ranks themselves refuse: arming for a step that
has begun or for a version that a later preparation has replaced, and any order
of an earlier group epoch. So a step is held first, all ranks are armed for it,
and it is released only once each of them has confirmed. Otherwise each rank is
disarmed and given another preparation before the step is released, and the
version is never used again.

Ranks refuse to be armed until they have copied their experts. So the rank with
the most of them is armed first, and the others once it has not refused. The
time by which copying exceeded its prediction is waited for by the next change.
A rank that has refused all its arm orders is not armed and needs no other
preparation in a rollback.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable, Mapping
from enum import Enum
from typing import TypeVar

import msgspec
import trio

from ..clock import MS_PER_SECOND, Clock, sleep
from ..logs import part_logger
from .ports import MapOrder, OrderKind, OrderResult, Placement, RankReport

#: Times between a report and the step that is held, in ms; the second applies
#: if the first was too short. Reports are 200 ms old, and a hold and an arm
#: take some 10 ms each.
HOLD_AHEAD_MS = (300.0, 600.0)
#: The same while orders get no response, in ms: three retries fit in.
SLOW_HOLD_AHEAD_MS = 1000.0
#: Time after an unanswered order for which SLOW_HOLD_AHEAD_MS applies, in ms.
UNANSWERED_WINDOW_MS = 10_000.0
#: Fewest and most steps between a report and the step that is held.
MIN_STEPS_AHEAD = 3
MAX_STEPS_AHEAD = 200
#: Time in which all ranks must confirm a preparation, in ms; no step waits for
#: it.
PREPARE_MS = 2500.0
#: Time in which ranks must confirm a hold or an arm, in ms: the group waits for
#: the part of it that exceeds the time until the held step.
CONFIRM_MS = 1100.0
#: Time by which copying may exceed what the experts' sizes predict, in ms.
COPY_SLACK_MS = 30.0
#: Most times that copying is expected to take what the experts' sizes predict,
#: and the factor by which a learned excess falls with each change.
MAX_COPY_FACTOR = 4.0
COPY_FACTOR_DECAY = 0.9
#: Time for which an arm order is retried at ranks that need longer to copy and
#: therefore refuse it, in ms.
REFUSED_ARM_MS = 400.0
#: Time before a refused order is retried, in ms.
REFUSED_RETRY_MS = 25.0
#: Time before an unanswered order is retried, in ms; a rank that cannot be
#: reached refuses connections at once.
UNANSWERED_RETRY_MS = 80.0
#: Time limit of one attempt to roll a change back, and of one to release its
#: step, in ms; another attempt follows.
ROLLBACK_MS = 6000.0
_log = part_logger('change')

_Response = TypeVar('_Response')

FetchReport = Callable[[int], Awaitable[RankReport | None]]
SendOrder = Callable[[int, MapOrder], Awaitable[OrderResult]]


class ChangeOutcome(Enum):
    """Name the ways in which a change can end."""

    DONE = 'done'
    NOT_PREPARED = 'not-prepared'
    NOT_HELD = 'not-held'
    ROLLED_BACK = 'undone'
    STUCK = 'stuck'
    EPOCH_CHANGED = 'formed-anew'


class ChangeRequest(msgspec.Struct, frozen=True):
    """Describe the map to bring into use and the group it is for.

    ``step_ms`` is the recent duration of one step, ``current`` the map in use.
    ``copying_ms`` is the time that the rank with the most experts to copy
    needs for them, and ``slowest_rank`` is that rank, None where unknown.
    ``replaces_all`` says that versions armed by other leaders are disarmed too.
    """

    epoch: int
    version: int
    placement: Placement
    current: Placement
    step_ms: float
    copying_ms: float = 0
    replaces_all: bool = False
    slowest_rank: int | None = None


class _ConfirmRound:
    """Hold the state of one set of orders until all ranks have confirmed them.

    The other ranks' orders wait until that of rank ``first`` was not refused.
    """

    def __init__(self, first: int | None, refused_ms: float) -> None:
        self.first = first
        self.refused_ms = refused_ms
        self.first_refusals = 0
        self.acceptance: dict[int, bool] = {}
        self.others_may_start = trio.Event()
        if first is None:
            self.others_may_start.set()

    @property
    def is_refused(self) -> bool:
        """Tell whether a rank has refused for good, so that all is in vain."""
        return not all(self.acceptance.values())

    def record(self, rank: int, outcome: OrderResult) -> None:
        """Record the result of a rank's order."""
        if rank != self.first:
            return
        if outcome is OrderResult.REFUSED:
            self.first_refusals += 1
        else:
            self.others_may_start.set()


class MapChange:
    """Carry out changes of one group's map."""

    def __init__(
        self,
        holder: int,
        fetch_report: FetchReport,
        send_order: SendOrder,
        clock: Clock,
    ) -> None:
        """Set the rank that holds steps and the ways to reach all ranks."""
        self._holder = holder
        self._fetch_report = fetch_report
        self._send_order = send_order
        self._clock = clock
        self._unanswered_at: float | None = None
        self._copy_factor = 1.0
        # Ranks that may be armed for the current change, or become so.
        self._in_doubt: set[int] = set()

    async def run(
        self,
        ranks: Iterable[int],
        request: ChangeRequest,
    ) -> ChangeOutcome:
        """Bring a map into use on all ranks, or roll the change back."""
        members = tuple(ranks)
        self._in_doubt = set()
        self._copy_factor = max(1, self._copy_factor * COPY_FACTOR_DECAY)
        if not await self._prepare(members, request):
            return ChangeOutcome.NOT_PREPARED
        prepared_at = self._clock.now()
        await sleep(request.copying_ms * self._copy_factor + COPY_SLACK_MS)
        step = await self._hold_step(request)
        if step is None:
            return ChangeOutcome.NOT_HELD
        if await self._arm_all(members, request, step, prepared_at):
            return await self._release(request.epoch, step)
        _log.info(
            'change rolled back',
            epoch=request.epoch,
            version=request.version,
            in_doubt=len(self._in_doubt),
            ranks=len(members),
        )
        outcome = await self.disarm_all(self._in_doubt, request)
        if outcome is ChangeOutcome.DONE:
            outcome = await self._release(request.epoch, step)
        if outcome is ChangeOutcome.DONE:
            return ChangeOutcome.ROLLED_BACK
        return outcome

    async def disarm_all(
        self,
        ranks: Iterable[int],
        request: ChangeRequest,
    ) -> ChangeOutcome:
        """Disarm all ranks and fence off late arm orders.

        After DONE the held step may be released.
        """
        fenced: set[int] = set()
        members = frozenset(ranks)
        with trio.move_on_after(ROLLBACK_MS / MS_PER_SECOND):
            async with trio.open_nursery() as nursery:
                for rank in members:
                    nursery.start_soon(self._fence, rank, request, fenced)
        if fenced == members:
            return ChangeOutcome.DONE
        report = await self._fetch_report(self._holder)
        if report is not None and report.epoch != request.epoch:
            return ChangeOutcome.EPOCH_CHANGED
        # The step stays held: after a release the ranks could use different
        # maps.
        _log.error('change stuck', ranks=sorted(members - fenced))
        return ChangeOutcome.STUCK

    async def _release(self, epoch: int, step: int) -> ChangeOutcome:
        release = MapOrder(OrderKind.RELEASE, epoch, step=step)
        if await self._confirm_all({self._holder: release}, ROLLBACK_MS):
            return ChangeOutcome.DONE
        return ChangeOutcome.STUCK

    async def _fence(
        self,
        rank: int,
        request: ChangeRequest,
        fenced: set[int],
    ) -> None:
        """Disarm a rank and replace the version that it has prepared.

        Until the replacement is confirmed, a late arm order may take effect;
        then the rank is disarmed once more.
        """
        fence = MapOrder(
            OrderKind.PREPARE,
            request.epoch,
            request.version + 1,
            placement=request.current,
            is_urgent=True,
        )
        while rank not in fenced:
            if await self._disarm(rank, request):
                order_result = await self._send_order(rank, fence)
                if order_result.accepted:
                    fenced.add(rank)
                    return
            report = await self._fetch_report(rank)
            if report is not None and report.epoch > request.epoch:
                # Epochs only rise, so the rank refuses all further orders.
                return
            if _has_newer_version(report, request):
                fenced.add(rank)
            else:
                await sleep(UNANSWERED_RETRY_MS)

    async def _disarm(self, rank: int, request: ChangeRequest) -> bool:
        """Disarm a rank; return False if it may still be armed.

        An armed rank refuses a preparation. A report may be from before an arm
        order, so this change's own version is disarmed without one. A version
        that another leader armed is disarmed only if that leader has gone.
        """
        armed = request.version
        if request.replaces_all:
            report = await self._fetch_report(rank)
            armed = request.version if report is None else report.armed_version
        if not armed:
            return True
        disarm = MapOrder(OrderKind.DISARM, request.epoch, armed)
        order_result = await self._send_order(rank, disarm)
        return order_result is not OrderResult.UNANSWERED

    async def _prepare(
        self,
        members: tuple[int, ...],
        request: ChangeRequest,
    ) -> bool:
        order = MapOrder(
            OrderKind.PREPARE,
            request.epoch,
            request.version,
            placement=request.placement,
        )
        return await self._confirm_all(
            dict.fromkeys(members, order), PREPARE_MS
        )

    async def _arm_all(
        self,
        members: tuple[int, ...],
        request: ChangeRequest,
        step: int,
        prepared_at: float,
    ) -> bool:
        """Arm all ranks, the one that copies longest first."""
        arm = MapOrder(OrderKind.ARM, request.epoch, request.version, step)
        confirm_round = _ConfirmRound(request.slowest_rank, REFUSED_ARM_MS)
        is_armed = await self._confirm_all(
            dict.fromkeys(members, arm), CONFIRM_MS, confirm_round
        )
        if confirm_round.first_refusals and request.copying_ms:
            copied_ms = self._clock.now() - prepared_at
            self._copy_factor = min(
                MAX_COPY_FACTOR, copied_ms / request.copying_ms
            )
            _log.info(
                'copying took longer than predicted',
                rank=request.slowest_rank,
                predicted_ms=int(request.copying_ms),
                copied_ms=int(copied_ms),
                refusals=confirm_round.first_refusals,
                armed=is_armed,
            )
        return is_armed

    async def _hold_step(self, request: ChangeRequest) -> int | None:
        """Hold a step that begins soon; return its number, None on failure."""
        for ahead_ms in HOLD_AHEAD_MS:
            report = await self._fetch_report(self._holder)
            if report is None or report.epoch != request.epoch:
                break
            step = report.step + self._steps_ahead(ahead_ms, request.step_ms)
            hold = MapOrder(OrderKind.HOLD, request.epoch, step=step)
            if await self._confirm_all({self._holder: hold}, CONFIRM_MS):
                return step
        return None

    async def _confirm_all(
        self,
        orders: Mapping[int, MapOrder],
        timeout_ms: float,
        confirm_round: _ConfirmRound | None = None,
    ) -> bool:
        """Send each rank its order until the rank has confirmed it.

        Retries are idempotent: a rank that has executed the order confirms
        it again. Return False on timeout, or once a rank has refused its order
        for the time that ``confirm_round`` states, 0 without one.
        """
        if confirm_round is None:
            confirm_round = _ConfirmRound(None, 0)
        with trio.move_on_after(timeout_ms / MS_PER_SECOND):
            async with trio.open_nursery() as nursery:
                for rank, order in orders.items():
                    nursery.start_soon(
                        self._confirm, rank, order, confirm_round
                    )
        acceptance = confirm_round.acceptance
        failed = sorted(set(orders) - _accepted_ranks(acceptance))
        if failed:
            kind = next(iter(orders.values())).kind.value
            refused = sorted(set(failed).intersection(acceptance))
            _log.warning(
                'order not confirmed', order=kind, ranks=failed, refused=refused
            )
        return not failed

    async def _confirm(
        self, rank: int, order: MapOrder, confirm_round: _ConfirmRound
    ) -> None:
        if rank != confirm_round.first:
            await confirm_round.others_may_start.wait()
        retry_refused_until = self._clock.now() + confirm_round.refused_ms
        acceptance = confirm_round.acceptance
        while rank not in acceptance and not confirm_round.is_refused:
            order_result = await self._send(rank, order)
            confirm_round.record(rank, order_result)
            if order_result is OrderResult.UNANSWERED:
                self._unanswered_at = self._clock.now()
                await sleep(UNANSWERED_RETRY_MS)
            elif (
                order_result.accepted
                or self._clock.now() >= retry_refused_until
            ):
                acceptance[rank] = order_result.accepted
            else:
                await sleep(REFUSED_RETRY_MS)
        confirm_round.others_may_start.set()

    async def _send(self, rank: int, order: MapOrder) -> OrderResult:
        """Send an order and note whether the rank may be armed by it.

        One that is cancelled or not answered may still be executed.
        """
        if order.kind is not OrderKind.ARM:
            return await self._send_order(rank, order)
        was_in_doubt = rank in self._in_doubt
        self._in_doubt.add(rank)
        order_result = await self._send_order(rank, order)
        if order_result is OrderResult.REFUSED and not was_in_doubt:
            self._in_doubt.discard(rank)
        return order_result

    def _steps_ahead(self, ahead_ms: float, step_ms: float) -> int:
        """Return the number of steps from the reported one to the held one."""
        now = self._clock.now()
        last = self._unanswered_at
        if last is not None and now - last < UNANSWERED_WINDOW_MS:
            ahead_ms = SLOW_HOLD_AHEAD_MS
        steps = int(ahead_ms / max(1, step_ms)) + 1
        return min(MAX_STEPS_AHEAD, max(MIN_STEPS_AHEAD, steps))


async def query_ranks(
    ranks: Iterable[int],
    query: Callable[[int], Awaitable[_Response | None]],
) -> dict[int, _Response]:
    """Query ranks concurrently; return the responses by rank."""
    responses: dict[int, _Response] = {}

    async def query_rank(rank: int) -> None:
        response = await query(rank)
        if response is not None:
            responses[rank] = response

    async with trio.open_nursery() as nursery:
        for rank in ranks:
            nursery.start_soon(query_rank, rank)
    return responses


def _has_newer_version(
    report: RankReport | None,
    request: ChangeRequest,
) -> bool:
    """Tell whether a rank can no longer apply the requested version.

    Another leader has given it a higher one since.
    """
    if report is None or report.epoch != request.epoch or report.armed_version:
        return False
    return max(report.version, report.prepared_version) > request.version


def _accepted_ranks(acceptance: Mapping[int, bool]) -> set[int]:
    return {rank for rank, accepted in acceptance.items() if accepted}
