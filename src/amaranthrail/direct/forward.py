"""Serve one call: place it, send it, and send it again where that is safe."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial

import msgspec
import trio

from ..adapters.httpserver import ResponseWriter
from ..adapters.problem import send_refusal
from ..clock import Clock, move_on_after
from ..outcomes import Reason, Refusal, not_run, unknown_outcome
from ..policy.retryafter import (
    choose_peak_retry_after_ms,
    choose_retry_after_ms,
)
from ..policy.selection import UpstreamView, select_upstream
from ..policy.streamadmission import (
    EngineLoad,
    StreamRequest,
    should_admit_stream,
)
from ..types import DomainName, HeaderList
from .attempt import Attempts
from .call import BufferedResponse, Call, Failure, StreamTiming, UpstreamChoice
from .calllog import CallLog
from .clusterstate import ClusterState
from .loads import SharedLoads
from .relay import StreamRelay
from .retrybudgets import RetryBudgets
from .stalls import StallDetector
from .upstreams import Upstream

_FIRST_SERVER_ERROR = 500
#: Time after a call's deadline at which it is given up, in ms: the upstream's
#: own answer at the deadline goes first.
DEADLINE_SLACK_MS = 60.0
#: Least time that is left for an attempt, in ms: a plain call takes 23 ms.
MIN_ATTEMPT_MS = 30.0
#: Upstreams that one call may fail to connect to before it is given up.
MAX_UNREACHED = 4


class ForwarderSettings(msgspec.Struct, frozen=True):
    """Hold what forwarding needs to know, and how refusals are told.

    ``domain`` is where this entry is, ``loads`` what others have in flight, and
    ``watch`` what ends waits for a silent upstream.
    """

    domain: DomainName
    loads: SharedLoads
    watch: StallDetector
    refusal_headers: Callable[[Refusal], HeaderList]


class Forwarder:
    """Answer calls from upstreams."""

    def __init__(
        self,
        world: ClusterState,
        attempts: Attempts,
        repeats: RetryBudgets,
        journal: CallLog,
        settings: ForwarderSettings,
    ) -> None:
        """Take the parts that a call uses."""
        self._world = world
        self._attempts = attempts
        self._repeats = repeats
        self._journal = journal
        self._domain = settings.domain
        self._loads = settings.loads
        self._watch = settings.watch
        self._refusal_headers = settings.refusal_headers
        self._clock = Clock()
        self._random = random.Random()

    async def answer(self, call: Call, reply: ResponseWriter) -> None:
        """Answer a call; one that is given up gets its refusal at once."""
        self._repeats.note_call(call.service)
        engines = self._world.directory.pace(call.service)
        relay = StreamRelay(
            reply,
            call.facts.last_event_id,
            StreamTiming(call.arrived_at),
            engines,
            partial(self._watch.wait, engines, partial(self._may_leave, call)),
        )
        outcome: BufferedResponse | Refusal | None = None
        left_ms = call.deadline - self._clock.now()
        is_expired = True
        try:
            with move_on_after(left_ms + DEADLINE_SLACK_MS):
                outcome = await self._try_upstreams(call, relay)
                is_expired = False
        except trio.Cancelled:
            self._journal.left(call, relay.events)
            raise
        if is_expired:
            outcome = _expired(call)
        self._journal.ended(call, outcome, relay.events, relay.pace)
        if isinstance(outcome, BufferedResponse):
            await reply.send(outcome.status, outcome.headers, outcome.body)
        elif isinstance(outcome, Refusal) and not reply.started:
            await send_refusal(reply, outcome, self._refusal_headers(outcome))

    async def _try_upstreams(
        self,
        call: Call,
        relay: StreamRelay,
    ) -> BufferedResponse | Refusal | None:
        """Return what the caller gets, None for a stream that is complete."""
        failed: BufferedResponse | Failure | None = None
        while True:
            upstream = self._place(call)
            if upstream is None:
                return self._given_up(call, failed)
            ran_before = call.may_have_run
            call.may_have_run = True
            attempt = await self._attempts.make(call, upstream, relay)
            if attempt is None:
                return None
            call.may_have_run = ran_before or _ran(attempt)
            if not self._may_repeat(call, attempt):
                return self._given_up(call, attempt)
            self._journal.repeated(call, upstream.record, attempt)
            failed = attempt

    def _place(self, call: Call) -> Upstream | None:
        directory = self._world.directory
        usable = directory.ready_upstreams(call.service, call.tried)
        told = self._loads.totals()
        views = [
            one.view(self._domain, told[one.record.name]) for one in usable
        ]
        if not call.choices and not self._begins(call, views):
            return None
        view = select_upstream(views, self._random)
        upstream = None if view is None else directory.find(view.name)
        if view is None or upstream is None:
            return None
        call.choices.append(
            UpstreamChoice(
                view.name,
                upstream.record.sequence,
                view.own_calls,
                round(view.others, 1),
                view.avoided,
            ),
        )
        return upstream

    def _begins(self, call: Call, views: list[UpstreamView]) -> bool:
        """Tell whether engines have room for a stream; others always begin."""
        service = self._world.service(call.service)
        engine = None if service is None else service.engine
        if not views or engine is None or not call.route.streaming:
            return True
        call.crest = EngineLoad(
            min(view.load_per_slot for view in views),
            self._world.directory.pace(call.service).pass_ms,
        )
        wish = StreamRequest(
            remaining_ms=call.deadline - self._clock.now(),
            route_timeout_ms=call.route.timeout_ms,
            steps=call.facts.expected_tokens / engine.tokens_per_step,
            is_resumed=call.facts.last_event_id is not None,
        )
        return should_admit_stream(wish, call.crest)

    def _may_leave(self, call: Call) -> bool:
        """Tell whether a stream may leave its upstream, and count that."""
        others = self._world.directory.ready_upstreams(call.service, call.tried)
        is_last = call.sent + 1 >= call.route.max_attempts
        if is_last or not others or not call.route.retryable:
            return False
        call.repeat_counted = self._repeats.spend(call.service)
        return call.repeat_counted

    def _may_repeat(
        self, call: Call, attempt: BufferedResponse | Failure
    ) -> bool:
        """Tell whether a call is sent once more, and count it."""
        if isinstance(attempt, BufferedResponse):
            call.sent += 1
            if attempt.status < _FIRST_SERVER_ERROR:
                return False
        elif attempt.misdirected or not attempt.arrived:
            return self._may_redirect(call, attempt)
        else:
            call.sent += 1
        if call.may_have_run and not call.route.retryable:
            return False
        if call.sent >= call.route.max_attempts or not self._has_time(call):
            return False
        counted = call.repeat_counted
        call.repeat_counted = False
        return counted or self._repeats.spend(call.service)

    def _may_redirect(self, call: Call, attempt: Failure) -> bool:
        """Tell whether a call that met no upstream goes to the next one."""
        call.unreached += 1
        if call.unreached >= MAX_UNREACHED or not self._has_time(call):
            return False
        return not attempt.arrived or self._repeats.spend(call.service)

    def _has_time(self, call: Call) -> bool:
        return call.deadline - self._clock.now() > MIN_ATTEMPT_MS

    def _given_up(
        self,
        call: Call,
        failed: BufferedResponse | Failure | None,
    ) -> BufferedResponse | Refusal:
        if isinstance(failed, BufferedResponse):
            return failed
        cause = f'no upstream of {call.service} takes work'
        if failed is not None:
            cause = failed.cause
        if call.may_have_run:
            return unknown_outcome(Reason.UPSTREAM_BROKEN, cause)
        if call.crest is not None and not call.choices:
            left_ms = call.deadline - self._clock.now()
            return not_run(
                Reason.NO_CAPACITY,
                f'engines of {call.service} are full or too slow',
                choose_peak_retry_after_ms(left_ms, self._random),
            )
        return not_run(
            Reason.NO_REPLICA if failed is None else Reason.NO_CAPACITY,
            cause,
            choose_retry_after_ms(self._random),
        )


def _ran(attempt: BufferedResponse | Failure) -> bool:
    return isinstance(attempt, BufferedResponse) or attempt.ran


def _expired(call: Call) -> Refusal:
    detail = 'no answer before the deadline'
    if call.may_have_run:
        return unknown_outcome(Reason.EXPIRED, detail)
    return not_run(Reason.EXPIRED, detail)
