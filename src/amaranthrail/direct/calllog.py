"""Log the outcome of calls, at a bounded rate, and count it in metrics."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import xxhash

from ..clock import Clock
from ..logs import part_logger
from ..metrics import Metrics
from ..outcomes import Reason, Refusal
from ..policy.hedging import Denial, HedgeEnd
from ..policy.reservations import has_reservation
from ..policy.streamadmission import NO_PRESSURE
from .answertimes import HedgeDelay
from .call import BufferedResponse, Call, Failure, StreamTiming
from .clusterstate import ConfigurationView
from .deployment import UpstreamRecord
from .shutdownlog import CallEnd, ShutdownLog

#: Answered calls a second that are all logged; above this rate, only one in
#: ``SAMPLED_ONE_IN`` is.
FULL_LOG_PER_SECOND = 40
SAMPLED_ONE_IN = 16
#: Log lines on refusals, failures and retries a second; further lines are only
#: counted.
MAX_PROBLEMS_PER_SECOND = 200
_SECOND_MS = 1000.0
_HTTP_OK = 200
_log = part_logger('call')


class _RateCounter:
    """Count events in windows of one second."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._window_start = clock.now()
        self._count = 0

    def increment(self) -> int:
        """Count an event; return the count in the current second."""
        now = self._clock.now()
        if now - self._window_start >= _SECOND_MS:
            self._window_start = now
            self._count = 0
        self._count += 1
        return self._count


