"""Control the expert maps of every rank group of every service."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Collection
from functools import partial

import msgspec
import trio

from ..clock import Clock, sleep
from ..containment import contain_errors, repeat_step
from ..direct.clusterstate import ClusterState
from ..direct.deployment import Deployment, ExpertLayout
from ..direct.mapchanges import MapChangeNotices
from ..direct.upstreams import Upstream, silent_ms_by_group
from ..logs import part_logger
from ..metrics import Metrics
from ..policy.rebalancing import (
    FASTEST_LINK_MBPS,
    can_rebalance,
    has_small_map,
)
from ..types import GroupName, ServiceName
from .groups import GroupDirectory, GroupKey, KnownGroup, RankPorts
from .largegroups import LeaderContext
from .leader import Leader
from .ports import MakeRank

#: Time between two updates of a group, in ms.
CYCLE_MS = 250.0
#: Time without an event on any stream of a group after which an entry that is
#: not the leader looks for a held step, in ms; a step takes 30 to 120.
STREAM_STALL_MS = 450.0
#: Time between two such searches, in ms.
STALL_INTERVAL_MS = 500.0
#: Time since the start of an entry, in ms, in which it looks for a held step
#: of a large group without having heard of a change: all entries may have been
#: lost in the middle of one. Later, each slow step would cost reports of all
#: ranks.
UNHEARD_CHANGE_MS = 60_000.0
#: Target gap between events where no route states one, in ms.
DEFAULT_GAP_MS = 120.0
_log = part_logger('keeper')


class ControllerContext(msgspec.Struct, frozen=True):
    """Hold what map changes use of their entry.

    ``notices`` has the changes that entries announce to each other, and
    ``fetch_link_mbps`` returns the speed of the host's own link.
    """

    notices: MapChangeNotices
    metrics: Metrics
    fetch_link_mbps: Callable[[], float]


class _ControlledGroup:
    """Pair a group's leader with the lock that each of its cycles holds."""

    def __init__(self, leader: Leader) -> None:
        self.leader = leader
        self.cycle_lock = trio.Lock()
        self.term_checked = True
        self._ranks: RankPorts = {}

    def replace_ranks(self, ranks: RankPorts) -> None:
        """Give the leader the known ranks where they have changed."""
        if dict(ranks) != dict(self._ranks):
            self._ranks = ranks
            self.leader.replace_ranks(ranks)


