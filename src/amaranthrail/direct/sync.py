"""Follow the topics of the platform's store through its outages."""

from __future__ import annotations

import math
from collections.abc import Callable

import trio

from ..clock import Clock, sleep
from ..containment import contain_errors, repeat_step
from ..logs import part_logger
from ..policy.storereads import ReadTimes, choose_read_times
from .clusterstate import ClusterState
from .ports import (
    Changes,
    Snapshot,
    StoreFailure,
    StorePort,
    StoreRecord,
    Topic,
)
from .steps import in_steps

#: Least interval between reads of a topic, in ms: calls are billed, and a
#: change must be in force within two seconds.
READ_INTERVAL_MS = 400.0
#: Least interval between reads of a topic while the store fails, in ms.
RETRY_MS = 300.0
#: Time for which the store is asked to hold a read while upstreams whose
#: records expired may still register again, or the operator may write again
#: what the store has lost, in ms.
RECOVERY_WAIT_MS = 300
#: Time after an outage of the store, or after it came back from an older copy,
#: in which upstreams register again, in ms: the platform states about two
#: seconds.
REREGISTRATION_MS = 2200.0


class StoreStatus:
    """Track whether the store responds and since when."""

    def __init__(self, clock: Clock) -> None:
        """Count the store as available until a call fails."""
        self._clock = clock
        self._responded_at = clock.now()
        self._recovered_at: float | None = None
        self._lost = False
        self._era = 0
        self._is_era_known = False
        self._rewinds = 0
        self._era_rose = trio.Event()

    @property
    def clock(self) -> Clock:
        """Return the clock of all times in the status."""
        return self._clock

    @property
    def lost(self) -> bool:
        """Tell whether the latest call failed."""
        return self._lost

    @property
    def silent_ms(self) -> float:
        """Return the time since the latest response or since the start."""
        return self._clock.now() - self._responded_at

    @property
    def era(self) -> int:
        """Return the store's latest era, 0 before the first response."""
        return self._era

    @property
    def rewinds(self) -> int:
        """Return how often the store came back from an older copy."""
        return self._rewinds

    @property
    def settled(self) -> bool:
        """Tell whether upstreams have had time to register again.

        They do so after an outage of the store and after it came back from an
        older copy.
        """
        if self._recovered_at is None:
            return not self._lost
        return self._clock.now() - self._recovered_at > REREGISTRATION_MS

    def record_result(self, outcome: object) -> None:
        """Update the status from a call's result or StoreFailure.

        A history that is gone is neither a failure nor a recovery.
        """
        if isinstance(outcome, Snapshot | Changes):
            self._record_era(outcome.era)
        if not isinstance(outcome, StoreFailure):
            if self._lost:
                _log.info('store available', silent_ms=int(self.silent_ms))
                self._recovered_at = self._clock.now()
            self._lost = False
            self._responded_at = self._clock.now()
            return
        if outcome is StoreFailure.HISTORY_GONE:
            return
        if not self._lost:
            _log.warning('store unavailable', cause=outcome.value)
        self._lost = True

    async def wait_for_era_after(self, era: int) -> None:
        """Wait until the store has stated a later era."""
        while self._era <= era:
            await self._era_rose.wait()

    def _record_era(self, era: int) -> None:
        """Record the era of a response; one of an earlier era may be late."""
        if self._is_era_known and era > self._era:
            _log.warning(
                'store has come back from an older copy',
                era=era,
                earlier=self._era,
                silent_ms=int(self.silent_ms),
            )
            self._rewinds += 1
            self._recovered_at = self._clock.now()
        self._is_era_known = True
        if era > self._era:
            self._era = era
            self._era_rose.set()
            self._era_rose = trio.Event()


_log = part_logger('sync')


