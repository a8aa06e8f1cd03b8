"""Run measurements: ``python -m bench NAME``, or ``all`` of them."""

from __future__ import annotations

import argparse
from collections.abc import Callable, Mapping
from pathlib import Path
from types import MappingProxyType

from . import (
    affinity,
    crest,
    hedging,
    hol,
    path,
    recovery,
    skew,
    smallparts,
    subset,
    wave,
)

Bench = Callable[[int, Path | None, Path | None], None]
BENCHES: Mapping[str, Bench] = MappingProxyType(
    {
        'path': path.main,
        'recovery': recovery.main,
        'hol': hol.main,
        'crest': crest.main,
        'skew': skew.main,
        'affinity': affinity.main,
        'subset': subset.main,
        'wave': wave.main,
        'hedging': hedging.main,
        'smallparts': smallparts.main,
    },
)
DEFAULT_SEED = 20261204


def main() -> None:
    """Run the measurement that the command line names."""
    parser = argparse.ArgumentParser(prog='bench', description=__doc__)
    parser.add_argument('name', choices=[*BENCHES, 'all'])
    parser.add_argument('--seed', type=int, default=DEFAULT_SEED)
    parser.add_argument('--json', type=Path)
    parser.add_argument('--plot', type=Path)
    given = parser.parse_args()
    if given.name != 'all':
        BENCHES[given.name](given.seed, given.json, given.plot)
        return
    for name, bench in BENCHES.items():
        folder = Path('bench/out')
        folder.mkdir(parents=True, exist_ok=True)
        bench(given.seed, folder / f'{name}.json', folder / f'{name}.png')


if __name__ == '__main__':
    main()
