"""Start a whole deployment as separate local processes.

Run as ``python -m standins.fleet --deployment valtrebbia``. When all is ready
one JSON line on standard output names every process; SIGINT or SIGTERM ends
them all.
"""

from __future__ import annotations

import argparse
import contextlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from http import client
from pathlib import Path
from typing import Any

from .calling import (
    LOOPBACK,
    Response,
    free_ports,
    http_call,
    is_listening,
    responds_ok,
    wait_until,
)
from .child import Child
from .deployments import (
    DEPLOYMENTS,
    Deployment,
    make_manifest,
    organisation_names,
    organisation_token,
)
from .launch import (
    ADMIN_TOKEN,
    EntryProcess,
    FleetPlan,
    Launcher,
    UpstreamProcess,
)

_END_TIMEOUT_S = 8.0
_LOG_TAIL = 2000


class Fleet:
    """Own all processes of a local deployment."""

    def __init__(self, plan: FleetPlan, folder: Path) -> None:
        """Start the processes; ``folder`` takes their logs."""
        self._plan = plan
        self._folder = folder
        self._deployment: Deployment = DEPLOYMENTS[plan.deployment]
        self._platform_address = f'{LOOPBACK}:{free_ports(1)[0]}'
        launcher = Launcher(plan, folder, self._platform_address)
        self._platform = launcher.start(
            'platform',
            ['standins.platform', self._platform_address],
        )
        self._upstreams = [
            *launcher.start_upstreams(),
            *launcher.start_group(),
        ]
        self._entries = launcher.start_entries()

    @property
    def deployment(self) -> Deployment:
        """Return whose deployment this is."""
        return self._deployment

    @property
    def platform(self) -> Child:
        """Return the platform's process."""
        return self._platform

    @property
    def platform_address(self) -> str:
        """Return the platform's address."""
        return self._platform_address

    @property
    def entries(self) -> list[EntryProcess]:
        """Return the entries."""
        return self._entries

    @property
    def upstreams(self) -> list[UpstreamProcess]:
        """Return the upstreams with their sidecars."""
        return self._upstreams

    @property
    def ranks(self) -> list[UpstreamProcess]:
        """Return the ranks of the group, which share one process."""
        return [one for one in self._upstreams if one.group]

    def upstreams_of(self, service: str) -> list[UpstreamProcess]:
        """Return the upstreams of one service."""
        return [one for one in self._upstreams if one.service == service]

    def find(self, name: str) -> UpstreamProcess:
        """Return the upstream of a name."""
        return next(one for one in self._upstreams if one.name == name)

    def manifest(self) -> dict[str, Any]:
        """Return the manifest that the fleet starts with."""
        plan = self._plan
        return make_manifest(
            self._deployment,
            plan.policies,
            plan.slots,
            plan.token_ms,
        )

    def token(self, number: int = 0) -> str:
        """Return the caller's token of an organisation."""
        return organisation_token(
            self._plan.deployment, organisation_names()[number]
        )

    def set_platform_faults(self, **faults: object) -> None:
        """Set faults of the platform."""
        http_call(self._platform_address, 'POST', '/control/faults', faults)

    def set_hosts(self, draining: tuple[str, ...] = ()) -> None:
        """Tell the platform which hosts there are."""
        hosts = [
            {
                'upstream': one.name,
                'service': one.service,
                'domain': one.domain,
                'host': one.listed_address.split(':')[0],
                'port': int(one.listed_address.split(':')[1]),
                'state': 'leaving' if one.name in draining else 'live',
                'group': one.group,
                'rank': one.rank,
            }
            for one in self._upstreams
        ]
        order = {'hosts': hosts}
        http_call(self._platform_address, 'POST', '/control/hosts', order)

    def publish(self, manifest: dict[str, Any], *flags: str) -> Response:
        """Publish a manifest with the command line, straight to the log."""
        path = self._folder / 'manifest.json'
        path.write_text(json.dumps(manifest))
        found = self.run_command(
            'manifest',
            'publish',
            str(path),
            '--json',
            '--log',
            self._platform_address,
            *flags,
        )
        return Response(found.returncode, {}, found.stdout)

    def run_command(
        self, *arguments: str
    ) -> subprocess.CompletedProcess[bytes]:
        """Run the product's command line against this fleet."""
        admins = ','.join(entry.admin for entry in self._entries)
        environment = {
            **os.environ,
            'AMARANTHRAIL_ADMIN': admins,
            'AMARANTHRAIL_ADMIN_TOKEN': ADMIN_TOKEN,
        }
        return subprocess.run(
            [sys.executable, '-m', 'amaranthrail', *arguments],
            env=environment,
            capture_output=True,
            check=False,
        )

    def wait_ready(self) -> None:
        """Publish the manifest and wait until all serve."""
        wait_until(lambda: responds_ok(self._platform_address, '/hosts'))
        self.set_hosts()
        if not self._plan.publish:
            return
        published = self.publish(self.manifest())
        if published.status:
            raise RuntimeError(f'not published: {published.body!r}')
        for entry in self._entries:
            self.wait_entry_ready(entry)
        # A sidecar takes work before its upstream listens.
        wait_until(
            lambda: all(is_listening(one.url) for one in self._upstreams)
        )

    def failed_logs(self) -> str:
        """Return the end of the log of each process that has ended badly."""
        return '\n'.join(
            child.log_text[-_LOG_TAIL:]
            for child in self.children()
            if child.exit_code
        )

    def wait_entry_ready(self, entry: EntryProcess) -> None:
        """Wait until an entry serves with all sidecars connected."""
        wait_until(lambda: self._all_connected(entry))

    def status(self, entry: EntryProcess) -> Any:
        """Return an entry's status, None while it does not answer."""
        try:
            answer = http_call(
                entry.admin,
                'GET',
                '/v1/status',
                headers={'Authorization': f'Bearer {ADMIN_TOKEN}'},
                timeout=5,
            )
        except (OSError, client.HTTPException):
            return None
        return answer.json() if answer.status == 200 else None

    def wait_entry_answers(self, entry: EntryProcess) -> None:
        """Wait until an entry answers its administration port."""
        wait_until(lambda: self.status(entry))

    def admin_call(
        self,
        method: str,
        target: str,
        body: dict[str, Any] | None = None,
    ) -> Response:
        """Call the administration API of the last entry."""
        return http_call(
            self._entries[-1].admin,
            method,
            target,
            body,
            {'Authorization': f'Bearer {ADMIN_TOKEN}'},
        )

    def runs(self, service: str) -> list[dict[str, Any]]:
        """Return all that truly ran at the upstreams of a service."""
        return [
            run
            for one in self.upstreams_of(service)
            for run in http_call(one.url, 'GET', '/control/runs').json()
        ]

    def describe(self) -> dict[str, Any]:
        """Return what a program needs to use and disturb the fleet."""
        return {
            'entries': [
                {'url': one.url, 'admin': one.admin, 'pid': one.child.pid}
                for one in self._entries
            ],
            'sidecars': [
                {
                    'service': one.service,
                    'upstream': one.name,
                    'pid': one.sidecar.pid,
                    'address': one.sidecar_address,
                }
                for one in self._upstreams
            ],
            'upstreams': [
                {
                    'service': one.service,
                    'upstream': one.name,
                    'url': one.url,
                    'pid': one.child.pid,
                }
                for one in self._upstreams
            ],
            'platform': {
                'url': f'http://{self._platform_address}',
                'pid': self._platform.pid,
            },
            'organisations': [
                {
                    'name': name,
                    'token': organisation_token(self._plan.deployment, name),
                }
                for name in organisation_names()
            ],
            'admin_token': ADMIN_TOKEN,
        }

    def children(self) -> list[Child]:
        """Return all processes, entries first and the platform last."""
        return [
            *(one.child for one in self._entries),
            *(one.sidecar for one in self._upstreams),
            *(one.child for one in self._upstreams),
            self._platform,
        ]

    def close(self) -> None:
        """End all processes."""
        for child in self.children():
            child.send(signal.SIGCONT)
            child.send(signal.SIGTERM)
        deadline = time.monotonic() + _END_TIMEOUT_S
        for child in self.children():
            child.wait(max(0.01, deadline - time.monotonic()))
            child.kill()
        relays = [
            *(one.relay for one in self._upstreams),
            *(one.platform_relay for one in self._entries),
        ]
        for relay in filter(None, relays):
            relay.close()

    def _all_connected(self, entry: EntryProcess) -> bool:
        status = self.status(entry)
        if not status or not status['ready']:
            return False
        serving = [one for one in status['upstreams'] if one['takes_work']]
        return len(serving) == len(self._upstreams) and all(
            one['manifest_version'] == status['manifest_version']
            for one in serving
        )