class TopicFollower:
    """Read a topic by offset, and as a snapshot where its history is gone."""

    def __init__(
        self,
        store: StorePort,
        topic: Topic,
        status: StoreStatus,
        wait_ms: Callable[[], int],
    ) -> None:
        """Start before the first snapshot; record results in ``status``.

        ``wait_ms`` returns for how long the store is asked to hold a read.
        """
        self._store = store
        self._topic = topic
        self._status = status
        self._wait_ms = wait_ms
        self._clock = status.clock
        self._next_read_at = 0.0
        self._has_failed = False
        self._offset: int | None = None
        self._highest_end = 0
        self._era = 0

    async def next_update(
        self,
        max_wait_ms: float = math.inf,
    ) -> Snapshot | Changes | StoreFailure:
        """Return the changes since the last call, a snapshot at first.

        A snapshot also follows where the history since then is gone or of
        another era, in which offsets have been given out again. The store
        is asked to hold the read for ``max_wait_ms`` at most.
        """
        await sleep(self._next_read_at - self._clock.now())
        started_at = self._clock.now()
        times = choose_read_times(
            int(min(max_wait_ms, self._wait_ms())), has_failed=self._has_failed
        )
        update = await self._read_update(times)
        self._has_failed = update is StoreFailure.UNREACHABLE
        interval_ms = READ_INTERVAL_MS
        if isinstance(update, StoreFailure):
            interval_ms = RETRY_MS
        self._next_read_at = started_at + interval_ms
        return update

    async def _read_update(
        self,
        times: ReadTimes,
    ) -> Snapshot | Changes | StoreFailure:
        if self._offset is None:
            return await self._read_snapshot(times)
        changes = await self._store.read_changes(
            self._topic, self._offset, times
        )
        self._status.record_result(changes)
        if isinstance(changes, Changes) and changes.era == self._era:
            self._offset = changes.end
            self._highest_end = max(self._highest_end, changes.end)
        elif isinstance(changes, Changes) or (
            changes is StoreFailure.HISTORY_GONE
        ):
            self._offset = None
            return await self._read_snapshot(times)
        return changes

    async def _read_snapshot(self, times: ReadTimes) -> Snapshot | StoreFailure:
        snapshot = await self._store.read_snapshot(
            self._topic, times.timeout_ms
        )
        self._status.record_result(snapshot)
        if not isinstance(snapshot, Snapshot):
            return snapshot
        if (snapshot.era, snapshot.end) < (self._era, self._highest_end):
            # The store returned an old state: keys that are missing there may
            # have been written later, so the snapshot cannot be used.
            _log.warning(
                'outdated snapshot ignored',
                topic=self._topic.value,
                end=snapshot.end,
                highest_end=self._highest_end,
                era=snapshot.era,
                highest_era=self._era,
            )
            return StoreFailure.MALFORMED
        self._offset = snapshot.end
        self._highest_end = snapshot.end
        self._era = snapshot.era
        _log.info(
            'topic snapshot read',
            topic=self._topic.value,
            records=len(snapshot.records),
            end=snapshot.end,
            era=snapshot.era,
        )
        return snapshot


async def follow_configuration(
    follower: TopicFollower, cluster: ClusterState
) -> None:
    """Apply updates of the configuration topic until cancelled."""

    async def apply_next() -> None:
        is_settling = cluster.evacuations.is_settling
        max_wait_ms = RECOVERY_WAIT_MS if is_settling else math.inf
        update = await follower.next_update(max_wait_ms)
        if isinstance(update, StoreFailure):
            return
        # Before the configuration, by which an entry becomes ready.
        with contain_errors(_log, 'evacuations not applied'):
            cluster.apply_evacuations(update)
        async for record in in_steps(update.records, 'configuration records'):
            with contain_errors(_log, 'record not applied', key=record.key):
                cluster.apply_configuration(record, 'store')
        cluster.record_configuration_read()

    await repeat_step(apply_next, _log, 'configuration topic not read')


class UpstreamSync:
    """Keep the directory equal to the store's list of upstreams.

    Records that the store removes because of its own outage, or lacks after it
    came back from an older copy, are kept until their upstreams have had time
    to register again.
    """

    def __init__(
        self,
        follower: TopicFollower,
        cluster: ClusterState,
        status: StoreStatus,
    ) -> None:
        """Apply the updates of ``follower`` to ``cluster``."""
        self._follower = follower
        self._cluster = cluster
        self._status = status
        self._expired: set[str] = set()

    async def run(self) -> None:
        """Apply updates of the list until cancelled."""
        await repeat_step(self._apply_next, _log, 'upstream topic not read')

    async def _apply_next(self) -> None:
        max_wait_ms = RECOVERY_WAIT_MS if self._expired else math.inf
        update = await self._follower.next_update(max_wait_ms)
        if isinstance(update, StoreFailure):
            return
        # Others add upstreams between the steps, which no snapshot lists.
        earlier_names = self._cluster.directory.names()
        async for record in in_steps(update.records, 'upstream records'):
            with contain_errors(_log, 'record not applied', key=record.key):
                self._apply_record(record)
        if isinstance(update, Snapshot):
            self._remove_missing(update, earlier_names)
        self._remove_expired()

    def _apply_record(self, record: StoreRecord) -> None:
        if record.payload is None and not self._status.settled:
            # A record that expired during an outage of the store does not show
            # that its upstream is gone.
            self._expired.add(record.key)
            return
        self._expired.discard(record.key)
        self._cluster.apply_upstream(record, 'store')

    def _remove_missing(
        self, snapshot: Snapshot, earlier_names: frozenset[str]
    ) -> None:
        listed = {record.key for record in snapshot.records}
        for name in earlier_names - listed:
            self._apply_record(StoreRecord(name, None))

    def _remove_expired(self) -> None:
        if not self._status.settled:
            return
        for name in self._expired:
            self._cluster.apply_upstream(StoreRecord(name, None), 'lapsed')
        self._expired.clear()
