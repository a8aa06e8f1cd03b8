"""Keep the connection to one sidecar and the exchanges in flight on it."""

from __future__ import annotations

import itertools
import ssl
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import trio

from ..adapters.dial import dial
from ..adapters.httpclient import Address
from ..adapters.link import (
    HANDSHAKE_TIMEOUT_S,
    Link,
    LinkClosedError,
    client_handshake,
)
from ..clock import move_on_after, sleep
from ..configsync import (
    exchange_frames,
    handle_config_frame,
    heartbeat_without_load,
)
from ..exceptions import FrameError
from ..frames import (
    Ack,
    AnyFrame,
    AttemptQuery,
    Cancel,
    Dispatch,
    EventsRequest,
    EventsResponse,
    Failed,
    Heartbeat,
    Hello,
    KeyQuery,
    Refused,
    ResponseData,
    ResponseEnd,
    ResponseHead,
    Welcome,
)
from ..logs import part_logger
from ..outcomes import Reason, unknown_outcome
from ..policy.balancing import Candidate
from ..ports import HostRecord, HostState
from ..runtime import Runtime
from ..settings import EntrySettings
from ..timeline import Event
from ..types import Incarnation, RequestId
from .exchange import Exchange
from .inflight import InFlight
from .load import LoadTracker

_RECONNECT_MS = 100
_MAX_RECONNECT_MS = 1000
_log = part_logger('peer')


@dataclass(frozen=True, slots=True)
class PeerContext:
    """Hold what the connections of one entry share.

    ``next_request`` and ``next_connection`` return ids that this incarnation of
    the entry has not used before; ``tls`` is None for plain TCP.
    """

    runtime: Runtime
    settings: EntrySettings
    tls: ssl.SSLContext | None
    next_request: Callable[[], RequestId]
    next_connection: Callable[[], int]


def make_peer_context(
    runtime: Runtime,
    settings: EntrySettings,
    tls: ssl.SSLContext | None,
) -> PeerContext:
    """Return a context whose ids count up within this entry's incarnation."""
    requests = itertools.count(1)
    connections = itertools.count(1)
    return PeerContext(
        runtime,
        settings,
        tls,
        lambda: RequestId(f'{runtime.incarnation}-{next(requests)}'),
        lambda: next(connections),
    )


