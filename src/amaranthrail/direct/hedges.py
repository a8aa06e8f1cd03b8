"""Send calls whose answers are slow to a second upstream, within limits."""

from __future__ import annotations

import math
from collections.abc import Callable
from functools import partial

import msgspec

from ..clock import Clock
from ..outcomes import Outcome, Reason, Refusal
from ..policy.hedging import (
    BUDGET_SHARE,
    MIN_DELAY_MS,
    Denial,
    HedgeShare,
    HedgeTarget,
    SlowCall,
    deny_hedge,
    select_targets,
    size_class,
)
from ..types import DomainName, ServiceName
from .answertimes import AnswerTimes, CallKind, HedgeDelay
from .call import Call, UpstreamChoice
from .calllog import CallLog
from .choice import UpstreamChooser
from .clusterstate import ClusterState
from .deployment import Service
from .loads import SharedLoads
from .relay import RelayedAttempt, StreamRelay
from .rescue import ChooseHedge, HedgePlan
from .retrybudgets import RetryBudgets
from .settings import HedgingLimits
from .upstreams import Upstream

#: Bytes of a body per token where the caller states no prompt size.
_BYTES_PER_TOKEN = 4
#: Returns the limits of second sends that are in force.
ReadLimits = Callable[[], HedgingLimits]
#: Refusals that say that a service has no capacity left.
_OVERLOAD_REASONS = frozenset(
    (Reason.NO_CAPACITY, Reason.NO_REPLICA, Reason.UPSTREAM_LIMIT)
)


class HedgeRecords:
    """Keep what decides on second sends: shares, times and refusals.

    Nothing is kept while the operators' share is 0.
    """

    def __init__(self, clock: Clock, limits: ReadLimits) -> None:
        """Read the limits in force from ``limits`` at each decision."""
        self._clock = clock
        self._limits = limits
        self._times = AnswerTimes(clock, limits().quantile)
        self._shares: dict[ServiceName, HedgeShare] = {}
        self._refused_at: dict[ServiceName, float] = {}

    @property
    def is_on(self) -> bool:
        """Tell whether any call may be sent a second time."""
        return self._limits().share > 0

    def record_call(self, call: Call) -> None:
        """Count a caller's request, from which its service's share grows."""
        if not self.may_hedge(call):
            return
        quantile = self._limits().quantile
        if quantile != self._times.quantile:
            self._times = AnswerTimes(self._clock, quantile)
        share = self._shares.setdefault(call.service, HedgeShare())
        share.record_call(self._limits().share)

    def may_hedge(self, call: Call) -> bool:
        """Tell whether calls of this route may be sent a second time."""
        route = call.route
        return self.is_on and route.retryable and route.max_attempts > 1

    def record_time(self, call: Call, time_ms: float) -> None:
        """Record how long a call waited until its answer began."""
        if self.is_on:
            self._times.record(_kind_of(call), time_ms)

    def record_refusal(self, service: ServiceName, refusal: Refusal) -> None:
        """Record that the entry has refused a call for want of capacity."""
        is_not_run = refusal.outcome is Outcome.NOT_RUN
        if self.is_on and is_not_run and refusal.reason in _OVERLOAD_REASONS:
            self._refused_at[service] = self._clock.now()

    def refused_ms(self, service: ServiceName) -> float:
        """Return the time since the last such refusal, infinite if none."""
        return self._clock.now() - self._refused_at.get(service, -math.inf)

    def delay_of(self, call: Call) -> HedgeDelay | None:
        """Return when a call is to be sent again, None if never or unknown."""
        if call.is_hedged or not self.may_hedge(call):
            return None
        kind = _kind_of(call)
        estimate = self._times.estimate(kind)
        if estimate is None:
            return None
        return HedgeDelay(
            max(MIN_DELAY_MS, estimate.quantile_ms),
            kind.size_class,
            estimate.samples,
            self._clock.now() - estimate.estimated_at,
        )

    def has_share(self, service: ServiceName) -> bool:
        """Tell whether the operators' share has room for a second send."""
        share = self._shares.get(service)
        return self.is_on and share is not None and share.has_room

    def withdraw(self, service: ServiceName) -> None:
        """Take a second send from the operators' share."""
        self._shares[service].withdraw()


class HedgeSources(msgspec.Struct, frozen=True):
    """Bundle what a second send is decided on besides the upstreams.

    ``domain`` is this entry's failure domain, ``loads`` holds other entries'
    calls in flight. ``may_send_again`` tells whether a call has time for
    another attempt and a prompt that is not held.
    """

    domain: DomainName
    loads: SharedLoads
    records: HedgeRecords
    may_send_again: Callable[[Call], bool]


