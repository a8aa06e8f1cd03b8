"""Have the entries of other failure domains prepare the ranks there.

Every rank of a group gets the whole map, and bytes between failure domains are
billed. For a large group the leader sends the map once to an entry of each
other domain, the relay, which sends it to the ranks of its domain. Preparation
is idempotent, so ranks without a result in time get it from the leader. No
other order is relayed, and a relay sends each order once.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Awaitable, Callable

import trio

from ..adapters.httpclient import Address
from ..adapters.messages import STREAM_ERRORS, receive_message, send_message
from ..clock import Clock, move_on_after, sleep
from ..decoding import Undecodable
from ..direct.clusterstate import ClusterState
from ..direct.members import Members
from ..direct.peermessages import (
    PrepareRequest,
    PrepareResponse,
    decode_prepare_response,
    encode_message,
)
from ..logs import part_logger
from ..metrics import Metrics
from ..policy.relaying import RankPlace, choose_relay, relayed_domains
from .ports import (
    MakeRank,
    MapOrder,
    OrderKind,
    OrderResult,
    RankCounts,
    RankExperts,
    RankPort,
    RankReport,
)

#: Time in which the orders of one preparation are collected, in ms; they are
#: all made at once.
GATHER_MS = 5.0
#: Time limit of a relay for its orders, in ms: a quarter of a second to send
#: the map to its ranks on a slow link, and the time limit of one order.
RELAY_LIMIT_MS = 400.0
#: Time limit of the leader for the relay's response, in ms; hosts are a
#: millisecond apart.
RESPONSE_LIMIT_MS = 450.0
#: Most preparations whose orders are remembered, so that a second order to the
#: same rank goes to it directly.
_MAX_BATCHES = 8
#: Most upstreams that a relay keeps connections to.
_MAX_PORTS = 256
_log = part_logger('prepare')

#: Sends a message to an entry and returns its response, None without one.
Exchange = Callable[[str, bytes], Awaitable[bytes | None]]


class PeerPortExchange:
    """Exchange one message with an entry on the port between entries."""

    def __init__(self, port: int) -> None:
        """Set the port, the same on every host."""
        self._port = port

    async def __call__(self, host: str, payload: bytes) -> bytes | None:
        """Send a message; return the response, None without one."""
        try:
            async with await trio.open_tcp_stream(host, self._port) as stream:
                await send_message(stream, payload)
                return await receive_message(stream)
        except STREAM_ERRORS as error:
            _log.info('relay not reached', relay=host, cause=str(error))
            return None


class _DomainBatch:
    """Collect the ranks of one failure domain until its relay has responded."""

    def __init__(self) -> None:
        self.names: list[str] = []
        self.done = trio.Event()
        self.outcomes: dict[str, OrderResult] = {}


class _Batch:
    """Collect the orders of one preparation, by failure domain.

    All of them are the same object. Groups may prepare different maps under the
    same epoch and version.
    """

    def __init__(self, order: MapOrder) -> None:
        # Referenced so that no other order gets the same id.
        self.order = order
        self.is_closed = False
        self.by_domain: dict[str, _DomainBatch] = {}

    @property
    def places(self) -> list[RankPlace]:
        return [
            RankPlace(name, domain)
            for domain, batch in self.by_domain.items()
            for name in batch.names
        ]


class PrepareRelay:
    """Send the leader's preparations by relays where that is worth it."""

    def __init__(
        self,
        domain: str,
        cluster: ClusterState,
        members: Members,
        exchange: Exchange,
        metrics: Metrics,
    ) -> None:
        """Set this entry's failure domain and how to reach other entries."""
        self._domain = domain
        self._cluster = cluster
        self._members = members
        self._exchange = exchange
        self._metrics = metrics
        self._clock = Clock()
        self._turn = 0
        self._batches: OrderedDict[int, _Batch] = OrderedDict()

    @property
    def sending_domains(self) -> int:
        """Count the failure domains whose entries send a large group's map."""
        return 1 + len(self._live_by_domain().keys() - {'', self._domain})

    def wrap(self, make_rank: MakeRank) -> MakeRank:
        """Return a factory of ports whose preparations may be relayed."""

        def make_relayed(name: str, address: Address) -> RankPort:
            return RelayedRank(name, make_rank(name, address), self)

        return make_relayed

    async def prepare(
        self, name: str, port: RankPort, order: MapOrder
    ) -> OrderResult:
        """Prepare one rank, by a relay if its group is large."""
        if order.is_urgent:
            return await port.send_order(order)
        batch = self._open_batch(order)
        if batch.is_closed:
            return await port.send_order(order)
        domain = self._domain_of(name)
        domain_batch = batch.by_domain.setdefault(domain, _DomainBatch())
        domain_batch.names.append(name)
        if len(domain_batch.names) == 1:
            await self._run_batch(batch, domain)
        else:
            await domain_batch.done.wait()
        outcome = domain_batch.outcomes.get(name, OrderResult.UNANSWERED)
        if outcome is OrderResult.UNANSWERED:
            return await port.send_order(order)
        return outcome

    async def _run_batch(self, batch: _Batch, domain: str) -> None:
        """Collect the orders to a domain's ranks and have them relayed."""
        domain_batch = batch.by_domain[domain]
        try:
            await sleep(GATHER_MS)
            batch.is_closed = True
            relay = self._choose_relay(batch, domain)
            if relay is not None:
                domain_batch.outcomes = await self._request(
                    relay, batch.order, domain_batch.names
                )
        finally:
            domain_batch.done.set()

    def _live_by_domain(self) -> dict[str, list[str]]:
        by_domain: dict[str, list[str]] = {}
        for host in self._members.live_hosts:
            member = self._members.find(host)
            if member is not None and not member.is_shutting_down:
                by_domain.setdefault(member.domain, []).append(host)
        return by_domain

    def _choose_relay(self, batch: _Batch, domain: str) -> str | None:
        by_domain = self._live_by_domain()
        if domain not in relayed_domains(
            self._domain, batch.places, by_domain.keys()
        ):
            return None
        self._turn += 1
        return choose_relay(by_domain[domain], self._turn)

    async def _request(
        self, relay: str, order: MapOrder, names: list[str]
    ) -> dict[str, OrderResult]:
        """Return the results that a relay sends in time, by upstream."""
        payload = encode_message(
            PrepareRequest(
                order.epoch,
                order.version,
                order.placement,
                names,
                RELAY_LIMIT_MS,
            )
        )
        began_at = self._clock.now()
        response = None
        with move_on_after(RESPONSE_LIMIT_MS):
            response = await self._exchange(relay, payload)
        outcomes = _read_outcomes(response, names)
        missing = len(names) - len(outcomes)
        self._metrics.count('map_prepares_relayed', len(outcomes))
        self._metrics.count('map_prepares_unrelayed', missing)
        _log.info(
            'preparation relayed',
            relay=relay,
            epoch=order.epoch,
            version=order.version,
            ranks=len(names),
            refused=list(outcomes.values()).count(OrderResult.REFUSED),
            without_result=missing,
            sent_bytes=len(payload),
            took_ms=int(self._clock.now() - began_at),
        )
        return outcomes

    def _open_batch(self, order: MapOrder) -> _Batch:
        batch = self._batches.get(id(order))
        if batch is None:
            batch = _Batch(order)
            self._batches[id(order)] = batch
            if len(self._batches) > _MAX_BATCHES:
                self._batches.popitem(last=False)
        return batch

    def _domain_of(self, name: str) -> str:
        upstream = self._cluster.directory.find(name)
        return '' if upstream is None else upstream.record.domain


