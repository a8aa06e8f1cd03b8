"""Tell from what callers saw and processes noted that a fault was felt."""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import dataclass

from standins.fleet import Fleet


@dataclass(frozen=True)
class Seen:
    """Hold what was told, how long it took and how often peers were lost."""

    told: Counter[str]
    longest_s: float
    peers_lost: int


def peers_lost(fleet: Fleet) -> int:
    """Return how often the last entry has lost a sidecar so far."""
    answer = fleet.admin_call('GET', '/v1/timeline')
    name = fleet.entries[-1].name
    return sum(
        event['name'] == 'peer-lost' and event['process'] == name
        for event in json.loads(answer.body)
    )
