"""Collect the frames of one answer in order and check that it is whole."""

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
from ..outcomes import Reason, Refusal, not_run, unknown_outcome
from ..types import RequestId

#: The sidecar sends at most this far past the last acknowledged byte.
ACK_EVERY_BYTES = 65_536

#: The frames that open an exchange.
Opening = Dispatch | AttemptQuery | KeyQuery


class Exchange:
    """Hold one request in flight to a sidecar and its answer so far."""

    def __init__(self, request: RequestId, opening: Opening) -> None:
        """Take the request's id and the frame that opened the exchange."""
        self._request = request
        self._opening = opening
        self._head: ResponseHead | None = None
        self._parts: deque[bytes] = deque()
        self._received = 0
        self._consumed = 0
        self._acked = 0
        self._digest = xxhash.xxh3_64()
        self._whole = False
        self._failure: Refusal | None = None
        self._wake = trio.Event()

    @property
    def request(self) -> RequestId:
        """Return the request's id."""
        return self._request

    @property
    def opening(self) -> Opening:
        """Return the frame that opened the exchange."""
        return self._opening

    @property
    def received(self) -> int:
        """Return how many bytes of the body have arrived in order."""
        return self._received

    @property
    def has_head(self) -> bool:
        """Tell whether the answer has begun."""
        return self._head is not None

    @property
    def ended(self) -> bool:
        """Tell whether nothing more can arrive."""
        return self._whole or self._failure is not None

    def fail(self, failure: Refusal) -> None:
        """End the exchange without a whole answer."""
        if not self.ended:
            self._failure = failure
            self._notify()

    def take(
        self,
        frame: ResponseHead | ResponseData | ResponseEnd | Refused | Failed,
    ) -> None:
        """Take the next frame of the answer; repeated bytes are dropped."""
        match frame:
            case ResponseHead():
                if self._head is None:
                    self._head = frame
            case ResponseData():
                self._take_part(frame)
            case ResponseEnd():
                self._take_end(frame)
            case Refused():
                self._take_refused(frame)
            case Failed():
                self.fail(
                    unknown_outcome(reason_of(frame.reason), frame.detail)
                )
        self._notify()

    def ack(self) -> Ack | None:
        """Return the acknowledgement that is due, if one is."""
        due = self._consumed - self._acked >= ACK_EVERY_BYTES
        if not due or self.ended:
            return None
        self._acked = self._consumed
        return Ack(self._request, self._acked)

    async def wait_head(self) -> ResponseHead | Refusal:
        """Return the answer's head, or why there is none."""
        while self._head is None and self._failure is None:
            await self._wake.wait()
        if self._head is None:
            return self._failure or unknown_outcome(Reason.PEER_GONE)
        return self._head

    async def next_part(self) -> bytes | Refusal | None:
        """Return the next bytes, None once all is there, or the failure."""
        while not self._parts:
            if self._failure is not None:
                return self._failure
            if self._whole:
                return None
            await self._wake.wait()
        gathered = b''.join(self._parts)
        self._parts.clear()
        self._consumed += len(gathered)
        return gathered

    async def read_rest(self) -> bytes | Refusal:
        """Return the whole body, or the failure."""
        body = bytearray()
        while True:
            part = await self.next_part()
            if part is None:
                return bytes(body)
            if isinstance(part, Refusal):
                return part
            body += part

    def _take_part(self, part: ResponseData) -> None:
        if part.offset > self._received:
            gap = f'bytes {self._received} to {part.offset} are missing'
            self.fail(unknown_outcome(Reason.UPSTREAM_BROKEN, gap))
            return
        fresh = part.payload[self._received - part.offset :]
        if fresh:
            self._digest.update(fresh)
            self._received += len(fresh)
            self._parts.append(fresh)

    def _take_end(self, end: ResponseEnd) -> None:
        same_length = end.length == self._received
        if same_length and end.digest == self._digest.intdigest():
            self._whole = self._failure is None
            return
        self.fail(
            unknown_outcome(Reason.UPSTREAM_BROKEN, 'length or digest differs')
        )

    def _take_refused(self, refused: Refused) -> None:
        if self._head is not None:
            self.fail(
                unknown_outcome(Reason.UPSTREAM_BROKEN, 'refused after start')
            )
            return
        self.fail(
            not_run(
                reason_of(refused.reason),
                refused.detail,
                refused.retry_after_ms or None,
            ),
        )

    def _notify(self) -> None:
        self._wake.set()
        self._wake = trio.Event()


def reason_of(text: str) -> Reason:
    """Return the reason that a frame names."""
    try:
        return Reason(text)
    except ValueError:
        return Reason.UPSTREAM_BROKEN
