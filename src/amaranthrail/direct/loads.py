"""Tell other entries that this one lives, and its calls at each upstream."""

from __future__ import annotations

import random
from collections import Counter

import msgspec
import trio

from ..clock import Clock, sleep
from ..logs import part_logger
from ..policy.membership import Member
from .members import MAX_RECEIVERS, Members
from .news import Report, decode_report, encode_message
from .settings import DirectSettings
from .world import World

#: Time between two reports to other entries, in ms: a tenth of a short stream.
REPORT_INTERVAL_MS = 100.0
#: The same for an entry without calls, in ms: a third of the time after which
#: it would count as gone.
IDLE_INTERVAL_MS = 300.0
#: Age from which a report counts no more, in ms; single datagrams get lost.
REPORT_LIFE_MS = 450.0
_MAX_DATAGRAM_BYTES = 65_536
_log = part_logger('loads')


class _Heard(msgspec.Struct, frozen=True):
    heard_at: float
    calls: dict[str, int]


class SharedLoads:
    """Keep what entries last said of their calls in flight."""

    def __init__(self, clock: Clock) -> None:
        """Start without any report."""
        self._clock = clock
        self._reports: dict[str, _Heard] = {}

    def take(self, sender: str, calls: dict[str, int]) -> None:
        """Keep an entry's latest report."""
        self._reports[sender] = _Heard(self._clock.now(), calls)

    def totals(self) -> Counter[str]:
        """Return other entries' calls by upstream, as far as they are heard."""
        oldest = self._clock.now() - REPORT_LIFE_MS
        totals: Counter[str] = Counter()
        for report in self._reports.values():
            if report.heard_at >= oldest:
                totals.update(report.calls)
        return totals


class ReportExchange:
    """Send this entry's calls in flight to the others and take theirs."""

    def __init__(
        self,
        settings: DirectSettings,
        world: World,
        shared: SharedLoads,
        members: Members,
    ) -> None:
        """Take what is told, where it goes, and who the others are."""
        self._address = (settings.host, settings.peer_port)
        self._world = world
        self._clock = Clock()
        self._shared = shared
        self._members = members
        self._random = random.Random()

    async def run(self) -> None:
        """Exchange reports for good."""
        with trio.socket.socket(type=trio.socket.SOCK_DGRAM) as socket:
            await socket.bind(self._address)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive, socket)
                await self._send(socket)

    async def _send(self, socket: trio.socket.SocketType) -> None:
        had_calls = False
        while True:
            calls = self._world.directory.calls_in_flight()
            payload = encode_message(self._report(calls))
            for host in self._sample(sorted(self._members.hosts)):
                await self._send_one(socket, payload, host)
            busy = bool(calls) or had_calls
            had_calls = bool(calls)
            await sleep(REPORT_INTERVAL_MS if busy else IDLE_INTERVAL_MS)

    def _report(self, calls: dict[str, int]) -> Report:
        own = self._members.own
        alive = self._sample(self._members.alive)
        return Report(
            calls,
            alive,
            own.started_at,
            own.shutdown_at,
            self._world.complete,
            self._world.version,
        )

    def _sample(self, hosts: list[str]) -> list[str]:
        """Return as many hosts as one report goes to or names."""
        return self._random.sample(hosts, min(MAX_RECEIVERS, len(hosts)))

    async def _send_one(
        self,
        socket: trio.socket.SocketType,
        payload: bytes,
        host: str,
    ) -> None:
        try:
            await socket.sendto(payload, (host, self._address[1]))
        except OSError as error:
            # The next report replaces this one.
            _log.debug('report not sent', peer=host, cause=str(error))

    async def _receive(self, socket: trio.socket.SocketType) -> None:
        while True:
            try:
                payload, sender = await socket.recvfrom(_MAX_DATAGRAM_BYTES)
            except OSError as error:
                # A host without a listener has refused an earlier report.
                _log.debug('report refused', cause=str(error))
                continue
            try:
                report = decode_report(payload)
            except msgspec.DecodeError as error:
                _log.warning('report not understood', cause=str(error))
                continue
            self._shared.take(sender[0], report.calls)
            self._members.note_heard(
                Member(
                    sender[0],
                    report.started_at,
                    self._clock.now(),
                    report.leaving_at,
                    report.informed,
                ),
            )
            self._members.note_named(report.hosts)
            self._world.note_version(report.version, sender[0])
