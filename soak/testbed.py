"""Run the processes of one soak run and inject its faults."""

from __future__ import annotations

import itertools
import signal
import sys
import time
from collections import defaultdict, deque
from contextlib import suppress
from dataclasses import dataclass
from functools import partial
from types import MappingProxyType

import trio

from amaranthrail.adapters.httpclient import Address, parse_address
from amaranthrail.adapters.httpserver import HttpRequest, ResponseWriter
from amaranthrail.exceptions import HttpError
from standins.keyedlog import KeyedLog, StoreFault, TopicCopy
from standins.platformfleet import (
    EntryProcess,
    PlatformFleet,
    make_configuration,
    start_server,
)
from standins.relay import Relay
from standins.replica import LARGE_STREAM_PATH, Behaviour, Replica

from .callers import PORT
from .observations import (
    ALL_PROCESSES,
    FAULT_FREE_S,
    STORE,
    Execution,
    Interval,
    Observations,
)
from .promises import COLD_PER_S, DRAIN_GRACE_S, LIMIT_PER_S
from .restarts import EffectCheck, Restarts
from .schedule import (
    LIMITED_S,
    MIN_COLD_S,
    MIN_EVACUATED_S,
    Fault,
    ScheduledFault,
)

_HTTP_OK = 200
_HTTP_NOT_FOUND = 404
#: Topics that the operator and the replicas write.
_OPERATOR_TOPIC = 'keyed.op'
_REPLICA_TOPIC = 'keyed.servers'
#: Time between two copies of the store, and how many are kept: the store comes
#: back from one that is up to 4 s old.
COPY_INTERVAL_S = 0.5
_MAX_COPIES = 8
#: Longest time until the operator and the replicas have written again, in
#: seconds, and the part of a fault's duration that makes it less.
MAX_REWRITE_S = 2.0
_REWRITE_SHARE = 0.6
#: Time for which entries are checked afterwards, the time between two checks of
#: an entry and the timeout of one, in seconds.
WATCH_S = 1.0
_WATCH_INTERVAL_S = 0.1
#: Begins the attempt ids of these checks, which are no calls of callers.
_WATCH_PREFIX = 'watch-'
#: Last lines of an entry's log that are printed where a check of it fails.
LOG_LINES = 20
#: Delay of a slow path, in ms: longer than the pause of most streams.
PATH_DELAY_MS = 150.0
#: Time after which a killed entry is restarted, in seconds.
RESTART_DELAY_S = 0.2
#: Longest time by which a fault is extended until it has had an effect, in
#: seconds.
MAX_EXTENSION_S = 4.0
#: Time that a replica takes for a call and between two events, in seconds.
REPLICA_PAUSE_S = 0.01
#: Failure domains of the replicas, and how many neighbours share one, so that
#: each service has replicas in both. No entry is in one of them.
DOMAINS = ('b', 'c')
_REPLICAS_PER_DOMAIN = 3
#: Domains that one evacuation may concern.
_EVACUATIONS = (DOMAINS[:1], DOMAINS[1:], DOMAINS)
#: Time for which a new replica is cold, in seconds.
_COLD_START_S = 3.0
_LIMIT_FIELD = 'server-limit'
_COLD_FIELD = 'cold-remaining-ms'
#: Slow readers that start at once; each second one reads nothing at all. The
#: others read this many bytes at a time; the pause is in seconds.
SLOW_READERS = 4
_SLOW_READ_BYTES = 1000
_SLOW_READ_PAUSE_S = 0.2
#: Time for which a reader of nothing keeps a connection, in seconds.
_UNREAD_S = 5.0
#: Planned operations: they excuse no call that ends without a response.
_PLANNED_OPERATIONS = frozenset(
    (
        Fault.ENTRY_SHUT_DOWN,
        Fault.ENTRY_RELOADED,
        Fault.REPLICA_DRAINED,
        Fault.REPLICA_LIMITED,
        Fault.REPLICA_COLD,
        Fault.CALLERS_SLOW,
        Fault.CONFIGURATION_CHANGED,
        Fault.DOMAIN_EVACUATED,
        Fault.ENTRIES_RESTARTED,
    ),
)
_STORE_FAULTS = MappingProxyType(
    {
        Fault.STORE_REFUSING: StoreFault.REFUSING,
        Fault.STORE_SILENT: StoreFault.SILENT,
        Fault.STORE_BUSY: StoreFault.BUSY,
        Fault.STORE_MALFORMED: StoreFault.MALFORMED,
    }
)
_BEHAVIOURS = MappingProxyType(
    {
        Fault.REPLICA_SHEDDING: Behaviour.SHEDDING,
        Fault.REPLICA_FAILING: Behaviour.FAILING,
        Fault.REPLICA_TRUNCATING: Behaviour.TRUNCATING,
        Fault.REPLICA_TRUNCATING_IN_EVENT: Behaviour.TRUNCATING_IN_EVENT,
        Fault.REPLICA_UNRESPONSIVE: Behaviour.UNRESPONSIVE,
        Fault.REPLICA_WRONG_ATTEMPT_ID: Behaviour.WRONG_ATTEMPT_ID,
        Fault.REPLICA_UNSIGNED: Behaviour.UNSIGNED,
        Fault.REPLICA_ENCODED: Behaviour.ENCODED,
        Fault.REPLICA_REPEATING_REFUSAL: Behaviour.REPEATING_REFUSAL,
        Fault.REPLICA_REPEATING_MISDIRECTED: Behaviour.REPEATING_MISDIRECTED,
    }
)