class CallLog:
    """Write one log line per outcome, sampled at high rates, and count all."""

    def __init__(
        self, clock: Clock, metrics: Metrics, shutdown_log: ShutdownLog
    ) -> None:
        """Count in ``metrics``, which never drops an outcome."""
        self._clock = clock
        self._metrics = metrics
        self._shutdown_log = shutdown_log
        self._answered = _RateCounter(clock)
        self._problems = _RateCounter(clock)

    def record_end(
        self,
        call: Call,
        outcome: BufferedResponse | Refusal | None,
        events: int,
        timing: StreamTiming,
    ) -> None:
        """Record a call's result; None stands for a complete stream."""
        took_ms = self._clock.now() - call.arrived_at
        self._count_reservations(call)
        self._metrics.latency('call').record(took_ms)
        if events:
            self._metrics.latency('first_event').record(timing.first_event_ms)
            self._metrics.latency('longest_gap').record(timing.longest_gap_ms)
        if isinstance(outcome, Refusal):
            self._metrics.count(
                'refused',
                reason=outcome.reason.value,
                outcome=outcome.outcome.value,
            )
            is_cut = (
                self._shutdown_log.is_cutting
                and outcome.reason is Reason.DRAINING
            )
            end = CallEnd.CUT if is_cut else CallEnd.REFUSED
            self._shutdown_log.record_end(end)
            # At most one line for each call in progress, so not rate limited.
            if is_cut or self._may_log_problem():
                self._log_refusal(call, outcome, events)
            return
        self._shutdown_log.record_end(CallEnd.ANSWERED)
        status = _HTTP_OK if outcome is None else outcome.status
        self._metrics.count('answered', status=str(status))
        if self._is_sampled(call.metadata.attempt_id):
            _log.info(
                'answered',
                **self._fields(call),
                status=status,
                events=events,
                first_event_ms=int(timing.first_event_ms),
                longest_gap_ms=int(timing.longest_gap_ms),
                took_ms=int(took_ms),
            )

    def record_retry(
        self,
        call: Call,
        upstream: UpstreamRecord,
        attempt: BufferedResponse | Failure,
        events: int,
    ) -> None:
        """Record a retry and the failed attempt that causes it.

        ``events`` counts those that the caller has received so far.
        """
        self._metrics.count('repeats')
        if isinstance(attempt, BufferedResponse):
            cause = f'status {attempt.status}'
        else:
            cause = attempt.cause
        self._log_problem(
            _log.warning,
            'sent again',
            call,
            upstream=upstream.name,
            upstream_beat=upstream.sequence,
            cause=cause,
            events=events,
        )

    def record_stall(self, call: Call, upstream: str, events: int) -> None:
        """Record a stream that is sent to a second upstream beside the first.

        ``upstream`` is the first one, ``events`` counts those that the caller
        has received so far.
        """
        self._metrics.count('repeats')
        self._log_problem(
            _log.warning,
            'stream stalled, sent to another upstream too',
            call,
            upstream=upstream,
            events=events,
        )

    def record_hedge(
        self, call: Call, delay: HedgeDelay, waited_ms: float
    ) -> None:
        """Record a call that is sent a second time because it was slow."""
        self._metrics.count('repeats')
        self._metrics.count('hedges_sent')
        self._log_problem(
            _log.info,
            'slow call sent to a second upstream too',
            call,
            **_delay_fields(delay),
            waited_ms=int(waited_ms),
        )

    def record_hedge_denied(
        self, call: Call, delay: HedgeDelay, reason: Denial
    ) -> None:
        """Record a slow call that is not sent a second time."""
        self._metrics.count('hedges_denied', reason=reason.value)
        self._log_problem(
            _log.info,
            'slow call not sent to a second upstream',
            call,
            **_delay_fields(delay),
            reason=reason.value,
        )

    def record_hedge_end(self, call: Call, end: HedgeEnd) -> None:
        """Record which send of a call that was sent twice gave its response."""
        self._metrics.count(f'hedges_{end.value}')
        self._log_problem(_log.info, 'second send ended', call, end=end.value)

    def record_rejection(
        self,
        attempt_id: str,
        refusal: Refusal,
        view: ConfigurationView,
    ) -> None:
        """Record a request that was refused before it could be forwarded.

        ``view`` is that of the configuration that decided.
        """
        reason = refusal.reason.value
        self._metrics.count('rejected', reason=reason)
        self._shutdown_log.record_end(CallEnd.REJECTED)
        if self._may_log_problem():
            _log.warning(
                'rejected',
                request=attempt_id,
                reason=reason,
                cause=refusal.detail,
                version=view.version,
                read_age_ms=view.read_age_ms,
                reported_version=view.reported_version,
                reported_ms=view.reported_ms,
            )

    def record_disconnect(self, call: Call, events: int) -> None:
        """Record a call whose response is given up before its end.

        The caller has disconnected, or the process ends.
        """
        if self._shutdown_log.has_ended:
            self._record_cut(call, events)
            return
        self._metrics.count('callers_left')
        self._shutdown_log.record_end(CallEnd.CALLER_LEFT)
        self._log_problem(
            _log.info,
            'caller disconnected',
            call,
            events=events,
            took_ms=int(self._clock.now() - call.arrived_at),
        )

    @contextmanager
    def watch_response(self, call: Call) -> Iterator[None]:
        """Record a response that the block leaves before it is sent whole.

        Its call has been recorded with its outcome before.
        """
        is_sent = False
        try:
            yield
            is_sent = True
        finally:
            if not is_sent:
                self._record_unsent(call)

    def _record_unsent(self, call: Call) -> None:
        self._metrics.count('responses_unsent')
        self._log_problem(
            _log.warning,
            'response not sent whole',
            call,
            is_process_end=self._shutdown_log.has_ended,
            took_ms=int(self._clock.now() - call.arrived_at),
        )

    def _count_reservations(self, call: Call) -> None:
        """Count what became of reservations; a call is admitted or not."""
        if call.reservation is not None and call.reservation.is_reserved:
            self._metrics.count('reservations_made')
        stream = call.stream
        if stream is None or not stream.is_returning:
            return
        if not call.choices:
            self._metrics.count('refused_again')
        if has_reservation(stream.remaining_ms, stream.route_timeout_ms):
            kept = bool(call.choices)
            self._metrics.count(
                'reservations_kept' if kept else 'reservations_missed'
            )

    def _record_cut(self, call: Call, events: int) -> None:
        """Record a call that the end of the process broke off."""
        self._metrics.count('calls_cut')
        self._shutdown_log.record_end(CallEnd.CUT)
        # At most one line for each call in progress, so not rate limited.
        _log.warning(
            'cut off at the end of the process',
            **self._fields(call),
            events=events,
            took_ms=int(self._clock.now() - call.arrived_at),
        )

    def _log_refusal(self, call: Call, refusal: Refusal, events: int) -> None:
        _log.warning(
            'stream aborted' if events else 'refused',
            **self._fields(call),
            outcome=refusal.outcome.value,
            reason=refusal.reason.value,
            cause=refusal.detail,
            return_after_ms=refusal.retry_after_ms,
            crest=_describe_engine_load(call),
            pressure=_describe_pressure(call),
            reservation=_describe_reservation(call),
            events=events,
            took_ms=int(self._clock.now() - call.arrived_at),
        )

    def _is_sampled(self, attempt_id: str) -> bool:
        if self._answered.increment() <= FULL_LOG_PER_SECOND:
            return True
        return xxhash.xxh32_intdigest(attempt_id.encode()) % SAMPLED_ONE_IN == 0

    def _log_problem(
        self,
        write: Callable[..., object],
        event: str,
        call: Call,
        **fields: object,
    ) -> None:
        """Write a line on a call unless there are too many lines."""
        if self._may_log_problem():
            write(event, **self._fields(call), **fields)

    def _fields(self, call: Call) -> dict[str, object]:
        return {**_call_fields(call), **self._shutdown_log.describe(call)}

    def _may_log_problem(self) -> bool:
        if self._problems.increment() <= MAX_PROBLEMS_PER_SECOND:
            return True
        self._metrics.count('log_lines_left_out')
        return False


