"""Reserve room for the callers that are told to return after a refusal.

Load pattern: demand is above the capacity of a group for some seconds, and each
refused caller returns once, to any entry. Return times that are chosen without
regard to the capacity make a second peak, in which callers that are late in any
case take the room of first requests, whose callers return in their turn: the
overload lasts long after demand has fallen. Entries know of each other's
reservations 100 ms late, and of some not at all.

Each entry gives out return times at the pace of its share of the work that is
forecast to end, so that the sum over all entries fits without an agreement.
Where there is no room within the time that callers wait, the return time is the
latest one, at which the peak is most likely over. Every entry tells from the
time that a caller has left which of the two it was given.
"""

from __future__ import annotations

import random
from collections import defaultdict, deque
from collections.abc import Iterable, Sequence

import msgspec

#: Length of a slot of the forecast, in ms: a tenth of a stream's usual time.
SLOT_MS = 250.0
#: Time before a reserved return from which room is kept for it, in ms: a step,
#: after which the streams that begin now show. Streams that end later make room
#: of their own, and room that is kept longer is lost to first requests.
DUE_WINDOW_MS = 120.0
#: Most slots in a report: the time of return is at most a third of the time
#: left, and the longest time-out of a route with an engine is 8 to 12 s.
MAX_SLOTS = 16
#: Part of the work that ends in a slot which is reserved for returning callers.
#: A larger one makes more callers late while demand stays above capacity, a
#: smaller one leaves more of a short peak's callers without an answer.
RETURN_SHARE = 0.1
#: Reserved times of return as fractions of the caller's time left: not so early
#: that the caller is taken for one that asks first, and apart from the times
#: without a reservation. Above a third callers return sooner than told.
MIN_RESERVED_SHARE = 0.085
MAX_RESERVED_SHARE = 0.27
MIN_UNRESERVED_SHARE = 0.3
MAX_UNRESERVED_SHARE = 0.32
#: Part of the route's time-out that has passed up to which a caller that
#: returns has a reservation.
RESERVED_TIME_SHARE = 0.285
#: Most work that returning callers with a reservation begin at one entry beyond
#: the pace, in mean streams: they come to entries at random.
RETURN_BURST = 3.0
#: Time for which a refusal counts as a sign of overload, in ms: the latest time
#: at which its caller returns.
PRESSURE_MS = 2600.0
#: Least weight of the latest stream in the mean of their durations and sizes:
#: lengths vary as much as their mean, and with fewer the mean is a tenth off.
STREAM_WEIGHT = 0.03


class Forecast(msgspec.Struct, frozen=True):
    """Forecast the work that ends, in mean streams per ms over all entries.

    ``own_share`` is the part of it that this entry may give out.
    """

    ends_per_ms: float
    own_share: float

    @property
    def return_rate(self) -> float:
        """Return the work per ms that this entry may reserve."""
        return RETURN_SHARE * self.ends_per_ms * self.own_share


class Reservation(msgspec.Struct, frozen=True):
    """Tell a caller when to return; ``is_reserved`` says that room is kept.

    ``ends_per_ms`` is the forecast that it rests on, 0 without one.
    """

    return_after_ms: int
    is_reserved: bool
    ends_per_ms: float = 0


class ReportedReturns(msgspec.Struct, frozen=True):
    """Hold another entry's reserved work by slot, counted from its report."""

    received_at: float
    counts: Sequence[int]

    def due(self, start: float, end: float) -> float:
        """Return the work that is due between two times."""
        return sum(
            count * _overlap(self.received_at + number * SLOT_MS, start, end)
            for number, count in enumerate(self.counts[:MAX_SLOTS])
        )


def make_forecast(
    calls: float,
    stream_ms: float,
    entries: int,
    own_calls: float,
    stream_size: float = 1,
) -> Forecast:
    """Forecast the rate at which the streams of a group end.

    ``calls`` are in progress there and take ``stream_ms`` on average; they have
    ``stream_size`` times the mean size of those that callers ask for. The rate
    is that of the batch which keeps steps within the target gap too: fewer
    calls in a batch end as much sooner as its steps are shorter. The shares of
    all entries add up to 1.
    """
    in_use = max(1.0, calls)
    own_share = (own_calls / in_use + 1 / max(1, entries)) / 2
    ends_per_ms = stream_size * in_use / max(1.0, stream_ms)
    return Forecast(ends_per_ms, min(1.0, own_share))


def has_reservation(remaining_ms: float, timeout_ms: float) -> bool:
    """Tell by the time left whether a returning caller has a reservation."""
    return timeout_ms - remaining_ms <= RESERVED_TIME_SHARE * timeout_ms


class MovingMean:
    """Keep the mean of all samples at first, then of the latest ones."""

    def __init__(self) -> None:
        """Start without samples."""
        self._mean = 0.0
        self._count = 0

    @property
    def mean(self) -> float | None:
        """Return the mean, None before the first sample."""
        return self._mean if self._count else None

    def add(self, sample: float) -> float:
        """Add a sample; return the mean with it."""
        self._count += 1
        weight = max(STREAM_WEIGHT, 1 / self._count)
        self._mean += weight * (sample - self._mean)
        return self._mean


