"""Write what a measurement found: JSON for programs, plots for people."""

from __future__ import annotations

import json
import os
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from matplotlib.axes import Axes

_CLOCK_TICKS = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')


def show(name: str, found: dict[str, Any], file: Path | None) -> None:
    """Print a result as JSON and write it to a file, if one is given."""
    text = json.dumps({'bench': name, **found}, indent=1)
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()
    if file is not None:
        file.parent.mkdir(parents=True, exist_ok=True)
        file.write_text(f'{text}\n')


def rounded(number: float, digits: int = 3) -> float:
    """Return a number with a few significant digits."""
    return float(f'{number:.{digits}g}')


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process, in megabytes."""
    pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * _PAGE_BYTES / 1e6


def plot_bars(
    file: Path,
    title: str,
    unit: str,
    bars: dict[str, dict[str, float]],
) -> None:
    """Draw groups of bars: for each label a number a series."""
    labels = list(bars)
    series = list(next(iter(bars.values())))
    width = 0.8 / len(series)
    with _plot(file, title) as axes:
        for index, name in enumerate(series):
            places = [place + index * width for place in range(len(labels))]
            heights = [bars[label][name] for label in labels]
            axes.bar(places, heights, width, label=name)
        middles = [place + 0.4 - width / 2 for place in range(len(labels))]
        axes.set_xticks(middles)
        axes.set_xticklabels(labels)
        axes.set_ylabel(unit)


def plot_lines(
    file: Path,
    title: str,
    units: tuple[str, str],
    lines: dict[str, list[tuple[float, float]]],
) -> None:
    """Draw one line a series."""
    with _plot(file, title) as axes:
        for name, points in lines.items():
            axes.plot(
                [point[0] for point in points],
                [point[1] for point in points],
                label=name,
            )
        axes.set_xlabel(units[0])
        axes.set_ylabel(units[1])


@contextmanager
def _plot(file: Path, title: str) -> Iterator[Axes]:
    """Give the axes of a plot that is written at the end."""
    import matplotlib as mpl

    mpl.use('Agg')
    from matplotlib import pyplot as plt

    figure, axes = plt.subplots(figsize=(9, 4.5))
    yield axes
    axes.set_title(title)
    axes.legend()
    figure.tight_layout()
    figure.savefig(file, dpi=100)
