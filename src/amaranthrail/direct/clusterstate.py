"""Hold what an entry believes of configuration, upstreams and entries."""

from __future__ import annotations

import msgspec

from ..clock import Clock
from ..logs import part_logger
from ..types import ServiceName
from .deployment import Deployment, Service
from .ports import StoreRecord, WireFormat
from .upstreams import Directory

_log = part_logger('world')


class NewerVersion(msgspec.Struct, frozen=True):
    """Say since when another entry is known to have a later configuration."""

    version: int
    host: str
    noted_at: float


class ClusterState:
    """Take in news from the store or from other entries, whichever is first.

    The highest version of the configuration wins and never goes back.
    """

    def __init__(self, clock: Clock, dialect: WireFormat) -> None:
        """Start without knowing anything."""
        self._dialect = dialect
        self._deployment: Deployment | None = None
        self._clock = clock
        self._newer: NewerVersion | None = None
        self._directory = Directory(clock)

    @property
    def deployment(self) -> Deployment | None:
        """Return the configuration in force, None before the first."""
        return self._deployment

    @property
    def version(self) -> int:
        """Return the version in force, 0 for none."""
        return 0 if self._deployment is None else self._deployment.version

    @property
    def newer(self) -> NewerVersion | None:
        """Return who has a later configuration than this entry, if any."""
        newer = self._newer
        if newer is None or newer.version <= self.version:
            return None
        return newer

    @property
    def directory(self) -> Directory:
        """Return the upstreams."""
        return self._directory

    def service(self, name: ServiceName) -> Service | None:
        """Return what the configuration in force says of a service."""
        if self._deployment is None:
            return None
        return self._deployment.services.get(name)

    @property
    def complete(self) -> bool:
        """Tell whether calls can be served from what is known."""
        return self._deployment is not None and len(self._directory) > 0

    def note_version(self, version: int, host: str) -> None:
        """Note which version another entry has."""
        if version > self.version and self.newer is None:
            self._newer = NewerVersion(version, host, self._clock.now())

    def forget_newer(self) -> None:
        """Forget who has a later configuration; the next report tells."""
        self._newer = None

    def take_configuration(self, record: StoreRecord, source: str) -> None:
        """Take a record of the configuration's topic."""
        named = record.key == self._dialect.configuration_key
        if named and record.payload is not None:
            self.take_deployment(record.payload, source)

    def take_deployment(self, text: bytes, source: str) -> bool:
        """Put a configuration in force if it is newer; tell whether it was."""
        read = self._dialect.read_deployment(text)
        if isinstance(read, str):
            _log.error('configuration refused', source=source, cause=read)
            return False
        if read.version <= self.version:
            return False
        earlier = self.version
        self._deployment = read
        _log.info(
            'configuration in force',
            version=read.version,
            earlier=earlier,
            routes=len(read.routes),
            source=source,
        )
        return True

    def take_upstream(self, record: StoreRecord, source: str) -> None:
        """Take an upstream's record, or the removal of its name."""
        if record.payload is None:
            self._directory.remove(record.key, source)
            return
        read = self._dialect.read_upstream(record.key, record.payload)
        if isinstance(read, str):
            _log.warning('record refused', source=source, cause=read)
            return
        self._directory.accept(read)
