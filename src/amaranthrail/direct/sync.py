"""Follow the topics of the platform's store through its outages."""

from __future__ import annotations

from ..clock import Clock, sleep
from ..logs import part_logger
from .clusterstate import ClusterState
from .ports import (
    Changes,
    Snapshot,
    StoreFailure,
    StorePort,
    StoreRecord,
    Topic,
)

#: Time that the store is asked to hold a read, in ms. A connection that went
#: silent is noticed this long and a call's bound later, and news must be in
#: force 5 s after that: 3 s until hosts count as in touch, and 2 s more.
READ_WAIT_MS = 3000
#: Least time from one read of a topic to the next, in ms: calls are billed, and
#: a change must be in force within two seconds.
READ_INTERVAL_MS = 400.0
#: Time between attempts while the store gives nothing, in ms.
RETRY_MS = 300.0
#: The same while records that may have lapsed are waited for, in ms.
SETTLING_WAIT_MS = 300
#: Time after the store's return in which lapsed records come back, in ms: the
#: platform states about two seconds.
RETURN_MS = 2200.0


class StoreContact:
    """Remember when the store last answered and last failed to."""

    def __init__(self, clock: Clock) -> None:
        """Start without contact."""
        self._clock = clock
        self._answered_at = clock.now()
        self._regained_at: float | None = None
        self._lost = False

    @property
    def clock(self) -> Clock:
        """Return what its times are taken from."""
        return self._clock

    @property
    def lost(self) -> bool:
        """Tell whether the latest call failed."""
        return self._lost

    @property
    def silent_ms(self) -> float:
        """Return the time since the store last answered, or since the start."""
        return self._clock.now() - self._answered_at

    @property
    def settled(self) -> bool:
        """Tell whether records that lapsed in an outage would be back."""
        if self._regained_at is None:
            return not self._lost
        return self._clock.now() - self._regained_at > RETURN_MS

    def note(self, outcome: object) -> None:
        """Count what a call gave."""
        if not isinstance(outcome, StoreFailure):
            if self._lost:
                _log.info('store regained', silent_ms=int(self.silent_ms))
                self._regained_at = self._clock.now()
            self._lost = False
            self._answered_at = self._clock.now()
            return
        if outcome is StoreFailure.HISTORY_GONE:
            return
        if not self._lost:
            _log.warning('store lost', cause=outcome.value)
        self._lost = True


_log = part_logger('sync')


class TopicFollower:
    """Read a topic by offset, and whole where its history has gone."""

    def __init__(
        self,
        store: StorePort,
        topic: Topic,
        contact: StoreContact,
    ) -> None:
        """Take the store and the topic."""
        self._store = store
        self._topic = topic
        self._contact = contact
        self._clock = contact.clock
        self._next_at = 0.0
        self._offset: int | None = None
        self._highest_end = 0

    async def next(self, wait_ms: int) -> Snapshot | Changes | StoreFailure:
        """Return what is new; a snapshot first and after a gap."""
        await sleep(self._next_at - self._clock.now())
        next_at = self._clock.now() + READ_INTERVAL_MS
        news = await self._read_next(wait_ms)
        if not isinstance(news, StoreFailure):
            self._next_at = next_at
        return news

    async def _read_next(
        self,
        wait_ms: int,
    ) -> Snapshot | Changes | StoreFailure:
        if self._offset is None:
            return await self._read_whole()
        changes = await self._store.read_changes(
            self._topic, self._offset, wait_ms
        )
        self._contact.note(changes)
        if isinstance(changes, Changes):
            self._offset = changes.end
            self._highest_end = max(self._highest_end, changes.end)
        elif changes is StoreFailure.HISTORY_GONE:
            self._offset = None
            return await self._read_whole()
        return changes

    async def _read_whole(self) -> Snapshot | StoreFailure:
        snapshot = await self._store.read_snapshot(self._topic)
        self._contact.note(snapshot)
        if not isinstance(snapshot, Snapshot):
            return snapshot
        if snapshot.end < self._highest_end:
            # The store answered from the past: what is missing there may be
            # younger, so the snapshot proves nothing.
            return StoreFailure.MALFORMED
        self._offset = snapshot.end
        self._highest_end = snapshot.end
        _log.info(
            'topic read whole',
            topic=self._topic.value,
            records=len(snapshot.records),
            end=snapshot.end,
        )
        return snapshot


async def follow_configuration(
    follower: TopicFollower, world: ClusterState
) -> None:
    """Put each newer configuration in force, for good."""
    while True:
        news = await follower.next(READ_WAIT_MS)
        if isinstance(news, StoreFailure):
            await sleep(RETRY_MS)
            continue
        for record in news.records:
            world.take_configuration(record, 'store')


class UpstreamSync:
    """Keep the directory equal to the store's list of upstreams."""

    def __init__(
        self,
        follower: TopicFollower,
        world: ClusterState,
        contact: StoreContact,
    ) -> None:
        """Take the follower of the list and where its news goes."""
        self._follower = follower
        self._world = world
        self._contact = contact
        self._lapsed: set[str] = set()

    async def run(self) -> None:
        """Follow the list for good."""
        while True:
            wait_ms = SETTLING_WAIT_MS if self._lapsed else READ_WAIT_MS
            news = await self._follower.next(wait_ms)
            if isinstance(news, StoreFailure):
                await sleep(RETRY_MS)
                continue
            for record in news.records:
                self._take(record)
            if isinstance(news, Snapshot):
                self._drop_missing(news)
            self._drop_lapsed()

    def _take(self, record: StoreRecord) -> None:
        if record.payload is None and not self._contact.settled:
            # Removed while the store was away: that may be the outage alone.
            self._lapsed.add(record.key)
            return
        self._lapsed.discard(record.key)
        self._world.take_upstream(record, 'store')

    def _drop_missing(self, snapshot: Snapshot) -> None:
        listed = {record.key for record in snapshot.records}
        for name in self._world.directory.names() - listed:
            self._take(StoreRecord(name, None))

    def _drop_lapsed(self) -> None:
        if not self._contact.settled:
            return
        for name in self._lapsed:
            self._world.take_upstream(StoreRecord(name, None), 'lapsed')
        self._lapsed.clear()
