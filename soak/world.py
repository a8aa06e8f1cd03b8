"""Run the programs of one soak and inflict its faults."""

from __future__ import annotations

import signal
import sys
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from types import MappingProxyType

import trio

from amaranthrail.adapters.httpclient import Address, parse_address
from amaranthrail.adapters.httpserver import HttpRequest, Reply
from amaranthrail.exceptions import HttpError
from standins.calling import is_listening
from standins.keyedlog import StoreFault
from standins.platformfleet import (
    EntryProcess,
    PlatformFleet,
    make_configuration,
    start_server,
)
from standins.relay import Relay
from standins.replica import Behaviour, Replica

from .plan import Fault, Step
from .promises import CALM_S, DRAIN_S, EVERYONE, STORE, Evidence, Ran, Span

_HTTP_OK = 200
#: Delay of a slow path, in ms: longer than the pause of most streams.
SLOW_MS = 150.0
#: Time after which an entry that was killed starts again, in seconds.
RESTART_S = 0.2
#: Time that an entry has to leave before it counts as stuck, in seconds.
LEAVE_S = 8.0
#: Longest time by which a fault goes on until it is met, in seconds.
FELT_S = 4.0
#: Time that a replica takes for a call and between events, in seconds.
PAUSE_S = 0.01
#: What excuses no call that ends without an answer.
_PLANNED = frozenset(
    (
        Fault.ENTRY_TOLD_TO_LEAVE,
        Fault.ENTRY_RELOADED,
        Fault.REPLICA_LEAVES,
        Fault.CONFIGURATION_CHANGED,
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
        Fault.REPLICA_CUTTING: Behaviour.TRUNCATING,
        Fault.REPLICA_CUTTING_IN_EVENT: Behaviour.TRUNCATING_IN_EVENT,
        Fault.REPLICA_MUTE: Behaviour.UNRESPONSIVE,
        Fault.REPLICA_CROSSED: Behaviour.WRONG_ATTEMPT_ID,
        Fault.REPLICA_UNSIGNED: Behaviour.UNSIGNED,
        Fault.REPLICA_ENCODED: Behaviour.ENCODED,
    }
)


Felt = Callable[[], bool]


@dataclass
class Host:
    """Hold a replica, the path to it and the name that it has now."""

    service: str
    replica: Replica
    relay: Relay


