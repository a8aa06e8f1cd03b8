"""Know the upstreams: their records, the calls in flight, their health."""

from __future__ import annotations

from collections.abc import Iterator

from ..adapters.httpclient import Address, HttpClient
from ..clock import Clock
from ..logs import part_logger
from ..policy.outliers import Health
from ..policy.selection import UpstreamView, decay_others
from ..types import DomainName, ServiceName
from .deployment import AgeKey, UpstreamRecord, UpstreamState
from .pace import ServicePace
from .ports import ReportedLoad

#: Time for which a name that has gone is remembered, in ms: a late record must
#: not bring it back. Records of one name are a heartbeat (1.2 s) apart.
TOMBSTONE_MS = 60_000.0
#: Bound of a connection to an upstream, in ms: hosts are a millisecond or two
#: apart, and a call that has not been sent can still go to another.
CONNECT_TIMEOUT_MS = 300.0
_log = part_logger('upstreams')

#: The last record's age of a name that has gone, and when that was noticed.
_Tombstone = tuple[AgeKey, float]


class Upstream:
    """Hold one upstream's record, connections, calls and health."""

    def __init__(self, record: UpstreamRecord, clock: Clock) -> None:
        """Take its first record."""
        self._record = record
        self._clock = clock
        self._client = _make_client(record)
        self._health = Health()
        self._in_flight = 0
        self._others = 0.0
        self._others_at = clock.now()
        self._heard_at = clock.now()

    @property
    def record(self) -> UpstreamRecord:
        """Return the latest record."""
        return self._record

    @property
    def client(self) -> HttpClient:
        """Return what calls the upstream."""
        return self._client

    @property
    def health(self) -> Health:
        """Return how its latest calls ended."""
        return self._health

    @property
    def in_flight(self) -> int:
        """Return how many of this entry's calls are there."""
        return self._in_flight

    @property
    def silent_ms(self) -> float:
        """Return the time since it last sent anything or got a call."""
        return self._clock.now() - self._heard_at

    def note_heard(self) -> None:
        """Note that it sent something."""
        self._heard_at = self._clock.now()

    def update(self, record: UpstreamRecord) -> None:
        """Take a later record."""
        moved = (record.host, record.port) != (
            self._record.host,
            self._record.port,
        )
        restarted = record.started_at != self._record.started_at
        if moved or restarted:
            self._client.close_idle()
            self._client = _make_client(record)
            self._health = Health()
        self._record = record

    def count(self, change: int) -> None:
        """Count a call in or out."""
        if not self._in_flight:
            self._heard_at = self._clock.now()
        self._in_flight += change

    def note_load(self, load: ReportedLoad) -> None:
        """Take the load that an answer states; this call is part of it."""
        total = load.running + load.waiting
        self._others = max(0, total - self._in_flight)
        self._others_at = self._clock.now()

    def view(self, domain: DomainName, told: int) -> UpstreamView:
        """Return what placing a call looks at.

        ``told`` is what other entries say of their calls here. What the
        upstream's answers said may be more: it still runs calls of entries
        that have lost power.
        """
        now = self._clock.now()
        others = decay_others(self._others, now - self._others_at)
        return UpstreamView(
            self._record.name,
            self._record.slots,
            self._in_flight,
            max(others, told),
            is_same_domain=self._record.domain == domain,
            is_ejected=self._health.is_ejected(now),
        )


class Directory:
    """Hold the upstreams that take work, and those known to have gone.

    The later record of a name wins, whoever brings it; a name that has gone
    comes back only with a later record.
    """

    def __init__(self, clock: Clock) -> None:
        """Start empty."""
        self._clock = clock
        self._upstreams: dict[str, Upstream] = {}
        self._paces: dict[ServiceName, ServicePace] = {}
        self._gone: dict[str, _Tombstone] = {}

    def __len__(self) -> int:
        """Return how many upstreams are known."""
        return len(self._upstreams)

    def records(self) -> Iterator[UpstreamRecord]:
        """Yield the record of each upstream."""
        for upstream in self._upstreams.values():
            yield upstream.record

    def calls_in_flight(self) -> dict[str, int]:
        """Return this entry's calls in flight by upstream."""
        return {
            name: upstream.in_flight
            for name, upstream in self._upstreams.items()
            if upstream.in_flight
        }

    def names(self) -> frozenset[str]:
        """Return the names of the known upstreams."""
        return frozenset(self._upstreams)

    def find(self, name: str) -> Upstream | None:
        """Return an upstream by its name."""
        return self._upstreams.get(name)

    def pace(self, service: ServiceName) -> ServicePace:
        """Return how a service's engines go, noted from now on."""
        pace = self._paces.get(service)
        if pace is None:
            pace = ServicePace(self._clock)
            self._paces[service] = pace
        return pace

    def usable(
        self,
        service: ServiceName,
        excluded: frozenset[str],
    ) -> list[Upstream]:
        """Return the upstreams of a service that take new work."""
        return [
            upstream
            for name, upstream in self._upstreams.items()
            if upstream.record.service == service
            and upstream.record.state is UpstreamState.READY
            and name not in excluded
        ]

    def accept(self, record: UpstreamRecord) -> bool:
        """Take a record; tell whether it is not older than what was known."""
        gone = self._gone.get(record.name)
        if gone is not None and record.age_key <= gone[0]:
            return False
        known = self._upstreams.get(record.name)
        if known is None:
            if not self._replace_at_address(record):
                return False
            self._gone.pop(record.name, None)
            self._upstreams[record.name] = Upstream(record, self._clock)
            _note('upstream added', record)
            return True
        if record.age_key < known.record.age_key:
            return False
        if record.state is not known.record.state:
            _note('upstream changed', record)
        known.update(record)
        return True

    def remove(self, name: str, cause: str) -> bool:
        """Forget an upstream; tell whether it was known."""
        upstream = self._upstreams.pop(name, None)
        if upstream is None:
            return False
        record = upstream.record
        self._gone[name] = (record.age_key, self._clock.now())
        upstream.client.close_idle()
        _log.info('upstream removed', upstream=name, cause=cause)
        self._forget_old()
        return True

    def gone(self) -> Iterator[tuple[str, AgeKey]]:
        """Yield each name that has gone and the age of its last record."""
        for name, (age_key, _) in self._gone.items():
            yield name, age_key

    def remove_until(
        self,
        name: str,
        age_key: AgeKey,
        cause: str,
    ) -> None:
        """Forget an upstream unless its record is later than this."""
        known = self._upstreams.get(name)
        if known is not None and known.record.age_key <= age_key:
            self.remove(name, cause)

    def _replace_at_address(self, record: UpstreamRecord) -> bool:
        """Drop an earlier upstream with a new one's address.

        Return False where the known one is the later of the two.
        """
        for upstream in list(self._upstreams.values()):
            known = upstream.record
            if (known.host, known.port) != (record.host, record.port):
                continue
            if known.started_at > record.started_at:
                return False
            self.remove(known.name, 'replaced')
        return True

    def _forget_old(self) -> None:
        oldest = self._clock.now() - TOMBSTONE_MS
        self._gone = {
            name: tombstone
            for name, tombstone in self._gone.items()
            if tombstone[1] > oldest
        }


def _make_client(record: UpstreamRecord) -> HttpClient:
    return HttpClient(
        Address(record.host, record.port),
        connect_timeout_ms=CONNECT_TIMEOUT_MS,
    )


def _note(event: str, record: UpstreamRecord) -> None:
    _log.info(
        event,
        upstream=record.name,
        service=record.service,
        state=record.state.value,
        started_at=record.started_at,
        beat=record.beat,
    )
