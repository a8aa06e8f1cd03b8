"""Find out which upstream of a service is which rank of which group."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from typing import TypeAlias

import msgspec
import trio

from ..adapters.httpclient import Address
from ..clock import Clock
from ..containment import contain_errors
from ..direct.deployment import UpstreamRecord
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


class KnownGroup(msgspec.Struct, frozen=True):
    """Hold the known members of a group, by rank, and its number of ranks.

    ``epoch`` is the group epoch in which they reported their ranks.
    """

    ranks: RankPorts
    size: int
    epoch: int

    @property
    def complete(self) -> bool:
        """Tell whether all members are known."""
        return len(self.ranks) >= self.size


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
    size: int
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
    def groups(self) -> Mapping[GroupKey, KnownGroup]:
        """Return what is known of each group.

        Members of an earlier epoch than the group's latest are left out: they
        may have another rank by now.
        """
        epochs: dict[GroupName, int] = {}
        for member in self._members.values():
            known = epochs.get(member.group, member.epoch)
            epochs[member.group] = max(known, member.epoch)
        by_group: dict[GroupName, dict[int, _Member]] = {}
        for member in sorted(
            self._members.values(), key=lambda each: each.order_key
        ):
            if member.epoch == epochs[member.group]:
                by_rank = by_group.setdefault(member.group, {})
                by_rank[member.rank] = member
        return {
            GroupKey(self._service, group): _make_group(by_rank)
            for group, by_rank in by_group.items()
        }

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

    async def refresh(
        self,
        upstreams: Iterable[Upstream],
        removed: Iterable[UpstreamRecord] = (),
    ) -> None:
        """Query the upstreams whose place is unknown.

        A removed upstream stays a member, as its engine may serve on. Those in
        ``removed`` are queried too where a group lacks members.
        """
        listed = {upstream.record.name: upstream for upstream in upstreams}
        records = {record.name: record for record in removed}
        records.update(
            (name, upstream.record) for name, upstream in listed.items()
        )
        self._drop_unknown(records)
        await self._query_all(upstream.record for upstream in listed.values())
        if not all(group.complete for group in self.groups.values()):
            await self._query_all(records.values())
        self._assign_groups(listed)

    def _drop_unknown(self, records: Mapping[str, UpstreamRecord]) -> None:
        """Drop members that have no record any more or have restarted."""
        self._queried_at = {
            name: queried_at
            for name, queried_at in self._queried_at.items()
            if name in records
        }
        self._members = {
            name: member
            for name, member in self._members.items()
            if name in records and member.started_at == records[name].started_at
        }

    async def _query_all(self, records: Iterable[UpstreamRecord]) -> None:
        """Query the upstreams that are no known members, if it is time."""
        async with trio.open_nursery() as nursery:
            for record in records:
                is_known = record.name in self._members
                if not is_known and self._is_query_due(record.name):
                    nursery.start_soon(self._query, record)

    def _assign_groups(self, listed: Mapping[str, Upstream]) -> None:
        for name, upstream in listed.items():
            member = self._members.get(name)
            if member is not None and upstream.group != member.group:
                upstream.assign_group(member.group)
                _log.info(
                    'rank found',
                    upstream=name,
                    group=member.group,
                    epoch=member.epoch,
                    rank=member.rank,
                )

    def _is_query_due(self, name: str) -> bool:
        queried_at = self._queried_at.get(name, -math.inf)
        return self._clock.now() - queried_at >= QUERY_RETRY_MS

    async def _query(self, record: UpstreamRecord) -> None:
        self._queried_at[record.name] = self._clock.now()
        address = Address(record.host, record.port)
        port = self._make_rank(record.name, address)
        report = None
        with contain_errors(_log, 'rank not queried', upstream=record.name):
            report = await port.fetch_report()
        if report is None:
            return
        self._queried_at.pop(record.name, None)
        self._members[record.name] = _Member(
            GroupName(report.group),
            report.epoch,
            report.rank,
            report.size,
            record.started_at,
            port,
        )


def _make_group(by_rank: Mapping[int, _Member]) -> KnownGroup:
    return KnownGroup(
        {rank: member.port for rank, member in by_rank.items()},
        max(member.size for member in by_rank.values()),
        max(member.epoch for member in by_rank.values()),
    )
