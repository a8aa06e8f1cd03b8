"""Call the administration API of entries, for the command line."""

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
from .decoding import Undecodable
from .exceptions import AmaranthrailError, HttpError
from .publish import new_change, publish_manifest
from .records import CONTROL_STREAM
from .timeline import Event, decode_events, merge_events

#: Longest time for an API call or for publishing to the log, in ms.
CALL_TIMEOUT_MS = 8000
_HTTP_OK = 200
_HTTP_ACCEPTED = 202
_HTTP_CONFLICT = 409
_HTTP_BAD_REQUEST = 400


class ApiError(AmaranthrailError):
    """Report that no entry gave a usable response."""


class PublishState(Enum):
    """State whether a published manifest was accepted."""

    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class PublishReport:
    """Describe the result of publishing a manifest.

    ``change`` is the id of the change record, by which an operator can look for
    the result of an unknown publish. ``version`` is the version in force, 0
    while the result is unknown.
    """

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
    """Call the administration APIs of a deployment's entries."""

    def __init__(self, entries: tuple[str, ...], token: str) -> None:
        """Create a client for each entry's administration address."""
        self._clients = [
            HttpClient(parse_address(address)) for address in entries
        ]
        self._headers = (('authorization', f'Bearer {token}'),)

    async def statuses(self) -> list[dict[str, Any]]:
        """Return the status of every entry.

        An entry that cannot be reached has the keys ``entry`` and ``error``.
        """
        statuses: list[dict[str, Any]] = []
        for client in self._clients:
            try:
                response = await self._call(client, 'GET', '/v1/status')
                statuses.append(msgspec.json.decode(response.body))
            except ApiError as error:
                statuses.append(
                    {'entry': str(client.address), 'error': str(error)}
                )
        return statuses

    async def timeline(self) -> list[Event]:
        """Return the events of all processes, causes before their effects.

        Entries that cannot be reached are left out. Raises ApiError where none
        can be.
        """
        sources: list[list[Event]] = []
        for client in self._clients:
            try:
                response = await self._call(client, 'GET', '/v1/timeline')
            except ApiError:
                continue
            events = decode_events(response.body)
            if not isinstance(events, Undecodable):
                sources.append(events)
        if not sources:
            raise ApiError('no entry responded')
        return merge_events(sources)

    async def lost(self) -> list[dict[str, Any]]:
        """Return the keyed requests whose outcome is lost. Raises ApiError."""
        response = await self._call_any('GET', '/v1/lost')
        lost_keys: list[dict[str, Any]] = msgspec.json.decode(response.body)
        return lost_keys

    async def resolve(self, key: str, outcome: str) -> bool:
        """Set the outcome of a lost key; return whether it has been recorded.

        Raises ApiError.
        """
        quoted = quote(key, safe='')
        resolution = {'outcome': outcome, 'author': getpass.getuser()}
        response = await self._call_any(
            'POST',
            f'/v1/lost/{quoted}/resolve',
            msgspec.json.encode(resolution),
        )
        return response.status == _HTTP_OK

    async def drain(self, upstream: str, *, draining: bool) -> bool:
        """Start or end a drain; return whether it is in force.

        Raises ApiError.
        """
        order = {
            'upstream': upstream,
            'draining': draining,
            'author': getpass.getuser(),
        }
        response = await self._call_any(
            'POST',
            '/v1/drain',
            msgspec.json.encode(order),
        )
        return response.status == _HTTP_OK

    async def manifest(self) -> ManifestText:
        """Return the manifest in force. Raises ApiError."""
        response = await self._call_any('GET', '/v1/manifest')
        version = response.header('x-manifest-version') or '0'
        return ManifestText(int(version), response.body)

    async def publish(self, text: bytes, base: int | None) -> PublishReport:
        """Propose a manifest that was edited from version ``base``.

        Without ``base`` the entry takes the version in force. Raises ApiError.
        """
        query = {'author': getpass.getuser()}
        if base is not None:
            query['base'] = str(base)
        target = f'/v1/manifest?{urlencode(query)}'
        response = await self._call_any('POST', target, text)
        fields = msgspec.json.decode(response.body)
        return PublishReport(
            PublishState(fields['outcome']),
            fields.get('version', 0),
            fields.get('reason', ''),
            fields.get('id', ''),
        )

    async def _call_any(
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
                response = await client.call(
                    method,
                    target,
                    self._headers,
                    body,
                    new_connection=True,
                )
        except (HttpError, trio.TooSlowError) as error:
            raise ApiError(f'entry {client.address}: {error}') from error
        usable = {_HTTP_OK, _HTTP_ACCEPTED, _HTTP_CONFLICT}
        invalid_manifest = (
            _HTTP_BAD_REQUEST if target.startswith('/v1/manifest') else 0
        )
        if response.status not in usable | {invalid_manifest}:
            text = response.body.decode(errors='replace')
            raise ApiError(f'entry {client.address}: {response.status} {text}')
        return response


async def publish_to_log(
    platform: str,
    text: bytes,
    base: int | None,
    timeout_ms: int = CALL_TIMEOUT_MS,
) -> PublishReport:
    """Publish a manifest by appending to the log, without any entry."""
    log = HttpLog(parse_address(platform))
    configuration = Configuration()
    consumer = StreamConsumer(log, CONTROL_STREAM, configuration.apply)
    publish_result: PublishResult | None = None
    change = ''
    with move_on_after(timeout_ms):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(consumer.run)
            await consumer.wait_caught_up()
            base_version = configuration.version if base is None else base
            record = new_change(base_version, text, getpass.getuser())
            change = record.id
            publish_result = await publish_manifest(
                log,
                configuration,
                record,
                timeout_ms,
            )
            nursery.cancel_scope.cancel()
    if publish_result is None:
        return PublishReport(PublishState.UNKNOWN, change=change)
    state = (
        PublishState.ACCEPTED
        if publish_result.accepted
        else PublishState.REFUSED
    )
    return PublishReport(
        state, publish_result.version, publish_result.reason, change
    )