class Peer:
    """Connect to one sidecar and track its load and exchanges."""

    def __init__(self, record: HostRecord, context: PeerContext) -> None:
        """Take the sidecar's record in the host list, not connected yet."""
        self._record = record
        self._context = context
        self._runtime = context.runtime
        self._link: Link | None = None
        self._incarnation: Incarnation | None = None
        self._load: Heartbeat | None = None
        self._tracker = LoadTracker(record.upstream)
        self._in_flight = InFlight(self._runtime.metrics)
        self._scope = trio.CancelScope()
        self._connection_refused = False
        self._unreachable_since = self._runtime.clock.now()

    @property
    def record(self) -> HostRecord:
        """Return the sidecar's latest record in the host list."""
        return self._record

    @property
    def name(self) -> str:
        """Return the name of the sidecar's upstream."""
        return self._record.upstream

    @property
    def incarnation(self) -> Incarnation | None:
        """Return the sidecar's incarnation on the latest connection."""
        return self._incarnation

    @property
    def connected(self) -> bool:
        """Tell whether a connection is up and a heartbeat has arrived on it."""
        return self._link is not None and self._load is not None

    @property
    def load(self) -> Heartbeat | None:
        """Return the sidecar's latest heartbeat, None before the first."""
        return self._load

    @property
    def in_flight(self) -> int:
        """Return the number of open exchanges."""
        return len(self._in_flight)

    @property
    def accepts_work(self) -> bool:
        """Tell whether new requests may be dispatched to the sidecar.

        It must be connected, not shutting down by its heartbeats or the host
        list, and not drained by an operator.
        """
        if self._load is None or self._link is None:
            return False
        if self._load.shutting_down or self._record.state is HostState.LEAVING:
            return False
        return not self._runtime.configuration.is_draining(self.name)

    def is_gone(self, incarnation: str) -> bool:
        """Tell whether an incarnation of the sidecar has certainly ended.

        That is so when another incarnation is connected, or when connections to
        its address are refused.
        """
        replaced = self.connected and self._incarnation != incarnation
        return self._connection_refused or replaced

    def update_record(self, record: HostRecord) -> None:
        """Apply a newer record of the same upstream; reconnect if it moved."""
        address_changed = (record.host, record.port) != (
            self._record.host,
            self._record.port,
        )
        self._record = record
        if address_changed:
            self._scope.cancel()

    def candidate(self, long_share: float, *, long: bool) -> Candidate:
        """Return the replica and its expected wait, own dispatches included."""
        return self._tracker.candidate(long_share, long=long)

    def dispatch(
        self, make_frame: Callable[[RequestId, float], Dispatch]
    ) -> Exchange:
        """Send a request and return its exchange.

        ``make_frame`` builds the frame from the request's id and the clock of
        the sidecar's latest heartbeat, 0 before the first.
        """
        request = self._context.next_request()
        clock = 0.0 if self._load is None else self._load.clock
        opening = make_frame(request, clock)
        exchange = Exchange(request, opening)
        self._tracker.add_dispatch(opening)
        self._send_opening(exchange)
        return exchange

    def inquire_intent(self, intent: str) -> Exchange:
        """Query an attempt's outcome; the sidecar voids it if not started."""
        request = self._context.next_request()
        incarnation = self._incarnation or ''
        exchange = Exchange(request, AttemptQuery(request, incarnation, intent))
        self._send_opening(exchange)
        return exchange

    def inquire_key(self, key: str) -> Exchange:
        """Query the outcome of a key at the sidecar, voiding nothing."""
        request = self._context.next_request()
        exchange = Exchange(request, KeyQuery(request, key))
        self._send_opening(exchange)
        return exchange

    def close(self, exchange: Exchange, *, cancel: bool) -> None:
        """Close an exchange; ``cancel`` stops its unfinished run as well."""
        self._in_flight.remove(exchange)
        opening = exchange.opening
        if isinstance(opening, Dispatch):
            self._tracker.remove_dispatch(opening)
        if self._link is None:
            return
        if cancel and not exchange.ended:
            self._link.enqueue(Cancel(exchange.request))
        else:
            done = Ack(exchange.request, exchange.received, done=True)
            self._link.enqueue(done)

    def acknowledge(self, exchange: Exchange) -> None:
        """Acknowledge bytes passed on, so that the sidecar sends more."""
        ack = exchange.next_ack()
        if ack is not None and self._link is not None:
            self._link.enqueue(ack)

    def send_heartbeat(self) -> None:
        """Report the versions in force now, not only at the next interval."""
        if self._link is not None:
            self._link.enqueue(heartbeat_without_load(self._runtime))

    async def fetch_events(self, timeout_ms: float) -> list[Event]:
        """Return the sidecar's timeline, empty if it is not sent in time."""
        if self._link is None:
            return []
        request = self._context.next_request()
        waiter = self._in_flight.add_waiter(request)
        self._link.enqueue(EventsRequest(request, 0))
        with move_on_after(timeout_ms):
            await waiter.wait()
        self._in_flight.remove_waiter(request)
        return waiter.events

    async def run(self) -> None:
        """Keep the connection up until cancelled, reconnecting with backoff."""
        backoff_ms = _RECONNECT_MS
        while True:
            self._scope = trio.CancelScope()
            with self._scope:
                is_established = await self._connect_once()
                backoff_ms = _RECONNECT_MS if is_established else 2 * backoff_ms
                backoff_ms = min(backoff_ms, _MAX_RECONNECT_MS)
            self._fail_unreachable()
            await sleep(backoff_ms)

    async def _connect_once(self) -> bool:
        """Serve one connection; tell whether its handshake completed."""
        try:
            stream = await self._dial()
        except ConnectionRefusedError:
            # Nothing listens at the address: the process that ran the
            # exchanges has ended.
            self._connection_refused = True
            self._fail_all()
            return False
        except (OSError, trio.TooSlowError, trio.BrokenResourceError):
            return False
        link = Link(stream, self._runtime.clock)
        try:
            return await self._serve(link)
        finally:
            self._drop_link(link)
            await trio.aclose_forcefully(stream)

    async def _dial(self) -> trio.abc.Stream:
        address = Address(self._record.host, self._record.port)
        return await dial(address, self._context.tls)

    async def _serve(self, link: Link) -> bool:
        is_established = False
        try:
            with trio.fail_after(HANDSHAKE_TIMEOUT_S):
                welcome = await client_handshake(
                    link,
                    self._context.settings.peer_key.encode(),
                    self._hello(),
                )
            is_established = self._accept_welcome(link, welcome)
            if is_established:
                await exchange_frames(
                    link,
                    self._runtime,
                    self._context.settings,
                    partial(self._handle_frame, link),
                )
        except* (LinkClosedError, FrameError, trio.TooSlowError) as group:
            self._record_disconnect(group.exceptions[0])
        return is_established

    def _hello(self) -> Hello:
        return Hello(
            b'',
            b'',
            self._runtime.process,
            self._runtime.incarnation,
            self._context.next_connection(),
        )

    def _accept_welcome(self, link: Link, welcome: Welcome) -> bool:
        if welcome.upstream != self._record.upstream:
            _log.warning(
                'sidecar serves another upstream',
                expected=self._record.upstream,
                actual=welcome.upstream,
            )
            return False
        if welcome.incarnation != self._incarnation:
            self._fail_all()
        self._incarnation = Incarnation(welcome.incarnation)
        self._connection_refused = False
        self._link = link
        self._load = None
        self._runtime.timeline.add('peer-connected', self.name)
        for frame in self._in_flight.resume_frames():
            link.enqueue(frame)
        return True

    def _handle_frame(self, link: Link, frame: AnyFrame) -> None:
        if isinstance(frame, Heartbeat):
            self._load = frame
            self._tracker.apply_heartbeat(frame)
        if handle_config_frame(link, self._runtime, frame):
            return
        match frame:
            case ResponseHead() | ResponseEnd() | Refused() | Failed():
                self._runtime.clock.receive(frame.stamp)
                self._in_flight.deliver(frame)
            case ResponseData():
                self._in_flight.deliver(frame)
            case EventsResponse():
                self._in_flight.deliver_events(frame)
            case _:
                raise FrameError(f'unexpected {type(frame).__name__}')

    def _send_opening(self, exchange: Exchange) -> None:
        if self._link is None:
            exchange.fail(unknown_outcome(Reason.PEER_GONE, 'not connected'))
            return
        self._in_flight.add(exchange)
        self._link.enqueue(exchange.opening)

    def _drop_link(self, link: Link) -> None:
        if self._link is link:
            self._link = None
            self._unreachable_since = self._runtime.clock.now()

    def _record_disconnect(self, error: BaseException) -> None:
        _log.info('connection ended', upstream=self.name, cause=str(error))
        self._runtime.timeline.add('peer-lost', self.name, str(error))

    def _fail_unreachable(self) -> None:
        """Fail all exchanges after ``silence_ms`` without a connection."""
        if self._link is not None:
            return
        unreachable_ms = self._runtime.clock.now() - self._unreachable_since
        if unreachable_ms > self._context.settings.silence_ms:
            self._fail_all()

    def _fail_all(self) -> None:
        detail = f'sidecar of {self.name} is gone'
        self._in_flight.fail_all(unknown_outcome(Reason.PEER_GONE, detail))
