"""Start entries, upstreams and sidecars of a local fleet as a plan says."""

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
    """Hold an entry's process, its caller URL and its administration address.

    ``platform_relay`` is on its path to the platform, if the plan has one.
    """

    name: str
    url: str
    admin: str
    child: Child
    platform_relay: Relay | None = None


@dataclass
class UpstreamProcess:
    """Hold an upstream and its sidecar: their addresses and processes.

    ``relay`` is on the path from the entries to the sidecar, if the plan has
    one. ``group`` and ``rank`` are empty and -1 outside a group.
    """

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
        """Inject faults into the upstream, by the names in its control API."""
        http_call(self.url, 'POST', '/control/faults', faults)

    @property
    def listed_address(self) -> str:
        """Return the sidecar address that the host list gives to entries."""
        if self.relay is None:
            return self.sidecar_address
        return self.relay.address


@dataclass
class FleetPlan:
    """Describe the size of a fleet and the settings of its processes.

    ``replicas`` and ``services`` count the upstreams of the model service and
    of the plain service; None takes the deployment's own number. ``policies``
    are those of the model service, ``slots`` is per upstream and ``token_ms``
    in milliseconds. ``publish`` publishes the manifest at the start. ``relays``
    puts a relay before each sidecar but a rank's, ``entry_relays`` one between
    each entry and the platform. ``ranks`` above 0 adds a group with
    ``experts`` experts; without ``fencing`` its engines ignore fencing numbers.
    """

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
    """Start the processes of a plan, each with ports of its own."""

    def __init__(
        self,
        plan: FleetPlan,
        folder: Path,
        platform_address: str,
    ) -> None:
        """Set the plan, the folder of the logs and the platform's address."""
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
        """Start a Python module; its output goes to ``NAME.log``."""
        log_path = self._folder / f'{name}.log'
        return Child(arguments, environment or {}, log_path)

    def start_upstreams(self) -> list[UpstreamProcess]:
        """Start the upstreams of both services and a sidecar for each."""
        plan = self._plan
        deployment = self._deployment
        replicas = (
            deployment.replicas if plan.replicas is None else plan.replicas
        )
        services = (
            deployment.services if plan.services is None else plan.services
        )
        numbered = [
            *((deployment.model, number) for number in range(replicas)),
            *((deployment.plain, number) for number in range(services)),
        ]
        ports = iter(free_ports(3 * len(numbered)))
        return [
            self._start_upstream(service, number, ports)
            for service, number in numbered
        ]

    def start_group(self) -> list[UpstreamProcess]:
        """Start a group of ranks, in one process because they step together."""
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
        sidecar_ports = iter(ports[plan.ranks :])
        return [
            self._start_rank(rank, address, child, sidecar_ports)
            for rank, address in enumerate(addresses)
        ]

    def start_entries(self) -> list[EntryProcess]:
        """Start the entries, distributed over the failure domains."""
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
        address, sidecar_address, admin = (
            f'{LOOPBACK}:{next(ports)}' for _ in range(3)
        )
        arguments = ['standins.plain', address, name]
        if service == self._deployment.model:
            arguments = [
                'standins.engine',
                address,
                name,
                *self._plan.engine_arguments,
            ]
        settings = self._settings(
            f'sidecar-{name}', sidecar_address, admin, domain
        )
        settings.update(
            _to_environment(
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
            sidecar_address,
            admin,
            self.start(name, arguments),
            self.start(
                f'sidecar-{name}',
                ['amaranthrail.daemon', 'sidecar'],
                settings,
            ),
            Relay(sidecar_address) if self._plan.relays else None,
        )

    def _start_rank(
        self,
        rank: int,
        address: str,
        child: Child,
        ports: Iterator[int],
    ) -> UpstreamProcess:
        name = f'rank-{rank}'
        sidecar_address, admin = (f'{LOOPBACK}:{next(ports)}' for _ in range(2))
        domain = self._deployment.domains[0]
        settings = self._settings(
            f'sidecar-{name}', sidecar_address, admin, domain
        )
        settings.update(
            _to_environment(
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
            sidecar_address,
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
        settings.update(_to_environment(**self._plan.entry_settings))
        relay: Relay | None = None
        if self._plan.entry_relays:
            relay = Relay(self._platform_address)
            settings.update(_to_environment(platform=relay.address))
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
        return _to_environment(
            name=name,
            listen=listen,
            admin_listen=admin,
            admin_token=ADMIN_TOKEN,
            peer_key=PEER_KEY,
            domain=domain,
            platform=self._platform_address,
        )


def _to_environment(**settings: str) -> dict[str, str]:
    return {
        f'AMARANTHRAIL_{name.upper()}': setting
        for name, setting in settings.items()
    }