class RelayedRank:
    """Implement RankPort by another one; preparations may be relayed."""

    def __init__(self, name: str, port: RankPort, relay: PrepareRelay) -> None:
        """Set the rank's name as an upstream."""
        self._name = name
        self._port = port
        self._relay = relay

    async def fetch_report(self) -> RankReport | None:
        """Return the rank's state; see RankPort."""
        return await self._port.fetch_report()

    async def fetch_counts(self) -> RankCounts | None:
        """Return how often its calls selected each expert; see RankPort."""
        return await self._port.fetch_counts()

    async def fetch_experts(self) -> RankExperts | None:
        """Return the experts that it holds; see RankPort."""
        return await self._port.fetch_experts()

    async def send_order(self, order: MapOrder) -> OrderResult:
        """Send an order; see RankPort."""
        if order.kind is OrderKind.PREPARE:
            return await self._relay.prepare(self._name, self._port, order)
        return await self._port.send_order(order)


class PrepareServer:
    """Send another entry's preparation to ranks, once each."""

    def __init__(
        self, cluster: ClusterState, make_rank: MakeRank, metrics: Metrics
    ) -> None:
        """Reach ranks through ``make_rank``, only known upstreams."""
        self._cluster = cluster
        self._make_rank = make_rank
        self._metrics = metrics
        self._ports: OrderedDict[tuple[str, Address], RankPort] = OrderedDict()

    async def serve(self, request: PrepareRequest) -> PrepareResponse:
        """Return the results by upstream, without those that come late."""
        order = MapOrder(
            OrderKind.PREPARE,
            request.epoch,
            request.version,
            placement=request.placement,
        )
        outcomes: dict[str, str] = {}
        with move_on_after(min(request.limit_ms, RELAY_LIMIT_MS)):
            async with trio.open_nursery() as nursery:
                for name in request.upstreams[:_MAX_PORTS]:
                    nursery.start_soon(self._send, name, order, outcomes)
        self._metrics.count('map_prepares_served', len(outcomes))
        _log.info(
            'preparation sent for another entry',
            epoch=request.epoch,
            version=request.version,
            ranks=len(request.upstreams),
            responses=len(outcomes),
        )
        return PrepareResponse(dict(outcomes))

    async def _send(
        self, name: str, order: MapOrder, outcomes: dict[str, str]
    ) -> None:
        port = self._port(name)
        if port is None:
            return
        outcome = await port.send_order(order)
        if outcome is not OrderResult.UNANSWERED:
            outcomes[name] = outcome.value

    def _port(self, name: str) -> RankPort | None:
        upstream = self._cluster.directory.find(name)
        if upstream is None:
            return None
        key = name, Address(upstream.record.host, upstream.record.port)
        port = self._ports.pop(key, None) or self._make_rank(*key)
        self._ports[key] = port
        if len(self._ports) > _MAX_PORTS:
            self._ports.popitem(last=False)
        return port


def _read_outcomes(
    payload: bytes | None, names: list[str]
) -> dict[str, OrderResult]:
    """Return the results in a relay's response for the ranks it was sent."""
    if payload is None:
        return {}
    response = decode_prepare_response(payload)
    if isinstance(response, Undecodable):
        _log.warning('response of a relay not decoded', cause=response.cause)
        return {}
    known = {outcome.value: outcome for outcome in OrderResult}
    return {
        name: known[text]
        for name, text in response.outcomes.items()
        if name in names and text in known
    }
