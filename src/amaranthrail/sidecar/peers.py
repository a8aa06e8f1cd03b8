"""Serve a peer connection: accept work, send responses, report load."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import trio

from ..adapters.link import (
    HANDSHAKE_TIMEOUT_S,
    Link,
    LinkClosedError,
    server_handshake,
)
from ..clock import sleep
from ..configsync import handle_config_frame
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
    GroupOrder,
    GroupReply,
    Heartbeat,
    Hello,
    KeyQuery,
    Refused,
    Resume,
    Welcome,
)
from ..logs import part_logger
from ..orders import decode_order, encode_order
from ..outcomes import Reason, Refusal
from ..runtime import Runtime
from ..settings import SidecarSettings
from ..timeline import encode_events
from ..types import RequestId
from .gate import DispatchGate
from .rank import RankAcceptor
from .run import NOTHING_SENT, ChangeListener, Progress, Run
from .slots import SlotQueue
from .worker import Worker

_log = part_logger('peers')


@dataclass(frozen=True, slots=True)
class SidecarContext:
    """Hold what all peer connections of one sidecar share.

    ``runs`` is the nursery in which runs execute, so that they outlive the
    connection that they arrived on; ``rank`` is None outside a group.
    """

    runtime: Runtime
    settings: SidecarSettings
    gate: DispatchGate
    slots: SlotQueue
    worker: Worker
    runs: trio.Nursery
    rank: RankAcceptor | None = None


class LatestConnections:
    """Track each peer's latest connection, which replaces earlier ones."""

    def __init__(self) -> None:
        """Start without connections; peers are indexed by incarnation."""
        self._latest: dict[str, tuple[int, trio.CancelScope]] = {}

    def replace(self, hello: Hello, scope: trio.CancelScope) -> bool:
        """Cancel a peer's earlier connection; return False if this is older."""
        latest_number, latest_scope = self._latest.get(
            hello.incarnation, (0, None)
        )
        if hello.connection <= latest_number:
            return False
        if latest_scope is not None:
            latest_scope.cancel()
        self._latest[hello.incarnation] = (hello.connection, scope)
        return True

    def remove(self, hello: Hello) -> None:
        """Forget a connection that has ended, unless it has been replaced."""
        latest_number, _ = self._latest.get(hello.incarnation, (0, None))
        if hello.connection == latest_number:
            del self._latest[hello.incarnation]


