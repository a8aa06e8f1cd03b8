"""Log why ranks refuse orders, and count orders and reads by their outcome."""

from __future__ import annotations

from enum import Enum

from ..adapters.httpclient import Address
from ..clock import Clock
from ..logs import part_logger
from ..metrics import Metrics
from .ports import (
    MakeRank,
    MapOrder,
    OrderKind,
    OrderResult,
    RankCounts,
    RankExperts,
    RankPort,
    RankReport,
)

#: Least time between two reports that are read to explain a refusal, in ms:
#: reads are billed, and one cause has many ranks refuse at a time.
EXPLAIN_INTERVAL_MS = 1000.0
_log = part_logger('orders')


class RefusalReason(Enum):
    """Name why a rank refuses an order, as far as its report shows."""

    OTHER_EPOCH = 'other-epoch'
    ARMED = 'armed'
    OLD_VERSION = 'version-not-higher'
    COPYING = 'not-prepared'
    STEP_BEGUN = 'step-begun'
    OTHER_HELD = 'other-step-held'
    IN_USE = 'version-in-use'
    NO_REPORT = 'no-report'
    # A map with too many new experts, or a state that has changed since.
    NOT_SHOWN = 'not-shown'


class OrderLog:
    """Share the counters and the interval of logged explanations."""

    def __init__(self, metrics: Metrics, clock: Clock) -> None:
        """Count in ``metrics``."""
        self._metrics = metrics
        self._clock = clock
        self._explained_at = -EXPLAIN_INTERVAL_MS

    def wrap(self, make_rank: MakeRank) -> MakeRank:
        """Return a factory of ports whose orders and reads are recorded."""

        def make_logged(name: str, address: Address) -> RankPort:
            return LoggedRank(name, make_rank(name, address), self)

        return make_logged

    def count_read(self, kind: str) -> None:
        """Count a read from a rank."""
        self._metrics.count('map_reads', kind=kind)

    async def record(
        self, name: str, port: RankPort, order: MapOrder, outcome: OrderResult
    ) -> None:
        """Count an order; explain a refused one now and then."""
        kind = order.kind.value
        self._metrics.count('map_orders', order=kind, outcome=outcome.value)
        now = self._clock.now()
        if (
            outcome is not OrderResult.REFUSED
            or now - self._explained_at < EXPLAIN_INTERVAL_MS
        ):
            return
        self._explained_at = now
        self.count_read('report')
        report = await port.fetch_report()
        reason = explain_refusal(order, report)
        self._metrics.count('map_refusals_explained', reason=reason.value)
        _log.info(
            'order refused',
            upstream=name,
            reason=reason.value,
            order=kind,
            epoch=order.epoch,
            version=order.version,
            step=order.step,
            **_describe(report),
        )


class LoggedRank:
    """Implement RankPort by another one; record what it does."""

    def __init__(self, name: str, port: RankPort, log: OrderLog) -> None:
        """Set the rank's name as an upstream."""
        self._name = name
        self._port = port
        self._log = log

    async def fetch_report(self) -> RankReport | None:
        """Return the rank's state; see RankPort."""
        self._log.count_read('report')
        return await self._port.fetch_report()

    async def fetch_counts(self) -> RankCounts | None:
        """Return how often its calls selected each expert; see RankPort."""
        self._log.count_read('counts')
        return await self._port.fetch_counts()

    async def fetch_experts(self) -> RankExperts | None:
        """Return the experts that it holds; see RankPort."""
        self._log.count_read('experts')
        return await self._port.fetch_experts()

    async def send_order(self, order: MapOrder) -> OrderResult:
        """Send an order; see RankPort."""
        outcome = await self._port.send_order(order)
        await self._log.record(self._name, self._port, order, outcome)
        return outcome


def explain_refusal(
    order: MapOrder, report: RankReport | None
) -> RefusalReason:
    """Return why a rank with this report refuses an order.

    The report may be older than the refusal.
    """
    if report is None:
        return RefusalReason.NO_REPORT
    if report.epoch != order.epoch:
        return RefusalReason.OTHER_EPOCH
    if order.kind in {OrderKind.ARM, OrderKind.HOLD}:
        return _explain_step_order(order, report)
    if order.kind is OrderKind.PREPARE:
        return _explain_prepare(order, report)
    if order.kind is OrderKind.DISARM and report.version == order.version:
        return RefusalReason.IN_USE
    return RefusalReason.NOT_SHOWN


def _explain_prepare(order: MapOrder, report: RankReport) -> RefusalReason:
    if report.armed_version:
        return RefusalReason.ARMED
    if order.version <= max(report.version, report.prepared_version):
        return RefusalReason.OLD_VERSION
    return RefusalReason.NOT_SHOWN


def _explain_step_order(order: MapOrder, report: RankReport) -> RefusalReason:
    if order.step <= report.step:
        return RefusalReason.STEP_BEGUN
    if order.kind is OrderKind.ARM and order.version != report.prepared_version:
        return RefusalReason.COPYING
    if order.kind is OrderKind.HOLD and report.held_step not in {0, order.step}:
        return RefusalReason.OTHER_HELD
    return RefusalReason.NOT_SHOWN


def _describe(report: RankReport | None) -> dict[str, int]:
    if report is None:
        return {}
    return {
        'rank': report.rank,
        'rank_epoch': report.epoch,
        'rank_step': report.step,
        'in_use': report.version,
        'prepared': report.prepared_version,
        'armed': report.armed_version,
        'armed_step': report.armed_step,
        'held_step': report.held_step,
    }
