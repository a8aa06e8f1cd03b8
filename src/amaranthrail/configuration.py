"""Hold the configuration in force: the highest version, never a lower one."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from types import MappingProxyType

import trio

from .exceptions import ManifestError
from .manifest import Manifest, parse_manifest
from .ports import LogEntry
from .records import (
    AnyRecord,
    Drain,
    ManifestChange,
    ManifestSnapshot,
    decode_record,
)
from .types import Version

#: Each upstream's latest drain order: its offset and whether it drains.
Drains = Mapping[str, tuple[int, bool]]


@dataclass(frozen=True, slots=True)
class ActiveManifest:
    """Hold the accepted manifest that is in force here."""

    version: Version
    text: bytes
    manifest: Manifest


@dataclass(frozen=True, slots=True)
class PublishResult:
    """Say what version is in force after a change, and why it is not it."""

    version: Version
    reason: str = ''

    @property
    def accepted(self) -> bool:
        """Tell whether the change came into force."""
        return not self.reason


class Configuration:
    """Decide from the log's order, or a peer's word, what is in force.

    Two versions are kept apart: the one that follows from the records read
    here, which judges the next change in the log, and the one in force, which
    a peer that has read further may have raised.
    """

    def __init__(self) -> None:
        """Start with nothing in force."""
        self._in_force: ActiveManifest | None = None
        self._read_version: Version | None = None
        self._read_anything = False
        self._drains: dict[str, tuple[int, bool]] = {}
        self._verdicts: dict[str, PublishResult] = {}
        self._changed = trio.Event()
        self._skipped = 0
        self._listeners: list[Callable[[ActiveManifest], None]] = []
        self._snapshot_at = 0

    @property
    def in_force(self) -> ActiveManifest | None:
        """Return what is in force here, if anything is."""
        return self._in_force

    @property
    def version(self) -> Version:
        """Return the version in force, 0 for none."""
        return Version(0) if self._in_force is None else self._in_force.version

    @property
    def drains(self) -> Drains:
        """Return the drain orders in force."""
        return MappingProxyType(self._drains)

    @property
    def drains_version(self) -> int:
        """Return the offset of the latest drain order, 0 for none."""
        return max((offset for offset, _ in self._drains.values()), default=0)

    @property
    def skipped_records(self) -> int:
        """Return how many log records could not be read."""
        return self._skipped

    @property
    def last_stored_at(self) -> int:
        """Return when the log took its youngest copy of what is in force."""
        return self._snapshot_at

    def on_change(self, listener: Callable[[ActiveManifest], None]) -> None:
        """Call a function with each configuration that comes into force."""
        self._listeners.append(listener)

    def is_draining(self, upstream: str) -> bool:
        """Tell whether an operator drains an upstream."""
        return self._drains.get(upstream, (0, False))[1]

    def publish_result(self, record_id: str) -> PublishResult | None:
        """Return what became of a change, once it has been read."""
        return self._verdicts.get(record_id)

    async def wait_changed(self) -> None:
        """Return after the next record or peer's word has been taken in."""
        await self._changed.wait()

    def adopt(
        self,
        version: int,
        text: bytes,
        drains: tuple[tuple[str, int, bool], ...],
    ) -> bool:
        """Take over from a peer what is newer; tell whether anything was."""
        newer = self._adopt_drains(drains)
        if version > self.version:
            manifest = parse_manifest(text)
            self._put_in_force(ActiveManifest(Version(version), text, manifest))
            newer = True
        if newer:
            self._notify()
        return newer

    def apply(self, first: int, entry: LogEntry) -> None:
        """Take in the next record of the control stream.

        ``first`` is the oldest offset that the log still keeps: where it is 1
        the whole history has been read, so version 0 is known to be in force
        before the first change.
        """
        if not self._read_anything and first <= 1:
            self._read_version = Version(0)
        self._read_anything = True
        record = decode_record(entry.text)
        if record is None:
            self._skipped += 1
        else:
            self._apply_record(entry, record)
        self._notify()

    def drain_list(self) -> tuple[tuple[str, int, bool], ...]:
        """Return the drain orders in the form that frames carry."""
        return tuple(
            (upstream, offset, draining)
            for upstream, (offset, draining) in sorted(self._drains.items())
        )

    def _apply_record(self, entry: LogEntry, record: AnyRecord) -> None:
        match record:
            case ManifestChange():
                self._apply_change(entry, record)
            case ManifestSnapshot():
                self._apply_snapshot(entry, record)
            case Drain():
                order = (record.upstream, int(entry.offset), record.draining)
                self._adopt_drains((order,))
            case _:
                self._skipped += 1

    def _apply_change(self, entry: LogEntry, record: ManifestChange) -> None:
        if record.id in self._verdicts or self._read_version is None:
            return
        current = self._read_version
        if record.base != current:
            reason = f'made from version {record.base}, {current} is in force'
            self._verdicts[record.id] = PublishResult(current, reason)
            return
        text = bytes(record.manifest)
        try:
            manifest = parse_manifest(text)
        except ManifestError as error:
            self._verdicts[record.id] = PublishResult(current, str(error))
            return
        version = Version(entry.offset)
        self._read_version = version
        self._verdicts[record.id] = PublishResult(version)
        self._take_read(version, text, manifest, entry)

    def _apply_snapshot(
        self,
        entry: LogEntry,
        record: ManifestSnapshot,
    ) -> None:
        if not 0 < record.version < entry.offset:
            self._skipped += 1
            return
        self._adopt_drains(record.drains)
        if record.version < (self._read_version or 0):
            return
        text = bytes(record.manifest)
        try:
            manifest = parse_manifest(text)
        except ManifestError:
            self._skipped += 1
            return
        self._read_version = Version(record.version)
        self._take_read(self._read_version, text, manifest, entry)

    def _take_read(
        self,
        version: Version,
        text: bytes,
        manifest: Manifest,
        entry: LogEntry,
    ) -> None:
        if version >= self.version:
            self._snapshot_at = entry.appended_at
        if version > self.version:
            self._put_in_force(ActiveManifest(version, text, manifest))

    def _put_in_force(self, fresh: ActiveManifest) -> None:
        self._in_force = fresh
        for listener in self._listeners:
            listener(fresh)

    def _adopt_drains(
        self,
        drains: tuple[tuple[str, int, bool], ...],
    ) -> bool:
        newer = [
            (upstream, (offset, draining))
            for upstream, offset, draining in drains
            if offset > self._drains.get(upstream, (0, False))[0]
        ]
        self._drains.update(newer)
        return bool(newer)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
