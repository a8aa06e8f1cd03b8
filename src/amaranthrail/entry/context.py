"""Share an entry's components and choose a peer for each call."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from ..configuration import ActiveManifest
from ..manifest import AdmissionPolicy, Service
from ..outcomes import Reason, Refusal, not_run
from ..policy.admission import AdmissionRequest, FairShares, check_admission
from ..policy.balancing import Balancer, make_balancer
from ..policy.retries import RetryBudget
from ..runtime import Runtime
from ..settings import EntrySettings
from .call import Call
from .peers import Peer
from .routes import RouteTable
from .shards import Shards
from .upstreampool import UpstreamPool

_NO_REPLICA_RETRY_AFTER_MS = 1000
_DEFAULT_RETRY_SHARE = 0.1


@dataclass
class ActivePolicies:
    """Hold what is derived from the manifest in force.

    ``balancers`` are made on first use, one for each service name.
    """

    routes: RouteTable | None = None
    balancers: dict[str, Balancer] = field(default_factory=dict)
    budget: RetryBudget = field(
        default_factory=lambda: RetryBudget(_DEFAULT_RETRY_SHARE),
    )
    max_body_bytes: int = 1_048_576


class EntryContext:
    """Hold the components and policies that all calls of one entry use."""

    def __init__(
        self,
        runtime: Runtime,
        settings: EntrySettings,
        pool: UpstreamPool,
        shards: Shards,
    ) -> None:
        """Take the components and follow changes of the configuration."""
        self._runtime = runtime
        self._settings = settings
        self._pool = pool
        self._shards = shards
        self._shares = FairShares()
        self._policies = ActivePolicies()
        self._random = random.Random(runtime.incarnation)
        self._shutting_down = False
        runtime.configuration.on_change(self._apply_configuration)

    @property
    def runtime(self) -> Runtime:
        """Return the process's identity, clock, metrics and configuration."""
        return self._runtime

    @property
    def settings(self) -> EntrySettings:
        """Return the settings with which this entry was started."""
        return self._settings

    @property
    def pool(self) -> UpstreamPool:
        """Return the pool of sidecar peers."""
        return self._pool

    @property
    def shards(self) -> Shards:
        """Return the shards that record keyed attempts."""
        return self._shards

    @property
    def shares(self) -> FairShares:
        """Return the work in progress of each organisation."""
        return self._shares

    @property
    def budget(self) -> RetryBudget:
        """Return the retry budget for idempotent calls."""
        return self._policies.budget

    @property
    def routes(self) -> RouteTable | None:
        """Return the routes in force, None before the first manifest."""
        return self._policies.routes

    @property
    def max_body_bytes(self) -> int:
        """Return the largest request body accepted, in bytes."""
        return self._policies.max_body_bytes

    @property
    def shutting_down(self) -> bool:
        """Tell whether a graceful shutdown has started."""
        return self._shutting_down

    @property
    def ready(self) -> bool:
        """Tell whether callers can be served, for the readiness probe.

        It requires a connected peer, a manifest in force and no shutdown.
        """
        connected = any(peer.connected for peer in self._pool.peers)
        return connected and self.routes is not None and not self._shutting_down

    def start_shutdown(self) -> None:
        """Report the entry as not ready from now on."""
        self._shutting_down = True

    def choose_peer(
        self,
        call: Call,
        excluded: frozenset[str],
        *,
        admitted: bool = False,
    ) -> Peer | Refusal:
        """Return the peer for a call, or the refusal of the call.

        ``excluded`` peers are used only when no other peer accepts new work. A
        call ``admitted`` before, as on a retry, is not checked again against
        its organisation's fair share.
        """
        service = call.route.service
        peers = self._pool.available(service.name)
        peers = [peer for peer in peers if peer.name not in excluded] or peers
        if not peers:
            return not_run(
                Reason.NO_REPLICA,
                f'no replica of {service.name} takes work',
                _NO_REPLICA_RETRY_AFTER_MS,
            )
        by_name = {peer.name: peer for peer in peers}
        share = service.policies.long_share
        candidates = [
            peer.candidate(share, long=call.size.long) for peer in peers
        ]
        choice = self._balancer(service)(candidates, call.size.prefix)
        if service.policies.admission is AdmissionPolicy.DEADLINE:
            refusal = self._check_admission(
                call, choice.wait_ms, admitted=admitted
            )
            if refusal is not None:
                return refusal
        return by_name[choice.name]

    def _check_admission(
        self,
        call: Call,
        wait_ms: float,
        *,
        admitted: bool,
    ) -> Refusal | None:
        admission_request = AdmissionRequest(
            call.organisation.name,
            call.size.cost_ms,
            call.remaining_ms(self._runtime.clock),
            wait_ms,
        )
        shares = FairShares() if admitted else self._shares
        weights = self.routes.weights if self.routes else {}
        return check_admission(admission_request, shares, weights)

    def _balancer(self, service: Service) -> Balancer:
        balancers = self._policies.balancers
        if service.name not in balancers:
            balancers[service.name] = make_balancer(
                service.policies.pick,
                self._random,
            )
        return balancers[service.name]

    def _apply_configuration(self, in_force: ActiveManifest) -> None:
        manifest = in_force.manifest
        self._policies.routes = RouteTable(manifest)
        self._policies.balancers.clear()
        self._policies.budget.update_share(manifest.limits.retry_share)
        self._policies.max_body_bytes = manifest.limits.max_body_bytes
        self._runtime.metrics.gauge('manifest_version', in_force.version)
        self._runtime.timeline.add('manifest-in-force', str(in_force.version))
        for peer in self._pool.peers:
            peer.send_heartbeat()
