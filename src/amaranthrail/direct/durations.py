"""Estimate how long a stream takes from its stated length and step times."""

from __future__ import annotations

from ..policy.shutdown import StreamLength, expected_stream_ms
from .call import Call
from .clusterstate import ClusterState


class StreamDurations:
    """Estimate durations by the step times of the groups that may serve."""

    def __init__(self, cluster: ClusterState) -> None:
        """Use the services and upstreams that ``cluster`` knows."""
        self._cluster = cluster

    def expected_ms(self, call: Call) -> float | None:
        """Return the time that a call's stream is expected to take.

        Return None where its length or the step time is unknown. A stream that
        resumes is taken for a whole one, as what is left of it is unknown.
        """
        service = self._cluster.service(call.service)
        step_ms = self._step_ms(call)
        if service is None or service.engine is None or step_ms is None:
            return None
        return expected_stream_ms(
            StreamLength(
                call.metadata.max_output_tokens,
                call.metadata.expected_tokens,
                service.engine.tokens_per_step,
            ),
            step_ms,
        )

    def _step_ms(self, call: Call) -> float | None:
        """Return the longest recent step time, None where no stream runs."""
        directory = self._cluster.directory
        ready = directory.ready_upstreams(
            call.service, frozenset(), call.allowed_regions
        )
        groups = {upstream.group for upstream in ready}
        recent = [
            directory.step_times(call.service, group).step_ms
            for group in groups
        ]
        known = [step_ms for step_ms in recent if step_ms is not None]
        return max(known, default=None)
