"""Compare a configuration with the version in force."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import msgspec

from ..decoding import decode

#: Lists whose members are told apart by their names, not by their order.
_NAMED_LISTS = frozenset(('routes', 'services', 'tenants'))
#: Fields whose values are secret.
_SECRET_FIELDS = frozenset(('api_keys',))
_MAX_VALUE_LENGTH = 100
_ABSENT = object()


def compare_configurations(text: bytes, in_force: bytes) -> list[str]:
    """Return one line per difference, none where either is no JSON object.

    Members of a list are compared with those of the same name.
    """
    earlier, later = (
        decode(msgspec.json.decode, part) for part in (in_force, text)
    )
    if not (isinstance(earlier, dict) and isinstance(later, dict)):
        return []
    differences: list[str] = []
    for name, before, after in _changed_fields(earlier, later):
        if name in _NAMED_LISTS:
            differences.extend(_compare_lists(name, before, after))
        else:
            differences.extend(_compare_values(name, before, after))
    return differences


def read_version(text: bytes) -> int | None:
    """Return the version that a configuration states, None without one."""
    document = decode(msgspec.json.decode, text)
    if not isinstance(document, dict):
        return None
    version = document.get('version')
    return version if isinstance(version, int) else None


def _changed_fields(
    earlier: dict[str, Any], later: dict[str, Any]
) -> Iterator[tuple[str, Any, Any]]:
    """Yield the name and both values of each field that differs."""
    for name in sorted(earlier.keys() | later.keys()):
        before, after = earlier.get(name, _ABSENT), later.get(name, _ABSENT)
        if before != after:
            yield name, before, after


def _compare_values(path: str, before: Any, after: Any) -> Iterator[str]:
    if path.rpartition('.')[2] in _SECRET_FIELDS:
        yield _compare_keys(path, before, after)
    elif isinstance(before, dict) and isinstance(after, dict):
        for name, earlier, later in _changed_fields(before, after):
            yield from _compare_values(f'{path}.{name}', earlier, later)
    else:
        yield f'{path}: {_describe(before)} -> {_describe(after)}'


def _compare_lists(name: str, earlier: object, later: object) -> Iterator[str]:
    before, after = _by_name(earlier), _by_name(later)
    for member in sorted(before.keys() | after.keys()):
        path = f'{name}[{member}]'
        if member not in before:
            yield f'{path}: added'
        elif member not in after:
            yield f'{path}: removed'
        else:
            yield from _compare_values(path, before[member], after[member])
    if before == after:
        yield f'{name}: other order, or members that have no name of their own'


def _by_name(listed: object) -> dict[str, dict[str, Any]]:
    members = listed if isinstance(listed, list) else []
    return {
        str(member.get('name')): member
        for member in members
        if isinstance(member, dict)
    }


def _compare_keys(path: str, earlier: object, later: object) -> str:
    before, after = (
        {str(key) for key in keys} if isinstance(keys, list) else set()
        for keys in (earlier, later)
    )
    added, removed = len(after - before), len(before - after)
    return f'{path}: {added} added, {removed} removed'


def _describe(part: object) -> str:
    if part is _ABSENT:
        return 'none'
    text = msgspec.json.encode(part).decode()
    if len(text) <= _MAX_VALUE_LENGTH:
        return text
    return f'{text[:_MAX_VALUE_LENGTH]}...'
