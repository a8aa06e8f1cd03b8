"""Tell from what callers saw and processes noted that a fault was felt."""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import dataclass
from typing import Any

from standins.fleet import Fleet


@dataclass(frozen=True)
class Seen:
    """Hold what was told, how long it took and how often peers were lost."""

    told: Counter[str]
    longest_s: float
    peers_lost: int
    appends_unanswered: int


def peers_lost(fleet: Fleet, since: int) -> int:
    """Return how often the last entry has lost a sidecar since a stamp."""
    return sum(
        event['name'] == 'peer-lost' and event['stamp'] > since
        for event in _events(fleet)
    )


def appends_unanswered(fleet: Fleet) -> int:
    """Return how many appends the last entry had no answer to."""
    status = fleet.status(fleet.entries[-1])
    assert status
    found: int = status['filings']['appends_unanswered']
    return found


def latest_stamp(fleet: Fleet) -> int:
    """Return the stamp of the last entry's latest event."""
    return max((event['stamp'] for event in _events(fleet)), default=0)


def _events(fleet: Fleet) -> list[dict[str, Any]]:
    """Return the events that the last entry still keeps of its own."""
    answer = fleet.admin_call('GET', '/v1/timeline')
    name = fleet.entries[-1].name
    return [one for one in json.loads(answer.body) if one['process'] == name]
