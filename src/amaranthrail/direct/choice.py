"""Choose the upstream for each attempt of a call."""

from __future__ import annotations

import random
from collections.abc import Mapping
from functools import partial

from msgspec.structs import replace

from ..clock import Clock
from ..policy.rankgroups import (
    GroupLoad,
    make_group_load,
    serving_groups,
    split_by_group,
)
from ..policy.selection import UpstreamView, select_upstream
from ..policy.streamadmission import (
    StreamRequest,
    should_admit_stream,
    stream_work,
)
from ..policy.upstreammemory import MemoryUse, has_room, is_large
from ..types import DomainName, GroupName
from .call import Call, UpstreamChoice
from .clusterstate import ClusterState
from .deployment import Deployment, Engine
from .loads import SharedLoads
from .returns import ServiceLoad
from .upstreams import Upstream, silent_ms_by_group


class UpstreamChooser:
    """Choose among the upstreams that take a call, by their load."""

    def __init__(
        self,
        cluster: ClusterState,
        domain: DomainName,
        loads: SharedLoads,
        rng: random.Random | None = None,
    ) -> None:
        """Prefer upstreams in this entry's failure domain, ``domain``.

        ``loads`` holds other entries' calls in flight, ``rng`` breaks ties.
        """
        self._cluster = cluster
        self._domain = domain
        self._loads = loads
        self._clock = Clock()
        self._random = rng or random.Random()

    def choose(self, call: Call) -> Upstream | None:
        """Choose an upstream not tried yet; record the choice in the call."""
        directory = self._cluster.directory
        ready = self._with_room(
            call,
            directory.ready_upstreams(
                call.service, call.tried_upstreams, call.allowed_regions
            ),
        )
        reported = self._loads.totals()
        views = [
            upstream.view(self._domain, reported[upstream.record.name])
            for upstream in ready
        ]
        directory.sharing.record_call(call.service)
        admitted = self._admit(call, ready, views)
        view = select_upstream(admitted, self._random, self._loads.entries)
        chosen = None if view is None else directory.find(view.name)
        if view is None or chosen is None:
            return None
        self._reserve_memory(call, chosen)
        call.choices.append(
            UpstreamChoice(
                view.name,
                chosen.record.sequence,
                view.own_calls,
                round(view.other_calls, 1),
                view.is_ejected,
            ),
        )
        return chosen

    def _with_room(self, call: Call, ready: list[Upstream]) -> list[Upstream]:
        """Return the upstreams whose memory a call fits into."""
        memory = self._cluster.memory_tokens(call.service)
        tokens = call.metadata.held_tokens
        if not memory or not tokens or not ready:
            return ready
        reported = self._loads.held_tokens()
        entries = self._cluster.directory.sharing.entries
        fitting = [
            upstream
            for upstream in ready
            if has_room(
                tokens,
                MemoryUse(
                    memory,
                    upstream.held_tokens,
                    reported[upstream.record.name],
                    self._loads.owns(upstream.record.name),
                ),
                entries,
            )
        ]
        call.lacks_memory = not fitting
        return fitting

    def _reserve_memory(self, call: Call, upstream: Upstream) -> None:
        memory = self._cluster.memory_tokens(call.service)
        tokens = call.metadata.held_tokens
        if not memory or not tokens:
            return
        upstream.reserve(call.metadata.attempt_id, tokens)
        if is_large(tokens, memory):
            self._cluster.report_trigger.request()

    def _admit(
        self, call: Call, ready: list[Upstream], views: list[UpstreamView]
    ) -> list[UpstreamView]:
        """Return the upstreams of the groups that may take a call.

        Only streams of services with engines are subject to admission, each
        of them once; a retry only avoids groups that do not serve.
        """
        deployment = self._cluster.deployment
        service = self._cluster.service(call.service)
        engine = None if service is None else service.engine
        if not call.route.streaming or deployment is None or engine is None:
            return views
        if not views:
            return views
        directory = self._cluster.directory
        by_group = split_by_group(views)
        loads = serving_groups(self._group_loads(call, by_group, ready))
        if not call.choices:
            call.engine_load = min(
                loads.values(), key=lambda load: load.mean_load
            )
            stream = self._make_stream_request(call, deployment, engine)
            self._loads.returns.record_groups(
                call.service,
                loads.values(),
                directory.last_gap_ms(call.service),
            )
            demand = self._service_load(stream, by_group, loads)
            self._loads.returns.update_forecast(call.service, demand)
            call.stream = replace(
                stream, is_above_share=self._is_above_share(call, stream)
            )
            call.pressure = self._loads.returns.pressure(
                call.service, call.stream, demand
            )
            loads = {
                name: load
                for name, load in loads.items()
                if should_admit_stream(call.stream, load, call.pressure)
            }
            if loads:
                self._loads.returns.record_begin(call.service, call.stream)
        return [view for name in loads for view in by_group[name]]

    def _is_above_share(self, call: Call, stream: StreamRequest) -> bool:
        """Tell whether a request is above its organisation's share."""
        if stream.is_resumed:
            return False
        demands = self._loads.demands
        if stream.is_first_request:
            demands.record_request(
                call.service, call.organisation, stream.relative_size
            )
        capacity_per_s = self._loads.returns.capacity_per_s(call.service)
        return capacity_per_s is not None and demands.is_above_share(
            call.service, call.organisation, capacity_per_s
        )

    def _service_load(
        self,
        stream: StreamRequest,
        by_group: Mapping[GroupName | None, list[UpstreamView]],
        loads: Mapping[GroupName | None, GroupLoad],
    ) -> ServiceLoad:
        """Return the streams in progress at the groups that serve."""
        views = [
            view
            for name, load in loads.items()
            if not load.is_silent
            for view in by_group[name]
        ]
        own_calls = sum(view.own_calls for view in views)
        steps = [load.step_ms for load in loads.values() if load.step_ms]
        return ServiceLoad(
            own_calls + sum(view.other_calls for view in views),
            own_calls,
            self._loads.busy_entries,
            min(steps, default=None),
            stream.target_gap_ms,
        )

    def _group_loads(
        self,
        call: Call,
        by_group: Mapping[GroupName | None, list[UpstreamView]],
        ready: list[Upstream],
    ) -> dict[GroupName | None, GroupLoad]:
        silent_ms = silent_ms_by_group(ready)
        step_times = partial(self._cluster.directory.step_times, call.service)
        is_changing = self._loads.map_changes.is_changing
        return {
            group: make_group_load(
                members,
                step_times(group).step_ms,
                silent_ms.get(group, 0),
                is_map_changing=is_changing(group),
            )
            for group, members in by_group.items()
        }

    def _make_stream_request(
        self, call: Call, deployment: Deployment, engine: Engine
    ) -> StreamRequest:
        metadata = call.metadata
        work = stream_work(
            metadata.expected_tokens,
            metadata.prompt_tokens,
            metadata.max_output_tokens,
        )
        return StreamRequest(
            remaining_ms=call.deadline - self._clock.now(),
            route_timeout_ms=call.route.timeout_ms,
            target_gap_ms=call.route.target_gap_ms,
            urgency_rank=deployment.urgency_rank(call.service, call.priority),
            steps=metadata.expected_tokens / engine.tokens_per_step,
            is_resumed=metadata.last_event_id is not None,
            relative_size=self._loads.returns.relative_size(
                call.service, call.route.name, work
            ),
        )
