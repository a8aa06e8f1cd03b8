"""Serve one connection of an entry: take work, send answers, tell load."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import trio

from ..adapters.link import HANDSHAKE_TIMEOUT_S, Link, LinkClosedError, admit
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
from .rank import Rank
from .run import NOTHING_SENT, News, Progress, Run
from .slots import Slots
from .worker import Worker

_log = part_logger('peers')


@dataclass(frozen=True, slots=True)
class Office:
    """Hold what all connections of one sidecar share."""

    runtime: Runtime
    settings: SidecarSettings
    gate: DispatchGate
    slots: Slots
    worker: Worker
    runs: trio.Nursery
    rank: Rank | None = None


class Connections:
    """Know each entry's latest connection, so that it replaces earlier ones."""

    def __init__(self) -> None:
        """Start with no connection."""
        self._latest: dict[str, tuple[int, trio.CancelScope]] = {}

    def replace(self, hello: Hello, scope: trio.CancelScope) -> bool:
        """Make a connection its entry's only one; tell if it is the latest."""
        number, earlier = self._latest.get(hello.incarnation, (0, None))
        if hello.connection <= number:
            return False
        if earlier is not None:
            earlier.cancel()
        self._latest[hello.incarnation] = (hello.connection, scope)
        return True

    def remove(self, hello: Hello) -> None:
        """Forget an entry whose latest connection has ended."""
        number, _ = self._latest.get(hello.incarnation, (0, None))
        if hello.connection == number:
            del self._latest[hello.incarnation]


