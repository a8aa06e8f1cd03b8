"""Buffer the response of one run until its entry has received it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import trio
import xxhash

from ..frames import (
    Dispatch,
    Failed,
    Frame,
    Refused,
    ResponseData,
    ResponseEnd,
    ResponseHead,
)
from ..outcomes import Outcome, Refusal
from ..types import KEY_HEADER, HeaderList, RequestId, qualified_key

#: Bytes of an idempotent response that are read from the upstream ahead of
#: what the entry has acknowledged.
WINDOW_BYTES = 262_144
#: Bound, in bytes, on the response to keyed work. It is kept whole because an
#: entry may query it later.
MAX_KEYED_RESPONSE_BYTES = 1_048_576
#: Called after each change of a run.
ChangeListener = Callable[[], None]


@dataclass(frozen=True, slots=True)
class Progress:
    """Say how much of a response an entry has, in bytes of its body."""

    sent_bytes: int = 0
    has_head: bool = False


NOTHING_SENT = Progress()


class Run:
    """Hold one execution of a request at the upstream, with its response.

    Entries may read the response from any byte that is still buffered.
    """

    def __init__(self, dispatch: Dispatch, arrived_at: float) -> None:
        """Set the request and its arrival time, in monotonic milliseconds."""
        self._dispatch = dispatch
        self._arrived_at = arrived_at
        self._finished_at: float | None = None
        self._started = False
        self._status = 0
        self._headers: HeaderList = ()
        self._buffer = bytearray()
        self._dropped_bytes = 0
        self._digest = xxhash.xxh3_64()
        self._complete = False
        self._failure: Refusal | None = None
        self._scope = trio.CancelScope()
        self._abandoned = False
        self._acknowledged = trio.Event()
        self._listeners: list[ChangeListener] = []

    @property
    def dispatch(self) -> Dispatch:
        """Return the frame that asked for this run."""
        return self._dispatch

    @property
    def key(self) -> str:
        """Return the idempotency key, qualified by the organisation."""
        return qualified_key(
            self._dispatch.organisation,
            dict(self._dispatch.headers).get(KEY_HEADER, ''),
        )

    @property
    def scope(self) -> trio.CancelScope:
        """Return the scope whose cancellation stops the run."""
        return self._scope

    @property
    def abandoned(self) -> bool:
        """Tell whether its entry has cancelled it and awaits no response."""
        return self._abandoned

    @property
    def arrived_at(self) -> float:
        """Return when the request arrived, in monotonic milliseconds."""
        return self._arrived_at

    @property
    def deadline(self) -> float:
        """Return the caller's deadline, in monotonic milliseconds."""
        return self._arrived_at + self._dispatch.left_ms

    @property
    def finished_at(self) -> float | None:
        """Return when the run ended, in monotonic ms, None before that."""
        return self._finished_at

    @property
    def started(self) -> bool:
        """Tell whether the upstream may have seen the request."""
        return self._started

    @property
    def has_head(self) -> bool:
        """Tell whether the status and header fields have arrived."""
        return bool(self._status)

    @property
    def failure(self) -> Refusal | None:
        """Return why the response is not complete, None without a failure."""
        return self._failure

    @property
    def length(self) -> int:
        """Return how many bytes of the response body have arrived."""
        return self._dropped_bytes + len(self._buffer)

    @property
    def ended(self) -> bool:
        """Tell whether the response is complete or the run has failed."""
        return self._complete or self._failure is not None

    def abandon(self) -> None:
        """Stop the run for an entry that awaits no response."""
        self._abandoned = True
        self._scope.cancel()

    def mark_started(self) -> None:
        """Record that the request is about to be sent to the upstream."""
        self._started = True

    def set_head(self, status: int, headers: HeaderList) -> None:
        """Set the status and header fields, and notify the listeners."""
        self._status = status
        self._headers = headers
        self._notify()

    def append_body(self, payload: bytes) -> None:
        """Buffer the next bytes of the body, and notify the listeners."""
        self._digest.update(payload)
        self._buffer += payload
        self._notify()

    def complete(self, now: float) -> None:
        """End the run with a complete response, at monotonic milliseconds."""
        self._complete = True
        self._finish(now)

    def fail(self, failure: Refusal, now: float) -> None:
        """End the run, unless it has ended, without a complete response."""
        if not self.ended:
            self._failure = failure
            self._finish(now)

    def acknowledge(self, received: int) -> None:
        """Drop the first ``received`` bytes of the body from the buffer.

        The response to keyed work is kept whole for later queries.
        """
        if self._dispatch.intent:
            return
        surplus = min(received, self.length) - self._dropped_bytes
        if surplus > 0:
            del self._buffer[:surplus]
            self._dropped_bytes += surplus
            self._acknowledged.set()
            self._acknowledged = trio.Event()

    async def wait_for_window(self) -> None:
        """Wait until acknowledgements leave room in the buffer."""
        while len(self._buffer) > self._max_buffer():
            await self._acknowledged.wait()

    def subscribe(self, listener: ChangeListener) -> Callable[[], None]:
        """Call a listener now and after each change; return how to stop it.

        The listener is called directly and not from a task of its own, which
        sends a response one scheduler turn earlier.
        """
        listener()
        if self.ended:
            return _no_subscription
        self._listeners.append(listener)
        return partial(self._unsubscribe, listener)

    def frames_after(
        self,
        request: RequestId,
        progress: Progress,
        stamp: int,
    ) -> list[Frame]:
        """Return the frames that an entry lacks, with its request id."""
        failure = self._failure
        if failure is not None and failure.outcome is Outcome.NOT_RUN:
            return [_refused_frame(request, stamp, failure)]
        frames: list[Frame] = []
        if self._status and not progress.has_head:
            frames.append(
                ResponseHead(request, stamp, self._status, self._headers)
            )
        payload = bytes(
            self._buffer[max(0, progress.sent_bytes - self._dropped_bytes) :]
        )
        if payload:
            frames.append(
                ResponseData(request, self.length - len(payload), payload)
            )
        if self._complete:
            digest = self._digest.intdigest()
            frames.append(ResponseEnd(request, stamp, self.length, digest))
        if failure is not None:
            frames.append(
                Failed(request, stamp, failure.reason.value, failure.detail),
            )
        return frames

    def _max_buffer(self) -> int:
        return (
            MAX_KEYED_RESPONSE_BYTES if self._dispatch.intent else WINDOW_BYTES
        )

    def _finish(self, now: float) -> None:
        self._finished_at = now
        self._notify()
        self._listeners.clear()

    def _notify(self) -> None:
        for listener in tuple(self._listeners):
            listener()

    def _unsubscribe(self, listener: ChangeListener) -> None:
        if listener in self._listeners:
            self._listeners.remove(listener)


def _no_subscription() -> None:
    """Unsubscribe from a run that had ended before: do nothing."""


def _refused_frame(
    request: RequestId,
    stamp: int,
    failure: Refusal,
) -> Refused:
    return Refused(
        request,
        stamp,
        failure.reason.value,
        failure.detail,
        failure.retry_after_ms or 0,
    )