class ReturnPlan:
    """Hold an entry's reservations and its use of the reserved part."""

    def __init__(self, random_source: random.Random) -> None:
        """Start without reservations and without a forecast."""
        self._random = random_source
        self._own: deque[tuple[float, float]] = deque()
        self._next_at = 0.0
        self._refused_at: float | None = None
        self._begun_work = 0.0
        self._begun_at = 0.0
        self._actual_ms = MovingMean()
        self._expected_ms = MovingMean()
        self._begun_steps = MovingMean()
        self._stream_size = MovingMean()
        self._mean_work: defaultdict[str, MovingMean] = defaultdict(MovingMean)

    @property
    def stream_size(self) -> float:
        """Return the mean size of the streams that were admitted lately.

        It is below that of all requests while short ones are preferred.
        """
        return self._stream_size.mean or 1

    def record_stream(
        self, duration_ms: float, expected_ms: float | None = None
    ) -> None:
        """Add a stream that has ended, and what its duration should have been.

        ``expected_ms`` is None where the caller did not state its length.
        """
        self._actual_ms.add(duration_ms)
        self._expected_ms.add(expected_ms or duration_ms)

    def mean_stream_ms(self, step_ms: float | None) -> float | None:
        """Return the mean duration of a stream, None before the first ended.

        It rests on the stated lengths of the streams that begin: those that
        have ended since a start or the beginning of a peak are the short ones.
        They only tell how far the stated lengths are off.
        """
        actual_ms = self._actual_ms.mean
        expected_ms = self._expected_ms.mean
        begun_steps = self._begun_steps.mean
        if not (actual_ms and expected_ms and begun_steps and step_ms):
            return actual_ms
        return begun_steps * step_ms * actual_ms / expected_ms

    def relative_size(self, route: str, work: float) -> float:
        """Return a request's size against the mean of its route.

        The request is added to the mean; one of unknown size has the mean's.
        """
        if work <= 0:
            return 1
        return work / self._mean_work[route].add(work)

    def is_pressed(self, now: float) -> bool:
        """Tell whether a caller was refused that may not be back yet."""
        refused_at = self._refused_at
        return refused_at is not None and now - refused_at < PRESSURE_MS

    def refuse(
        self,
        now: float,
        remaining_ms: float,
        size: float,
        forecast: Forecast | None,
        others: Iterable[ReportedReturns] = (),
    ) -> Reservation:
        """Return when a refused caller is to return.

        ``size`` is its work in mean streams, ``others`` are the reservations of
        other entries.
        """
        self._refused_at = now
        if forecast is not None:
            due_at = self._find_time(
                now, remaining_ms, size, forecast, tuple(others)
            )
            if due_at is not None:
                self._own.append((due_at, size))
                return Reservation(
                    int(due_at - now),
                    is_reserved=True,
                    ends_per_ms=forecast.ends_per_ms,
                )
        share = self._random.uniform(MIN_UNRESERVED_SHARE, MAX_UNRESERVED_SHARE)
        ends_per_ms = 0.0 if forecast is None else forecast.ends_per_ms
        return Reservation(
            int(share * remaining_ms),
            is_reserved=False,
            ends_per_ms=ends_per_ms,
        )

    def due(self, start: float, end: float) -> float:
        """Return this entry's reserved work that is due between two times."""
        return sum(size for due_at, size in self._own if start <= due_at < end)

    def counts(self, now: float) -> list[int]:
        """Return the reserved work of the next slots, for other entries."""
        self._own = deque(
            (due_at, size) for due_at, size in self._own if due_at >= now
        )
        counts: list[int] = []
        total = 0.0
        for number in range(MAX_SLOTS):
            start = now + number * SLOT_MS
            total += self.due(start, start + SLOT_MS)
            # Rounds the sum and not each slot: most have a fraction of a unit.
            counts.append(round(total) - sum(counts))
        while counts and not counts[-1]:
            counts.pop()
        return counts

    def has_return_room(self, now: float, forecast: Forecast) -> bool:
        """Tell whether a returning caller may begin in the reserved part."""
        rate = forecast.return_rate
        self._begun_work = max(
            0.0, self._begun_work - rate * (now - self._begun_at)
        )
        self._begun_at = now
        return self._begun_work < RETURN_BURST

    def record_begin(
        self, size: float, steps: float, *, is_returning: bool
    ) -> None:
        """Add a stream that begins to the mean size and to its part."""
        self._stream_size.add(size)
        if steps > 0:
            self._begun_steps.add(steps)
        if is_returning:
            self._begun_work += size

    def _find_time(
        self,
        now: float,
        remaining_ms: float,
        size: float,
        forecast: Forecast,
        others: tuple[ReportedReturns, ...],
    ) -> float | None:
        """Return the earliest time that has room, None if it is too late."""
        latest_at = now + MAX_RESERVED_SHARE * remaining_ms
        pause_ms = size / forecast.return_rate
        due_at = now + MIN_RESERVED_SHARE * remaining_ms
        if self._next_at > due_at:
            due_at = self._next_at
        else:
            # Entries that begin at the same time do not choose the same one.
            due_at += self._random.random() * min(pause_ms, SLOT_MS)
        slot_work = RETURN_SHARE * forecast.ends_per_ms * SLOT_MS
        while due_at <= latest_at:
            start = due_at - SLOT_MS / 2
            end = due_at + SLOT_MS / 2
            reserved = self.due(start, end)
            reserved += sum(other.due(start, end) for other in others)
            if reserved < max(1.0, slot_work):
                self._next_at = due_at + pause_ms
                return due_at
            due_at += SLOT_MS
        return None


def _overlap(slot_start: float, start: float, end: float) -> float:
    """Return the fraction of a slot that lies between two times."""
    common_ms = min(slot_start + SLOT_MS, end) - max(slot_start, start)
    return max(0.0, common_ms) / SLOT_MS