class MapController:
    """Manage all groups of each service that has expert maps, concurrently.

    Only the entry that is leader changes maps; the others release steps that
    a lost leader has left held.
    """

    def __init__(
        self,
        cluster: ClusterState,
        is_leader: Callable[[], bool],
        make_rank: MakeRank,
        clock: Clock,
        context: ControllerContext,
    ) -> None:
        """Set the cluster state, the leadership test and the rank factory."""
        self._context = context
        self._cluster = cluster
        self._is_leader = is_leader
        self._make_rank = make_rank
        self._clock = clock
        self._random = random.Random()
        self._directories: dict[ServiceName, GroupDirectory] = {}
        self._groups: dict[GroupKey, _ControlledGroup] = {}
        self._stall_found_at = clock.now()
        self._was_leader = False
        self._started_at = clock.now()

    @property
    def is_idle(self) -> bool:
        """Return whether no group's map is being changed or read here."""
        return not any(
            group.cycle_lock.locked() for group in self._groups.values()
        )

    async def run(self) -> None:
        """Update all groups every CYCLE_MS until cancelled.

        A group whose last update is still in progress is left out.
        """
        async with trio.open_nursery() as nursery:
            update = partial(self._run_cycle, nursery)
            await repeat_step(update, _log, 'groups not updated')

    async def _run_cycle(self, nursery: trio.Nursery) -> None:
        await sleep(CYCLE_MS)
        deployment = self._cluster.deployment
        if deployment is not None:
            await self._update_services(nursery, deployment)

    async def _update_services(
        self, nursery: trio.Nursery, deployment: Deployment
    ) -> None:
        for service in deployment.services.values():
            if service.layout is not None:
                gap_ms = deployment.target_gap_ms(service.name)
                await self._update_service(
                    nursery,
                    service.name,
                    service.layout,
                    gap_ms or DEFAULT_GAP_MS,
                )

    async def _update_service(
        self,
        nursery: trio.Nursery,
        service: ServiceName,
        layout: ExpertLayout,
        target_gap_ms: float,
    ) -> None:
        known = self._cluster.directory
        upstreams = known.upstreams_of(service)
        directory = self._directory(service)
        leading = self._check_term()
        stalled = self._stalled_groups(upstreams, layout, leading=leading)
        if not leading and not stalled:
            return
        for name in stalled:
            directory.forget(name)
        await directory.refresh(upstreams, known.removed_records(service))
        for key, known_group in directory.groups.items():
            leads = leading and self._can_change(layout, known_group.size)
            # Reports are billed, and of no use where maps cannot be changed.
            if leads or (stalled and _can_rebalance(layout, known_group.size)):
                group = self._group(key, layout, target_gap_ms)
                self._start_update(
                    nursery, key, group, known_group, leads=leads
                )

    def _start_update(
        self,
        nursery: trio.Nursery,
        key: GroupKey,
        group: _ControlledGroup,
        known: KnownGroup,
        *,
        leads: bool,
    ) -> None:
        """Update a group unless its last update is still in progress."""
        if group.cycle_lock.locked():
            return
        group.replace_ranks(known.ranks)
        update = self._lead if leads else self._recover
        nursery.start_soon(update, key, group, known)

    def _check_term(self) -> bool:
        """Tell whether this entry leads; begin and end its leaders' terms."""
        leading = self._is_leader()
        if leading is not self._was_leader:
            self._was_leader = leading
            for group in self._groups.values():
                group.term_checked = False
        for group in self._groups.values():
            if not group.term_checked and not group.cycle_lock.locked():
                group.term_checked = True
                if leading:
                    group.leader.begin_term()
                else:
                    group.leader.end_term()
        return leading

    def _group(
        self, key: GroupKey, layout: ExpertLayout, target_gap_ms: float
    ) -> _ControlledGroup:
        """Return what controls a group, created at first use."""
        known = self._groups.get(key)
        if known is not None:
            return known

        def fetch_step_ms() -> float | None:
            directory = self._cluster.directory
            return directory.step_times(key.service, key.group).step_ms

        context = LeaderContext(
            self._context.notices,
            self._context.metrics,
            self._context.fetch_link_mbps,
            fetch_step_ms,
        )
        group = _ControlledGroup(
            Leader(layout, target_gap_ms, self._clock, self._random, context)
        )
        self._groups[key] = group
        return group

    async def _lead(
        self, key: GroupKey, group: _ControlledGroup, known: KnownGroup
    ) -> None:
        leader = group.leader
        epoch = leader.epoch
        reached = False
        async with group.cycle_lock:
            with contain_errors(_log, 'group not updated', group=key.group):
                reached = await leader.run_cycle()
        is_current = leader.epoch == epoch or (
            known.complete and leader.epoch == known.epoch
        )
        if not reached or not is_current:
            # Rank numbers may have been assigned anew.
            self._directory(key.service).forget(key.group)

    async def _recover(
        self, key: GroupKey, group: _ControlledGroup, _known: KnownGroup
    ) -> None:
        async with group.cycle_lock:
            with contain_errors(_log, 'group not recovered', group=key.group):
                await group.leader.recover_held_step()

    def _can_change(self, layout: ExpertLayout, ranks: int) -> bool:
        """Tell whether this host's link sends a map to all ranks in time."""
        link_mbps = self._context.fetch_link_mbps()
        return _can_rebalance(layout, ranks, link_mbps)

    def _may_hold_step(
        self, group: GroupName | None, layout: ExpertLayout, ranks: int
    ) -> bool:
        """Tell whether a leader may have left a step of a group held.

        Groups whose map no host can send in time have no held step, and large
        ones only soon after an announced change. An entry that has just started
        may not have heard of it, and the leader always looks.
        """
        if not _can_rebalance(layout, ranks):
            return False
        if has_small_map(layout.sets, layout.placements, ranks):
            return True
        if self._clock.now() - self._started_at < UNHEARD_CHANGE_MS:
            return True
        return self._context.notices.was_changing(group)

    def _stalled_groups(
        self,
        upstreams: Collection[Upstream],
        layout: ExpertLayout,
        *,
        leading: bool,
    ) -> set[GroupName | None]:
        """Return the groups to recover whose streams here have all stopped.

        Upstreams whose group is unknown count as one group, None. The leader
        recovers only groups whose maps it cannot change; it reads the others
        in each cycle.
        """
        now = self._clock.now()
        if now - self._stall_found_at < STALL_INTERVAL_MS:
            return set()
        sizes = Counter(upstream.group for upstream in upstreams)
        stalled = {
            group
            for group, silent_ms in silent_ms_by_group(upstreams).items()
            if silent_ms >= STREAM_STALL_MS
            and self._needs_recovery(
                group, layout, sizes[group], leading=leading
            )
        }
        if stalled:
            self._stall_found_at = now
        return stalled

    def _needs_recovery(
        self,
        group: GroupName | None,
        layout: ExpertLayout,
        ranks: int,
        *,
        leading: bool,
    ) -> bool:
        if leading:
            return _can_rebalance(layout, ranks) and not self._can_change(
                layout, ranks
            )
        return self._may_hold_step(group, layout, ranks)

    def _directory(self, service: ServiceName) -> GroupDirectory:
        return self._directories.setdefault(
            service, GroupDirectory(service, self._make_rank, self._clock)
        )


def _can_rebalance(
    layout: ExpertLayout, ranks: int, link_mbps: float = FASTEST_LINK_MBPS
) -> bool:
    return can_rebalance(layout.sets, layout.placements, ranks, link_mbps)
