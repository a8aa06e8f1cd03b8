"""Print the tests that are known to fail; CI passes over just these."""

from __future__ import annotations

import sys
from pathlib import Path

KNOWN_RED = Path(__file__).parent.parent / 'KNOWN-RED.txt'
_TEST_FIELD = 'test: '


def known_red() -> list[str]:
    """Return the ids of the tests listed in KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return []
    return [
        line.removeprefix(_TEST_FIELD).strip()
        for line in KNOWN_RED.read_text().splitlines()
        if line.startswith(_TEST_FIELD)
    ]


def main() -> None:
    """Print the list."""
    listed = known_red()
    sys.stdout.write(f'known red: {len(listed)}\n')
    for test in listed:
        sys.stdout.write(f'  {test}\n')


if __name__ == '__main__':
    main()
