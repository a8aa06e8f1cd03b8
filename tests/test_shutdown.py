"""Test which calls an entry accepts and finishes during its shutdown."""

from __future__ import annotations

from collections.abc import MutableMapping
from typing import Any

import pytest
from structlog.testing import capture_logs

from amaranthrail.adapters.httpserver import HttpRequest
from amaranthrail.clock import Clock
from amaranthrail.direct.call import Call, StreamTiming
from amaranthrail.direct.calllog import MAX_PROBLEMS_PER_SECOND, CallLog
from amaranthrail.direct.deployment import CallKind, Route, ServiceShare
from amaranthrail.direct.members import Members
from amaranthrail.direct.ports import RequestMetadata
from amaranthrail.direct.shutdown import GracefulShutdown
from amaranthrail.direct.sync import StoreStatus
from amaranthrail.metrics import Metrics
from amaranthrail.outcomes import Reason, unknown_outcome
from amaranthrail.policy.shutdown import (
    MIN_END_MS,
    StreamLength,
    expected_stream_ms,
)
from amaranthrail.signals import StopTimes
from amaranthrail.types import Millis, ServiceName

from .platformbuild import FakeTime

GRACE_MS = Millis(8000)
#: The users accept that the kill cuts off streams that were sent up to this
#: time after the stop signal, in ms.
LATEST_CUT_STREAM_MS = 3000
TIMEOUT_MS = Millis(8000)


class StoppedEntry:
    """Send calls to the shutdown of an entry on a clock that a test moves."""

    def __init__(
        self, signal_delay_ms: float = 0, expected_ms: float | None = None
    ) -> None:
        """Send the stop signal now; it is handled after ``signal_delay_ms``.

        ``expected_ms`` is the estimate of the duration of all streams.
        """
        self._time = FakeTime()
        clock = Clock(self._time)
        self._sent_at = clock.now()
        self._clock = clock
        self.metrics = Metrics()
        self.shutdown = GracefulShutdown(
            StoreStatus(clock),
            Members('127.0.0.1', clock),
            self.metrics,
            lambda _call: expected_ms,
        )
        self._time.advance_ms(signal_delay_ms)
        times = StopTimes(self._sent_at, clock.now())
        deadline = self.shutdown.begin(times, GRACE_MS, 0)
        self.cut_after_ms = deadline - self._sent_at

    @property
    def since_signal_ms(self) -> float:
        return self._clock.now() - self._sent_at

    def accepts(
        self, sent_ms: float, kind: CallKind = CallKind.STREAMING
    ) -> bool:
        """Tell whether a call is accepted that is sent after the signal.

        It arrives at once, or when the signal is handled.
        """
        self._time.advance_ms(max(0, sent_ms - self.since_signal_ms))
        return self.shutdown.refuse(self._call(kind)) is None

    def may_retry(self, since_signal_ms: float) -> bool:
        """Tell whether a stream that has not run may be sent again."""
        self._time.advance_ms(since_signal_ms - self.since_signal_ms)
        call = self._call(CallKind.STREAMING)
        return self.shutdown.refuse_retry(call) is None

    def log_refusals(self, count: int) -> list[MutableMapping[str, Any]]:
        """Refuse calls as the shutdown does; return their log lines."""
        log = CallLog(self._clock, self.metrics, self.shutdown.log)
        refusal = unknown_outcome(Reason.DRAINING, 'as the shutdown does')
        with capture_logs() as lines:
            for _ in range(count):
                call = self._call(CallKind.STREAMING)
                log.record_end(call, refusal, 0, StreamTiming(call.arrived_at))
        return lines

    def _call(self, kind: CallKind) -> Call:
        now = self._clock.now()
        service = ServiceName('engine')
        return Call(
            request=HttpRequest('POST', '/stream/1', (), b''),
            metadata=RequestMetadata('a1', None, None, None),
            route=Route(
                'stream',
                'h.example',
                '/stream/',
                kind,
                (ServiceShare(service, 1),),
                timeout_ms=TIMEOUT_MS,
                target_ms=Millis(400),
            ),
            service=service,
            organisation=None,
            priority=0,
            arrived_at=now,
            deadline=Millis(now + TIMEOUT_MS),
            version=1,
        )


