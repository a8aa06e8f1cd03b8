"""Model a group of engines in lock-step, their entries and their callers.

No sockets: time goes from pass to pass, and the product's own decision
functions place, begin and refuse. The law of a pass is that of the users' page:
steps, work for each stream that writes, and prompts read in chunks, as long as
the busiest rank takes.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from amaranthrail.policy.rankgroups import GroupLoad, make_group_load
from amaranthrail.policy.retryafter import choose_peak_retry_after_ms
from amaranthrail.policy.selection import UpstreamView, select_upstream
from amaranthrail.policy.streamadmission import (
    StreamRequest,
    should_admit_stream,
)

_MS = 1000.0
#: Pause in which a caller gives a stream up, in ms.
PATIENCE_MS = 2000.0
#: Longest prompt and answer against the mean ones.
MAX_TIMES_MEAN = 2.5
#: Age of what entries know of each other's calls, in ms.
REPORT_MS = 100.0


#: A figure that changes with time, in s.
Profile = Callable[[float], float]


def steady(_at_s: float) -> float:
    """Return the usual time of a pass at all times."""
    return 1


@dataclass(frozen=True, slots=True)
class EngineLaw:
    """Give the figures of a group; times in ms, reading in tokens a ms.

    ``skew`` is the busiest rank's work against the mean of all ranks.
    """

    ranks: int = 72
    slots: int = 5
    stride: int = 6
    step_ms: float = 5.85
    per_stream_ms: float = 0.85
    read_per_ms: float = 61.2
    chunk: int = 512
    skew: float = 1.35


@dataclass(frozen=True, slots=True)
class Demand:
    """Give what callers ask for.

    ``rate`` is how many streams a second begin at a time in s; ``slow`` how
    much longer than usual a pass takes then.
    """

    rate: Profile
    seconds: float
    slow: Profile = steady
    events: float = 23.0
    prompt: float = 835.0
    spread: float = 0.8
    deadline_ms: float = 8050.0
    first_ms: float = 400.0
    pause_ms: float = 120.0


class End(Enum):
    """Say what became of a call."""

    IN_TIME = 'in time'
    LATE = 'late'
    FAILED = 'failed'


@dataclass(slots=True)
class Stream:
    """Hold one caller's stream and how far it has come; times in ms."""

    asked_at: float
    events_left: int
    hint: float
    to_read: float
    refused: int = 0
    began_at: float | None = None
    last_at: float = 0
    longest_ms: float = 0
    end: End | None = None


@dataclass(slots=True)
class _Rank:
    running: list[Stream] = field(default_factory=list)
    waiting: deque[Stream] = field(default_factory=deque)

    @property
    def work(self) -> int:
        return len(self.running) + len(self.waiting)


Begin = Callable[[StreamRequest, GroupLoad], bool]


def begin_all(_wish: StreamRequest, _crest: GroupLoad) -> bool:
    """Let every stream begin at once: what is compared with."""
    return True