class PeerConnection:
    """Serve one entry's connection."""

    def __init__(
        self,
        link: Link,
        office: Office,
        connections: Connections,
    ) -> None:
        """Take the fresh connection."""
        self._link = link
        self._office = office
        self._runtime = office.runtime
        self._connections = connections
        self._sending: dict[str, Callable[[], None]] = {}

    async def serve(self) -> None:
        """Serve the connection until it ends."""
        hello: Hello | None = None
        try:
            with trio.fail_after(HANDSHAKE_TIMEOUT_S):
                hello = await self._admit()
            with trio.CancelScope() as scope:
                if self._connections.replace(hello, scope):
                    await self._exchange_frames()
        except* (LinkClosedError, FrameError, trio.TooSlowError) as group:
            self._runtime.metrics.count('peer_connections_ended')
            _log.info('connection ended', cause=str(group.exceptions[0]))
        finally:
            for request in tuple(self._sending):
                self._stop_sending(request)
            if hello is not None:
                self._connections.remove(hello)

    def announce(self) -> None:
        """Send a heartbeat now."""
        self._link.post(self._heartbeat())

    async def _admit(self) -> Hello:
        settings = self._office.settings
        welcome = Welcome(
            b'',
            self._runtime.process,
            self._runtime.incarnation,
            settings.service,
            settings.upstream,
            settings.domain,
        )
        return await admit(self._link, settings.peer_key.encode(), welcome)

    async def _exchange_frames(self) -> None:
        link = self._link
        silence_ms = self._office.settings.silence_ms
        async with trio.open_nursery() as nursery:
            nursery.start_soon(link.run_writer)
            nursery.start_soon(link.watch_silence, silence_ms)
            nursery.start_soon(self._beat)
            while True:
                self._take(await link.receive(), nursery)

    async def _beat(self) -> None:
        while True:
            self._link.post(self._heartbeat())
            await sleep(self._office.settings.heartbeat_ms)

    def _heartbeat(self) -> Heartbeat:
        configuration = self._runtime.configuration
        slots = self._office.slots
        short = slots.work(long=False)
        long = slots.work(long=True)
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
            self._office.gate.leaving,
        )

    def _take(self, frame: AnyFrame, nursery: trio.Nursery) -> None:
        if handle_config_frame(self._link, self._runtime, frame):
            return
        match frame:
            case Dispatch():
                self._runtime.clock.receive(frame.stamp)
                self._take_dispatch(frame)
            case Ack():
                self._take_ack(frame)
            case Resume() | AttemptQuery() | KeyQuery() | Cancel():
                self._take_question(frame)
            case EventsRequest():
                events = self._runtime.timeline.events_after(frame.after)
                self._link.post(
                    EventsResponse(frame.request, encode_events(events))
                )
            case GroupOrder():
                nursery.start_soon(self._take_order, frame)
            case _:
                raise FrameError(f'unexpected {type(frame).__name__}')

    async def _take_order(self, frame: GroupOrder) -> None:
        rank = self._office.rank
        if rank is None:
            self._runtime.metrics.count('group_orders_unexpected')
            return
        reply = await rank.take(decode_order(frame.payload))
        self._link.post(GroupReply(frame.request, encode_order(reply)))

    def _take_question(
        self,
        frame: Resume | AttemptQuery | KeyQuery | Cancel,
    ) -> None:
        gate = self._office.gate
        match frame:
            case Resume():
                run = gate.find(frame.request)
                if run is None:
                    gate.void(frame.request)
                progress = Progress(frame.received, has_head=frame.has_head)
                self._answer(frame.request, run, progress)
            case AttemptQuery():
                self._take_inquiry(frame)
            case KeyQuery():
                self._take_key_question(frame)
            case Cancel():
                self._cancel(frame.request)

    def _take_inquiry(self, inquiry: AttemptQuery) -> None:
        if inquiry.incarnation != self._runtime.incarnation:
            # What an earlier incarnation ran cannot be known here.
            stamp = self._runtime.clock.stamp()
            reason = Reason.WRONG_INCARNATION.value
            self._link.post(Failed(inquiry.request, stamp, reason))
            return
        run = self._office.gate.find_or_void(inquiry.intent)
        progress = Progress(inquiry.received)
        self._answer(inquiry.request, run, progress)

    def _take_key_question(self, asked: KeyQuery) -> None:
        run = self._office.gate.find_key(asked.key)
        if run is None:
            self._refuse(asked.request, Reason.KEY_UNKNOWN, 'never ran here')
            return
        self._answer(asked.request, run)

    def _take_dispatch(self, dispatch: Dispatch) -> None:
        found = self._office.gate.check_dispatch(dispatch)
        if isinstance(found, Refusal):
            if found.reason is Reason.STALE_MANIFEST:
                self.announce()
            self._refuse(dispatch.request, found.reason, found.detail)
            return
        if found is None:
            found = Run(dispatch, self._runtime.clock.now())
            self._office.gate.add_run(found)
            self._office.runs.start_soon(self._office.worker.run, found)
        self._answer(dispatch.request, found)

    def _answer(
        self,
        request: str,
        run: Run | None,
        progress: Progress = NOTHING_SENT,
    ) -> None:
        if run is None:
            self._refuse(request, Reason.VOIDED, 'never arrived')
            return
        self._stop_sending(request)
        news = self._make_news(RequestId(request), run, progress)
        stop = run.follow(news)
        if not run.ended:
            self._sending[request] = stop

    def _make_news(
        self,
        request: RequestId,
        run: Run,
        progress: Progress,
    ) -> News:
        """Return what posts the part of an answer not posted yet."""

        def post_news() -> None:
            nonlocal progress
            stamp = self._runtime.clock.stamp()
            for frame in run.frames(request, progress, stamp):
                self._link.post(frame)
            progress = Progress(run.length, has_head=run.begun)
            if run.ended:
                self._sending.pop(request, None)

        return post_news

    def _stop_sending(self, request: str) -> None:
        stop = self._sending.pop(request, None)
        if stop is not None:
            stop()

    def _take_ack(self, ack: Ack) -> None:
        gate = self._office.gate
        run = gate.find(ack.request)
        if run is not None:
            run.acknowledge(ack.received)
        if ack.done:
            gate.forget(ack.request)

    def _cancel(self, request: str) -> None:
        run = self._office.gate.find(request)
        if run is None or run.dispatch.intent:
            return
        self._stop_sending(request)
        run.scope.cancel()

    def _refuse(self, request: str, reason: Reason, detail: str) -> None:
        stamp = self._runtime.clock.stamp()
        self._runtime.metrics.count('dispatches_refused', reason=reason.value)
        self._link.post(Refused(request, stamp, reason.value, detail))