def _describe_engine_load(call: Call) -> str | None:
    """Return the engine load when a stream was admitted or refused, if any."""
    load = call.engine_load
    if load is None:
        return None
    step_text = 'unknown' if load.step_ms is None else f'{load.step_ms:.0f}'
    return (
        f'least load {load.least_load:.2f}, mean load {load.mean_load:.2f}, '
        f'pass ms {step_text}'
    )


def _delay_fields(delay: HedgeDelay) -> dict[str, object]:
    """Return the log fields of what decided when a call was slow."""
    return {
        'delay_ms': int(delay.delay_ms),
        'size_class': delay.size_class,
        'samples': delay.samples,
        'estimate_age_ms': int(delay.age_ms),
    }


def _describe_pressure(call: Call) -> str | None:
    """Return what admission rested on besides the load, None without it."""
    stream, pressure = call.stream, call.pressure
    if stream is None or pressure is None or pressure is NO_PRESSURE:
        return None
    turn = 'first request' if stream.is_first_request else 'returning'
    if stream.is_resumed:
        turn = 'resumed'
    texts = [
        f'{turn}, size {stream.relative_size:.2f} of the mean',
        f'returns due {pressure.due_share:.3f} of the streams',
    ]
    if stream.is_above_share:
        texts.append('organisation above its share')
    if pressure.is_step_full:
        texts.append('step full')
    if stream.is_returning and pressure.has_return_room is False:
        texts.append('beyond the reserved part')
    return ', '.join(texts)


def _describe_reservation(call: Call) -> str | None:
    """Return whether room is kept for a caller and the forecast behind it."""
    reservation = call.reservation
    if reservation is None:
        return None
    kept = 'room kept' if reservation.is_reserved else 'no room in time'
    ends_per_s = reservation.ends_per_ms * _SECOND_MS
    return f'{kept}, forecast {ends_per_s:.1f} streams ending a second'


def _call_fields(call: Call) -> dict[str, object]:
    """Return the log fields that identify a call and its upstream choices."""
    return {
        'request': call.metadata.attempt_id,
        'route': call.route.name,
        'version': call.version,
        'service': call.service,
        'chosen': [
            f'{choice.upstream} beat {choice.sequence}: '
            f'own {choice.own_calls}, others {choice.other_calls:g}'
            f'{" avoided" if choice.ejected else ""}'
            for choice in call.choices
        ],
        'sent': call.delivered_attempts,
        'parts': list(call.metadata.shared_parts),
    }