class HedgeChooser:
    """Choose the upstream for a second send, or state why there is none."""

    def __init__(
        self,
        cluster: ClusterState,
        sources: HedgeSources,
        chooser: UpstreamChooser,
        retry_budgets: RetryBudgets,
        call_log: CallLog,
    ) -> None:
        """Choose as ``chooser`` does, among the upstreams that are open."""
        self._cluster = cluster
        self._domain = sources.domain
        self._loads = sources.loads
        self._records = sources.records
        self._may_send_again = sources.may_send_again
        self._chooser = chooser
        self._retry_budgets = retry_budgets
        self._call_log = call_log
        self._clock = Clock()

    def plan(self, call: Call, relay: StreamRelay) -> HedgePlan | None:
        """Return when and where a slow call is sent again.

        None where its times do not count either: second sends are off, or the
        caller already has a part of the stream.
        """
        if relay.has_started or not self._records.may_hedge(call):
            return None
        delay = self._records.delay_of(call)
        choose: ChooseHedge | None = None
        if delay is not None:
            choose = partial(self._choose, call, delay)
        return HedgePlan(
            math.inf if delay is None else delay.delay_ms,
            choose,
            partial(self._records.record_time, call),
            partial(self._call_log.record_hedge_end, call),
        )

    def _choose(
        self, call: Call, delay: HedgeDelay, attempt: RelayedAttempt
    ) -> Upstream | None:
        """Return the upstream, None where the call is not sent again.

        ``attempt`` is in progress. The choice is recorded in the call and taken
        from the limits.
        """
        if _has_begun(call, attempt):
            return None
        denial = deny_hedge(
            SlowCall(
                attempts=call.delivered_attempts + call.open_attempts,
                max_attempts=call.route.max_attempts,
                may_send_again=self._may_send_again(call),
                refused_ms=self._records.refused_ms(call.service),
                has_share=self._records.has_share(call.service),
            )
        )
        outcome = denial or self._withdraw(call)
        if isinstance(outcome, Denial):
            self._call_log.record_hedge_denied(call, delay, outcome)
            return None
        self._call_log.record_hedge(call, delay, attempt.age_ms)
        return outcome

    def _withdraw(self, call: Call) -> Upstream | Denial:
        """Choose an upstream and take the second send from both limits."""
        choice = self._choose_open(call)
        upstream = None
        if choice is not None:
            upstream = self._cluster.directory.find(choice.upstream)
        if choice is None or upstream is None:
            return Denial.NO_TARGET
        if not self._retry_budgets.try_withdraw(call.service, BUDGET_SHARE):
            return Denial.RETRY_BUDGET
        self._records.withdraw(call.service)
        call.choices.append(choice)
        call.is_hedged = True
        return upstream

    def _choose_open(self, call: Call) -> UpstreamChoice | None:
        """Choose among the upstreams that may get a second send.

        The others count as tried in a copy of the call, so all rules for the
        choice of an upstream apply.
        """
        directory = self._cluster.directory
        tried = call.tried_upstreams
        ready = directory.ready_upstreams(call.service, tried)
        reported = self._loads.totals()
        targets = [
            self._make_target(call, upstream, reported[upstream.record.name])
            for upstream in ready
        ]
        groups = {
            upstream.group
            for name in tried
            if (upstream := directory.find(name)) is not None
        }
        open_names = select_targets(targets, groups)
        if not open_names:
            return None
        excluded = [
            UpstreamChoice(target.view.name, 0, 0, 0, ejected=False)
            for target in targets
            if target.view.name not in open_names
        ]
        copy = msgspec.structs.replace(call, choices=call.choices + excluded)
        if self._chooser.choose(copy) is None:
            return None
        return copy.choices[-1]

    def _make_target(
        self, call: Call, upstream: Upstream, reported: int
    ) -> HedgeTarget:
        times = self._cluster.directory.step_times(call.service, upstream.group)
        gap_ms = call.route.target_gap_ms
        step_share = 0.0
        if gap_ms and times.step_ms is not None:
            step_share = times.step_ms / gap_ms
        service = self._cluster.service(call.service)
        return HedgeTarget(
            upstream.view(self._domain, reported),
            is_limited=upstream.rate_limit.in_force,
            is_cold=_is_cold(upstream, service, self._clock.wall()),
            step_share=step_share,
        )


def _has_begun(call: Call, attempt: RelayedAttempt) -> bool:
    """Tell whether an attempt's answer has begun.

    One that is read whole begins with its head, a stream with its first event.
    """
    return attempt.has_begun if call.route.streaming else attempt.has_head


def _kind_of(call: Call) -> CallKind:
    tokens = call.metadata.prompt_tokens
    if not tokens:
        tokens = len(call.request.body) // _BYTES_PER_TOKEN
    return CallKind(call.route.name, size_class(tokens))


def _is_cold(upstream: Upstream, service: Service | None, wall: int) -> bool:
    if service is None or not service.cold_per_s:
        return False
    record = upstream.record
    return record.cold_ms > 0 or wall - record.started_at < (
        service.cold_start_ms
    )
