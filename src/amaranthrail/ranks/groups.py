"""Find out which upstream of a service is which rank of which group."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from typing import TypeAlias

import msgspec
import trio

from ..adapters.httpclient import Address
from ..clock import Clock
from ..direct.upstreams import Upstream
from ..logs import part_logger
from ..types import GroupName, ServiceName
from .ports import MakeRank, RankPort

#: Interval between two queries of an upstream that has not stated its rank, in
#: ms: a group takes about as long to form, and reports are billed.
QUERY_RETRY_MS = 1000.0
_log = part_logger('groups')

#: The ports of a group's known members, by rank.
RankPorts: TypeAlias = Mapping[int, RankPort]


class GroupKey(msgspec.Struct, frozen=True):
    """Identify a group; names are unique within a service."""

    service: ServiceName
    group: GroupName


class _Member(msgspec.Struct, frozen=True):
    """Hold what an upstream reported of its place in a group.

    ``started_at`` is the start that the report belongs to, in wall time.
    """

    group: GroupName
    epoch: int
    rank: int
    started_at: int
    port: RankPort

    @property
    def order_key(self) -> tuple[int, int]:
        """Return a key that is greater for the later member of one rank."""
        return self.epoch, self.started_at


class GroupDirectory:
    """Keep the groups of one service as its upstreams come, go and restart."""

    def __init__(
        self, service: ServiceName, make_rank: MakeRank, clock: Clock
    ) -> None:
        """Start without groups; reports are read through ``make_rank``."""
        self._service = service
        self._make_rank = make_rank
        self._clock = clock
        self._members: dict[str, _Member] = {}
        self._queried_at: dict[str, float] = {}

    @property
    def groups(self) -> Mapping[GroupKey, RankPorts]:
        """Return the known members of each group, by rank.

        Members of an earlier epoch than the group's latest are left out: they
        may have another rank by now.
        """
        epochs: dict[GroupName, int] = {}
        for member in self._members.values():
            known = epochs.get(member.group, member.epoch)
            epochs[member.group] = max(known, member.epoch)
        by_group: dict[GroupKey, dict[int, RankPort]] = {}
        for member in sorted(
            self._members.values(), key=lambda each: each.order_key
        ):
            key = GroupKey(self._service, member.group)
            ranks = by_group.setdefault(key, {})
            if member.epoch == epochs[member.group]:
                ranks[member.rank] = member.port
        return by_group

    def forget(self, group: GroupName | None) -> None:
        """Have the members of a group queried again by the next refresh.

        None stands for upstreams whose group is unknown.
        """
        self._members = {
            name: member
            for name, member in self._members.items()
            if member.group != group
        }
        self._queried_at.clear()

    async def refresh(self, upstreams: Iterable[Upstream]) -> None:
        """Query the upstreams whose place is unknown; drop those removed."""
        current = {upstream.record.name: upstream for upstream in upstreams}
        self._queried_at = {
            name: queried_at
            for name, queried_at in self._queried_at.items()
            if name in current
        }
        self._members = {
            name: member
            for name, member in self._members.items()
            if name in current
            and member.started_at == current[name].record.started_at
        }
        unknown = [
            upstream
            for name, upstream in current.items()
            if name not in self._members and self._is_query_due(name)
        ]
        async with trio.open_nursery() as nursery:
            for upstream in unknown:
                nursery.start_soon(self._query, upstream)

    def _is_query_due(self, name: str) -> bool:
        queried_at = self._queried_at.get(name, -math.inf)
        return self._clock.now() - queried_at >= QUERY_RETRY_MS

    async def _query(self, upstream: Upstream) -> None:
        record = upstream.record
        self._queried_at[record.name] = self._clock.now()
        port = self._make_rank(Address(record.host, record.port))
        report = await port.fetch_report()
        if report is None:
            return
        group = GroupName(report.group)
        if upstream.group != group:
            _log.info(
                'rank found',
                upstream=record.name,
                group=group,
                epoch=report.epoch,
                rank=report.rank,
            )
        upstream.assign_group(group)
        self._queried_at.pop(record.name, None)
        self._members[record.name] = _Member(
            group, report.epoch, report.rank, record.started_at, port
        )