class PeerConnection:
    """Serve one connection from an entry or from another rank's sidecar."""

    def __init__(
        self,
        link: Link,
        context: SidecarContext,
        connections: LatestConnections,
    ) -> None:
        """Set a new connection, before its handshake."""
        self._link = link
        self._context = context
        self._runtime = context.runtime
        self._connections = connections
        self._unsubscribe_by_request: dict[str, Callable[[], None]] = {}

    @property
    def has_unsent(self) -> bool:
        """Tell whether frames are queued that have not been sent."""
        return self._link.has_unsent

    async def serve(self) -> None:
        """Do the handshake, then exchange frames until the connection ends."""
        hello: Hello | None = None
        try:
            with trio.fail_after(HANDSHAKE_TIMEOUT_S):
                hello = await self._accept_handshake()
            with trio.CancelScope() as scope:
                if self._connections.replace(hello, scope):
                    await self._exchange_frames()
        except* (LinkClosedError, FrameError, trio.TooSlowError) as group:
            self._runtime.metrics.count('peer_connections_ended')
            _log.info('connection ended', cause=str(group.exceptions[0]))
        finally:
            for request in tuple(self._unsubscribe_by_request):
                self._stop_sending(request)
            if hello is not None:
                self._connections.remove(hello)

    def send_heartbeat(self) -> None:
        """Queue a heartbeat now, besides the periodic ones."""
        self._link.enqueue(self._make_heartbeat())

    async def _accept_handshake(self) -> Hello:
        settings = self._context.settings
        welcome = Welcome(
            b'',
            self._runtime.process,
            self._runtime.incarnation,
            settings.service,
            settings.upstream,
            settings.domain,
        )
        return await server_handshake(
            self._link, settings.peer_key.encode(), welcome
        )

    async def _exchange_frames(self) -> None:
        link = self._link
        silence_ms = self._context.settings.silence_ms
        async with trio.open_nursery() as nursery:
            nursery.start_soon(link.run_writer)
            nursery.start_soon(link.watch_liveness, silence_ms)
            nursery.start_soon(self._send_heartbeats)
            while True:
                self._handle_frame(await link.receive(), nursery)

    async def _send_heartbeats(self) -> None:
        while True:
            self._link.enqueue(self._make_heartbeat())
            await sleep(self._context.settings.heartbeat_ms)

    def _make_heartbeat(self) -> Heartbeat:
        configuration = self._runtime.configuration
        slots = self._context.slots
        short = slots.outstanding_work(long=False)
        long = slots.outstanding_work(long=True)
        return Heartbeat(
            self._runtime.clock.stamp(),
            self._runtime.clock.now(),
            configuration.version,
            configuration.drains_version,
            slots.queued,
            slots.running,
            int(short.count),
            short.cost_ms,
            int(long.count),
            long.cost_ms,
            slots.count,
            self._context.gate.is_draining,
        )

    def _handle_frame(self, frame: AnyFrame, nursery: trio.Nursery) -> None:
        if handle_config_frame(self._link, self._runtime, frame):
            return
        match frame:
            case Dispatch():
                self._runtime.clock.receive(frame.stamp)
                self._handle_dispatch(frame)
            case Ack():
                self._handle_ack(frame)
            case Resume() | AttemptQuery() | KeyQuery() | Cancel():
                self._handle_run_frame(frame)
            case EventsRequest():
                events = self._runtime.timeline.events_after(frame.after)
                self._link.enqueue(
                    EventsResponse(frame.request, encode_events(events))
                )
            case GroupOrder():
                nursery.start_soon(self._handle_order, frame)
            case _:
                raise FrameError(f'unexpected {type(frame).__name__}')

    async def _handle_order(self, frame: GroupOrder) -> None:
        rank = self._context.rank
        if rank is None:
            self._runtime.metrics.count('group_orders_unexpected')
            return
        reply = await rank.handle_order(decode_order(frame.payload))
        self._link.enqueue(GroupReply(frame.request, encode_order(reply)))

    def _handle_run_frame(
        self,
        frame: Resume | AttemptQuery | KeyQuery | Cancel,
    ) -> None:
        gate = self._context.gate
        match frame:
            case Resume():
                run = gate.find_run(frame.request)
                if run is None:
                    gate.void(frame.request)
                progress = Progress(frame.received, has_head=frame.has_head)
                self._send_response(frame.request, run, progress)
            case AttemptQuery():
                self._handle_attempt_query(frame)
            case KeyQuery():
                self._handle_key_query(frame)
            case Cancel():
                self._cancel(frame.request)

    def _handle_attempt_query(self, query: AttemptQuery) -> None:
        if query.incarnation != self._runtime.incarnation:
            # This incarnation does not know what an earlier one has run.
            stamp = self._runtime.clock.stamp()
            reason = Reason.WRONG_INCARNATION.value
            self._link.enqueue(Failed(query.request, stamp, reason))
            return
        run = self._context.gate.find_or_void(query.intent)
        progress = Progress(query.received)
        self._send_response(query.request, run, progress)

    def _handle_key_query(self, query: KeyQuery) -> None:
        run = self._context.gate.find_run_by_key(query.key)
        if run is None:
            self._refuse(query.request, Reason.KEY_UNKNOWN, 'never ran here')
            return
        self._send_response(query.request, run)

    def _handle_dispatch(self, dispatch: Dispatch) -> None:
        run_or_refusal = self._context.gate.check_dispatch(dispatch)
        if isinstance(run_or_refusal, Refusal):
            if run_or_refusal.reason is Reason.STALE_MANIFEST:
                self.send_heartbeat()
            self._refuse(
                dispatch.request, run_or_refusal.reason, run_or_refusal.detail
            )
            return
        if run_or_refusal is None:
            run_or_refusal = Run(dispatch, self._runtime.clock.now())
            self._context.gate.add_run(run_or_refusal)
            self._context.runs.start_soon(
                self._context.worker.execute, run_or_refusal
            )
        self._send_response(dispatch.request, run_or_refusal)

    def _send_response(
        self,
        request: str,
        run: Run | None,
        progress: Progress = NOTHING_SENT,
    ) -> None:
        if run is None:
            self._refuse(request, Reason.VOIDED, 'never arrived')
            return
        self._stop_sending(request)
        listener = self._make_listener(RequestId(request), run, progress)
        unsubscribe = run.subscribe(listener)
        if not run.ended:
            self._unsubscribe_by_request[request] = unsubscribe

    def _make_listener(
        self,
        request: RequestId,
        run: Run,
        progress: Progress,
    ) -> ChangeListener:
        """Return a listener that sends the frames that an entry still lacks."""

        def send_new_frames() -> None:
            nonlocal progress
            stamp = self._runtime.clock.stamp()
            for frame in run.frames_after(request, progress, stamp):
                self._link.enqueue(frame)
            progress = Progress(run.length, has_head=run.has_head)
            if run.ended:
                self._unsubscribe_by_request.pop(request, None)

        return send_new_frames

    def _stop_sending(self, request: str) -> None:
        unsubscribe = self._unsubscribe_by_request.pop(request, None)
        if unsubscribe is not None:
            unsubscribe()

    def _handle_ack(self, ack: Ack) -> None:
        gate = self._context.gate
        run = gate.find_run(ack.request)
        if run is not None:
            run.acknowledge(ack.received)
        if ack.done:
            gate.discard_run(ack.request)

    def _cancel(self, request: str) -> None:
        run = self._context.gate.find_run(request)
        if run is None or run.dispatch.intent:
            return
        self._stop_sending(request)
        run.abandon()

    def _refuse(self, request: str, reason: Reason, detail: str) -> None:
        stamp = self._runtime.clock.stamp()
        self._runtime.metrics.count('dispatches_refused', reason=reason.value)
        self._link.enqueue(Refused(request, stamp, reason.value, detail))
