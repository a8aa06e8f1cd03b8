"""Hold the settings of one direct entry."""

from __future__ import annotations

import msgspec

from ..adapters.httpclient import Address
from ..types import DomainName, Millis


class RetryBudgetLimits(msgspec.Struct, frozen=True):
    """Bound repeats to a service, over all entries together."""

    ratio: float
    slack: float
    window_ms: Millis


class DirectSettings(msgspec.Struct, frozen=True):
    """Hold where an entry listens, whom it knows and what bounds it.

    ``peer_port`` is the port on which all entries talk to each other,
    ``metrics_port`` the one that serves metrics. ``seeds`` are hosts that may
    run an entry. ``shutdown_ms`` is the time from the signal to stop until the
    process is killed.
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