class Group:
    """Serve a demand."""

    def __init__(
        self,
        law: EngineLaw,
        demand: Demand,
        begin: Begin = should_admit_stream,
        seed: int = 1,
    ) -> None:
        """Take the engines, the callers and who begins."""
        self._law = law
        self._demand = demand
        self._begin = begin
        self._random = random.Random(seed)
        self._ranks = [_Rank() for _ in range(law.ranks)]
        self._order = itertools.count()
        self._arrivals: list[tuple[float, int, Stream]] = []
        self._seen = [0 for _ in self._ranks]
        self._seen_at = -REPORT_MS
        self._pass_ms: float | None = None
        self.streams: list[Stream] = []

    def run(self) -> list[Stream]:
        """Return all streams once each of them has ended."""
        self._draw_arrivals()
        now = 0.0
        while self._arrivals or any(rank.work for rank in self._ranks):
            if not any(rank.work for rank in self._ranks):
                now = max(now, self._arrivals[0][0])
            self._take_arrivals(now)
            took_ms = self._pass_time(now)
            now += took_ms
            self._finish_pass(now, took_ms)
        return self.streams

    def _draw_arrivals(self) -> None:
        at_s = 0.0
        while at_s < self._demand.seconds:
            at_s += self._random.expovariate(self._demand.rate(at_s))
            events = max(1, round(self._draw(self._demand.events)))
            hint = events * self._random.lognormvariate(0, 0.5)
            read = self._draw(self._demand.prompt)
            stream = Stream(at_s * _MS, events, hint, read)
            self.streams.append(stream)
            self._push(at_s * _MS, stream)

    def _draw(self, mean: float) -> float:
        spread = self._demand.spread
        times = self._random.lognormvariate(-(spread**2) / 2, spread)
        return mean * min(times, MAX_TIMES_MEAN)

    def _push(self, at_ms: float, stream: Stream) -> None:
        heapq.heappush(self._arrivals, (at_ms, next(self._order), stream))

    def _take_arrivals(self, now: float) -> None:
        while self._arrivals and self._arrivals[0][0] <= now:
            at_ms, _, stream = heapq.heappop(self._arrivals)
            self._ask(at_ms, stream)

    def _ask(self, at_ms: float, stream: Stream) -> None:
        if at_ms - self._seen_at >= REPORT_MS:
            self._seen = [one.work for one in self._ranks]
            self._seen_at = at_ms
        left_ms = stream.asked_at + self._demand.deadline_ms - at_ms
        views = [
            UpstreamView(str(number), self._law.slots, work)
            for number, work in enumerate(self._seen)
        ]
        chosen = select_upstream(views, self._random)
        crest = self._crest(views)
        wish = StreamRequest(
            left_ms,
            self._demand.deadline_ms,
            self._demand.pause_ms,
            steps=stream.hint,
        )
        if chosen is not None and self._begin(wish, crest):
            number = int(chosen.name)
            self._seen[number] += 1
            self._ranks[number].waiting.append(stream)
            stream.last_at = at_ms
        elif stream.refused:
            stream.end = End.FAILED
        else:
            stream.refused += 1
            self._push(
                at_ms + choose_peak_retry_after_ms(left_ms, self._random),
                stream,
            )

    def _crest(self, views: list[UpstreamView]) -> GroupLoad:
        return make_group_load(views, self._pass_ms, 0)

    def _pass_time(self, now: float) -> float:
        """Return how long the next pass takes; streams begin with it."""
        law = self._law
        for rank in self._ranks:
            while rank.waiting and len(rank.running) < law.slots:
                rank.running.append(rank.waiting.popleft())
        works = list(map(self._rank_ms, self._ranks))
        busiest = max(*works, law.skew * sum(works) / law.ranks)
        own_ms = law.stride * law.step_ms + busiest
        return own_ms * self._demand.slow(now / _MS)

    def _rank_ms(self, rank: _Rank) -> float:
        law = self._law
        reads = sum(stream.to_read for stream in rank.running)
        read = min(reads, law.stride * law.chunk)
        writers = sum(not stream.to_read for stream in rank.running)
        writing_ms = law.stride * law.per_stream_ms * writers
        return writing_ms + read / law.read_per_ms

    def _finish_pass(self, now: float, took_ms: float) -> None:
        self._pass_ms = took_ms
        for rank in self._ranks:
            budget = float(self._law.stride * self._law.chunk)
            for stream in list(rank.running):
                read = min(stream.to_read, budget)
                budget -= read
                stream.to_read -= read
                if not stream.to_read and budget > 0:
                    self._write(rank, stream, now)
            held = (*rank.running, *rank.waiting)
            for waiting in held:
                self._give_up(rank, waiting, now)

    def _write(self, rank: _Rank, stream: Stream, now: float) -> None:
        if stream.began_at is None:
            stream.began_at = now
        else:
            pause_ms = now - stream.last_at
            stream.longest_ms = max(stream.longest_ms, pause_ms)
        stream.last_at = now
        stream.events_left -= 1
        if stream.events_left:
            return
        rank.running.remove(stream)
        first_ms = stream.began_at - stream.asked_at
        kept = stream.longest_ms <= self._demand.pause_ms
        in_time = kept and first_ms <= self._demand.first_ms
        stream.end = End.IN_TIME if in_time else End.LATE

    def _give_up(self, rank: _Rank, stream: Stream, now: float) -> None:
        if stream.end is not None:
            return
        silent = now - stream.last_at > PATIENCE_MS
        if silent or now > stream.asked_at + self._demand.deadline_ms:
            stream.end = End.FAILED
            for held in (rank.running, rank.waiting):
                if stream in held:
                    held.remove(stream)


def wave(mean: float, swing: float, period_s: float) -> Profile:
    """Return a demand that swings around a mean, lowest first."""

    def rate(at_s: float) -> float:
        return mean * (1 - swing * math.cos(2 * math.pi * at_s / period_s))

    return rate
