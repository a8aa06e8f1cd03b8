"""Print the tests that are known to fail; CI passes over just these.

Findings of the users' bench that are still open are printed as well.
"""

from __future__ import annotations

import sys
from pathlib import Path

KNOWN_RED = Path(__file__).parent.parent / 'KNOWN-RED.txt'
_TEST_FIELD = 'test: '
_BENCH_FIELD = 'bench: '


def known_red() -> list[str]:
    """Return the ids of the tests listed in KNOWN-RED.txt."""
    return _listed(_TEST_FIELD)


def open_findings() -> list[str]:
    """Return the commands of the findings listed in KNOWN-RED.txt."""
    return _listed(_BENCH_FIELD)


def main() -> None:
    """Print the list."""
    listed = known_red()
    sys.stdout.write(f'known red: {len(listed)}\n')
    for test in listed:
        sys.stdout.write(f'  {test}\n')
    findings = open_findings()
    sys.stdout.write(f'open findings: {len(findings)}\n')
    for command in findings:
        sys.stdout.write(f'  {command}\n')


def _listed(field: str) -> list[str]:
    if not KNOWN_RED.exists():
        return []
    return [
        line.removeprefix(field).strip()
        for line in KNOWN_RED.read_text().splitlines()
        if line.startswith(field)
    ]


if __name__ == '__main__':
    main()
