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
from ..exceptions import ManifestError
from ..manifest import parse_manifest
from ..ports import LogPort
from ..publish import new_change, publish_drain, publish_manifest
from ..records import AttemptState, Drain, new_record_id
from ..timeline import Event, merge_events
from ..types import IdempotencyKey
from .core import EntryCore
from .keyedrequests import KeyedRequests
from .keytable import KeyRecord
from .peers import Peer

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
class AdminParts:
    """Hold what the administration API shows and changes."""

    core: EntryCore
    filings: KeyedRequests
    control: StreamConsumer
    log: LogPort


class Administration:
    """Serve the administration port of one entry."""

    def __init__(self, parts: AdminParts) -> None:
        """Take the parts to show and change."""
        self._core = parts.core
        self._filings = parts.filings
        self._control = parts.control
        self._log = parts.log
        self._runtime = parts.core.runtime
        self._routes: dict[tuple[str, str], _Handler] = {
            ('GET', '/v1/status'): self._status,
            ('GET', '/v1/timeline'): self._timeline,
            ('GET', '/v1/lost'): self._lost,
            ('GET', '/v1/manifest'): self._manifest,
            ('POST', '/v1/manifest'): self._publish,
            ('POST', '/v1/drain'): self._drain,
        }

    async def handle(self, request: HttpRequest, reply: ResponseWriter) -> None:
        """Answer one request; health and metrics need no token."""
        match request.path:
            case '/healthz':
                await send_liveness(reply)
            case '/readyz':
                await send_readiness(reply, ready=self._core.ready)
            case '/metrics':
                await self._metrics(reply)
            case _:
                await self._guarded(request, reply)

    async def _guarded(
        self, request: HttpRequest, reply: ResponseWriter
    ) -> None:
        given = request.header('authorization') or ''
        expected = f'Bearer {self._core.settings.admin_token}'
        if not hmac.compare_digest(given.encode(), expected.encode()):
            problem = {'title': 'give the administration token'}
            await send_json(reply, _UNAUTHORISED, problem)
            return
        handler = self._routes.get((request.method, request.path))
        if handler is None and _is_resolve(request):
            handler = self._resolve
        if handler is None:
            missing = f'no {request.method} {request.path:.120}'
            await send_json(reply, _NOT_FOUND, {'title': missing})
            return
        await handler(request, reply)

    async def _metrics(self, reply: ResponseWriter) -> None:
        core = self._core
        gauges = {
            'peers_connected': sum(one.connected for one in core.roster.peers),
            'peers': len(core.roster.peers),
            'filings_known': core.shards.ledger.size,
            'filings_open': len(core.shards.ledger.open()),
            'filings_lost': len(core.shards.ledger.lost()),
            'facts_waiting': core.shards.waiting,
            'shard_appends': core.shards.appends,
            'shard_appends_unanswered': core.shards.unanswered,
            'retries_saved': core.budget.saved,
        }
        for name, reading in gauges.items():
            self._runtime.metrics.gauge(name, reading)
        await send_metrics(reply, self._runtime.metrics)

    async def _status(
        self, _request: HttpRequest, reply: ResponseWriter
    ) -> None:
        core = self._core
        configuration = self._runtime.configuration
        ledger = core.shards.ledger
        await send_json(
            reply,
            _OK,
            {
                'entry': self._runtime.process,
                'incarnation': self._runtime.incarnation,
                'failure_domain': self._runtime.domain,
                'ready': core.ready,
                'manifest_version': configuration.version,
                'log_reachable': self._control.reachable
                and core.shards.reachable,
                'host_list_reachable': core.roster.reachable,
                'records_skipped': configuration.skipped_records
                + ledger.skipped,
                'contradictions': ledger.contradictions,
                'filings': {
                    'known': ledger.size,
                    'open': len(ledger.open()),
                    'lost': len(ledger.lost()),
                    'waiting_for_log': core.shards.waiting,
                    'appends_unanswered': core.shards.unanswered,
                },
                'upstreams': [
                    _peer_status(peer, configuration)
                    for peer in core.roster.peers
                ],
            },
        )

    async def _timeline(
        self, _request: HttpRequest, reply: ResponseWriter
    ) -> None:
        sources = [self._runtime.timeline.events_after(0)]
        async with trio.open_nursery() as nursery:
            for peer in self._core.roster.peers:
                nursery.start_soon(_gather_events, peer, sources)
        await send_json(reply, _OK, merge_events(sources))

    async def _lost(self, _request: HttpRequest, reply: ResponseWriter) -> None:
        lost = [_lost_entry(one) for one in self._core.shards.ledger.lost()]
        await send_json(reply, _OK, lost)

    async def _resolve(
        self, request: HttpRequest, reply: ResponseWriter
    ) -> None:
        order = _decode_order(request.body, _ResolveOrder)
        states = {'ran': AttemptState.RAN, 'not-run': AttemptState.VOID}
        if order is None or order.outcome not in states:
            usage = 'give outcome ("ran" or "not-run") and author'
            await send_json(reply, _BAD_REQUEST, {'title': usage})
            return
        quoted = request.path[len(_LOST_PREFIX) : -len(_RESOLVE_SUFFIX)]
        key = IdempotencyKey(unquote(quoted))
        filing = self._core.shards.ledger.find(key)
        if filing is None or filing.state is not AttemptState.LOST:
            missing = f'key {key!r} is not on the lost list'
            await send_json(reply, _NOT_FOUND, {'title': missing})
            return
        resolved = await self._filings.resolve(
            key,
            states[order.outcome],
            order.author,
            _RESOLVE_TIMEOUT_MS,
        )
        status = _OK if resolved else _ACCEPTED
        await send_json(reply, status, {'key': key, 'recorded': resolved})

    async def _manifest(
        self, _request: HttpRequest, reply: ResponseWriter
    ) -> None:
        in_force = self._runtime.configuration.in_force
        if in_force is None:
            await send_json(reply, _NOT_FOUND, {'title': 'no manifest yet'})
            return
        version = ('x-manifest-version', str(in_force.version))
        await reply.send(_OK, (JSON_TYPE, version), in_force.text)

    async def _publish(
        self, request: HttpRequest, reply: ResponseWriter
    ) -> None:
        configuration = self._runtime.configuration
        try:
            parse_manifest(request.body)
        except ManifestError as error:
            refused = {'outcome': 'refused', 'reason': str(error)}
            await send_json(reply, _BAD_REQUEST, refused)
            return
        base = request.query.get('base', str(configuration.version))
        author = request.query.get('author', 'administration')
        if not base.isdecimal():
            refused = {'outcome': 'refused', 'reason': 'base is no version'}
            await send_json(reply, _BAD_REQUEST, refused)
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
        told = {
            'outcome': 'accepted' if verdict.accepted else 'refused',
            'version': verdict.version,
            'reason': verdict.reason,
            'id': change.id,
        }
        await send_json(reply, _OK if verdict.accepted else _CONFLICT, told)

    async def _drain(self, request: HttpRequest, reply: ResponseWriter) -> None:
        order = _decode_order(request.body, _DrainOrder)
        if order is None:
            usage = 'give upstream, draining (true or false) and author'
            await send_json(reply, _BAD_REQUEST, {'title': usage})
            return
        record = Drain(
            id=new_record_id(),
            upstream=order.upstream,
            draining=order.draining,
            author=order.author,
        )
        seen = await publish_drain(
            self._log,
            self._runtime.configuration,
            record,
            PUBLISH_TIMEOUT_MS,
        )
        for peer in self._core.roster.peers:
            peer.announce()
        told = {'upstream': order.upstream, 'in_force': seen}
        await send_json(reply, _OK if seen else _ACCEPTED, told)


