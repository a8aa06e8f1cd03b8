"""Renew log records that must outlive the log's retention."""

from __future__ import annotations

import msgspec

from ..clock import sleep
from ..consumer import StreamConsumer
from ..exceptions import LogUnavailableError
from ..logs import part_logger
from ..policy.balancing import rendezvous_score
from ..ports import LogPort
from ..records import (
    CONTROL_STREAM,
    ManifestSnapshot,
    encode_record,
    new_record_id,
)
from ..runtime import Runtime
from .keytable import KeyRecord
from .shards import Shards

_CHECK_MS = 500.0
#: A record is renewed at the age of _RENEW_SHARE of the retention time, plus a
#: delay of up to _STAGGER_SHARE of it, different at each entry, so that usually
#: one entry renews it.
_STAGGER_SHARE = 0.2
_RENEW_SHARE = 0.4
_log = part_logger('upkeep')


class RecordRenewal:
    """Append the manifest in force and the lost keys to the log again."""

    def __init__(
        self,
        runtime: Runtime,
        log: LogPort,
        control: StreamConsumer,
        shards: Shards,
    ) -> None:
        """Take the log, the consumer of the control stream, and the shards."""
        self._runtime = runtime
        self._log = log
        self._control = control
        self._shards = shards
        self._renewed: dict[str, int] = {}

    async def run(self) -> None:
        """Check the age of the records at an interval until cancelled."""
        while True:
            await sleep(_CHECK_MS)
            await self.renew_manifest()
            self.renew_lost()

    async def renew_manifest(self) -> None:
        """Append a snapshot if the log's latest copy is due for renewal.

        A failed append is tried again at the next check.
        """
        configuration = self._runtime.configuration
        in_force = configuration.in_force
        if in_force is None or not self._control.reachable:
            return
        if not self._is_due(configuration.last_stored_at, 'manifest'):
            return
        snapshot = ManifestSnapshot(
            id=new_record_id(),
            version=in_force.version,
            manifest=msgspec.Raw(in_force.text),
            drains=configuration.drain_list(),
        )
        try:
            await self._log.append(CONTROL_STREAM, encode_record(snapshot))
        except LogUnavailableError:
            return
        _log.info('manifest renewed', version=in_force.version)
        self._runtime.timeline.add('manifest-renewed', str(in_force.version))

    def renew_lost(self) -> None:
        """Queue the records of lost keys again that are due for renewal.

        A key is queued once for each offset of its latest record.
        """
        renewed: dict[str, int] = {}
        for record in self._shards.key_table.lost_records():
            intent = record.intent.id
            renewed_offset = self._renewed.get(intent, 0)
            is_due = self._is_due(record.recorded_at, intent)
            if is_due and renewed_offset != record.offset:
                renewed_offset = record.offset
                self._renew(record)
            renewed[intent] = renewed_offset
        self._renewed = renewed

    def _renew(self, record: KeyRecord) -> None:
        self._shards.add(record.intent)
        if record.conclusion is not None:
            self._shards.add(record.conclusion)

    def _is_due(self, recorded_at: int, subject: str) -> bool:
        retention_ms = self._control.retention_ms
        if retention_ms <= 0:
            return False
        stagger = (
            rendezvous_score(subject, self._runtime.incarnation) % 100 / 100
        )
        max_age_ms = retention_ms * (_RENEW_SHARE + _STAGGER_SHARE * stagger)
        return self._runtime.clock.wall() - recorded_at > max_age_ms
