"""Serve the administration API of one entry."""

from __future__ import annotations

import hmac
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar
from urllib.parse import unquote

import msgspec
import trio

from ..adapters.httpserver import HttpRequest, ResponseWriter
from ..adapters.probes import send_liveness, send_metrics, send_readiness
from ..adapters.problem import JSON_TYPE, send_json
from ..configuration import Configuration
from ..consumer import StreamConsumer
from ..decoding import Undecodable, decode
from ..exceptions import ManifestError
from ..manifest import parse_manifest
from ..ports import LogPort
from ..publish import new_change, publish_drain, publish_manifest
from ..records import AttemptState, Drain, new_record_id
from ..timeline import Event, merge_events
from ..types import IdempotencyKey
from .context import EntryContext
from .keyedrequests import KeyedRequests
from .keytable import KeyRecord
from .peers import Peer

#: How long to wait until a published change or drain is read back from the log.
PUBLISH_TIMEOUT_MS = 4000
_EVENTS_TIMEOUT_MS = 1500
_RESOLVE_TIMEOUT_MS = 4000
_OK = 200
_ACCEPTED = 202
_BAD_REQUEST = 400
_UNAUTHORISED = 401
_NOT_FOUND = 404
_CONFLICT = 409
_LOST_PREFIX = '/v1/lost/'
_RESOLVE_SUFFIX = '/resolve'

_Order = TypeVar('_Order')
_Handler = Callable[[HttpRequest, ResponseWriter], Awaitable[None]]


class _ResolveOrder(msgspec.Struct, forbid_unknown_fields=True):
    outcome: str
    author: str


class _DrainOrder(msgspec.Struct, forbid_unknown_fields=True):
    upstream: str
    draining: bool
    author: str


@dataclass(frozen=True)
class AdminContext:
    """Hold the components that the administration API shows and changes."""

    context: EntryContext
    keyed_requests: KeyedRequests
    control: StreamConsumer
    log: LogPort


