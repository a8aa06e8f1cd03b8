"""Read the state of a rank and send it orders over the platform's HTTP API."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

from ..adapters.httpclient import Address, HttpClient, HttpResponse
from ..clock import move_on_after
from ..decoding import Undecodable, Whole, decode
from ..exceptions import HttpError
from ..logs import part_logger
from ..ranks.ports import (
    MapOrder,
    OrderResult,
    RankCounts,
    RankExperts,
    RankReport,
)
from . import headers
from .settings import DEFAULT_LINK_MBPS

#: Timeouts of a read and of an order, in ms. Hosts are a millisecond apart; an
#: order whose response comes later counts as unanswered.
READ_TIMEOUT_MS = 250
ORDER_TIMEOUT_MS = 120
#: Length from which an order carries the map of a large group, in bytes. It is
#: sent to all ranks at once, which takes a host's link up to a quarter of a
#: second (policy.rebalancing.MAX_SEND_MS), and its timeout is longer by that: a
#: retry would send it once more.
LARGE_ORDER_BYTES = 8192
#: Longest response of a rank in bytes; counts of 10,000 experts have 100,000.
#: All ranks of a group are read at once.
MAX_RESPONSE_BYTES = 524_288
#: Most bytes of a refusal's body that are logged.
MAX_LOGGED_BYTES = 200
_HTTP_OK = 200
_HTTP_ACCEPTED = 202
_FIRST_SERVER_ERROR = 500
_BITS_PER_BYTE = 8
_KBIT_PER_MBIT = 1000
_JSON = (('content-type', 'application/json'),)
_log = part_logger('rank')

_Wire = TypeVar('_Wire')


class _WireGroup(msgspec.Struct):
    name: str
    epoch: Whole
    rank: Whole
    state: str


class _WireArmed(msgspec.Struct):
    version: Whole
    step: Whole


class _WireReport(msgspec.Struct):
    group: _WireGroup | None = None
    # Number of ranks in the group.
    size: Whole = 0
    # The last engine step that was begun.
    step: Whole = 0
    # The version of the expert map in use, not the map itself.
    map: Whole = 0
    # The version whose expert weights are all copied.
    prepared: Whole | None = None
    # The version that comes into use next, and the first step with it.
    armed: _WireArmed | None = None
    # The step that all ranks wait before until it is released.
    held: Whole | None = None
    # Over 1 at a slow rank: a slowdown, not a rate.
    pace: float = 1


class _WireCounts(msgspec.Struct):
    step: Whole
    epoch: Whole
    # Selections of each expert, the layer sets after each other.
    counts: list[Whole]


class _WireMap(msgspec.Struct):
    version: Whole
    # This rank's experts, by layer set.
    experts: list[list[Whole]]


class _WireExperts(msgspec.Struct):
    epoch: Whole
    map: _WireMap


_report_decoder = msgspec.json.Decoder(_WireReport)
_counts_decoder = msgspec.json.Decoder(_WireCounts)
_experts_decoder = msgspec.json.Decoder(_WireExperts)


class HttpRank:
    """Implement RankPort over HTTP."""

    def __init__(
        self, name: str, address: Address, link_mbps: float = DEFAULT_LINK_MBPS
    ) -> None:
        """Set the rank's name as an upstream, and its address.

        ``link_mbps`` is the speed of this host's own link.
        """
        self._link_mbps = link_mbps
        self._client = HttpClient(
            address, max_response_bytes=MAX_RESPONSE_BYTES
        )
        self._refused: MapOrder | None = None
        self._expected = ((headers.EXPECT_REPLICA, headers.encode_name(name)),)

    async def fetch_report(self) -> RankReport | None:
        """Return the rank's state; see RankPort."""
        wire = await self._read('/amaranthrail/report', _report_decoder)
        if wire is None or wire.group is None:
            return None
        return _to_report(wire, wire.group)

    async def fetch_counts(self) -> RankCounts | None:
        """Return how often each expert was selected; see RankPort."""
        wire = await self._read('/amaranthrail/picked', _counts_decoder)
        if wire is None:
            return None
        return RankCounts(wire.epoch, wire.step, tuple(wire.counts))

    async def fetch_experts(self) -> RankExperts | None:
        """Return the experts that the rank holds; see RankPort."""
        wire = await self._read(
            '/amaranthrail/picked?lists=1', _experts_decoder
        )
        if wire is None:
            return None
        return RankExperts(
            wire.epoch,
            wire.map.version,
            tuple(tuple(experts) for experts in wire.map.experts),
        )

    async def send_order(self, order: MapOrder) -> OrderResult:
        """Send an order; see RankPort."""
        fields: dict[str, Any] = {
            'operation': order.kind.value,
            'epoch': order.epoch,
        }
        if order.version:
            fields['version'] = order.version
        if order.step:
            fields['step'] = order.step
        if order.placement:
            fields['map'] = order.placement
        body = msgspec.json.encode(fields)
        response = await self._call(
            'POST',
            '/amaranthrail/order',
            body,
            order_timeout_ms(len(body), _receivers(order), self._link_mbps),
        )
        if response is None or response.status >= _FIRST_SERVER_ERROR:
            return OrderResult.UNANSWERED
        if response.status == _HTTP_ACCEPTED:
            return OrderResult.BEGUN
        if response.status == _HTTP_OK:
            return OrderResult.DONE
        self._log_refusal(order, response)
        return OrderResult.REFUSED

    def _log_refusal(self, order: MapOrder, response: HttpResponse) -> None:
        """Log what the rank says, once for an order that is sent again."""
        if order == self._refused:
            return
        self._refused = order
        _log.info(
            'rank refused an order',
            order=order.kind.value,
            epoch=order.epoch,
            version=order.version,
            step=order.step,
            status=response.status,
            text=response.body[:MAX_LOGGED_BYTES].decode(errors='replace'),
        )

    async def _read(
        self,
        target: str,
        decoder: msgspec.json.Decoder[_Wire],
    ) -> _Wire | None:
        """Return the decoded response, None without a valid one."""
        response = await self._call('GET', target)
        if response is None or response.status != _HTTP_OK:
            return None
        decoded = decode(decoder.decode, response.body)
        if isinstance(decoded, Undecodable):
            _log.warning(
                'response not decoded', target=target, cause=decoded.cause
            )
            return None
        return decoded

    async def _call(
        self,
        method: str,
        target: str,
        body: bytes = b'',
        timeout_ms: float = READ_TIMEOUT_MS,
    ) -> HttpResponse | None:
        """Return the response, None on a connection error or a timeout."""
        content_type = _JSON if body else ()
        cause = 'no response in time'
        try:
            with move_on_after(timeout_ms):
                return await self._client.call(
                    method, target, (*self._expected, *content_type), body
                )
        except HttpError as error:
            cause = str(error)
        _log.info('rank not reached', target=target, cause=cause)
        return None


def order_timeout_ms(size: int, receivers: int, link_mbps: float) -> float:
    """Return the timeout of an order of ``size`` bytes, in ms.

    It is sent to ``receivers`` ranks at once.
    """
    if size < LARGE_ORDER_BYTES or link_mbps <= 0:
        return ORDER_TIMEOUT_MS
    bits = _BITS_PER_BYTE * size * receivers
    return ORDER_TIMEOUT_MS + bits / (link_mbps * _KBIT_PER_MBIT)


def _receivers(order: MapOrder) -> int:
    """Return how many ranks get an order: as many as its map has."""
    return len(order.placement[0]) if order.placement else 1


def _to_report(wire: _WireReport, group: _WireGroup) -> RankReport:
    return RankReport(
        group=group.name,
        epoch=group.epoch,
        rank=group.rank,
        size=wire.size,
        open=group.state == 'open',
        step=wire.step,
        version=wire.map,
        prepared_version=wire.prepared or 0,
        armed_version=0 if wire.armed is None else wire.armed.version,
        armed_step=0 if wire.armed is None else wire.armed.step,
        held_step=wire.held or 0,
        slowdown=wire.pace,
    )
