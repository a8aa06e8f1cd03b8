"""Determine the manifest and drains in force; versions only increase."""

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

#: Latest drain order by upstream: its log offset and whether it drains.
Drains = Mapping[str, tuple[int, bool]]


@dataclass(frozen=True, slots=True)
class ActiveManifest:
    """Hold the manifest in force in this process, and its version."""

    version: Version
    text: bytes
    manifest: Manifest


@dataclass(frozen=True, slots=True)
class PublishResult:
    """Hold the result of a manifest change: the version then in force.

    ``reason`` says why the change was refused; it is empty for an accepted one.
    """

    version: Version
    reason: str = ''

    @property
    def accepted(self) -> bool:
        """Return whether the change came into force."""
        return not self.reason


class Configuration:
    """Track what is in force, from log records and from peers.

    Two versions are kept: the version according to the log records read here,
    against which the next change in the log is checked, and the version in
    force, which can be higher when it came from a peer that has read further.
    """

    def __init__(self) -> None:
        """Initialize with no manifest and no drains."""
        self._in_force: ActiveManifest | None = None
        self._read_version: Version | None = None
        self._has_read_record = False
        self._drains: dict[str, tuple[int, bool]] = {}
        self._publish_results: dict[str, PublishResult] = {}
        self._changed = trio.Event()
        self._skipped_records = 0
        self._listeners: list[Callable[[ActiveManifest], None]] = []
        self._last_stored_at = 0

    @property
    def in_force(self) -> ActiveManifest | None:
        """Return the manifest in force, None before the first."""
        return self._in_force

    @property
    def version(self) -> Version:
        """Return the version in force, 0 for none."""
        return Version(0) if self._in_force is None else self._in_force.version

    @property
    def drains(self) -> Drains:
        """Return the latest drain order of each upstream."""
        return MappingProxyType(self._drains)

    @property
    def drains_version(self) -> int:
        """Return the offset of the latest drain order, 0 for none."""
        return max((offset for offset, _ in self._drains.values()), default=0)

    @property
    def skipped_records(self) -> int:
        """Return how many log records could not be decoded or applied."""
        return self._skipped_records

    @property
    def last_stored_at(self) -> int:
        """Return when the log stored its newest copy of the manifest in force.

        In milliseconds of the log's wall clock, 0 if no copy has been read.
        """
        return self._last_stored_at

    def on_change(self, listener: Callable[[ActiveManifest], None]) -> None:
        """Call ``listener`` with each manifest that comes into force."""
        self._listeners.append(listener)

    def is_draining(self, upstream: str) -> bool:
        """Return whether the latest drain order of an upstream drains it."""
        return self._drains.get(upstream, (0, False))[1]

    def publish_result(self, record_id: str) -> PublishResult | None:
        """Return the result of a change, None until it has been read."""
        return self._publish_results.get(record_id)

    async def wait_changed(self) -> None:
        """Return after the next log record or peer update has been applied."""
        await self._changed.wait()

    def adopt(
        self,
        version: int,
        text: bytes,
        drains: tuple[tuple[str, int, bool], ...],
    ) -> bool:
        """Apply what is newer in a peer's configuration.

        Returns whether anything was newer. Raises ManifestError if a newer
        manifest is invalid.
        """
        changed = self._adopt_drains(drains)
        if version > self.version:
            manifest = parse_manifest(text)
            self._put_in_force(ActiveManifest(Version(version), text, manifest))
            changed = True
        if changed:
            self._notify()
        return changed

    def apply(self, oldest_offset: int, entry: LogEntry) -> None:
        """Apply the next record of the control stream.

        ``oldest_offset`` is the oldest offset that the log still keeps. If it
        is 1, this process reads the whole history, so version 0 is known to be
        in force before the first change.
        """
        if not self._has_read_record and oldest_offset <= 1:
            self._read_version = Version(0)
        self._has_read_record = True
        record = decode_record(entry.text)
        if record is None:
            self._skipped_records += 1
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
                self._skipped_records += 1

    def _apply_change(self, entry: LogEntry, record: ManifestChange) -> None:
        if record.id in self._publish_results or self._read_version is None:
            return
        current = self._read_version
        if record.base != current:
            reason = f'made from version {record.base}, {current} is in force'
            self._publish_results[record.id] = PublishResult(current, reason)
            return
        text = bytes(record.manifest)
        try:
            manifest = parse_manifest(text)
        except ManifestError as error:
            self._publish_results[record.id] = PublishResult(
                current, str(error)
            )
            return
        version = Version(entry.offset)
        self._read_version = version
        self._publish_results[record.id] = PublishResult(version)
        self._apply_read_manifest(version, text, manifest, entry)

    def _apply_snapshot(
        self,
        entry: LogEntry,
        record: ManifestSnapshot,
    ) -> None:
        if not 0 < record.version < entry.offset:
            self._skipped_records += 1
            return
        self._adopt_drains(record.drains)
        if record.version < (self._read_version or 0):
            return
        text = bytes(record.manifest)
        try:
            manifest = parse_manifest(text)
        except ManifestError:
            self._skipped_records += 1
            return
        self._read_version = Version(record.version)
        self._apply_read_manifest(self._read_version, text, manifest, entry)

    def _apply_read_manifest(
        self,
        version: Version,
        text: bytes,
        manifest: Manifest,
        entry: LogEntry,
    ) -> None:
        if version >= self.version:
            self._last_stored_at = entry.appended_at
        if version > self.version:
            self._put_in_force(ActiveManifest(version, text, manifest))

    def _put_in_force(self, in_force: ActiveManifest) -> None:
        self._in_force = in_force
        for listener in self._listeners:
            listener(in_force)

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
