"""Call an entry's administration API; what the command line is made of."""

from __future__ import annotations

import getpass
from dataclasses import dataclass
from enum import Enum
from typing import Any
from urllib.parse import quote, urlencode

import msgspec
import trio

from .adapters.httpclient import HttpClient, HttpResponse, parse_address
from .adapters.platform import HttpLog
from .clock import move_on_after
from .configuration import Configuration, PublishResult
from .consumer import StreamConsumer
from .exceptions import AmaranthrailError, HttpError
from .publish import new_change, publish_manifest
from .records import CONTROL_STREAM
from .timeline import Event, decode_events, merge_events

CALL_TIMEOUT_MS = 8000
_HTTP_OK = 200
_HTTP_ACCEPTED = 202
_HTTP_CONFLICT = 409
_HTTP_BAD_REQUEST = 400


class ApiError(AmaranthrailError):
    """Report that no entry gave a usable answer."""


class PublishState(Enum):
    """Say what became of a published manifest."""

    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class Published:
    """Hold what became of a published manifest and how to ask again."""

    state: PublishState
    version: int = 0
    reason: str = ''
    change: str = ''


@dataclass(frozen=True, slots=True)
class ManifestText:
    """Hold the manifest in force and its version."""

    version: int
    text: bytes


class AdminApi:
    """Talk to the entries of a deployment."""

    def __init__(self, entries: tuple[str, ...], token: str) -> None:
        """Take the entries' administration addresses and the token."""
        self._clients = [HttpClient(parse_address(one)) for one in entries]
        self._headers = (('authorization', f'Bearer {token}'),)

    async def statuses(self) -> list[dict[str, Any]]:
        """Return the status of every entry; one that is down says so."""
        found: list[dict[str, Any]] = []
        for client in self._clients:
            try:
                answer = await self._call(client, 'GET', '/v1/status')
                found.append(msgspec.json.decode(answer.body))
            except ApiError as error:
                found.append(
                    {'entry': str(client.address), 'error': str(error)}
                )
        return found

    async def timeline(self) -> list[Event]:
        """Return the events of all processes, causes first."""
        sources: list[list[Event]] = []
        for client in self._clients:
            try:
                answer = await self._call(client, 'GET', '/v1/timeline')
            except ApiError:
                continue
            sources.append(decode_events(answer.body))
        if not sources:
            raise ApiError('no entry answered')
        return merge_events(sources)

    async def lost(self) -> list[dict[str, Any]]:
        """Return the lost list."""
        answer = await self._first('GET', '/v1/lost')
        found: list[dict[str, Any]] = msgspec.json.decode(answer.body)
        return found

    async def resolve(self, key: str, outcome: str) -> bool:
        """Close a lost key; tell whether that is on record."""
        quoted = quote(key, safe='')
        order = {'outcome': outcome, 'author': getpass.getuser()}
        answer = await self._first(
            'POST',
            f'/v1/lost/{quoted}/resolve',
            msgspec.json.encode(order),
        )
        return answer.status == _HTTP_OK

    async def drain(self, upstream: str, *, draining: bool) -> bool:
        """Start or end a drain; tell whether it is in force."""
        order = {
            'upstream': upstream,
            'draining': draining,
            'author': getpass.getuser(),
        }
        answer = await self._first(
            'POST',
            '/v1/drain',
            msgspec.json.encode(order),
        )
        return answer.status == _HTTP_OK

    async def manifest(self) -> ManifestText:
        """Return the manifest in force."""
        answer = await self._first('GET', '/v1/manifest')
        version = answer.header('x-manifest-version') or '0'
        return ManifestText(int(version), answer.body)

    async def publish(self, text: bytes, base: int | None) -> Published:
        """Propose a manifest made from ``base``, else from the latest."""
        query = {'author': getpass.getuser()}
        if base is not None:
            query['base'] = str(base)
        target = f'/v1/manifest?{urlencode(query)}'
        answer = await self._first('POST', target, text)
        told = msgspec.json.decode(answer.body)
        return Published(
            PublishState(told['outcome']),
            told.get('version', 0),
            told.get('reason', ''),
            told.get('id', ''),
        )

    async def _first(
        self,
        method: str,
        target: str,
        body: bytes = b'',
    ) -> HttpResponse:
        error = ApiError('no entry given: set --admin')
        for client in self._clients:
            try:
                return await self._call(client, method, target, body)
            except ApiError as failure:
                error = failure
        raise error

    async def _call(
        self,
        client: HttpClient,
        method: str,
        target: str,
        body: bytes = b'',
    ) -> HttpResponse:
        try:
            with trio.fail_after(CALL_TIMEOUT_MS / 1000):
                answer = await client.call(
                    method,
                    target,
                    self._headers,
                    body,
                    new_connection=True,
                )
        except (HttpError, trio.TooSlowError) as error:
            raise ApiError(f'entry {client.address}: {error}') from error
        told = {_HTTP_OK, _HTTP_ACCEPTED, _HTTP_CONFLICT}
        publishing = (
            _HTTP_BAD_REQUEST if target.startswith('/v1/manifest') else 0
        )
        if answer.status not in told | {publishing}:
            text = answer.body.decode(errors='replace')
            raise ApiError(f'entry {client.address}: {answer.status} {text}')
        return answer


async def publish_to_log(
    platform: str,
    text: bytes,
    base: int | None,
    timeout_ms: int = CALL_TIMEOUT_MS,
) -> Published:
    """Propose a manifest straight to the log, with no entry running."""
    log = HttpLog(parse_address(platform))
    configuration = Configuration()
    follower = StreamConsumer(log, CONTROL_STREAM, configuration.apply)
    verdict: PublishResult | None = None
    change = ''
    with move_on_after(timeout_ms):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follower.run)
            await follower.wait_caught_up()
            made_from = configuration.version if base is None else base
            record = new_change(made_from, text, getpass.getuser())
            change = record.id
            verdict = await publish_manifest(
                log,
                configuration,
                record,
                timeout_ms,
            )
            nursery.cancel_scope.cancel()
    if verdict is None:
        return Published(PublishState.UNKNOWN, change=change)
    state = PublishState.ACCEPTED if verdict.accepted else PublishState.REFUSED
    return Published(state, verdict.version, verdict.reason, change)