@pytest.mark.parametrize('signal_delay_ms', [0, 85, 300, 1000, 2500])
def test_no_late_stream_is_accepted_where_the_signal_is_handled_late(
    signal_delay_ms: int,
) -> None:
    """Guards against streams that are cut off and were sent too late for it.

    The time was counted from the handling of the signal.
    """
    entry = StoppedEntry(signal_delay_ms)
    accepted = [
        sent_ms for sent_ms in range(0, 4000, 50) if entry.accepts(sent_ms)
    ]
    assert accepted
    assert max(accepted) <= LATEST_CUT_STREAM_MS


@pytest.mark.parametrize(
    ('expected_ms', 'sent_ms', 'accepted'),
    [
        (None, 2800, True),
        (4000, 2800, True),
        (5000, 2800, False),
        (5000, 2400, True),
        (9000, 0, False),
        (100, 3200, False),
    ],
)
def test_a_stream_that_is_likely_to_be_cut_off_is_refused(
    expected_ms: float | None, sent_ms: float, *, accepted: bool
) -> None:
    """Guards against streams that end in the middle and could have moved."""
    entry = StoppedEntry(expected_ms=expected_ms)
    assert entry.accepts(sent_ms) is accepted


@pytest.mark.parametrize(
    ('expected_ms', 'since_signal_ms', 'retried'),
    [(None, 7000, True), (1000, 6000, True), (1000, 7000, False)],
)
def test_a_late_retry_that_cannot_end_is_refused(
    expected_ms: float | None, since_signal_ms: float, *, retried: bool
) -> None:
    """Guards against a retry that is cut off though it had not run."""
    entry = StoppedEntry(expected_ms=expected_ms)
    assert entry.may_retry(since_signal_ms) is retried


@pytest.mark.parametrize(
    ('length', 'step_ms', 'expected_ms'),
    [
        (StreamLength(max_output=0, expected=0, per_step=7), 60, None),
        (StreamLength(max_output=70, expected=0, per_step=7), 60, 600),
        (StreamLength(max_output=0, expected=70, per_step=7), 60, 600),
        (StreamLength(max_output=700, expected=70, per_step=7), 60, 600),
        (StreamLength(max_output=70, expected=700, per_step=7), 60, 600),
    ],
)
def test_the_expected_time_of_a_stream_follows_its_length(
    length: StreamLength, step_ms: float, expected_ms: float | None
) -> None:
    assert expected_stream_ms(length, step_ms) == expected_ms


@pytest.mark.parametrize('uncertainty_ms', [0, 100, 500, 1000, 1829, 2500])
def test_no_call_is_cut_off_before_the_share_that_the_users_bound(
    uncertainty_ms: float,
) -> None:
    """Guards against streams that are cut off too early after the signal.

    The process was held up before the signal was sent, and counted the time
    from the earliest moment at which it may have been sent.
    """
    entry = StoppedEntry(uncertainty_ms)
    sent_latest_ms = uncertainty_ms
    assert entry.cut_after_ms - sent_latest_ms >= GRACE_MS * 5 / 6
    # Where both can hold, one whose signal was sent earliest is not killed
    # before the cut.
    if sent_latest_ms + GRACE_MS * 5 / 6 <= GRACE_MS - MIN_END_MS:
        assert entry.cut_after_ms <= GRACE_MS - MIN_END_MS


def test_each_call_that_a_shutdown_cuts_off_has_a_log_line() -> None:
    """Guards against calls that are missing in the log of a shutdown.

    All calls are cut off at one moment, and the lines on refusals are bounded.
    """
    entry = StoppedEntry()
    entry.shutdown.cut_calls()
    count = MAX_PROBLEMS_PER_SECOND + 100
    lines = entry.log_refusals(count)
    assert len(lines) == count
    assert all('since_signal_ms' in line for line in lines)


def test_a_call_that_is_not_sent_again_is_not_counted_as_cut_off() -> None:
    """Guards against a summary that names calls cut off where none were."""
    entry = StoppedEntry()
    entry.log_refusals(1)
    with capture_logs() as lines:
        entry.shutdown.end(0)
    (summary,) = lines
    assert (summary['refused'], summary['cut']) == (1, 0)
