"""Measure how streams are served when demand outgrows a group of engines."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from pathlib import Path
from types import MappingProxyType

from amaranthrail.policy.streamadmission import should_admit_stream

from . import report
from .enginemodel import (
    Begin,
    Demand,
    End,
    EngineLaw,
    Group,
    Stream,
    begin_all,
    wave,
)

_MS = 1000.0
_SECONDS = 26.0
_PERIOD_S = 13.0
_SWING = 0.55
#: Spans of time that are looked at one by one, in s.
_WINDOW_S = 2
_MIN_IN_WINDOW = 20
_LATE_WORTH = 0.5
_SLOW_S = range(10, 19)
_SLOW_TIMES = 12.0


def _slow_rank(at_s: float) -> float:
    return _SLOW_TIMES if int(at_s) in _SLOW_S else 1


SCENES: Mapping[str, Demand] = MappingProxyType(
    {
        'wave within capacity': Demand(wave(130, _SWING, _PERIOD_S), _SECONDS),
        'wave beyond capacity': Demand(wave(150, _SWING, _PERIOD_S), _SECONDS),
        'twice at the crest': Demand(wave(170, _SWING, _PERIOD_S), _SECONDS),
        'a slow rank': Demand(
            wave(90, _SWING, _PERIOD_S),
            _SECONDS,
            _slow_rank,
        ),
    },
)
WAYS: Mapping[str, Begin] = MappingProxyType(
    {'all begin': begin_all, 'chosen': should_admit_stream},
)


def worth(streams: Sequence[Stream]) -> float:
    """Return the mean worth: 1 in time, a half late, 0 failed."""
    ends = Counter(stream.end for stream in streams)
    earned = ends[End.IN_TIME] + _LATE_WORTH * ends[End.LATE]
    return earned / max(1, len(streams))


def worst_windows(streams: Sequence[Stream]) -> float:
    """Return the mean worth of the two worst windows."""
    windows: dict[int, list[Stream]] = {}
    for stream in streams:
        number = int(stream.asked_at / _MS) // _WINDOW_S
        windows.setdefault(number, []).append(stream)
    full = [one for one in windows.values() if len(one) >= _MIN_IN_WINDOW]
    return sum(sorted(map(worth, full))[:2]) / 2


def returned(streams: Sequence[Stream]) -> list[Stream]:
    """Return the streams whose callers were refused once and came back."""
    return [stream for stream in streams if stream.refused]


def serve(demand: Demand, begin: Begin, seed: int) -> list[Stream]:
    """Return how the streams of a demand ended."""
    return Group(EngineLaw(), demand, begin, seed).run()


def main(seed: int, file: Path | None, _plot: Path | None) -> None:
    """Serve each scene in each way and tell what became of the streams."""
    found = {
        f'{scene}, {way}': _tell(serve(demand, begin, seed))
        for scene, demand in SCENES.items()
        for way, begin in WAYS.items()
    }
    report.show('wave', found, file)


def _tell(streams: Sequence[Stream]) -> dict[str, float]:
    back = returned(streams)
    served = sum(stream.end is not End.FAILED for stream in back)
    return {
        'streams': len(streams),
        'worth': report.rounded(worth(streams)),
        'worst_windows': report.rounded(worst_windows(streams)),
        'refused_once': len(back),
        'of_them_served': served,
    }