@dataclass
class ReplicaHost:
    """Hold the current replica at an address, with what stays the same."""

    service: str
    domain: str
    replica: Replica
    relay: Relay


class Testbed:
    """Run the entries and stand-ins of a run, and inject faults into them."""

    def __init__(self, fleet: PlatformFleet, nursery: trio.Nursery) -> None:
        """Set the fleet, and put a relay between the entries and its store."""
        self._fleet = fleet
        self._nursery = nursery
        self._store_relay = Relay(str(fleet.store_address))
        fleet.store_address = _address(self._store_relay)
        self._hosts: list[ReplicaHost] = []
        self._replica_count = 0
        self._version = 1
        self._evacuated: tuple[str, ...] = ()
        self._written: dict[tuple[str, str], bytes] = {}
        self._sequences = itertools.count(1)
        self._copies: deque[dict[str, TopicCopy]] = deque(maxlen=_MAX_COPIES)
        self._locks: defaultdict[str, trio.Lock] = defaultdict(trio.Lock)
        self.observations = Observations()
        self._restarts = Restarts(fleet, self.observations, self._locks)

    @property
    def entries(self) -> list[EntryProcess]:
        """Return the entry processes of the fleet."""
        return self._fleet.entries

    async def start(self, entries: int, replicas: int) -> None:
        """Start replicas and entries; wait until the entries are ready."""
        self._write_configuration()
        for number in range(replicas):
            service = 'plain' if number % 3 == 0 else 'engine'
            domain = DOMAINS[number // _REPLICAS_PER_DOMAIN % len(DOMAINS)]
            await self._add_replica_host(service, domain)
        for _ in range(entries):
            self._fleet.add_entry()
        self._nursery.start_soon(_copy_store, self._fleet.log, self._copies)
        for entry in self.entries:
            await entry.until_ready()

    def close(self) -> None:
        """Keep the logs and close all relays."""
        for entry in self.entries:
            self.observations.logs[entry.host] = entry.log_text()
        self._store_relay.close()
        for host in self._hosts:
            host.relay.close()

    async def inject_faults(self, faults: tuple[ScheduledFault, ...]) -> None:
        """Inject the faults at their times; return when all have ended."""
        started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            for scheduled in faults:
                await trio.sleep_until(started_at + scheduled.starts_s)
                nursery.start_soon(self._inject_and_record, scheduled)

    async def wait_ready(self) -> None:
        """Wait until all entries are ready; record those that time out."""
        for entry in self.entries:
            try:
                await entry.until_ready()
            except trio.TooSlowError:
                self.observations.unready_entries.append(entry.host)

    async def check_versions(self) -> None:
        """Call the route that only the newest version has at each entry."""
        for host in self._hosts:
            host.replica.record_run = None
        for entry in self.entries:
            if not await self._serves_newest(entry):
                self.observations.outdated_entries.append(entry.host)

    async def _serves_newest(self, entry: EntryProcess) -> bool:
        path = f'/v{self._version}/soak'
        try:
            response = await entry.call('GET', path, f'version-{entry.host}')
        except HttpError as error:
            sys.stderr.write(f'{entry.host} did not respond: {error}\n')
            return False
        if response.status != _HTTP_OK:
            sys.stderr.write(
                f'{entry.host} responded to {path} with {response.status}; '
                f'the end of its log:\n{_last_lines(entry.log_text())}\n'
            )
        return response.status == _HTTP_OK

    async def _add_replica_host(self, service: str, domain: str) -> None:
        replica = self._make_replica()

        async def handle(request: HttpRequest, reply: ResponseWriter) -> None:
            await host.replica.handle(request, reply)

        address = await start_server(self._nursery, handle)
        host = ReplicaHost(service, domain, replica, Relay(str(address)))
        self._hosts.append(host)
        self._write_record(host)

    def _make_replica(self) -> Replica:
        self._replica_count += 1
        name = f'r{self._replica_count}'
        return Replica(
            name,
            pause_s=REPLICA_PAUSE_S,
            record_run=self._record_run,
            record_end=partial(_record_end, self.observations),
        )

    def _record_run(self, name: str, request: HttpRequest) -> None:
        if (request.header('attempt-id') or '').startswith(_WATCH_PREFIX):
            return
        self.observations.executions.append(
            Execution(
                request.header('attempt-id') or '',
                request.path,
                name,
                time.time(),
                request.header('tenant') or '',
            ),
        )

    def _write_record(self, host: ReplicaHost, **changes: object) -> None:
        self.observations.domains[host.replica.name] = host.domain
        self._fleet.write_replica_record(
            host.replica.name,
            host.service,
            zone=host.domain,
            address=host.relay.address,
            born=self._replica_count,
            sequence=next(self._sequences),
            **changes,
        )
        latest = self._fleet.log.topic(_REPLICA_TOPIC).latest
        name = host.replica.name
        self._written[_REPLICA_TOPIC, name] = latest[name]

    def _write(self, topic: str, key: str, payload: bytes) -> None:
        self._written[topic, key] = payload
        self._fleet.log.topic(topic).put(key, payload)

    async def _inject_and_record(self, scheduled: ScheduledFault) -> None:
        starts_at = time.time()
        name, had_effect = await self._apply_fault(scheduled)
        if scheduled.fault not in _PLANNED_OPERATIONS:
            # Connections that were open may stay silent or cut for a while.
            ends_at = time.time() + FAULT_FREE_S
            self.observations.unplanned_faults.append(
                Interval(starts_at, ends_at, name)
            )
        if not had_effect():
            self.observations.faults_without_effect.append(
                f'{scheduled.fault.value} of {name}'
            )

    async def _apply_fault(
        self, scheduled: ScheduledFault
    ) -> tuple[str, EffectCheck]:
        """Apply a fault; return its subject and a check of its effect."""
        target_kind = scheduled.fault.value.partition('-')[0]
        if target_kind == 'store':
            return STORE, await self._inject_store_fault(scheduled)
        if target_kind == 'replica':
            host = self._hosts[scheduled.target % len(self._hosts)]
            name = host.replica.name
            return name, await self._inject_replica_fault(scheduled, host)
        if scheduled.fault is Fault.CONFIGURATION_CHANGED:
            return 'configuration', self._change_configuration()
        if scheduled.fault is Fault.DOMAIN_EVACUATED:
            return 'domains', await self._evacuate(scheduled)
        if scheduled.fault is Fault.ALL_ENTRIES_KILLED:
            return ALL_PROCESSES, await self._kill_all_entries()
        entry = self.entries[scheduled.target % len(self.entries)]
        return entry.host, await self._inject_entry_fault(scheduled, entry)

    async def _inject_entry_fault(
        self,
        scheduled: ScheduledFault,
        entry: EntryProcess,
    ) -> EffectCheck:
        if scheduled.fault is Fault.CALLERS_SLOW:
            self.observations.slow_readers.append(entry.host)
            for number in range(SLOW_READERS):
                self._nursery.start_soon(_read_slowly, entry, number)
            return lambda: True
        if scheduled.fault is Fault.ENTRY_PAUSED:
            entry.send_signal(signal.SIGSTOP)
            await trio.sleep(scheduled.duration_s)
            entry.send_signal(signal.SIGCONT)
            return lambda: True
        if scheduled.fault is Fault.ENTRY_RELOADED:
            self._restarts.reload(entry)
            return lambda: True
        if scheduled.fault is Fault.ENTRIES_RESTARTED:
            return await self._restarts.run_series(
                scheduled, self._write_next_configuration
            )
        if scheduled.fault is Fault.ENTRY_KILLED:
            return await self._kill_entry(entry)
        return await self._restarts.shut_down(entry)

    async def _kill_entry(self, entry: EntryProcess) -> EffectCheck:
        async with self._locks[entry.host]:
            entry.send_signal(signal.SIGKILL)
            exit_code = await entry.wait()
            await trio.sleep(RESTART_DELAY_S)
            entry.start(self._fleet.settings(entry))
        return lambda: exit_code == -signal.SIGKILL

    async def _kill_all_entries(self) -> EffectCheck:
        effect_checks: list[EffectCheck] = []

        async def kill(entry: EntryProcess) -> None:
            effect_checks.append(await self._kill_entry(entry))

        async with trio.open_nursery() as nursery:
            for entry in self.entries:
                nursery.start_soon(kill, entry)
        return lambda: all(check() for check in effect_checks)

    async def _inject_store_fault(
        self, scheduled: ScheduledFault
    ) -> EffectCheck:
        if scheduled.fault is Fault.STORE_REWOUND:
            return await self._rewind_store(scheduled)
        log = self._fleet.log
        calls_before = log.calls
        connections_before = self._store_relay.connections
        store_fault = _STORE_FAULTS.get(scheduled.fault)
        if store_fault is not None:
            log.fault = store_fault
            await self._wait_for_effect(
                scheduled, lambda: log.calls > calls_before
            )
            log.fault = StoreFault.NONE
            return lambda: log.calls > calls_before
        if scheduled.fault is Fault.STORE_COMPACTED:
            topic = log.topic(_REPLICA_TOPIC)
            topic.compact()
            return lambda: not topic.records
        await self._inject_path_fault(scheduled, self._store_relay)
        return lambda: connections_before > 0

    async def _rewind_store(self, scheduled: ScheduledFault) -> EffectCheck:
        """Bring the store back from a copy; write again what it lacks.

        Odd targets write a configuration just before.
        """
        log = self._fleet.log
        era = log.era + 1
        rewrite_s = min(MAX_REWRITE_S, scheduled.duration_s * _REWRITE_SHARE)
        copy_number = scheduled.target % len(self._copies)
        copy = self._copies[copy_number]
        if scheduled.target % 2:
            self._change_configuration()
        async with trio.open_nursery() as nursery:
            for entry in self.entries:
                nursery.start_soon(self._watch_version, entry, self._version)
            await trio.sleep(rewrite_s * _WATCH_INTERVAL_S)
            log.rewind(copy)
            await trio.sleep(rewrite_s)
            for (name, key), payload in self._written.items():
                topic = log.topic(name)
                if topic.latest.get(key, b'') != payload:
                    topic.put(key, payload)
            await trio.sleep(WATCH_S)
            nursery.cancel_scope.cancel()
        return lambda: log.era >= era

    async def _watch_version(self, entry: EntryProcess, version: int) -> None:
        """Record an entry that serves a version and then ceases to.

        Ends where the entry starts again or the version is no longer the
        newest.
        """
        pid = entry.pid
        is_served = False
        for number in itertools.count():
            status = 0
            attempt = f'{_WATCH_PREFIX}{entry.host}-{version}-{number}'
            with trio.move_on_after(WATCH_S), suppress(HttpError):
                response = await entry.call('GET', f'/v{version}/soak', attempt)
                status = response.status
            if entry.pid != pid or self._version != version:
                return
            if is_served and status == _HTTP_NOT_FOUND:
                self.observations.withdrawn_versions.append(entry.host)
                return
            is_served = is_served or status == _HTTP_OK
            await trio.sleep(_WATCH_INTERVAL_S)

    async def _inject_replica_fault(
        self, scheduled: ScheduledFault, host: ReplicaHost
    ) -> EffectCheck:
        replica = host.replica
        behaviour = _BEHAVIOURS.get(scheduled.fault)
        if behaviour is not None:
            calls_before = len(replica.executed) + replica.refused
            replica.behaviour = behaviour
            # No call reaches the replica while all entries are restarting.
            await self._wait_for_effect(
                scheduled,
                lambda: self._was_called(host, replica, calls_before),
            )
            replica.behaviour = Behaviour.HEALTHY
            return lambda: self._was_called(host, replica, calls_before)
        if scheduled.fault is Fault.REPLICA_LIMITED:
            return await _limit(replica, self.observations)
        if scheduled.fault is Fault.REPLICA_COLD:
            return await _cool(scheduled, replica, self.observations)
        if scheduled.fault is Fault.REPLICA_DRAINED:
            return await self._drain(scheduled, host)
        if scheduled.fault is Fault.REPLICA_REPLACED:
            self._replace(host)
            return lambda: host.replica is not replica
        connections_before = host.relay.connections
        await self._inject_path_fault(scheduled, host.relay)
        return lambda: connections_before > 0 or not self._may_be_called(host)

    async def _inject_path_fault(
        self, scheduled: ScheduledFault, relay: Relay
    ) -> None:
        effect = scheduled.fault.value.rpartition('-')[2]
        if effect == 'reset':
            relay.cut()
        elif effect == 'silenced':
            relay.blackhole()
        elif effect == 'deaf':
            relay.blackhole_replies()
        else:
            relay.delay(PATH_DELAY_MS)
            await trio.sleep(scheduled.duration_s)
            relay.delay(0)

    async def _drain(
        self, scheduled: ScheduledFault, host: ReplicaHost
    ) -> EffectCheck:
        replica = host.replica
        announced_at = time.time()
        self._write_record(host, state='draining')
        await trio.sleep(DRAIN_GRACE_S + scheduled.duration_s)
        if host.replica is replica:
            interval = Interval(announced_at, time.time(), replica.name)
            self.observations.drains.append(interval)
            self._replace(host)
        return lambda: host.replica is not replica

    def _replace(self, host: ReplicaHost) -> None:
        """Replace the replica at an address by a new one with another name."""
        self._write(_REPLICA_TOPIC, host.replica.name, b'')
        host.replica = self._make_replica()
        self._write_record(host)

    def _change_configuration(self) -> EffectCheck:
        self._write_next_configuration()
        return lambda: True

    def _write_next_configuration(self) -> None:
        self._version += 1
        self._write_configuration()

    def _write_configuration(self) -> None:
        text = make_configuration(
            self._version, cold_start_s=_COLD_START_S, cold_per_s=COLD_PER_S
        )
        self._write(_OPERATOR_TOPIC, 'config', text)

    async def _evacuate(self, scheduled: ScheduledFault) -> EffectCheck:
        async with self._locks['evacuation']:
            self._evacuated = _EVACUATIONS[scheduled.target % len(_EVACUATIONS)]
            started_at = time.time()
            for domain in self._evacuated:
                self._write(_OPERATOR_TOPIC, f'evacuate/{domain}', b'{}')
            await trio.sleep(MIN_EVACUATED_S + scheduled.duration_s)
            for evacuated in self._evacuated:
                self._write(_OPERATOR_TOPIC, f'evacuate/{evacuated}', b'')
                interval = Interval(started_at, time.time(), evacuated)
                self.observations.evacuations.append(interval)
            self._evacuated = ()
        return lambda: True

    def _may_be_called(self, host: ReplicaHost) -> bool:
        listed = self._fleet.log.topic(_REPLICA_TOPIC).latest
        return (
            host.replica.name in listed and host.domain not in self._evacuated
        )

    def _was_called(
        self, host: ReplicaHost, replica: Replica, calls_before: int
    ) -> bool:
        """Tell whether a replica was called, replaced or may not be called."""
        if host.replica is not replica or host.domain in self._evacuated:
            return True
        return len(replica.executed) + replica.refused > calls_before

    async def _wait_for_effect(
        self, scheduled: ScheduledFault, had_effect: EffectCheck
    ) -> None:
        await trio.sleep(scheduled.duration_s)
        with trio.move_on_after(MAX_EXTENSION_S):
            while not had_effect():  # noqa: ASYNC110
                await trio.sleep(RESTART_DELAY_S)


def _record_end(observations: Observations, request: HttpRequest) -> None:
    attempt = request.header('attempt-id') or ''
    observations.work_ends[attempt] = time.time()


def _address(relay: Relay) -> Address:
    return parse_address(relay.address)


async def _read_slowly(entry: EntryProcess, number: int) -> None:
    """Request large streams one after the other and hardly read them."""
    for call_number in itertools.count():
        await trio.sleep(_SLOW_READ_PAUSE_S)
        attempt = f'{_WATCH_PREFIX}slow-{entry.host}-{number}-{call_number}'
        request = (
            f'POST {LARGE_STREAM_PATH}{number} HTTP/1.1\r\n'
            f'Host: h.example\r\nAttempt-Id: {attempt}\r\n'
            'Authorization: Token key-1\r\nContent-Length: 0\r\n'
            'Deadline-Remaining-Ms: 4000\r\n\r\n'
        )
        with suppress(OSError, trio.BrokenResourceError):
            async with await trio.open_tcp_stream(entry.host, PORT) as stream:
                await stream.send_all(request.encode())
                if number % 2:
                    await trio.sleep(_UNREAD_S)
                    continue
                received = b'-'
                while received:
                    received = await stream.receive_some(_SLOW_READ_BYTES)
                    await trio.sleep(_SLOW_READ_PAUSE_S)


async def _limit(replica: Replica, observations: Observations) -> EffectCheck:
    """Name a limit for a while; overlapping limits end with the first."""
    started_at = time.time()
    _state(replica, _LIMIT_FIELD, f'{LIMIT_PER_S}')
    await trio.sleep(LIMITED_S)
    interval = Interval(started_at, time.time(), replica.name)
    if _LIMIT_FIELD in dict(replica.statements):
        observations.limits.append(interval)
    _state(replica, _LIMIT_FIELD, '')
    return lambda: True


async def _cool(
    scheduled: ScheduledFault, replica: Replica, observations: Observations
) -> EffectCheck:
    """State for a while that a replica is cold, unless it does already."""
    if _COLD_FIELD in dict(replica.statements):
        return lambda: True
    cold_s = MIN_COLD_S + scheduled.duration_s
    started_at = time.time()
    while time.time() < started_at + cold_s:
        left_s = started_at + cold_s - time.time()
        _state(replica, _COLD_FIELD, f'{left_s * 1000:.0f}')
        await trio.sleep(_WATCH_INTERVAL_S)
    # The statement may be older by the interval between two.
    ends_at = started_at + cold_s - _WATCH_INTERVAL_S
    interval = Interval(started_at, ends_at, replica.name)
    observations.cold.append(interval)
    _state(replica, _COLD_FIELD, '')
    return lambda: True


def _state(replica: Replica, name: str, statement: str) -> None:
    """Set a header field of a replica's responses, or remove it if empty."""
    fields = dict(replica.statements)
    fields.pop(name, None)
    if statement:
        fields[name] = statement
    replica.statements = tuple(fields.items())


async def _copy_store(
    log: KeyedLog, copies: deque[dict[str, TopicCopy]]
) -> None:
    while True:
        copies.append(log.copy())
        await trio.sleep(COPY_INTERVAL_S)


def _last_lines(text: str) -> str:
    return '\n'.join(text.splitlines()[-LOG_LINES:])
