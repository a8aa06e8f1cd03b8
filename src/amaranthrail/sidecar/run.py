"""Hold one request's run and its answer until the entry has it all."""

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

#: Bytes read from the upstream beyond what the entry has acknowledged.
WINDOW_BYTES = 262_144
#: Keyed answers are kept whole, for late askers, up to this size.
MAX_KEYED_BYTES = 1_048_576
#: Called after a run has changed.
News = Callable[[], None]


@dataclass(frozen=True, slots=True)
class Progress:
    """Say how much of an answer an entry has."""

    sent: int = 0
    has_head: bool = False


NOTHING_SENT = Progress()


class Run:
    """Buffer one answer; entries may read it again from any kept byte."""

    def __init__(self, dispatch: Dispatch, arrived_at: float) -> None:
        """Take the request and when it arrived, in monotonic milliseconds."""
        self._dispatch = dispatch
        self._arrived_at = arrived_at
        self._finished_at: float | None = None
        self._started = False
        self._status = 0
        self._headers: HeaderList = ()
        self._kept = bytearray()
        self._dropped = 0
        self._digest = xxhash.xxh3_64()
        self._whole = False
        self._failure: Refusal | None = None
        self._scope = trio.CancelScope()
        self._acknowledged = trio.Event()
        self._followers: list[News] = []

    @property
    def dispatch(self) -> Dispatch:
        """Return the request."""
        return self._dispatch

    @property
    def key(self) -> str:
        """Return the caller's key, qualified by its organisation."""
        return qualified_key(
            self._dispatch.organisation,
            dict(self._dispatch.headers).get(KEY_HEADER, ''),
        )

    @property
    def scope(self) -> trio.CancelScope:
        """Return the scope that stops the run."""
        return self._scope

    @property
    def arrived_at(self) -> float:
        """Return when the request arrived, in monotonic milliseconds."""
        return self._arrived_at

    @property
    def deadline(self) -> float:
        """Return when the caller stops waiting, in monotonic milliseconds."""
        return self._arrived_at + self._dispatch.left_ms

    @property
    def finished_at(self) -> float | None:
        """Return when the run ended, None while it goes on."""
        return self._finished_at

    @property
    def started(self) -> bool:
        """Tell whether the upstream may have seen the request."""
        return self._started

    @property
    def begun(self) -> bool:
        """Tell whether the answer has begun."""
        return bool(self._status)

    @property
    def failure(self) -> Refusal | None:
        """Return why there is no whole answer, if so."""
        return self._failure

    @property
    def length(self) -> int:
        """Return how many bytes of the body have arrived."""
        return self._dropped + len(self._kept)

    @property
    def ended(self) -> bool:
        """Tell whether the run is over."""
        return self._whole or self._failure is not None

    def mark_started(self) -> None:
        """Note that the upstream is about to see the request."""
        self._started = True

    def begin(self, status: int, headers: HeaderList) -> None:
        """Keep the answer's head."""
        self._status = status
        self._headers = headers
        self._notify()

    def add(self, payload: bytes) -> None:
        """Keep more of the body."""
        self._digest.update(payload)
        self._kept += payload
        self._notify()

    def complete(self, now: float) -> None:
        """Note that the whole answer is here."""
        self._whole = True
        self._finish(now)

    def fail(self, failure: Refusal, now: float) -> None:
        """End the run without a whole answer."""
        if not self.ended:
            self._failure = failure
            self._finish(now)

    def acknowledge(self, received: int) -> None:
        """Drop what the entry has; keyed answers stay for late askers."""
        if self._dispatch.intent:
            return
        surplus = min(received, self.length) - self._dropped
        if surplus > 0:
            del self._kept[:surplus]
            self._dropped += surplus
            self._acknowledged.set()
            self._acknowledged = trio.Event()

    async def wait_window(self) -> None:
        """Return once the entry has taken enough to read on."""
        while len(self._kept) > self._limit():
            await self._acknowledged.wait()

    def follow(self, news: News) -> Callable[[], None]:
        """Call back now and after each change; return what ends that.

        Called back at once and not in a task of its own, an answer leaves
        one turn of the scheduler earlier.
        """
        news()
        if self.ended:
            return _nothing
        self._followers.append(news)
        return partial(self._leave, news)

    def frames(
        self,
        request: RequestId,
        progress: Progress,
        stamp: int,
    ) -> list[Frame]:
        """Return what the entry does not have yet, under an id."""
        failure = self._failure
        if failure is not None and failure.outcome is Outcome.NOT_RUN:
            return [_refused(request, stamp, failure)]
        found: list[Frame] = []
        if self._status and not progress.has_head:
            found.append(
                ResponseHead(request, stamp, self._status, self._headers)
            )
        payload = bytes(self._kept[max(0, progress.sent - self._dropped) :])
        if payload:
            found.append(
                ResponseData(request, self.length - len(payload), payload)
            )
        if self._whole:
            digest = self._digest.intdigest()
            found.append(ResponseEnd(request, stamp, self.length, digest))
        if failure is not None:
            found.append(
                Failed(request, stamp, failure.reason.value, failure.detail),
            )
        return found

    def _limit(self) -> int:
        return MAX_KEYED_BYTES if self._dispatch.intent else WINDOW_BYTES

    def _finish(self, now: float) -> None:
        self._finished_at = now
        self._notify()
        self._followers.clear()

    def _notify(self) -> None:
        for news in tuple(self._followers):
            news()

    def _leave(self, news: News) -> None:
        if news in self._followers:
            self._followers.remove(news)


def _nothing() -> None:
    """End the following of a run that had ended before."""


def _refused(request: RequestId, stamp: int, failure: Refusal) -> Refused:
    return Refused(
        request,
        stamp,
        failure.reason.value,
        failure.detail,
        failure.retry_after_ms or 0,
    )