@contextlib.contextmanager
def running_fleet(plan: FleetPlan) -> Iterator[Fleet]:
    """Give a fleet that is ready, and end it."""
    with tempfile.TemporaryDirectory(prefix='amaranthrail-') as folder:
        fleet = Fleet(plan, Path(folder))
        try:
            fleet.wait_ready()
            yield fleet
        except TimeoutError as error:
            error.add_note(fleet.failed_logs())
            raise
        finally:
            fleet.close()


def main() -> None:
    """Run a fleet until told to end."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--deployment',
        choices=sorted(DEPLOYMENTS),
        default='valtrebbia',
    )
    parser.add_argument('--entries', type=int, default=2)
    parser.add_argument('--replicas', type=int)
    parser.add_argument('--services', type=int)
    given = parser.parse_args()
    plan = FleetPlan(
        given.deployment,
        given.entries,
        given.replicas,
        given.services,
    )
    told = {signal.SIGINT, signal.SIGTERM}
    # A shell starts background work with SIGINT ignored.
    for number in told:
        signal.signal(number, _interrupt)
    with contextlib.suppress(KeyboardInterrupt), running_fleet(plan) as fleet:
        sys.stdout.write(f'{json.dumps(fleet.describe())}\n')
        sys.stdout.flush()
        signal.sigwait(told)


def _interrupt(_number: int, _frame: object) -> None:
    raise KeyboardInterrupt


if __name__ == '__main__':
    main()
