"""Run a whole deployment as separate local processes.

Run as ``python -m standins.fleet --deployment valtrebbia``. When all are ready,
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
_LOG_TAIL_CHARS = 2000


class Fleet:
    """Start, control and end all processes of a local deployment."""

    def __init__(self, plan: FleetPlan, folder: Path) -> None:
        """Start the processes; their logs go to ``folder``."""
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
        """Return the description of the deployment that the fleet runs."""
        return self._deployment

    @property
    def platform(self) -> Child:
        """Return the process of the platform stand-in."""
        return self._platform

    @property
    def platform_address(self) -> str:
        """Return the ``HOST:PORT`` of the platform stand-in."""
        return self._platform_address

    @property
    def entries(self) -> list[EntryProcess]:
        """Return the entry processes, in the order of their numbers."""
        return self._entries

    @property
    def upstreams(self) -> list[UpstreamProcess]:
        """Return all upstreams with their sidecars, ranks included."""
        return self._upstreams

    @property
    def ranks(self) -> list[UpstreamProcess]:
        """Return the ranks of the group; they share one engine process."""
        return [upstream for upstream in self._upstreams if upstream.group]

    def upstreams_of(self, service: str) -> list[UpstreamProcess]:
        """Return the upstreams of a service, in the order of their numbers."""
        return [
            upstream
            for upstream in self._upstreams
            if upstream.service == service
        ]

    def find_upstream(self, name: str) -> UpstreamProcess:
        """Return the upstream with a name. Raises StopIteration."""
        return next(
            upstream for upstream in self._upstreams if upstream.name == name
        )

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
        """Return the bearer token of the organisation at an index."""
        return organisation_token(
            self._plan.deployment, organisation_names()[number]
        )

    def set_platform_faults(self, **faults: object) -> None:
        """Inject faults into the platform, by the names in its control API."""
        http_call(self._platform_address, 'POST', '/control/faults', faults)

    def set_hosts(self, draining: tuple[str, ...] = ()) -> None:
        """Set the platform's host list; ``draining`` names upstreams."""
        hosts = [
            {
                'upstream': upstream.name,
                'service': upstream.service,
                'domain': upstream.domain,
                'host': upstream.listed_address.split(':')[0],
                'port': int(upstream.listed_address.split(':')[1]),
                'state': 'leaving' if upstream.name in draining else 'live',
                'group': upstream.group,
                'rank': upstream.rank,
            }
            for upstream in self._upstreams
        ]
        content = {'hosts': hosts}
        http_call(self._platform_address, 'POST', '/control/hosts', content)

    def publish(self, manifest: dict[str, Any], *flags: str) -> Response:
        """Publish a manifest with the command line, directly to the log.

        The status of the result is the exit code of the command.
        """
        path = self._folder / 'manifest.json'
        path.write_text(json.dumps(manifest))
        completed = self.run_command(
            'manifest',
            'publish',
            str(path),
            '--json',
            '--log',
            self._platform_address,
            *flags,
        )
        return Response(completed.returncode, {}, completed.stdout)

    def run_command(
        self, *arguments: str
    ) -> subprocess.CompletedProcess[bytes]:
        """Run the ``amaranthrail`` command against this fleet."""
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
        """Publish the manifest and wait until every process serves.

        Raises RuntimeError if the manifest is not accepted, else TimeoutError.
        """
        wait_until(lambda: responds_ok(self._platform_address, '/hosts'))
        self.set_hosts()
        if not self._plan.publish:
            return
        published = self.publish(self.manifest())
        if published.status:
            raise RuntimeError(f'manifest not published: {published.body!r}')
        for entry in self._entries:
            self.wait_entry_ready(entry)
        # A sidecar accepts work before its upstream listens.
        wait_until(
            lambda: all(
                is_listening(upstream.url) for upstream in self._upstreams
            )
        )

    def failed_process_logs(self) -> str:
        """Return the last 2000 characters of each failed process's log."""
        return '\n'.join(
            child.log_text[-_LOG_TAIL_CHARS:]
            for child in self.children()
            if child.exit_code
        )

    def wait_entry_ready(self, entry: EntryProcess) -> None:
        """Wait until an entry is ready and every sidecar has its manifest."""
        wait_until(lambda: self._is_fully_connected(entry))

    def status(self, entry: EntryProcess) -> Any:
        """Return an entry's status, None if it does not respond within 5 s."""
        try:
            response = http_call(
                entry.admin,
                'GET',
                '/v1/status',
                headers={'Authorization': f'Bearer {ADMIN_TOKEN}'},
                timeout=5,
            )
        except (OSError, client.HTTPException):
            return None
        return response.json() if response.status == 200 else None

    def wait_entry_responds(self, entry: EntryProcess) -> None:
        """Wait until an entry's administration API returns its status."""
        wait_until(lambda: self.status(entry))

    def admin_call(
        self,
        method: str,
        target: str,
        body: dict[str, Any] | None = None,
    ) -> Response:
        """Send an authorised request to the last entry's administration API."""
        return http_call(
            self._entries[-1].admin,
            method,
            target,
            body,
            {'Authorization': f'Bearer {ADMIN_TOKEN}'},
        )

    def runs(self, service: str) -> list[dict[str, Any]]:
        """Return the requests that the upstreams of a service executed."""
        return [
            run
            for upstream in self.upstreams_of(service)
            for run in http_call(upstream.url, 'GET', '/control/runs').json()
        ]

    def describe(self) -> dict[str, Any]:
        """Return the addresses, process ids and tokens as JSON-able data."""
        return {
            'entries': [
                {'url': entry.url, 'admin': entry.admin, 'pid': entry.child.pid}
                for entry in self._entries
            ],
            'sidecars': [
                {
                    'service': upstream.service,
                    'upstream': upstream.name,
                    'pid': upstream.sidecar.pid,
                    'address': upstream.sidecar_address,
                }
                for upstream in self._upstreams
            ],
            'upstreams': [
                {
                    'service': upstream.service,
                    'upstream': upstream.name,
                    'url': upstream.url,
                    'pid': upstream.child.pid,
                }
                for upstream in self._upstreams
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
            *(entry.child for entry in self._entries),
            *(upstream.sidecar for upstream in self._upstreams),
            *(upstream.child for upstream in self._upstreams),
            self._platform,
        ]

    def close(self) -> None:
        """Send SIGTERM to all processes, and SIGKILL to the rest after 8 s."""
        for child in self.children():
            child.send(signal.SIGCONT)
            child.send(signal.SIGTERM)
        deadline = time.monotonic() + _END_TIMEOUT_S
        for child in self.children():
            child.wait(max(0.01, deadline - time.monotonic()))
            child.kill()
        relays = [
            *(upstream.relay for upstream in self._upstreams),
            *(entry.platform_relay for entry in self._entries),
        ]
        for relay in filter(None, relays):
            relay.close()

    def _is_fully_connected(self, entry: EntryProcess) -> bool:
        status = self.status(entry)
        if not status or not status['ready']:
            return False
        serving = [
            upstream
            for upstream in status['upstreams']
            if upstream['takes_work']
        ]
        return len(serving) == len(self._upstreams) and all(
            upstream['manifest_version'] == status['manifest_version']
            for upstream in serving
        )


@contextlib.contextmanager
def running_fleet(plan: FleetPlan) -> Iterator[Fleet]:
    """Yield a fleet that is ready; end its processes afterwards.

    A TimeoutError gets a note with the logs of processes that have failed.
    """
    with tempfile.TemporaryDirectory(prefix='amaranthrail-') as folder:
        fleet = Fleet(plan, Path(folder))
        try:
            fleet.wait_ready()
            yield fleet
        except TimeoutError as error:
            error.add_note(fleet.failed_process_logs())
            raise
        finally:
            fleet.close()


def main() -> None:
    """Run a fleet until SIGINT or SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--deployment',
        choices=sorted(DEPLOYMENTS),
        default='valtrebbia',
    )
    parser.add_argument('--entries', type=int, default=2)
    parser.add_argument('--replicas', type=int)
    parser.add_argument('--services', type=int)
    arguments = parser.parse_args()
    plan = FleetPlan(
        arguments.deployment,
        arguments.entries,
        arguments.replicas,
        arguments.services,
    )
    end_signals = {signal.SIGINT, signal.SIGTERM}
    # A shell starts background jobs with SIGINT ignored.
    for signal_number in end_signals:
        signal.signal(signal_number, _interrupt)
    with contextlib.suppress(KeyboardInterrupt), running_fleet(plan) as fleet:
        sys.stdout.write(f'{json.dumps(fleet.describe())}\n')
        sys.stdout.flush()
        signal.sigwait(end_signals)


def _interrupt(_number: int, _frame: object) -> None:
    raise KeyboardInterrupt


if __name__ == '__main__':
    main()
