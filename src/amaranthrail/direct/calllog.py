"""Write the decisions on calls to the log and count them."""

from __future__ import annotations

import xxhash

from ..clock import Clock
from ..logs import part_logger
from ..metrics import Metrics
from ..outcomes import Refusal
from .call import BufferedResponse, Call, Failure, StreamTiming
from .deployment import UpstreamRecord

#: Served calls below this rate are all logged; above it, one in so many.
FULL_LOG_PER_SECOND = 40
SAMPLED_ONE_IN = 16
#: Lines on refusals, failures and repeats in one second; more are counted.
MAX_TROUBLE_PER_SECOND = 200
_SECOND_MS = 1000.0
_HTTP_OK = 200
_log = part_logger('call')


class _RateWindow:
    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._began_at = clock.now()
        self._count = 0

    def note(self) -> int:
        """Count one more and return how many there are in this second."""
        now = self._clock.now()
        if now - self._began_at >= _SECOND_MS:
            self._began_at = now
            self._count = 0
        self._count += 1
        return self._count


class CallLog:
    """Explain what became of each call."""

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        """Take where durations come from and where counts go."""
        self._clock = clock
        self._metrics = metrics
        self._served = _RateWindow(clock)
        self._trouble = _RateWindow(clock)

    def ended(
        self,
        call: Call,
        outcome: BufferedResponse | Refusal | None,
        events: int,
        pace: StreamTiming,
    ) -> None:
        """Note the end of a call."""
        took_ms = self._clock.now() - call.arrived_at
        self._metrics.latency('call').record(took_ms)
        if events:
            self._metrics.latency('first_event').record(pace.first_ms)
            self._metrics.latency('longest_gap').record(pace.longest_gap_ms)
        if isinstance(outcome, Refusal):
            self._metrics.count(
                'refused',
                reason=outcome.reason.value,
                outcome=outcome.outcome.value,
            )
            self._refused(call, outcome, events)
            return
        status = _HTTP_OK if outcome is None else outcome.status
        self._metrics.count('answered', status=str(status))
        if self._is_sampled(call.facts.attempt_id):
            _log.info(
                'answered',
                **_identity(call),
                status=status,
                events=events,
                first_event_ms=int(pace.first_ms),
                longest_gap_ms=int(pace.longest_gap_ms),
                took_ms=int(took_ms),
            )

    def repeated(
        self,
        call: Call,
        upstream: UpstreamRecord,
        attempt: BufferedResponse | Failure,
    ) -> None:
        """Note that a call is sent once more."""
        self._metrics.count('repeats')
        if not self._may_log_trouble():
            return
        if isinstance(attempt, BufferedResponse):
            cause = f'status {attempt.status}'
        else:
            cause = attempt.cause
        _log.warning(
            'sent again',
            **_identity(call),
            upstream=upstream.name,
            upstream_beat=upstream.sequence,
            cause=cause,
        )

    def rejected(self, request: str, reason: str, version: int) -> None:
        """Note a request that no route or credential allows."""
        self._metrics.count('rejected', reason=reason)
        if self._may_log_trouble():
            _log.warning(
                'rejected',
                request=request,
                reason=reason,
                version=version,
            )

    def left(self, call: Call, events: int) -> None:
        """Note that a caller has gone before its answer was complete."""
        self._metrics.count('callers_left')
        if self._may_log_trouble():
            _log.info('caller left', **_identity(call), events=events)

    def _refused(self, call: Call, refusal: Refusal, events: int) -> None:
        if not self._may_log_trouble():
            return
        _log.warning(
            'stream cut' if events else 'refused',
            **_identity(call),
            outcome=refusal.outcome.value,
            reason=refusal.reason.value,
            cause=refusal.detail,
            return_after_ms=refusal.retry_after_ms,
            crest=_crest(call),
            events=events,
            took_ms=int(self._clock.now() - call.arrived_at),
        )

    def _is_sampled(self, request: str) -> bool:
        if self._served.note() <= FULL_LOG_PER_SECOND:
            return True
        return xxhash.xxh32_intdigest(request.encode()) % SAMPLED_ONE_IN == 0

    def _may_log_trouble(self) -> bool:
        if self._trouble.note() <= MAX_TROUBLE_PER_SECOND:
            return True
        self._metrics.count('log_lines_left_out')
        return False


def _crest(call: Call) -> str | None:
    """Return how engines stood when a stream was asked for."""
    crest = call.crest
    if crest is None:
        return None
    pass_text = 'unknown' if crest.step_ms is None else f'{crest.step_ms:.0f}'
    return f'least load {crest.least_load:.2f}, pass ms {pass_text}'


def _identity(call: Call) -> dict[str, object]:
    return {
        'request': call.facts.attempt_id,
        'route': call.route.name,
        'version': call.version,
        'service': call.service,
        'chosen': [
            f'{one.upstream} beat {one.sequence}: own {one.own}, '
            f'others {one.others:g}{" avoided" if one.avoided else ""}'
            for one in call.choices
        ],
        'sent': call.sent,
    }
