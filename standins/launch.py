"""Start the processes of a local fleet."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from .calling import LOOPBACK, free_ports, http_call
from .child import Child
from .deployments import DEPLOYMENTS
from .relay import Relay

ADMIN_TOKEN = 'local-administration-token'
PEER_KEY = 'local-peer-key-of-the-fleet'
GROUP_NAME = 'group-0'
GROUP_SERVICE = 'ranks'


@dataclass
class EntryProcess:
    """Name an entry's addresses and process."""

    name: str
    url: str
    admin: str
    child: Child
    platform_relay: Relay | None = None


@dataclass
class UpstreamProcess:
    """Name an upstream, its sidecar and their processes."""

    name: str
    service: str
    domain: str
    url: str
    sidecar_address: str
    sidecar_admin: str
    child: Child
    sidecar: Child
    relay: Relay | None = None
    group: str = ''
    rank: int = -1

    def set_faults(self, **faults: object) -> None:
        """Set faults of the upstream."""
        http_call(self.url, 'POST', '/control/faults', faults)

    @property
    def listed_address(self) -> str:
        """Return where entries are told to find the sidecar."""
        if self.relay is None:
            return self.sidecar_address
        return self.relay.address


@dataclass
class FleetPlan:
    """Say how large a fleet is to be and how its processes are set."""

    deployment: str = 'valtrebbia'
    entries: int = 2
    replicas: int | None = None
    services: int | None = None
    policies: dict[str, Any] = field(default_factory=dict)
    entry_settings: dict[str, str] = field(default_factory=dict)
    sidecar_settings: dict[str, str] = field(default_factory=dict)
    engine_arguments: tuple[str, ...] = ()
    slots: int = 8
    token_ms: float = 6
    publish: bool = True
    relays: bool = False
    entry_relays: bool = False
    ranks: int = 0
    experts: int = 64
    fencing: bool = True


class Launcher:
    """Start processes as a plan says."""

    def __init__(
        self,
        plan: FleetPlan,
        folder: Path,
        platform_address: str,
    ) -> None:
        """Take the plan, where logs go, and where the platform listens."""
        self._plan = plan
        self._folder = folder
        self._platform_address = platform_address
        self._deployment = DEPLOYMENTS[plan.deployment]

    def start(
        self,
        name: str,
        arguments: list[str],
        environment: dict[str, str] | None = None,
    ) -> Child:
        """Start a process whose log takes its name."""
        log_path = self._folder / f'{name}.log'
        return Child(arguments, environment or {}, log_path)

    def start_upstreams(self) -> list[UpstreamProcess]:
        """Start the upstreams of both services, each with its sidecar."""
        plan = self._plan
        deployment = self._deployment
        replicas = (
            deployment.replicas if plan.replicas is None else plan.replicas
        )
        services = (
            deployment.services if plan.services is None else plan.services
        )
        names = [
            *((deployment.model, number) for number in range(replicas)),
            *((deployment.plain, number) for number in range(services)),
        ]
        ports = iter(free_ports(3 * len(names)))
        return [
            self._start_upstream(service, number, ports)
            for service, number in names
        ]

    def start_group(self) -> list[UpstreamProcess]:
        """Start a group of ranks, all in one process as they step as one."""
        plan = self._plan
        if not plan.ranks:
            return []
        ports = free_ports(3 * plan.ranks)
        addresses = [f'{LOOPBACK}:{port}' for port in ports[: plan.ranks]]
        flags = [] if plan.fencing else ['--no-fencing']
        child = self.start(
            'group',
            [
                'standins.group',
                *addresses,
                '--experts',
                str(plan.experts),
                *flags,
            ],
        )
        rest = iter(ports[plan.ranks :])
        return [
            self._start_rank(rank, address, child, rest)
            for rank, address in enumerate(addresses)
        ]

    def start_entries(self) -> list[EntryProcess]:
        """Start the entries."""
        ports = iter(free_ports(2 * self._plan.entries))
        return [
            self._start_entry(number, ports)
            for number in range(self._plan.entries)
        ]

    def _start_upstream(
        self,
        service: str,
        number: int,
        ports: Iterator[int],
    ) -> UpstreamProcess:
        name = f'{service}-{number}'
        domains = self._deployment.domains
        domain = domains[number % len(domains)]
        address, peer, admin = (f'{LOOPBACK}:{next(ports)}' for _ in range(3))
        arguments = ['standins.plain', address, name]
        if service == self._deployment.model:
            arguments = [
                'standins.engine',
                address,
                name,
                *self._plan.engine_arguments,
            ]
        settings = self._settings(f'sidecar-{name}', peer, admin, domain)
        settings.update(
            _environment(
                service=service,
                upstream=name,
                upstream_address=address,
                **self._plan.sidecar_settings,
            ),
        )
        return UpstreamProcess(
            name,
            service,
            domain,
            f'http://{address}',
            peer,
            admin,
            self.start(name, arguments),
            self.start(
                f'sidecar-{name}',
                ['amaranthrail.daemon', 'sidecar'],
                settings,
            ),
            Relay(peer) if self._plan.relays else None,
        )

    def _start_rank(
        self,
        rank: int,
        address: str,
        child: Child,
        ports: Iterator[int],
    ) -> UpstreamProcess:
        name = f'rank-{rank}'
        peer, admin = (f'{LOOPBACK}:{next(ports)}' for _ in range(2))
        domain = self._deployment.domains[0]
        settings = self._settings(f'sidecar-{name}', peer, admin, domain)
        settings.update(
            _environment(
                service=GROUP_SERVICE,
                upstream=name,
                upstream_address=address,
                group=GROUP_NAME,
                rank=str(rank),
                **self._plan.sidecar_settings,
            ),
        )
        return UpstreamProcess(
            name,
            GROUP_SERVICE,
            domain,
            f'http://{address}',
            peer,
            admin,
            child,
            self.start(
                f'sidecar-{name}',
                ['amaranthrail.daemon', 'sidecar'],
                settings,
            ),
            group=GROUP_NAME,
            rank=rank,
        )

    def _start_entry(self, number: int, ports: Iterator[int]) -> EntryProcess:
        name = f'entry-{number}'
        domains = self._deployment.domains
        address, admin = (f'{LOOPBACK}:{next(ports)}' for _ in range(2))
        domain = domains[number % len(domains)]
        settings = self._settings(name, address, admin, domain)
        settings.update(_environment(**self._plan.entry_settings))
        relay: Relay | None = None
        if self._plan.entry_relays:
            relay = Relay(self._platform_address)
            settings.update(_environment(platform=relay.address))
        arguments = ['amaranthrail.daemon', 'entry']
        child = self.start(name, arguments, settings)
        return EntryProcess(name, f'http://{address}', admin, child, relay)

    def _settings(
        self,
        name: str,
        listen: str,
        admin: str,
        domain: str,
    ) -> dict[str, str]:
        return _environment(
            name=name,
            listen=listen,
            admin_listen=admin,
            admin_token=ADMIN_TOKEN,
            peer_key=PEER_KEY,
            domain=domain,
            platform=self._platform_address,
        )


def _environment(**settings: str) -> dict[str, str]:
    return {
        f'AMARANTHRAIL_{name.upper()}': setting
        for name, setting in settings.items()
    }
