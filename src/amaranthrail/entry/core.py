"""Bundle what the entry's parts share and choose replicas for calls."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from ..configuration import InForce
from ..manifest import AdmissionPolicy, Service
from ..outcomes import Reason, Refusal, not_run
from ..policy.admission import AdmissionRequest, FairShares, check_admission
from ..policy.balancing import Balancer, make_balancer
from ..policy.retries import RetryBudget
from ..runtime import Runtime
from ..settings import EntrySettings
from .call import Call
from .peers import Peer
from .roster import Roster
from .routes import RouteTable
from .shards import Shards

_NO_REPLICA_RETRY_MS = 1000
_DEFAULT_RETRY_SHARE = 0.1


@dataclass
class Policies:
    """Hold the policies of the manifest in force."""

    routes: RouteTable | None = None
    pickers: dict[str, Balancer] = field(default_factory=dict)
    budget: RetryBudget = field(
        default_factory=lambda: RetryBudget(_DEFAULT_RETRY_SHARE),
    )
    max_body_bytes: int = 1_048_576


class EntryCore:
    """Own what is common to all calls of one entry."""

    def __init__(
        self,
        runtime: Runtime,
        settings: EntrySettings,
        roster: Roster,
        shards: Shards,
    ) -> None:
        """Take the parts that calls use."""
        self._runtime = runtime
        self._settings = settings
        self._roster = roster
        self._shards = shards
        self._shares = FairShares()
        self._policies = Policies()
        self._random = random.Random(runtime.incarnation)
        self._leaving = False
        runtime.configuration.on_change(self._configure)

    @property
    def runtime(self) -> Runtime:
        """Return what the process shares."""
        return self._runtime

    @property
    def settings(self) -> EntrySettings:
        """Return the entry's settings."""
        return self._settings

    @property
    def roster(self) -> Roster:
        """Return the peers."""
        return self._roster

    @property
    def shards(self) -> Shards:
        """Return the filing record."""
        return self._shards

    @property
    def shares(self) -> FairShares:
        """Return what organisations have in progress."""
        return self._shares

    @property
    def budget(self) -> RetryBudget:
        """Return the retry budget."""
        return self._policies.budget

    @property
    def routes(self) -> RouteTable | None:
        """Return the routes in force, None before the first manifest."""
        return self._policies.routes

    @property
    def max_body_bytes(self) -> int:
        """Return the largest request body accepted."""
        return self._policies.max_body_bytes

    @property
    def leaving(self) -> bool:
        """Tell whether the entry is shutting down."""
        return self._leaving

    @property
    def ready(self) -> bool:
        """Tell whether callers can be served."""
        connected = any(peer.connected for peer in self._roster.peers)
        return connected and self.routes is not None and not self._leaving

    def leave(self) -> None:
        """Turn not ready."""
        self._leaving = True

    def choose(
        self,
        call: Call,
        excluded: frozenset[str],
        *,
        admitted: bool = False,
    ) -> Peer | Refusal:
        """Return the peer that a call goes to, or why it is refused now.

        ``excluded`` peers are used only when nobody else is there; a call
        ``admitted`` before is not asked about its organisation's share again.
        """
        service = call.route.service
        peers = self._roster.usable(service.name)
        peers = [one for one in peers if one.name not in excluded] or peers
        if not peers:
            return not_run(
                Reason.NO_REPLICA,
                f'no replica of {service.name} takes work',
                _NO_REPLICA_RETRY_MS,
            )
        by_name = {peer.name: peer for peer in peers}
        share = service.policies.long_share
        candidates = [
            peer.candidate(share, long=call.size.long) for peer in peers
        ]
        picked = self._picker(service)(candidates, call.size.prefix)
        if service.policies.admission is AdmissionPolicy.DEADLINE:
            refusal = self._admit(call, picked.wait_ms, admitted=admitted)
            if refusal is not None:
                return refusal
        return by_name[picked.name]

    def _admit(
        self,
        call: Call,
        wait_ms: float,
        *,
        admitted: bool,
    ) -> Refusal | None:
        demand = AdmissionRequest(
            call.organisation.name,
            call.size.cost_ms,
            call.left_ms(self._runtime.clock),
            wait_ms,
        )
        shares = FairShares() if admitted else self._shares
        weights = self.routes.weights if self.routes else {}
        return check_admission(demand, shares, weights)

    def _picker(self, service: Service) -> Balancer:
        pickers = self._policies.pickers
        if service.name not in pickers:
            pickers[service.name] = make_balancer(
                service.policies.pick,
                self._random,
            )
        return pickers[service.name]

    def _configure(self, in_force: InForce) -> None:
        manifest = in_force.manifest
        self._policies.routes = RouteTable(manifest)
        self._policies.pickers.clear()
        self._policies.budget.update_share(manifest.limits.retry_share)
        self._policies.max_body_bytes = manifest.limits.max_body_bytes
        self._runtime.metrics.gauge('manifest_version', in_force.version)
        self._runtime.timeline.add('manifest-in-force', str(in_force.version))
        for peer in self._roster.peers:
            peer.announce()
