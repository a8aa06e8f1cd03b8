"""Choose the refusal of a call that has no response, and when to return."""

from __future__ import annotations

import random

from ..clock import Clock
from ..outcomes import Reason, Refusal, not_run, unknown_outcome
from ..policy.retryafter import (
    choose_peak_retry_after_ms,
    choose_retry_after_ms,
    choose_return_after_stop_ms,
)
from .call import BufferedResponse, Call, Failure
from .clusterstate import ClusterState
from .returns import ReturnSchedule
from .shutdown import GracefulShutdown


class RefusalChooser:
    """Refuse calls for the reason that applies, with a time to return."""

    def __init__(
        self,
        cluster: ClusterState,
        returns: ReturnSchedule,
        shutdown: GracefulShutdown,
        stall_ms: float,
    ) -> None:
        """Use one random source to distribute returns.

        ``stall_ms`` is as in DirectSettings.
        """
        self._cluster = cluster
        self._returns = returns
        self._shutdown = shutdown
        self._stall_ms = stall_ms
        self._clock = Clock()
        self._random = random.Random()

    def refuse_unfinished(self, call: Call) -> Refusal:
        """Refuse a call that its deadline or a shutdown has cut off."""
        refusal = self._shutdown.refuse_cut(call)
        if refusal is not None:
            return refusal
        detail = 'no answer before the deadline'
        if call.may_have_run:
            return unknown_outcome(Reason.EXPIRED, detail)
        return not_run(Reason.EXPIRED, detail)

    def final_result(
        self,
        call: Call,
        last_attempt: BufferedResponse | Failure | None,
    ) -> BufferedResponse | Refusal:
        """Return the last attempt's response, or a refusal if it has none."""
        if isinstance(last_attempt, BufferedResponse):
            return last_attempt
        if call.held_ms is not None and not call.may_have_run:
            return not_run(
                Reason.PROMPT_HELD,
                'a part of the prompt may have crashed upstreams',
                int(call.held_ms) + choose_retry_after_ms(self._random),
            )
        cause = f'no upstream of {call.service} takes work'
        if last_attempt is not None:
            cause = last_attempt.cause
        if call.may_have_run:
            return unknown_outcome(Reason.UPSTREAM_BROKEN, cause)
        return self._refuse_unserved(call, cause, last_attempt)

    def _refuse_unserved(
        self, call: Call, cause: str, last_attempt: Failure | None
    ) -> Refusal:
        """Return why no upstream takes a call that has not run."""
        directory = self._cluster.directory
        if not self._cluster.has_allowed(call.service, call.allowed_regions):
            return not_run(
                Reason.NO_ALLOWED_REGION,
                f'no upstream of {call.service} is in an allowed region',
                choose_retry_after_ms(self._random),
            )
        if self._cluster.is_evacuated(call.service, call.allowed_regions):
            return not_run(
                Reason.DOMAIN_EVACUATED,
                f'all upstreams of {call.service} are in evacuated domains',
                choose_retry_after_ms(self._random),
            )
        wait_ms = directory.least_wait_ms(call.service, call.allowed_regions)
        if wait_ms:
            return not_run(
                Reason.UPSTREAM_LIMIT,
                f'upstreams of {call.service} take no more calls for now',
                int(wait_ms) + choose_retry_after_ms(self._random),
            )
        return self._refuse_capacity(call, cause, is_tried=bool(last_attempt))

    def _refuse_capacity(
        self, call: Call, cause: str, *, is_tried: bool
    ) -> Refusal:
        """Refuse a call that no upstream takes, with a time to return."""
        stop_ms = self._return_after_stop_ms(call)
        if stop_ms is not None:
            return not_run(
                Reason.NO_CAPACITY,
                f'the rank groups of {call.service} have stopped',
                stop_ms,
            )
        if call.engine_load is not None and not call.choices:
            return not_run(
                Reason.NO_CAPACITY,
                f'engines of {call.service} are full or too slow',
                self._return_after_ms(call),
            )
        reason = Reason.NO_CAPACITY if is_tried else Reason.NO_REPLICA
        if call.lacks_memory:
            reason = Reason.UPSTREAM_MEMORY
            tokens = call.metadata.held_tokens
            cause = f'{tokens} tokens fit into no upstream of {call.service}'
        return not_run(reason, cause, choose_retry_after_ms(self._random))

    def _return_after_stop_ms(self, call: Call) -> int | None:
        """Return when a stopped group is expected back, None if none is."""
        service = self._cluster.service(call.service)
        if call.stream is None or service is None or service.engine is None:
            return None
        stopped_ms = self._returns.stopped_ms(
            call.service, self._cluster.directory.last_gap_ms(call.service)
        )
        if stopped_ms is None:
            return None
        return choose_return_after_stop_ms(
            self._stall_ms + service.engine.form_ms - stopped_ms,
            call.deadline - self._clock.now(),
            self._random,
        )

    def _return_after_ms(self, call: Call) -> int:
        """Return when the caller of a stream that is not admitted returns."""
        remaining_ms = call.deadline - self._clock.now()
        if call.stream is not None:
            call.reservation = self._returns.refuse(
                call.service, remaining_ms, call.stream.relative_size
            )
        if call.reservation is None:
            return choose_peak_retry_after_ms(remaining_ms, self._random)
        return call.reservation.return_after_ms
