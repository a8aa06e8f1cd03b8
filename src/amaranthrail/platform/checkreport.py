"""Report what is wrong with a configuration, and what it changes."""

from __future__ import annotations

from collections import Counter

import msgspec

from .configcheck import check_configuration
from .configdiff import compare_configurations, read_version
from .findings import Finding, FindingKind, error


class CheckReport(msgspec.Struct, frozen=True):
    """Hold the lines to print and the number of errors."""

    lines: list[str]
    errors: int


def make_report(text: bytes, in_force: bytes | None) -> CheckReport:
    """Check a configuration; compare it with the one in force, if given."""
    findings = check_configuration(text)
    differences: list[str] = []
    if in_force is not None:
        findings.extend(_check_in_force(in_force))
        differences = compare_configurations(text, in_force)
        findings.extend(_check_versions(text, in_force, differences))
    counts = Counter(finding.kind for finding in findings)
    summary = ', '.join(f'{counts[kind]} {kind.value}' for kind in FindingKind)
    if in_force is not None:
        summary = f'{summary}, {len(differences)} difference'
    return CheckReport(
        [
            *(finding.formatted() for finding in findings),
            *(f'difference: {difference}' for difference in differences),
            f'found: {summary}',
        ],
        counts[FindingKind.ERROR],
    )


def _check_in_force(in_force: bytes) -> list[Finding]:
    """Return an error where the configuration in force cannot be read."""
    for finding in check_configuration(in_force):
        if finding.path == '$':
            return [error('--in-force', finding.text)]
    return []


def _check_versions(
    text: bytes, in_force: bytes, differences: list[str]
) -> list[Finding]:
    version, current = read_version(text), read_version(in_force)
    if version is None or current is None or version > current:
        return []
    if not differences:
        return []
    cause = f'{version} is not above {current}, so entries will ignore it'
    return [error('version', cause)]
