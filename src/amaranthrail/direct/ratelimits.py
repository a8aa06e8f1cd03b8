"""Keep the rate limits that upstreams name, and share them with entries."""

from __future__ import annotations

import math
import random

import msgspec

from ..clock import Clock
from ..logs import part_logger
from ..policy.membership import LIVENESS_TIMEOUT_MS
from ..policy.ratesharing import (
    FRESH_SHARE,
    CallPermits,
    EntryUse,
    SharedLimit,
    decay_demand,
    expected_calls,
)
from ..types import ServiceName
from .deployment import UpstreamRecord
from .peermessages import LimitReport

#: Time within which entries hear of each other's calls, in ms, for each report
#: that it takes: an entry with calls reports twice as often.
HEARING_MS = 200.0
#: Difference in time up to which two reports may be of the same response, in
#: ms: ages grow by the time under way as reports go round.
SAME_RESPONSE_MS = 50.0
#: Time for which the end of a limit is reported, in ms; an entry that does not
#: hear of it learns it from the next response.
END_REPORT_MS = 5000.0
#: Source of what this entry has seen itself, in the log.
OWN_SOURCE = 'own'
_log = part_logger('limits')


class LimitSharing:
    """Hold what decides this entry's part of any upstream's limit."""

    def __init__(self, clock: Clock) -> None:
        """Start as the only entry, without calls."""
        self._clock = clock
        self._started_at = clock.now()
        self._entries = 1
        self._rounds = 1
        self._demand: dict[ServiceName, tuple[float, float]] = {}
        self._random = random.Random()

    @property
    def clock(self) -> Clock:
        """Return the clock of all times in the limits."""
        return self._clock

    @property
    def random(self) -> random.Random:
        """Return the source of lots."""
        return self._random

    @property
    def entries(self) -> int:
        """Return how many entries may be running, this one included."""
        return self._entries

    @property
    def interval_ms(self) -> float:
        """Return the time within which entries hear of each other's calls."""
        return HEARING_MS * self._rounds

    @property
    def silence_ms(self) -> float:
        """Return the time without a report after which one is unheard."""
        return LIVENESS_TIMEOUT_MS * self._rounds

    @property
    def running_ms(self) -> float:
        """Return the time since this entry started."""
        return self._clock.now() - self._started_at

    def update_entries(self, entries: int, report_rounds: int) -> None:
        """Set how many entries may be running.

        ``report_rounds`` is after how many reports of one all have heard it.
        """
        self._entries = entries
        self._rounds = report_rounds

    def record_call(self, service: ServiceName) -> None:
        """Count a call to a service, whichever upstream it will have."""
        self._demand[service] = (self.demand(service) + 1, self._clock.now())

    def demand(self, service: ServiceName) -> float:
        """Return the weight of this entry's recent calls to a service."""
        demand, counted_at = self._demand.get(service, (0.0, 0.0))
        return decay_demand(demand, self._clock.now() - counted_at)


class _PeerUse(msgspec.Struct, frozen=True):
    """Hold an entry's last report on its use of one limit.

    ``earlier_calls`` are those of the entry's process before its last start.
    """

    started_at: int
    received_at: float
    use: EntryUse
    earlier_calls: int = 0
    earlier_at: float = 0


