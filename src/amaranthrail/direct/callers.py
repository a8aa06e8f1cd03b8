"""Take callers' requests: identify, route, hand on."""

from __future__ import annotations

import random

from ..adapters.httpserver import HttpRequest, ResponseWriter
from ..adapters.problem import send_refusal
from ..clock import Clock
from ..outcomes import Reason, Refusal, not_run
from ..policy.retryafter import choose_retry_after_ms
from ..types import Millis, OrganisationName, ServiceName
from .call import Call
from .calllog import CallLog
from .clusterstate import ClusterState
from .deployment import Deployment, Organisation, Route
from .forward import Forwarder
from .ports import RequestMetadata, WireFormat
from .shutdown import GracefulShutdown

#: Priorities that an upstream tells apart, 0 to this one.
_MAX_PRIORITY = 9


class Callers:
    """Serve the callers' port of one entry."""

    def __init__(
        self,
        world: ClusterState,
        dialect: WireFormat,
        forwarder: Forwarder,
        journal: CallLog,
        departure: GracefulShutdown,
    ) -> None:
        """Take the parts that a request meets."""
        self._world = world
        self._departure = departure
        self._dialect = dialect
        self._forwarder = forwarder
        self._journal = journal
        self._clock = Clock()
        self._random = random.Random()

    async def handle(self, request: HttpRequest, reply: ResponseWriter) -> None:
        """Answer one request."""
        facts = self._dialect.read_request(request)
        call = self._identify(request, facts)
        if isinstance(call, Refusal):
            self._journal.rejected(
                facts.attempt_id,
                call.reason.value,
                self._world.version,
            )
            headers = self._dialect.refusal_headers(call)
            await send_refusal(reply, call, headers)
            return
        await self._forwarder.answer(call, reply)

    def _identify(
        self,
        request: HttpRequest,
        facts: RequestMetadata,
    ) -> Call | Refusal:
        deployment = self._world.deployment
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
        organisation = _organisation(deployment, route, facts.credential)
        if isinstance(organisation, Refusal):
            return organisation
        call = self._call(deployment, request, facts, route, organisation)
        if not self._departure.takes(call):
            # Other entries take it at once.
            return not_run(Reason.DRAINING, 'this entry leaves', 0)
        return call

    def _call(
        self,
        deployment: Deployment,
        request: HttpRequest,
        facts: RequestMetadata,
        route: Route,
        organisation: Organisation | None,
    ) -> Call:
        now = self._clock.now()
        timeout_ms = facts.timeout_ms
        left_ms = route.timeout_ms
        if timeout_ms is not None:
            left_ms = min(left_ms, timeout_ms)
        name: OrganisationName | None = None
        priority = route.priority
        if organisation is not None:
            name = organisation.name
            if organisation.priority is not None:
                priority = organisation.priority
        return Call(
            request=request,
            facts=facts,
            route=route,
            service=self._choose_service(route),
            organisation=name,
            priority=min(_MAX_PRIORITY, max(0, priority)),
            arrived_at=now,
            deadline=Millis(now + left_ms),
            version=deployment.version,
        )

    def _choose_service(self, route: Route) -> ServiceName:
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [share.weight for share in route.shares]
        chosen = self._random.choices(route.shares, weights)
        return chosen[0].service


def _organisation(
    deployment: Deployment,
    route: Route,
    credential: str | None,
) -> Organisation | Refusal | None:
    """Return whom a credential names; None for an anonymous caller."""
    if deployment.credentials is None:
        return None
    known = deployment.credentials.get(credential or '')
    if known is None and not route.anonymous:
        return not_run(Reason.BAD_CREDENTIAL, 'give a key that is in force')
    return known
