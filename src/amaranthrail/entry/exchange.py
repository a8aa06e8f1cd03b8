"""Assemble a response from a sidecar's frames; check that it is complete."""

from __future__ import annotations

from collections import deque

import trio
import xxhash

from ..frames import (
    Ack,
    AttemptQuery,
    Dispatch,
    Failed,
    KeyQuery,
    Refused,
    ResponseData,
    ResponseEnd,
    ResponseHead,
)
from ..outcomes import (
    Reason,
    Refusal,
    is_final_status,
    not_run,
    unknown_outcome,
)
from ..types import RequestId

#: Body bytes between two acknowledgements. The sidecar reads only a window
#: (run.WINDOW_BYTES) past the last acknowledged byte; this must be below it.
ACK_EVERY_BYTES = 65_536

#: The frame that opens an exchange.
OpeningFrame = Dispatch | AttemptQuery | KeyQuery


class Exchange:
    """Hold one request sent to a sidecar and the response received so far."""

    def __init__(self, request: RequestId, opening: OpeningFrame) -> None:
        """Take the exchange's id and the frame that opened it."""
        self._request = request
        self._opening = opening
        self._head: ResponseHead | None = None
        self._chunks: deque[bytes] = deque()
        self._received = 0
        self._consumed = 0
        self._acked = 0
        self._digest = xxhash.xxh3_64()
        self._complete = False
        self._failure: Refusal | None = None
        self._changed = trio.Event()

    @property
    def request(self) -> RequestId:
        """Return the id that all frames of the exchange carry."""
        return self._request

    @property
    def opening(self) -> OpeningFrame:
        """Return the frame that opened the exchange."""
        return self._opening

    @property
    def received(self) -> int:
        """Return the number of body bytes received without a gap."""
        return self._received

    @property
    def has_head(self) -> bool:
        """Tell whether the response's status and headers have arrived."""
        return self._head is not None

    @property
    def ended(self) -> bool:
        """Tell whether the response is complete or has failed."""
        return self._complete or self._failure is not None

    def fail(self, failure: Refusal) -> None:
        """End the exchange with a failure, unless it has already ended."""
        if not self.ended:
            self._failure = failure
            self._notify()

    def accept_frame(
        self,
        frame: ResponseHead | ResponseData | ResponseEnd | Refused | Failed,
    ) -> None:
        """Apply the next frame of the response.

        Frames that are sent again after a reconnect are accepted: a second head
        and body bytes received before are ignored.
        """
        match frame:
            case ResponseHead():
                self._accept_head(frame)
            case ResponseData():
                self._accept_data(frame)
            case ResponseEnd():
                self._accept_end(frame)
            case Refused():
                self._accept_refused(frame)
            case Failed():
                self.fail(
                    unknown_outcome(parse_reason(frame.reason), frame.detail)
                )
        self._notify()

    def next_ack(self) -> Ack | None:
        """Return the acknowledgement to send now, None if none is due.

        One is due for every ``ACK_EVERY_BYTES`` bytes read from this exchange,
        until it has ended.
        """
        is_due = self._consumed - self._acked >= ACK_EVERY_BYTES
        if not is_due or self.ended:
            return None
        self._acked = self._consumed
        return Ack(self._request, self._acked)

    async def wait_head(self) -> ResponseHead | Refusal:
        """Wait for the response's head; return it or the failure."""
        while self._head is None and self._failure is None:
            await self._changed.wait()
        if self._head is None:
            return self._failure or unknown_outcome(Reason.PEER_GONE)
        return self._head

    async def next_chunk(self) -> bytes | Refusal | None:
        """Wait for body bytes; return them, None at the end, or the failure."""
        while not self._chunks:
            if self._failure is not None:
                return self._failure
            if self._complete:
                return None
            await self._changed.wait()
        payload = b''.join(self._chunks)
        self._chunks.clear()
        self._consumed += len(payload)
        return payload

    async def read_body(self) -> bytes | Refusal:
        """Wait for the complete body; return it or the failure."""
        body = bytearray()
        while True:
            chunk = await self.next_chunk()
            if chunk is None:
                return bytes(body)
            if isinstance(chunk, Refusal):
                return chunk
            body += chunk

    def _accept_head(self, head: ResponseHead) -> None:
        if not is_final_status(head.status):
            self.fail(
                unknown_outcome(
                    Reason.UPSTREAM_BROKEN, f'status {head.status} is not final'
                )
            )
        elif self._head is None:
            self._head = head

    def _accept_data(self, frame: ResponseData) -> None:
        if frame.offset > self._received:
            gap = f'bytes {self._received} to {frame.offset} are missing'
            self.fail(unknown_outcome(Reason.UPSTREAM_BROKEN, gap))
            return
        new_bytes = frame.payload[self._received - frame.offset :]
        if new_bytes:
            self._digest.update(new_bytes)
            self._received += len(new_bytes)
            self._chunks.append(new_bytes)

    def _accept_end(self, end: ResponseEnd) -> None:
        same_length = end.length == self._received
        if same_length and end.digest == self._digest.intdigest():
            self._complete = self._failure is None
            return
        self.fail(
            unknown_outcome(Reason.UPSTREAM_BROKEN, 'length or digest differs')
        )

    def _accept_refused(self, refused: Refused) -> None:
        if self._head is not None:
            self.fail(
                unknown_outcome(Reason.UPSTREAM_BROKEN, 'refused after start')
            )
            return
        self.fail(
            not_run(
                parse_reason(refused.reason),
                refused.detail,
                refused.retry_after_ms or None,
            ),
        )

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


def parse_reason(text: str) -> Reason:
    """Return the reason named by a frame.

    A reason that this version does not know becomes ``upstream-broken``.
    """
    try:
        return Reason(text)
    except ValueError:
        return Reason.UPSTREAM_BROKEN