class Administration:
    """Handle the requests on the administration port of one entry."""

    def __init__(self, admin_context: AdminContext) -> None:
        """Take the components and register the API's routes."""
        self._context = admin_context.context
        self._keyed_requests = admin_context.keyed_requests
        self._control = admin_context.control
        self._log = admin_context.log
        self._runtime = admin_context.context.runtime
        self._routes: dict[tuple[str, str], _Handler] = {
            ('GET', '/v1/status'): self._get_status,
            ('GET', '/v1/timeline'): self._get_timeline,
            ('GET', '/v1/lost'): self._list_lost,
            ('GET', '/v1/manifest'): self._get_manifest,
            ('POST', '/v1/manifest'): self._publish_manifest,
            ('POST', '/v1/drain'): self._set_drain,
        }

    async def handle(self, request: HttpRequest, reply: ResponseWriter) -> None:
        """Respond to one request.

        Health probes and metrics need no token; everything else does.
        """
        match request.path:
            case '/healthz':
                await send_liveness(reply)
            case '/readyz':
                await send_readiness(reply, ready=self._context.ready)
            case '/metrics':
                await self._send_metrics(reply)
            case _:
                await self._handle_authorised(request, reply)

    async def _handle_authorised(
        self, request: HttpRequest, reply: ResponseWriter
    ) -> None:
        authorization = request.header('authorization') or ''
        expected = f'Bearer {self._context.settings.admin_token}'
        if not hmac.compare_digest(authorization.encode(), expected.encode()):
            problem = {'title': 'give the administration token'}
            await send_json(reply, _UNAUTHORISED, problem)
            return
        handler = self._routes.get((request.method, request.path))
        if handler is None and _is_resolve(request):
            handler = self._resolve_lost
        if handler is None:
            title = f'no {request.method} {request.path:.120}'
            await send_json(reply, _NOT_FOUND, {'title': title})
            return
        await handler(request, reply)

    async def _send_metrics(self, reply: ResponseWriter) -> None:
        context = self._context
        gauges = {
            'peers_connected': sum(
                peer.connected for peer in context.pool.peers
            ),
            'peers': len(context.pool.peers),
            'filings_known': context.shards.key_table.size,
            'filings_open': len(context.shards.key_table.open_records()),
            'filings_lost': len(context.shards.key_table.lost_records()),
            'facts_waiting': context.shards.pending_count,
            'shard_appends': context.shards.append_count,
            'shard_appends_unanswered': context.shards.unanswered_count,
            'retries_saved': context.budget.balance,
        }
        for name, gauge_value in gauges.items():
            self._runtime.metrics.gauge(name, gauge_value)
        await send_metrics(reply, self._runtime.metrics)

    async def _get_status(
        self, _request: HttpRequest, reply: ResponseWriter
    ) -> None:
        context = self._context
        configuration = self._runtime.configuration
        key_table = context.shards.key_table
        await send_json(
            reply,
            _OK,
            {
                'entry': self._runtime.process,
                'incarnation': self._runtime.incarnation,
                'failure_domain': self._runtime.domain,
                'ready': context.ready,
                'manifest_version': configuration.version,
                'log_reachable': self._control.reachable
                and context.shards.reachable,
                'host_list_reachable': context.pool.reachable,
                'records_skipped': configuration.skipped_records
                + key_table.skipped,
                'contradictions': key_table.contradictions,
                'filings': {
                    'known': key_table.size,
                    'open': len(key_table.open_records()),
                    'lost': len(key_table.lost_records()),
                    'waiting_for_log': context.shards.pending_count,
                    'appends_unanswered': context.shards.unanswered_count,
                },
                'upstreams': [
                    _peer_status(peer, configuration)
                    for peer in context.pool.peers
                ],
            },
        )

    async def _get_timeline(
        self, _request: HttpRequest, reply: ResponseWriter
    ) -> None:
        sources = [self._runtime.timeline.events_after(0)]
        async with trio.open_nursery() as nursery:
            for peer in self._context.pool.peers:
                nursery.start_soon(_gather_events, peer, sources)
        await send_json(reply, _OK, merge_events(sources))

    async def _list_lost(
        self, _request: HttpRequest, reply: ResponseWriter
    ) -> None:
        lost = [
            _lost_item(record)
            for record in self._context.shards.key_table.lost_records()
        ]
        await send_json(reply, _OK, lost)

    async def _resolve_lost(
        self, request: HttpRequest, reply: ResponseWriter
    ) -> None:
        order = _decode_order(request.body, _ResolveOrder)
        states = {'ran': AttemptState.RAN, 'not-run': AttemptState.VOID}
        if order is None or order.outcome not in states:
            title = 'give outcome ("ran" or "not-run") and author'
            await send_json(reply, _BAD_REQUEST, {'title': title})
            return
        quoted = request.path[len(_LOST_PREFIX) : -len(_RESOLVE_SUFFIX)]
        key = IdempotencyKey(unquote(quoted))
        record = self._context.shards.key_table.find(key)
        if record is None or record.state is not AttemptState.LOST:
            title = f'key {key!r} is not on the lost list'
            await send_json(reply, _NOT_FOUND, {'title': title})
            return
        is_recorded = await self._keyed_requests.resolve(
            key,
            states[order.outcome],
            order.author,
            _RESOLVE_TIMEOUT_MS,
        )
        status = _OK if is_recorded else _ACCEPTED
        await send_json(reply, status, {'key': key, 'recorded': is_recorded})

    async def _get_manifest(
        self, _request: HttpRequest, reply: ResponseWriter
    ) -> None:
        in_force = self._runtime.configuration.in_force
        if in_force is None:
            await send_json(reply, _NOT_FOUND, {'title': 'no manifest yet'})
            return
        version = ('x-manifest-version', str(in_force.version))
        await reply.send(_OK, (JSON_TYPE, version), in_force.text)

    async def _publish_manifest(
        self, request: HttpRequest, reply: ResponseWriter
    ) -> None:
        configuration = self._runtime.configuration
        try:
            parse_manifest(request.body)
        except ManifestError as error:
            refusal = {'outcome': 'refused', 'reason': str(error)}
            await send_json(reply, _BAD_REQUEST, refusal)
            return
        base = request.query.get('base', str(configuration.version))
        author = request.query.get('author', 'administration')
        if not base.isdecimal():
            refusal = {
                'outcome': 'refused',
                'reason': 'base is no version',
            }
            await send_json(reply, _BAD_REQUEST, refusal)
            return
        change = new_change(int(base), request.body, author)
        verdict = await publish_manifest(
            self._log,
            configuration,
            change,
            PUBLISH_TIMEOUT_MS,
        )
        if verdict is None:
            pending = {'outcome': 'unknown', 'id': change.id}
            await send_json(reply, _ACCEPTED, pending)
            return
        body = {
            'outcome': 'accepted' if verdict.accepted else 'refused',
            'version': verdict.version,
            'reason': verdict.reason,
            'id': change.id,
        }
        await send_json(reply, _OK if verdict.accepted else _CONFLICT, body)

    async def _set_drain(
        self, request: HttpRequest, reply: ResponseWriter
    ) -> None:
        order = _decode_order(request.body, _DrainOrder)
        if order is None:
            title = 'give upstream, draining (true or false) and author'
            await send_json(reply, _BAD_REQUEST, {'title': title})
            return
        record = Drain(
            id=new_record_id(),
            upstream=order.upstream,
            draining=order.draining,
            author=order.author,
        )
        is_in_force = await publish_drain(
            self._log,
            self._runtime.configuration,
            record,
            PUBLISH_TIMEOUT_MS,
        )
        for peer in self._context.pool.peers:
            peer.send_heartbeat()
        body = {'upstream': order.upstream, 'in_force': is_in_force}
        await send_json(reply, _OK if is_in_force else _ACCEPTED, body)


def _is_resolve(request: HttpRequest) -> bool:
    return (
        request.method == 'POST'
        and request.path.startswith(_LOST_PREFIX)
        and request.path.endswith(_RESOLVE_SUFFIX)
    )


def _decode_order(body: bytes, order_type: type[_Order]) -> _Order | None:
    order = decode(msgspec.json.Decoder(order_type).decode, body)
    return None if isinstance(order, Undecodable) else order


async def _gather_events(peer: Peer, sources: list[list[Event]]) -> None:
    sources.append(await peer.fetch_events(_EVENTS_TIMEOUT_MS))


def _peer_status(peer: Peer, configuration: Configuration) -> dict[str, object]:
    load = peer.load
    return {
        'upstream': peer.name,
        'service': peer.record.service,
        'failure_domain': peer.record.domain,
        'connected': peer.connected,
        'takes_work': peer.accepts_work,
        'draining': configuration.is_draining(peer.name),
        'leaving': load is not None and load.shutting_down,
        'queued': 0 if load is None else load.queued,
        'running': 0 if load is None else load.running,
        'work_ms': 0 if load is None else load.short_ms + load.long_ms,
        'manifest_version': 0 if load is None else load.manifest_version,
    }


def _lost_item(record: KeyRecord) -> dict[str, object]:
    return {
        'key': record.intent.key,
        'operation': record.intent.operation,
        'upstream': record.intent.upstream,
        'attempt': record.intent.attempt,
        'reason': record.conclusion.reason if record.conclusion else '',
        'recorded_at': record.recorded_at,
    }
