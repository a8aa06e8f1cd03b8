"""Write again, before retention drops it, what must outlive the log."""

from __future__ import annotations

import msgspec

from ..clock import sleep
from ..exceptions import LogUnavailableError
from ..follower import Follower
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
from .ledger import Filing
from .shards import Shards

_CHECK_MS = 500.0
#: Entries take turns over this share of the retention time.
_TURN_SHARE = 0.2
_RENEW_SHARE = 0.4
_log = part_logger('upkeep')


class Upkeep:
    """Renew the manifest in force and the lost list."""

    def __init__(
        self,
        runtime: Runtime,
        log: LogPort,
        control: Follower,
        shards: Shards,
    ) -> None:
        """Take the log, the follower of the control stream, the shards."""
        self._runtime = runtime
        self._log = log
        self._control = control
        self._shards = shards
        self._renewed: dict[str, int] = {}

    async def run(self) -> None:
        """Check from time to time, for good."""
        while True:
            await sleep(_CHECK_MS)
            await self.renew_manifest()
            self.renew_lost()

    async def renew_manifest(self) -> None:
        """Append a snapshot if the log's youngest copy grows old."""
        configuration = self._runtime.configuration
        in_force = configuration.in_force
        if in_force is None or not self._control.reachable:
            return
        if not self._is_due(configuration.kept_since, 'manifest'):
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
        """Queue again the lost keys whose last record grows old."""
        renewed: dict[str, int] = {}
        for filing in self._shards.ledger.lost():
            intent = filing.intent.id
            queued = self._renewed.get(intent, 0)
            due = self._is_due(filing.recorded_at, intent)
            if due and queued != filing.offset:
                queued = filing.offset
                self._renew(filing)
            renewed[intent] = queued
        self._renewed = renewed

    def _renew(self, filing: Filing) -> None:
        self._shards.add(filing.intent)
        if filing.conclusion is not None:
            self._shards.add(filing.conclusion)

    def _is_due(self, recorded_at: int, subject: str) -> bool:
        retention = self._control.retention_ms
        if retention <= 0:
            return False
        turn = rendezvous_score(subject, self._runtime.incarnation) % 100 / 100
        bound = retention * (_RENEW_SHARE + _TURN_SHARE * turn)
        return self._runtime.clock.wall() - recorded_at > bound
