"""Define the settings of one direct entry."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType

import msgspec

from ..adapters.httpclient import Address
from ..policy.storereads import choose_wait_ms
from ..types import DomainName, Millis, RegionName

#: Time in which an evacuation must be in force where no setting states one,
#: in ms.
DEFAULT_EVACUATION_MS = 5000.0

#: Time for which a rank group that has lost a rank stalls before it refuses its
#: streams, where no setting states one, in ms.
DEFAULT_STALL_MS = 1500.0


class RetryBudgetLimits(msgspec.Struct, frozen=True):
    """Bound the retries to a service, over all entries together.

    In any window of ``window_ms``, they are at most ``ratio`` of the service's
    calls, plus ``slack``.
    """

    ratio: float
    slack: float
    window_ms: Millis


class ColdLimits(msgspec.Struct, frozen=True):
    """Bound the calls to a cold upstream, over all entries together.

    In any second, they are at most ``overage`` times the rate that its service
    states, plus ``slack``.
    """

    overage: float = 1
    slack: float = 0


class HedgingLimits(msgspec.Struct, frozen=True):
    """Bound the second sends of calls whose answers are slow.

    At most ``share`` of the calls are sent twice, 0 for none. A call is sent
    again once it has waited longer than the ``quantile`` of its route's times.
    """

    share: float = 0
    quantile: float = 0.95


class DirectSettings(msgspec.Struct, frozen=True):
    """Hold an entry's addresses, its peers' hosts and its limits.

    ``peer_port`` is the port for messages between entries, the same on every
    host; ``metrics_port`` is the one that serves metrics. ``seeds`` are hosts
    that may run an entry. ``shutdown_ms`` is the time from the stop signal
    until the process is killed. ``contact_ms`` is the time after a disturbance
    of its path to the store within which the entry must be up to date again.
    ``memory_bytes`` is the memory that the process may take and ``link_mbps``
    the speed of the host's own link. ``regions`` maps each failure domain to
    its region; one that is missing has no known region. An evacuation of a
    failure domain must be in force within ``evacuation_ms``. ``stall_ms`` is
    the time after which a rank group that has lost a rank refuses its streams.
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
    contact_ms: Millis
    memory_bytes: int
    retry_limits: RetryBudgetLimits
    link_mbps: float = 1000
    regions: Mapping[DomainName, RegionName] = MappingProxyType({})
    evacuation_ms: Millis = Millis(DEFAULT_EVACUATION_MS)
    cold_limits: ColdLimits = ColdLimits()
    hedging: HedgingLimits = HedgingLimits()
    stall_ms: Millis = Millis(DEFAULT_STALL_MS)

    @property
    def read_wait_ms(self) -> int:
        """Return for how long the store is asked to hold a read, in ms."""
        return choose_wait_ms(self.contact_ms)
