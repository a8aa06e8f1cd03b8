"""Keep the connection to one sidecar and the work in flight there."""

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
class PeerAccess:
    """Hold what all connections of one entry share."""

    runtime: Runtime
    settings: EntrySettings
    tls: ssl.SSLContext | None
    next_request: Callable[[], RequestId]
    next_connection: Callable[[], int]


def make_access(
    runtime: Runtime,
    settings: EntrySettings,
    tls: ssl.SSLContext | None,
) -> PeerAccess:
    """Return the access whose ids are unique to this entry's incarnation."""
    requests = itertools.count(1)
    connections = itertools.count(1)
    return PeerAccess(
        runtime,
        settings,
        tls,
        lambda: RequestId(f'{runtime.incarnation}-{next(requests)}'),
        lambda: next(connections),
    )


class Peer:
    """Hold one sidecar's connection, load and exchanges."""

    def __init__(self, record: HostRecord, access: PeerAccess) -> None:
        """Take the sidecar's listing."""
        self._record = record
        self._access = access
        self._runtime = access.runtime
        self._link: Link | None = None
        self._incarnation: Incarnation | None = None
        self._load: Heartbeat | None = None
        self._tracker = LoadTracker(record.upstream)
        self._in_flight = InFlight(self._runtime.metrics)
        self._scope = trio.CancelScope()
        self._refused = False
        self._unreachable_since = self._runtime.clock.now()

    @property
    def record(self) -> HostRecord:
        """Return the sidecar's listing."""
        return self._record

    @property
    def name(self) -> str:
        """Return the upstream's name."""
        return self._record.upstream

    @property
    def incarnation(self) -> Incarnation | None:
        """Return the incarnation last connected to."""
        return self._incarnation

    @property
    def connected(self) -> bool:
        """Tell whether the sidecar can be reached now."""
        return self._link is not None and self._load is not None

    @property
    def load(self) -> Heartbeat | None:
        """Return the sidecar's latest heartbeat."""
        return self._load

    @property
    def in_flight(self) -> int:
        """Return how many exchanges have not ended."""
        return len(self._in_flight)

    @property
    def takes_work(self) -> bool:
        """Tell whether new work may go there, by any word there is."""
        if self._load is None or self._link is None:
            return False
        if self._load.shutting_down or self._record.state is HostState.LEAVING:
            return False
        return not self._runtime.configuration.is_draining(self.name)

    def is_gone(self, incarnation: str) -> bool:
        """Tell whether an incarnation of the sidecar has certainly ended."""
        replaced = self.connected and self._incarnation != incarnation
        return self._refused or replaced

    def update(self, record: HostRecord) -> None:
        """Take a newer listing of the same upstream."""
        moved = (record.host, record.port) != (
            self._record.host,
            self._record.port,
        )
        self._record = record
        if moved:
            self._scope.cancel()

    def candidate(self, long_share: float, *, long: bool) -> Candidate:
        """Return the expected wait there, own fresh work included."""
        return self._tracker.candidate(long_share, long=long)

    def dispatch(
        self, make: Callable[[RequestId, float], Dispatch]
    ) -> Exchange:
        """Send a request; ``make`` gets its id and the sidecar's clock."""
        request = self._access.next_request()
        clock = 0.0 if self._load is None else self._load.clock
        opening = make(request, clock)
        exchange = Exchange(request, opening)
        self._tracker.begin(opening)
        self._open(exchange)
        return exchange

    def inquire(self, intent: str) -> Exchange:
        """Ask what became of an attempt, voiding it if it has not started."""
        request = self._access.next_request()
        incarnation = self._incarnation or ''
        exchange = Exchange(request, AttemptQuery(request, incarnation, intent))
        self._open(exchange)
        return exchange

    def ask_key(self, key: str) -> Exchange:
        """Ask what became of a key there, voiding nothing."""
        request = self._access.next_request()
        exchange = Exchange(request, KeyQuery(request, key))
        self._open(exchange)
        return exchange

    def close(self, exchange: Exchange, *, cancel: bool) -> None:
        """Forget an exchange; ``cancel`` stops its work too."""
        self._in_flight.remove(exchange)
        opening = exchange.opening
        if isinstance(opening, Dispatch):
            self._tracker.end(opening)
        if self._link is None:
            return
        if cancel and not exchange.ended:
            self._link.enqueue(Cancel(exchange.request))
        else:
            done = Ack(exchange.request, exchange.received, done=True)
            self._link.enqueue(done)

    def acknowledge(self, exchange: Exchange) -> None:
        """Open the sidecar's window for what the caller has taken."""
        ack = exchange.ack()
        if ack is not None and self._link is not None:
            self._link.enqueue(ack)

    def announce(self) -> None:
        """Tell the versions in force now rather than at the next beat."""
        if self._link is not None:
            self._link.enqueue(heartbeat_without_load(self._runtime))

    async def events(self, timeout_ms: float) -> list[Event]:
        """Return the sidecar's time line, empty where it does not answer."""
        if self._link is None:
            return []
        request = self._access.next_request()
        waiter = self._in_flight.add_waiter(request)
        self._link.enqueue(EventsRequest(request, 0))
        with move_on_after(timeout_ms):
            await waiter.wait()
        self._in_flight.remove_waiter(request)
        return waiter.events

    async def run(self) -> None:
        """Stay connected until cancelled."""
        backoff = _RECONNECT_MS
        while True:
            self._scope = trio.CancelScope()
            with self._scope:
                reached = await self._connect_once()
                backoff = _RECONNECT_MS if reached else 2 * backoff
                backoff = min(backoff, _MAX_RECONNECT_MS)
            self._fail_unreachable()
            await sleep(backoff)

    async def _connect_once(self) -> bool:
        """Serve one connection; tell whether it was ever established."""
        try:
            stream = await self._dial()
        except ConnectionRefusedError:
            # Nobody listens: the process that held the exchanges is gone.
            self._refused = True
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
        return await dial(address, self._access.tls)

    async def _serve(self, link: Link) -> bool:
        established = False
        try:
            with trio.fail_after(HANDSHAKE_TIMEOUT_S):
                welcome = await client_handshake(
                    link,
                    self._access.settings.peer_key.encode(),
                    self._hello(),
                )
            established = self._accept(link, welcome)
            if established:
                await exchange_frames(
                    link,
                    self._runtime,
                    self._access.settings,
                    partial(self._take, link),
                )
        except* (LinkClosedError, FrameError, trio.TooSlowError) as group:
            self._note_lost(group.exceptions[0])
        return established

    def _hello(self) -> Hello:
        return Hello(
            b'',
            b'',
            self._runtime.process,
            self._runtime.incarnation,
            self._access.next_connection(),
        )

    def _accept(self, link: Link, welcome: Welcome) -> bool:
        if welcome.upstream != self._record.upstream:
            _log.warning(
                'another upstream answers',
                expected=self._record.upstream,
                found=welcome.upstream,
            )
            return False
        if welcome.incarnation != self._incarnation:
            self._fail_all()
        self._incarnation = Incarnation(welcome.incarnation)
        self._refused = False
        self._link = link
        self._load = None
        self._runtime.timeline.add('peer-connected', self.name)
        for frame in self._in_flight.resumptions():
            link.enqueue(frame)
        return True

    def _take(self, link: Link, frame: AnyFrame) -> None:
        if isinstance(frame, Heartbeat):
            self._load = frame
            self._tracker.hear(frame)
        if handle_config_frame(link, self._runtime, frame):
            return
        match frame:
            case ResponseHead() | ResponseEnd() | Refused() | Failed():
                self._runtime.clock.receive(frame.stamp)
                self._in_flight.take(frame)
            case ResponseData():
                self._in_flight.take(frame)
            case EventsResponse():
                self._in_flight.take_events(frame)
            case _:
                raise FrameError(f'unexpected {type(frame).__name__}')

    def _open(self, exchange: Exchange) -> None:
        if self._link is None:
            exchange.fail(unknown_outcome(Reason.PEER_GONE, 'not connected'))
            return
        self._in_flight.add(exchange)
        self._link.enqueue(exchange.opening)

    def _drop_link(self, link: Link) -> None:
        if self._link is link:
            self._link = None
            self._unreachable_since = self._runtime.clock.now()

    def _note_lost(self, error: BaseException) -> None:
        _log.info('connection ended', upstream=self.name, cause=str(error))
        self._runtime.timeline.add('peer-lost', self.name, str(error))

    def _fail_unreachable(self) -> None:
        """Give up on exchanges once reconnecting has taken too long."""
        if self._link is not None:
            return
        waited = self._runtime.clock.now() - self._unreachable_since
        if waited > self._access.settings.silence_ms:
            self._fail_all()

    def _fail_all(self) -> None:
        detail = f'sidecar of {self.name} is gone'
        self._in_flight.fail_all(unknown_outcome(Reason.PEER_GONE, detail))
