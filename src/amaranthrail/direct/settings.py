"""Define the settings of one direct entry."""

from __future__ import annotations

import msgspec

from ..adapters.httpclient import Address
from ..types import DomainName, Millis


class RetryBudgetLimits(msgspec.Struct, frozen=True):
    """Bound the retries to a service, over all entries together.

    In any window of ``window_ms``, they are at most ``ratio`` of the service's
    calls, plus ``slack``.
    """

    ratio: float
    slack: float
    window_ms: Millis


class DirectSettings(msgspec.Struct, frozen=True):
    """Hold an entry's addresses, its peers' hosts and its limits.

    ``peer_port`` is the port for messages between entries, the same on every
    host; ``metrics_port`` is the one that serves metrics. ``seeds`` are hosts
    that may run an entry. ``shutdown_ms`` is the time from the stop signal
    until the process is killed.
    """

    name: str
    host: str
    domain: DomainName
    callers: Address
    probes: Address
    peer_port: int
    metrics_port: int
    store: Address
    seeds: tuple[str, ...]
    shutdown_ms: Millis
    retry_limits: RetryBudgetLimits
