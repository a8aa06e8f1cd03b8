"""Authenticate and route callers' requests before they are forwarded."""

from __future__ import annotations

import random

from ..adapters.httpserver import HttpRequest, ResponseWriter
from ..adapters.problem import send_refusal
from ..clock import Clock
from ..outcomes import Reason, Refusal, not_run
from ..policy.retryafter import choose_retry_after_ms
from ..types import Millis, OrganisationName, RegionName, ServiceName
from .call import Call
from .calllog import CallLog
from .clusterstate import ClusterState
from .deployment import Deployment, Organisation, Route
from .forward import Forwarder
from .ports import RequestMetadata, WireFormat
from .shutdown import GracefulShutdown

#: Highest priority that upstreams distinguish; the lowest is 0.
_MAX_PRIORITY = 9


class CallerHandler:
    """Handle the requests on the caller port of one entry."""

    def __init__(
        self,
        cluster: ClusterState,
        wire_format: WireFormat,
        forwarder: Forwarder,
        call_log: CallLog,
        shutdown: GracefulShutdown,
    ) -> None:
        """Route by the configuration that ``cluster`` has in force."""
        self._cluster = cluster
        self._shutdown = shutdown
        self._wire_format = wire_format
        self._forwarder = forwarder
        self._call_log = call_log
        self._clock = Clock()
        self._random = random.Random()

    async def handle(self, request: HttpRequest, reply: ResponseWriter) -> None:
        """Forward a request, or send a refusal if it is not accepted."""
        metadata = self._wire_format.read_request(request)
        call = self._accept(request, metadata)
        if isinstance(call, Refusal):
            self._call_log.record_rejection(
                metadata.attempt_id,
                call,
                self._cluster.configuration_view,
            )
            headers = self._wire_format.refusal_headers(call)
            await send_refusal(reply, call, headers)
            return
        await self._forwarder.forward(call, reply)

    def _accept(
        self,
        request: HttpRequest,
        metadata: RequestMetadata,
    ) -> Call | Refusal:
        deployment = self._cluster.deployment
        if deployment is None:
            return not_run(
                Reason.NO_MANIFEST,
                'no configuration yet',
                choose_retry_after_ms(self._random),
            )
        host = (request.header('host') or '').partition(':')[0]
        route = deployment.find_route(host, request.path)
        if route is None:
            return not_run(
                Reason.NO_ROUTE,
                f'no route for host {host!r} and path {request.path!r}',
            )
        organisation = _authenticate(deployment, route, metadata.credential)
        if isinstance(organisation, Refusal):
            return organisation
        call = self._make_call(
            deployment, request, metadata, route, organisation
        )
        return self._shutdown.refuse(call) or call

    def _make_call(
        self,
        deployment: Deployment,
        request: HttpRequest,
        metadata: RequestMetadata,
        route: Route,
        organisation: Organisation | None,
    ) -> Call:
        now = self._clock.now()
        caller_timeout_ms = metadata.timeout_ms
        timeout_ms = route.timeout_ms
        if caller_timeout_ms is not None:
            timeout_ms = min(timeout_ms, caller_timeout_ms)
        name: OrganisationName | None = None
        priority = route.priority
        if organisation is not None:
            name = organisation.name
            if organisation.priority is not None:
                priority = organisation.priority
        return Call(
            request=request,
            metadata=metadata,
            route=route,
            service=self._choose_service(route),
            organisation=name,
            priority=min(_MAX_PRIORITY, max(0, priority)),
            arrived_at=now,
            deadline=Millis(now + timeout_ms),
            version=deployment.version,
            allowed_regions=_allow_regions(route, organisation),
        )

    def _choose_service(self, route: Route) -> ServiceName:
        """Draw a service of a route at random by weight."""
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [share.weight for share in route.shares]
        chosen = self._random.choices(route.shares, weights)
        return chosen[0].service


def _authenticate(
    deployment: Deployment,
    route: Route,
    credential: str | None,
) -> Organisation | Refusal | None:
    """Return the organisation of a credential; None for an anonymous caller."""
    if deployment.credentials is None:
        return None
    organisation = deployment.credentials.get(credential or '')
    if organisation is None and not route.anonymous:
        return not_run(Reason.BAD_CREDENTIAL, 'give a key that is in force')
    return organisation


def _allow_regions(
    route: Route, organisation: Organisation | None
) -> frozenset[RegionName] | None:
    """Return the regions that a route and an organisation both allow.

    The result is None where neither restricts them.
    """
    if organisation is None or organisation.allowed_regions is None:
        return route.allowed_regions
    if route.allowed_regions is None:
        return organisation.allowed_regions
    return route.allowed_regions & organisation.allowed_regions
