"""Send orders to the sidecar of another rank over one connection."""

from __future__ import annotations

import itertools
import ssl
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
from ..configsync import exchange_frames, handle_config_frame
from ..exceptions import FrameError
from ..frames import AnyFrame, GroupOrder, GroupReply, Hello
from ..orders import AnyOrder, AnyReply, decode_reply, encode_order
from ..runtime import Runtime
from ..settings import SidecarSettings

#: How long to wait for the reply to an order that is not a prepare order.
ORDER_TIMEOUT_MS = 1500.0
_RECONNECT_MS = 200.0
#: Prepare orders wait for weights, which the store delivers at a limited rate.
PREPARE_TIMEOUT_MS = 60_000.0
_connection_numbers = itertools.count(1)


@dataclass(slots=True)
class _PendingReply:
    arrived: trio.Event
    reply: AnyReply | None = None


class RankConnection:
    """Stay connected to one rank's sidecar and match replies to orders."""

    def __init__(
        self,
        address: Address,
        runtime: Runtime,
        settings: SidecarSettings,
        tls: ssl.SSLContext | None,
    ) -> None:
        """Set the peer address of the other sidecar; connect in run."""
        self._address = address
        self._runtime = runtime
        self._settings = settings
        self._tls = tls
        self._link: Link | None = None
        self._pending: dict[str, _PendingReply] = {}
        self._request_numbers = itertools.count(1)

    @property
    def address(self) -> Address:
        """Return the peer address of the other sidecar."""
        return self._address

    async def send_order(
        self,
        order: AnyOrder,
        timeout_ms: float,
    ) -> AnyReply | None:
        """Return the reply to an order.

        None if there is no connection, or no reply before it ends or the
        timeout passes.
        """
        if self._link is None:
            return None
        request = str(next(self._request_numbers))
        pending = _PendingReply(trio.Event())
        self._pending[request] = pending
        self._link.enqueue(GroupOrder(request, encode_order(order)))
        with move_on_after(timeout_ms):
            await pending.arrived.wait()
        del self._pending[request]
        return pending.reply

    async def run(self) -> None:
        """Connect, and reconnect after each failure, until cancelled."""
        while True:
            try:
                stream = await dial(self._address, self._tls)
            except (OSError, trio.TooSlowError, trio.BrokenResourceError):
                await sleep(_RECONNECT_MS)
                continue
            try:
                await self._serve(Link(stream, self._runtime.clock))
            except* (LinkClosedError, FrameError, trio.TooSlowError):
                self._runtime.metrics.count('rank_connections_ended')
            finally:
                self._disconnect()
                await trio.aclose_forcefully(stream)
            await sleep(_RECONNECT_MS)

    async def _serve(self, link: Link) -> None:
        hello = Hello(
            b'',
            b'',
            self._runtime.process,
            self._runtime.incarnation,
            next(_connection_numbers),
        )
        with trio.fail_after(HANDSHAKE_TIMEOUT_S):
            await client_handshake(
                link, self._settings.peer_key.encode(), hello
            )
        self._link = link
        await exchange_frames(
            link,
            self._runtime,
            self._settings,
            partial(self._handle_frame, link),
        )

    def _handle_frame(self, link: Link, frame: AnyFrame) -> None:
        if handle_config_frame(link, self._runtime, frame):
            return
        if not isinstance(frame, GroupReply):
            raise FrameError(f'unexpected {type(frame).__name__}')
        pending = self._pending.get(frame.request)
        if pending is not None:
            pending.reply = decode_reply(frame.payload)
            pending.arrived.set()

    def _disconnect(self) -> None:
        self._link = None
        for pending in self._pending.values():
            pending.arrived.set()
