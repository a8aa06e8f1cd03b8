"""Send calls unless their prompts may crash upstreams."""

from __future__ import annotations

from contextlib import AbstractContextManager, nullcontext

from ..clock import Clock
from ..policy.quarantine import Admission
from .attempt import AttemptSender
from .call import BufferedResponse, Call, Failure
from .clusterstate import ClusterState
from .crashes import CrashRecords
from .ports import WireFormat
from .relay import RelayedAttempt
from .upstreams import Upstream


class PromptGuard:
    """Hold suspect prompts, and learn from each attempt which are."""

    def __init__(
        self, clock: Clock, wire_format: WireFormat, cluster: ClusterState
    ) -> None:
        """Send to the upstreams of ``cluster``; start without suspects."""
        self._directory = cluster.directory
        self._attempts = AttemptSender(clock, wire_format, cluster.directory)
        self._crashes = CrashRecords(clock, cluster.report_trigger)

    @property
    def crashes(self) -> CrashRecords:
        """Return the evidence that decides."""
        return self._crashes

    def held_ms(self, call: Call) -> float | None:
        """Return for how long a call is held, None if it may be sent now."""
        verdict = self._crashes.judge(call.service, call.metadata.shared_parts)
        if verdict.admission is Admission.HOLD:
            return verdict.wait_ms
        return None

    def record_answer(self, call: Call) -> None:
        """Record that an answer to a call has begun."""
        self._crashes.record_answer(call.service, call.metadata.shared_parts)

    async def send(
        self, call: Call, upstream: Upstream, relayed: RelayedAttempt
    ) -> BufferedResponse | Failure | None:
        """Send a call that is not held; return as AttemptSender.send does."""
        verdict = self._crashes.judge(call.service, call.metadata.shared_parts)
        trial: AbstractContextManager[None] = nullcontext()
        if verdict.admission is Admission.TRIAL:
            trial = self._crashes.trial(verdict.suspects)
        with trial:
            attempt = await self._attempts.send(call, upstream, relayed)
            if isinstance(attempt, Failure) and not relayed.has_begun:
                await self._check_crash(call, upstream, attempt)
        return attempt

    async def _check_crash(
        self, call: Call, upstream: Upstream, failure: Failure
    ) -> None:
        """Record a crash if the upstream has ended without leaving.

        One that still listens has only lost a connection.
        """
        record = upstream.record
        may_be_cause = failure.may_have_run and call.metadata.shared_parts
        is_listed = self._directory.find(record.name) is upstream
        if not (may_be_cause and is_listed):
            return
        if not upstream.takes_calls:
            return
        if await upstream.client.refuses_connections():
            self._crashes.record_crash(record, call.metadata.shared_parts)