def _is_resolve(request: HttpRequest) -> bool:
    return (
        request.method == 'POST'
        and request.path.startswith(_LOST_PREFIX)
        and request.path.endswith(_RESOLVE_SUFFIX)
    )


def _decode_order(body: bytes, kind: type[_Order]) -> _Order | None:
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, RecursionError):
        return None


async def _gather_events(peer: Peer, sources: list[list[Event]]) -> None:
    sources.append(await peer.events(_EVENTS_TIMEOUT_MS))


def _peer_status(peer: Peer, configuration: Configuration) -> dict[str, object]:
    load = peer.load
    return {
        'upstream': peer.name,
        'service': peer.record.service,
        'failure_domain': peer.record.domain,
        'connected': peer.connected,
        'takes_work': peer.takes_work,
        'draining': configuration.is_draining(peer.name),
        'leaving': load is not None and load.shutting_down,
        'queued': 0 if load is None else load.queued,
        'running': 0 if load is None else load.running,
        'work_ms': 0 if load is None else load.short_ms + load.long_ms,
        'manifest_version': 0 if load is None else load.manifest_version,
    }


def _lost_entry(filing: KeyRecord) -> dict[str, object]:
    return {
        'key': filing.intent.key,
        'operation': filing.intent.operation,
        'upstream': filing.intent.upstream,
        'attempt': filing.intent.attempt,
        'reason': filing.conclusion.reason if filing.conclusion else '',
        'recorded_at': filing.recorded_at,
    }
