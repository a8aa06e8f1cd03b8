"""Keep the recent times until answers begin, by route and size class."""

from __future__ import annotations

from collections import OrderedDict

import msgspec
from hdrh.histogram import HdrHistogram

from ..clock import Clock
from ..policy.hedging import required_samples

#: Most kinds of calls whose times are kept, those recorded last. Each takes 5
#: KB, so all together take 2.5 MB.
MAX_KINDS = 512
#: Time after which the times of a kind are gathered anew, in ms; the estimate
#: from those before is used for as long again.
WINDOW_MS = 30_000.0
#: Most times of a window: the histograms count up to 65,535.
MAX_WINDOW_SAMPLES = 30_000
#: Least time between two estimates of a quantile, in ms; one takes 0.05 ms.
ESTIMATE_INTERVAL_MS = 250.0
#: Unit of the histograms: a tenth of a millisecond.
_UNITS_PER_MS = 10
#: Longest time that is told from longer ones, in ms.
_MAX_MS = 60_000
_SIGNIFICANT_DIGITS = 2
_COUNT_BYTES = 2
_PERCENT = 100


class CallKind(msgspec.Struct, frozen=True):
    """Identify calls whose answers take about as long to begin."""

    route: str
    size_class: int


class Estimate(msgspec.Struct, frozen=True):
    """Hold a quantile in ms and the number of times it was estimated from."""

    quantile_ms: float
    samples: int
    estimated_at: float


class HedgeDelay(msgspec.Struct, frozen=True):
    """State after what time a call is sent again, and why.

    ``delay_ms`` is the quantile of ``samples`` times of calls of the same route
    and size class, estimated ``age_ms`` ago.
    """

    delay_ms: float
    size_class: int
    samples: int
    age_ms: float


class _Window:
    """Gather the times of one kind."""

    def __init__(self, now: float) -> None:
        self._times = HdrHistogram(
            1,
            _MAX_MS * _UNITS_PER_MS,
            _SIGNIFICANT_DIGITS,
            word_size=_COUNT_BYTES,
        )
        self._began_at = now
        self._estimate: Estimate | None = None

    def record(self, time_ms: float, now: float) -> None:
        count = self._times.get_total_count()
        is_over = now - self._began_at > WINDOW_MS
        if is_over or count >= MAX_WINDOW_SAMPLES:
            self._times.reset()
            self._began_at = now
        units = int(time_ms * _UNITS_PER_MS)
        self._times.record_value(max(1, min(units, _MAX_MS * _UNITS_PER_MS)))

    def estimate(self, quantile: float, now: float) -> Estimate | None:
        required = required_samples(quantile)
        known = self._estimate
        if known and now - known.estimated_at < ESTIMATE_INTERVAL_MS:
            return known
        count = self._times.get_total_count()
        is_current = now - self._began_at <= 2 * WINDOW_MS
        if required is not None and count >= required and is_current:
            units = self._times.get_value_at_percentile(quantile * _PERCENT)
            self._estimate = Estimate(units / _UNITS_PER_MS, count, now)
        elif known and now - known.estimated_at > WINDOW_MS:
            self._estimate = None
        return self._estimate


class AnswerTimes:
    """Estimate a quantile of the times of each kind of call."""

    def __init__(self, clock: Clock, quantile: float) -> None:
        """Start without times; ``quantile`` is from 0 to 1."""
        self._clock = clock
        self._quantile = quantile
        self._windows: OrderedDict[CallKind, _Window] = OrderedDict()

    def __len__(self) -> int:
        """Count the kinds whose times are kept."""
        return len(self._windows)

    @property
    def quantile(self) -> float:
        """Return the quantile that is estimated."""
        return self._quantile

    def record(self, kind: CallKind, time_ms: float) -> None:
        """Record the time until an answer began."""
        now = self._clock.now()
        window = self._windows.pop(kind, None) or _Window(now)
        self._windows[kind] = window
        if len(self._windows) > MAX_KINDS:
            self._windows.popitem(last=False)
        window.record(time_ms, now)

    def estimate(self, kind: CallKind) -> Estimate | None:
        """Return the latest estimate, None where too few times are known."""
        window = self._windows.get(kind)
        if window is None:
            return None
        return window.estimate(self._quantile, self._clock.now())
