"""Keep what entries have reserved for callers that return, by service."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Mapping, Sequence

import msgspec

from ..clock import MS_PER_SECOND, Clock
from ..logs import part_logger
from ..policy.rankgroups import GroupLoad
from ..policy.reservations import (
    DUE_WINDOW_MS,
    MAX_SLOTS,
    Forecast,
    ReportedReturns,
    Reservation,
    ReturnPlan,
    has_reservation,
    make_forecast,
)
from ..policy.steproom import StepRoom, StepView
from ..policy.streamadmission import NO_PRESSURE, Pressure, StreamRequest
from ..types import ServiceName

#: Services of one entry's report that are kept: a deployment has a few.
MAX_REPORTED_SERVICES = 16
#: Time after which a stop says nothing about the present, in ms: a group
#: without streams has no events either.
MAX_STOP_MS = 10_000.0
_log = part_logger('returns')


class ServiceLoad(msgspec.Struct, frozen=True):
    """Describe the streams of a service in progress at its serving groups.

    ``calls`` are those of all entries, ``own_calls`` those of this one, and
    ``entries`` counts the entries that report. ``step_ms`` is the shortest step
    of its groups, ``limit_ms`` that with which streams are still in time; each
    is None where it is unknown.
    """

    calls: float
    own_calls: int
    entries: int
    step_ms: float | None = None
    limit_ms: float | None = None


class _ServiceReturns:
    """Hold what one entry knows of the returns to one service."""

    def __init__(self, random_source: random.Random) -> None:
        self.plan = ReturnPlan(random_source)
        self.step_room = StepRoom()
        self.forecast: Forecast | None = None
        self.stopped_at: float | None = None


class ReturnSchedule:
    """Apply the reservations of all entries to the admission of streams."""

    def __init__(self, clock: Clock, random_source: random.Random) -> None:
        """Start without reservations, as an entry that has just started."""
        self._clock = clock
        self._random = random_source
        self._services: dict[ServiceName, _ServiceReturns] = {}
        self._reported: dict[str, dict[str, ReportedReturns]] = {}

    @property
    def reserved_work(self) -> float:
        """Return this entry's reserved work to come, in mean streams."""
        now = self._clock.now()
        return sum(
            returns.plan.due(now, math.inf)
            for returns in self._services.values()
        )

    def record_stream(
        self,
        service: ServiceName,
        request: StreamRequest,
        step_ms: float | None,
        duration_ms: float,
    ) -> None:
        """Record a stream that was served to its end.

        ``step_ms`` is the mean step time while it ran, None where unknown.
        """
        plan = self._returns(service).plan
        plan.record_stream(duration_ms, request.steps * (step_ms or 0))

    def relative_size(
        self, service: ServiceName, route: str, work: float
    ) -> float:
        """Return a request's work against the mean of its route."""
        return self._returns(service).plan.relative_size(route, work)

    def update_forecast(self, service: ServiceName, load: ServiceLoad) -> None:
        """Forecast the work that ends from the streams in progress."""
        returns = self._returns(service)
        plan = returns.plan
        stream_ms = plan.mean_stream_ms(load.step_ms)
        returns.forecast = None
        if stream_ms is not None and load.calls > 0:
            returns.forecast = make_forecast(
                load.calls,
                stream_ms,
                load.entries,
                load.own_calls,
                plan.stream_size,
            )

    def pressed_services(self) -> list[ServiceName]:
        """Return the services whose callers this entry has refused lately."""
        now = self._clock.now()
        return [
            name
            for name, returns in self._services.items()
            if returns.plan.is_pressed(now)
        ]

    def capacity_per_s(self, service: ServiceName) -> float | None:
        """Return the forecast of mean streams that end a second, if any."""
        forecast = self._returns(service).forecast
        return (
            None if forecast is None else forecast.ends_per_ms * MS_PER_SECOND
        )

    def record_groups(
        self,
        service: ServiceName,
        loads: Iterable[GroupLoad],
        last_event_ms: float,
    ) -> None:
        """Record whether all groups that could take a stream have stopped.

        ``last_event_ms`` is the time since the latest event of any stream.
        """
        silent_ms = [load.silent_ms for load in loads if load.is_silent]
        was_stopped = self.stopped_ms(service, last_event_ms) is not None
        if not silent_ms or was_stopped:
            return
        stopped_ms = min(silent_ms)
        self._returns(service).stopped_at = self._clock.now() - stopped_ms
        _log.info(
            'groups of a service have stopped',
            service=service,
            silent_ms=int(stopped_ms),
        )

    def stopped_ms(
        self, service: ServiceName, last_event_ms: float
    ) -> float | None:
        """Return for how long the groups of a service have stopped, if so.

        A stop ends with the next event: silence alone does not tell, as no
        stream is left once a stopped group has refused them all.
        """
        returns = self._returns(service)
        if returns.stopped_at is None:
            return None
        stopped_ms = self._clock.now() - returns.stopped_at
        if last_event_ms < stopped_ms or stopped_ms > MAX_STOP_MS:
            returns.stopped_at = None
            return None
        return stopped_ms

    def pressure(
        self, service: ServiceName, request: StreamRequest, load: ServiceLoad
    ) -> Pressure:
        """Return what is known of the overload of a service's groups."""
        returns = self._returns(service)
        forecast = returns.forecast
        now = self._clock.now()
        due = self._due(service, now, now + DUE_WINDOW_MS)
        if forecast is None:
            # An entry that has just started knows only others' reservations.
            return Pressure(due / max(1.0, load.calls)) if due else NO_PRESSURE
        if not due and not returns.plan.is_pressed(now):
            return NO_PRESSURE
        # No more room is kept than what ends meanwhile makes.
        due = min(due, forecast.ends_per_ms * DUE_WINDOW_MS)
        stream_ms = returns.plan.mean_stream_ms(load.step_ms)
        view = _view_step(load, forecast, stream_ms)
        return Pressure(
            due / max(1.0, load.calls),
            has_reservation(request.remaining_ms, request.route_timeout_ms)
            and returns.plan.has_return_room(now, forecast),
            view is not None and returns.step_room.is_full(now, view),
        )

    def record_begin(
        self, service: ServiceName, request: StreamRequest
    ) -> None:
        """Count a stream that is admitted."""
        returns = self._returns(service)
        returns.step_room.record_begin()
        returns.plan.record_begin(
            request.relative_size,
            request.steps,
            is_returning=request.is_returning,
        )

    def refuse(
        self, service: ServiceName, remaining_ms: float, size: float
    ) -> Reservation | None:
        """Return when a refused caller is to return, None without a forecast.

        Without a forecast the entry cannot tell one time from another.
        """
        returns = self._returns(service)
        reservation = returns.plan.refuse(
            self._clock.now(),
            remaining_ms,
            size,
            returns.forecast,
            self._others(service),
        )
        return None if returns.forecast is None else reservation

    def report(self) -> dict[str, list[int]]:
        """Return this entry's reserved work by service and slot."""
        now = self._clock.now()
        counts = {
            str(name): returns.plan.counts(now)
            for name, returns in self._services.items()
        }
        return {name: slots for name, slots in counts.items() if slots}

    def apply_report(
        self, host: str, reservations: Mapping[str, Sequence[int]]
    ) -> None:
        """Replace what an entry has reserved."""
        now = self._clock.now()
        self._reported[host] = {
            name: ReportedReturns(now, _valid_counts(counts))
            for name, counts in list(reservations.items())[
                :MAX_REPORTED_SERVICES
            ]
        }
        if not reservations:
            del self._reported[host]

    def _due(self, service: ServiceName, start: float, end: float) -> float:
        """Return the reserved work of all entries due between two times."""
        own = self._returns(service).plan.due(start, end)
        return own + sum(
            returns.due(start, end) for returns in self._others(service)
        )

    def _others(self, service: ServiceName) -> list[ReportedReturns]:
        return [
            returns
            for reported in self._reported.values()
            for name, returns in reported.items()
            if name == service
        ]

    def _returns(self, service: ServiceName) -> _ServiceReturns:
        returns = self._services.get(service)
        if returns is None:
            returns = _ServiceReturns(self._random)
            self._services[service] = returns
        return returns


def _view_step(
    load: ServiceLoad, forecast: Forecast, stream_ms: float | None
) -> StepView | None:
    if load.step_ms is None or load.limit_ms is None or stream_ms is None:
        return None
    return StepView(
        load.calls, stream_ms, load.step_ms, load.limit_ms, forecast.own_share
    )


def _valid_counts(counts: Sequence[int]) -> tuple[int, ...]:
    return tuple(max(0, count) for count in counts[:MAX_SLOTS])
