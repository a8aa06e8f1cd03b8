"""Assemble the control of expert maps from its parts."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ..clock import Clock
from ..direct.clusterstate import ClusterState
from ..direct.mapchanges import MapChangeNotices
from ..direct.members import Members
from ..direct.peers import ServePrepare
from ..direct.settings import DirectSettings
from ..metrics import Metrics
from .controller import ControllerContext, MapController
from .orderlog import OrderLog
from .ports import MakeRank
from .relay import PeerPortExchange, PrepareRelay, PrepareServer


class MapControlSources(msgspec.Struct, frozen=True):
    """Bundle what the control of expert maps uses of its entry.

    ``fetch_settings`` returns the settings in force, and ``notices`` has the
    map changes that entries announce to each other.
    """

    fetch_settings: Callable[[], DirectSettings]
    cluster: ClusterState
    members: Members
    notices: MapChangeNotices
    metrics: Metrics
    clock: Clock


def make_map_controller(
    sources: MapControlSources, make_rank: MakeRank
) -> MapController:
    """Return a controller whose orders are recorded and may be relayed."""
    settings = sources.fetch_settings()
    relay = PrepareRelay(
        settings.domain,
        sources.cluster,
        sources.members,
        PeerPortExchange(settings.peer_port),
        sources.metrics,
    )

    def fetch_link_mbps() -> float:
        # Each domain's relay sends to the ranks there, so the host's own link
        # carries a map as if it were that much faster.
        return sources.fetch_settings().link_mbps * relay.sending_domains

    order_log = OrderLog(sources.metrics, sources.clock)
    return MapController(
        sources.cluster,
        sources.members.check_leadership,
        order_log.wrap(relay.wrap(make_rank)),
        sources.clock,
        ControllerContext(sources.notices, sources.metrics, fetch_link_mbps),
    )


def make_prepare_server(
    cluster: ClusterState, make_rank: MakeRank, metrics: Metrics
) -> ServePrepare:
    """Return what serves other entries' requests to prepare ranks."""
    return PrepareServer(cluster, make_rank, metrics).serve