class World:
    """Hold all processes and stand-ins of a run."""

    def __init__(self, fleet: PlatformFleet, nursery: trio.Nursery) -> None:
        """Take the fleet, whose store is reached through a relay."""
        self._fleet = fleet
        self._nursery = nursery
        self._store_relay = Relay(str(fleet.store_address))
        fleet.store_address = _address(self._store_relay)
        self._hosts: list[Host] = []
        self._names = 0
        self._version = 1
        self._locks: defaultdict[str, trio.Lock] = defaultdict(trio.Lock)
        self.evidence = Evidence()

    @property
    def entries(self) -> list[EntryProcess]:
        """Return the entries."""
        return self._fleet.entries

    async def start(self, entries: int, replicas: int) -> None:
        """Start all and wait until the entries are ready."""
        for number in range(replicas):
            service = 'plain' if number % 3 == 0 else 'engine'
            await self._add_host(service)
        for _ in range(entries):
            self._fleet.add_entry()
        for entry in self.entries:
            await entry.until_ready()

    def close(self) -> None:
        """Close the paths."""
        self._store_relay.close()
        for host in self._hosts:
            host.relay.close()

    async def play(self, steps: tuple[Step, ...]) -> None:
        """Inflict the steps at their times; return once all have ended."""
        began_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            for step in steps:
                await trio.sleep_until(began_at + step.begins_s)
                nursery.start_soon(self._inflict, step)

    async def settle(self) -> None:
        """Wait until all entries are ready."""
        for entry in self.entries:
            try:
                await entry.until_ready()
            except trio.TooSlowError:
                self.evidence.unready.append(entry.host)

    async def note_versions(self) -> None:
        """Ask each entry for the route that only the newest version has."""
        for host in self._hosts:
            host.replica.record_run = None
        for entry in self.entries:
            if not await self._serves_newest(entry):
                self.evidence.outdated.append(entry.host)

    async def _serves_newest(self, entry: EntryProcess) -> bool:
        path = f'/v{self._version}/soak'
        try:
            answer = await entry.call('GET', path, f'version-{entry.host}')
        except HttpError as error:
            sys.stderr.write(f'{entry.host} did not answer: {error}\n')
            return False
        return answer.status == _HTTP_OK

    async def _add_host(self, service: str) -> None:
        replica = self._make_replica()

        async def handle(request: HttpRequest, reply: Reply) -> None:
            await host.replica.handle(request, reply)

        address = await start_server(self._nursery, handle)
        host = Host(service, replica, Relay(str(address)))
        self._hosts.append(host)
        self._announce(host)

    def _make_replica(self) -> Replica:
        self._names += 1
        name = f'r{self._names}'
        return Replica(name, pause_s=PAUSE_S, record_run=self._record_run)

    def _record_run(self, name: str, request: HttpRequest) -> None:
        self.evidence.ran.append(
            Ran(
                request.header('attempt-id') or '',
                request.path,
                name,
                time.time(),
                request.header('tenant') or '',
            ),
        )

    def _announce(self, host: Host, **changes: object) -> None:
        self._fleet.write_replica_record(
            host.replica.name,
            host.service,
            address=host.relay.address,
            born=self._names,
            **changes,
        )

    async def _inflict(self, step: Step) -> None:
        begins_at = time.time()
        name, felt = await self._carry_out(step)
        if step.fault not in _PLANNED:
            # Connections that were open may stay silent or cut for a while.
            ends_at = time.time() + CALM_S
            self.evidence.disturbed.append(Span(begins_at, ends_at, name))
        if not felt():
            self.evidence.not_felt.append(f'{step.fault.value} of {name}')

    async def _carry_out(self, step: Step) -> tuple[str, Felt]:
        """Carry out a step; return whom it met and what shows that it did."""
        kind = step.fault.value.partition('-')[0]
        if kind == 'store':
            return STORE, await self._disturb_store(step)
        if kind == 'replica':
            host = self._hosts[step.target % len(self._hosts)]
            name = host.replica.name
            return name, await self._disturb_replica(step, host)
        if step.fault is Fault.CONFIGURATION_CHANGED:
            return 'configuration', self._change_configuration()
        if step.fault is Fault.ALL_ENTRIES_KILLED:
            return EVERYONE, await self._kill_all()
        entry = self.entries[step.target % len(self.entries)]
        return entry.host, await self._disturb_entry(step, entry)

    async def _disturb_entry(
        self,
        step: Step,
        entry: EntryProcess,
    ) -> Felt:
        if step.fault is Fault.ENTRY_PAUSED:
            entry.send_signal(signal.SIGSTOP)
            await trio.sleep(step.lasts_s)
            entry.send_signal(signal.SIGCONT)
            return lambda: True
        if step.fault is Fault.ENTRY_RELOADED:
            entry.change_settings(f'{self._fleet.settings(entry)}#\n')
            entry.send_signal(signal.SIGHUP)
            return lambda: True
        if step.fault is Fault.ENTRY_KILLED:
            return await self._kill(entry)
        return await self._leave(entry)

    async def _kill(self, entry: EntryProcess) -> Felt:
        async with self._locks[entry.host]:
            entry.send_signal(signal.SIGKILL)
            code = await entry.wait()
            await trio.sleep(RESTART_S)
            entry.start(self._fleet.settings(entry))
        return lambda: code == -signal.SIGKILL

    async def _kill_all(self) -> Felt:
        felt: list[Felt] = []

        async def kill(entry: EntryProcess) -> None:
            felt.append(await self._kill(entry))

        async with trio.open_nursery() as nursery:
            for entry in self.entries:
                nursery.start_soon(kill, entry)
        return lambda: all(one() for one in felt)

    async def _leave(self, entry: EntryProcess) -> Felt:
        async with self._locks[entry.host]:
            began_at = time.time()
            listens = await trio.to_thread.run_sync(is_listening, entry.address)
            entry.send_signal(signal.SIGTERM)
            with trio.move_on_after(LEAVE_S):
                await entry.wait()
            entry.send_signal(signal.SIGKILL)
            code = await entry.wait()
            span = Span(began_at, time.time(), entry.host)
            self.evidence.told_to_leave.append(span)
            entry.start(self._fleet.settings(entry))
        # The signal ends a process that does not listen yet.
        ends = {0, -signal.SIGKILL} if listens else {0, -signal.SIGTERM}
        return lambda: code in ends

    async def _disturb_store(self, step: Step) -> Felt:
        log = self._fleet.log
        calls = log.calls
        connections = self._store_relay.connections
        store_fault = _STORE_FAULTS.get(step.fault)
        if store_fault is not None:
            log.fault = store_fault
            await self._wait_felt(step, lambda: log.calls > calls)
            log.fault = StoreFault.NONE
            return lambda: log.calls > calls
        if step.fault is Fault.STORE_FORGETS:
            topic = log.topic('keyed.servers')
            topic.compact()
            return lambda: not topic.records
        await self._disturb_path(step, self._store_relay)
        return lambda: connections > 0

    async def _disturb_replica(self, step: Step, host: Host) -> Felt:
        replica = host.replica
        behaviour = _BEHAVIOURS.get(step.fault)
        if behaviour is not None:
            calls = len(replica.executed) + replica.refused
            replica.behaviour = behaviour
            # Nobody calls while all entries start again.
            await self._wait_felt(
                step,
                lambda: self._is_met(host, replica, calls),
            )
            replica.behaviour = Behaviour.HEALTHY
            return lambda: self._is_met(host, replica, calls)
        if step.fault is Fault.REPLICA_LEAVES:
            return await self._drain(step, host)
        if step.fault is Fault.REPLICA_REPLACED:
            self._replace(host)
            return lambda: host.replica is not replica
        connections = host.relay.connections
        await self._disturb_path(step, host.relay)
        return lambda: connections > 0 or not self._is_listed(host)

    async def _disturb_path(self, step: Step, relay: Relay) -> None:
        effect = step.fault.value.rpartition('-')[2]
        if effect == 'reset':
            relay.cut()
        elif effect == 'silenced':
            relay.blackhole()
        elif effect == 'deaf':
            relay.blackhole_replies()
        else:
            relay.delay(SLOW_MS)
            await trio.sleep(step.lasts_s)
            relay.delay(0)

    async def _drain(self, step: Step, host: Host) -> Felt:
        replica = host.replica
        said_at = time.time()
        self._announce(host, state='draining')
        await trio.sleep(DRAIN_S + step.lasts_s)
        if host.replica is replica:
            span = Span(said_at, time.time(), replica.name)
            self.evidence.leaving.append(span)
            self._replace(host)
        return lambda: host.replica is not replica

    def _replace(self, host: Host) -> None:
        """Put another replica at an address, as its successor there."""
        topic = self._fleet.log.topic('keyed.servers')
        topic.put(host.replica.name, b'')
        host.replica = self._make_replica()
        self._announce(host)

    def _change_configuration(self) -> Felt:
        self._version += 1
        text = make_configuration(self._version)
        self._fleet.log.topic('keyed.op').put('config', text)
        return lambda: True

    def _is_listed(self, host: Host) -> bool:
        return (
            host.replica.name in self._fleet.log.topic('keyed.servers').latest
        )

    def _is_met(self, host: Host, replica: Replica, calls: int) -> bool:
        """Tell whether a replica got calls, unless it has gone meanwhile."""
        if host.replica is not replica:
            return True
        return len(replica.executed) + replica.refused > calls

    async def _wait_felt(self, step: Step, felt: Felt) -> None:
        await trio.sleep(step.lasts_s)
        with trio.move_on_after(FELT_S):
            while not felt():  # noqa: ASYNC110
                await trio.sleep(RESTART_S)


def _address(relay: Relay) -> Address:
    return parse_address(relay.address)