class RateLimit:
    """Hold the limit that one upstream names, and who has used it.

    The limit is in force until a response to a call sent after it was named
    does not name it. While it is, a call needs a permit: ``wait_ms`` is 0 where
    there is one, and ``record_call`` takes it.
    """

    def __init__(self, record: UpstreamRecord, sharing: LimitSharing) -> None:
        """Start without a limit, for one start of an upstream."""
        self._upstream = record.name
        self._started_at = record.started_at
        self._service = record.service
        self._sharing = sharing
        self._clock = sharing.clock
        self._permits = CallPermits(sharing.random)
        self._per_s = 0.0
        self._named_at = -math.inf
        self._ended_at = -math.inf
        self._drawn_at = -math.inf
        self._reported_demand = 0.0
        self._peers: dict[str, _PeerUse] = {}

    @property
    def in_force(self) -> bool:
        """Tell whether the upstream names a limit."""
        return self._named_at > self._ended_at

    @property
    def per_s(self) -> float:
        """Return the rate that was named last, in calls a second."""
        return self._per_s

    @property
    def wait_ms(self) -> float:
        """Return the time until this entry may send a call, 0 for now."""
        if not self.in_force:
            return 0
        now = self._clock.now()
        if now >= self._permits.next_draw_at:
            self._draw(now)
        if self._permits.available:
            return 0
        return self._permits.next_draw_at - now

    def record_call(self) -> None:
        """Count a call that is sent to the upstream."""
        if self.in_force:
            self._permits.record_call(self._clock.now())

    def record_named(self, per_s: float) -> None:
        """Record a response that names the limit."""
        self._name(per_s, self._clock.now(), OWN_SOURCE)

    def record_unnamed(self, sent_at: float) -> None:
        """Record a response that names none, to a call sent at ``sent_at``."""
        self._end(sent_at, OWN_SOURCE)

    def report(self) -> LimitReport | None:
        """Return what other entries need to know, None for no limit."""
        now = self._clock.now()
        was_named = self._named_at > -math.inf
        if not was_named or (
            not self.in_force and now - self._ended_at > END_REPORT_MS
        ):
            return None
        self._reported_demand = self._sharing.demand(self._service)
        return LimitReport(
            self._upstream,
            self._started_at,
            self._per_s,
            round(now - self._named_at),
            None if self.in_force else round(now - self._ended_at),
            self._reported_demand,
            self._permits.count_calls(now, self._shared_limit(0).window_ms),
        )

    def apply_report(
        self, report: LimitReport, host: str, peer_started_at: int
    ) -> None:
        """Add what another entry knows; ignore another start's report."""
        if report.started_at != self._started_at:
            return
        now = self._clock.now()
        named_at = now - report.named_age_ms
        if named_at > self._named_at + SAME_RESPONSE_MS:
            self._name(report.per_s, named_at, host)
        if report.ended_age_ms is not None:
            ended_at = now - report.ended_age_ms
            if ended_at > self._ended_at + SAME_RESPONSE_MS:
                self._end(ended_at, host)
        self._peers[host] = _replace_use(
            self._peers.get(host), report, peer_started_at, now
        )

    def _name(self, per_s: float, named_at: float, source: str) -> None:
        was_in_force = self.in_force
        earlier_per_s = self._per_s
        self._per_s = per_s
        self._named_at = named_at
        if self.in_force and (not was_in_force or per_s != earlier_per_s):
            _log.info(
                'upstream names a limit',
                upstream=self._upstream,
                per_s=per_s,
                earlier=earlier_per_s if was_in_force else None,
                age_ms=int(self._clock.now() - named_at),
                entries=self._sharing.entries,
                source=source,
            )

    def _end(self, sent_at: float, source: str) -> None:
        was_in_force = self.in_force
        self._ended_at = max(self._ended_at, sent_at)
        if was_in_force and not self.in_force:
            _log.info(
                'limit of an upstream ended',
                upstream=self._upstream,
                per_s=self._per_s,
                named_ms=int(self._clock.now() - self._named_at),
                source=source,
            )

    def _draw(self, now: float) -> None:
        heard = self._heard(now)
        limit = self._shared_limit(
            max(0, self._sharing.entries - 1 - len(heard))
        )
        own = EntryUse(
            self._reported_demand,
            self._permits.count_calls(now, limit.window_ms),
        )
        others = [_use_within(peer, now, limit.window_ms) for peer in heard]
        mean = expected_calls(limit, own, others, now - self._drawn_at)
        if self._sharing.running_ms < limit.window_ms:
            mean *= FRESH_SHARE
        self._drawn_at = now
        self._permits.draw(now, mean, limit.interval_ms)
        _log.debug(
            'permits drawn',
            upstream=self._upstream,
            mean=round(mean, 3),
            permits=self._permits.available,
            own_calls=own.calls,
            other_calls=sum(other.calls for other in others),
            unheard=limit.unheard,
        )

    def _heard(self, now: float) -> list[_PeerUse]:
        oldest = now - self._sharing.silence_ms
        return [
            peer for peer in self._peers.values() if peer.received_at >= oldest
        ]

    def _shared_limit(self, unheard: int) -> SharedLimit:
        return SharedLimit(self._per_s, self._sharing.interval_ms, unheard)


def _replace_use(
    earlier: _PeerUse | None,
    report: LimitReport,
    started_at: int,
    now: float,
) -> _PeerUse:
    """Return an entry's latest use; keep that of its process before."""
    use = EntryUse(report.demand, report.calls)
    if earlier is None:
        return _PeerUse(started_at, now, use)
    if earlier.started_at == started_at:
        return _PeerUse(
            started_at, now, use, earlier.earlier_calls, earlier.earlier_at
        )
    return _PeerUse(
        started_at, now, use, earlier.use.calls, earlier.received_at
    )


def _use_within(peer: _PeerUse, now: float, window_ms: float) -> EntryUse:
    """Return an entry's use without calls from before the window."""
    calls = 0
    if now - peer.received_at < window_ms:
        calls = peer.use.calls
    if now - peer.earlier_at < window_ms:
        calls += peer.earlier_calls
    return EntryUse(peer.use.demand, calls)
