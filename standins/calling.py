"""Call HTTP servers with the standard library, and allot free ports."""

from __future__ import annotations

import contextlib
import itertools
import json
import os
import random
import socket
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from http import client
from typing import Any

LOOPBACK = '127.0.0.1'
_POLL_INTERVAL_S = 0.02
_PORT_RANGE = range(10_000, 30_000)
_MAX_TEST_WORKERS = 8


@dataclass
class Response:
    """Hold a buffered HTTP response, its header names in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Parse the body as JSON. Raises ValueError."""
        return json.loads(self.body)


def http_call(
    address: str,
    method: str,
    target: str,
    body: bytes | dict[str, Any] | None = None,
    headers: dict[str, str] | None = None,
    timeout: float = 30,
) -> Response:
    """Send a request on a new connection; ``timeout`` is in seconds.

    A dict is sent as JSON. Raises OSError and client.HTTPException.
    """
    payload = json.dumps(body).encode() if isinstance(body, dict) else body
    connection = client.HTTPConnection(
        address.removeprefix('http://'),
        timeout=timeout,
    )
    with contextlib.closing(connection):
        connection.request(method, target, payload, headers or {})
        response = connection.getresponse()
        received = {name.lower(): text for name, text in response.getheaders()}
        return Response(response.status, received, response.read())


def responds_ok(address: str, target: str) -> bool:
    """Tell whether a GET of a target gets status 200 within 1 s."""
    try:
        return http_call(address, 'GET', target, timeout=1).status == 200
    except (OSError, client.HTTPException):
        return False


def is_listening(address: str) -> bool:
    """Tell whether a TCP connection to an address succeeds within 1 s."""
    host, _, port = address.removeprefix('http://').partition(':')
    try:
        socket.create_connection((host, int(port)), timeout=1).close()
    except OSError:
        return False
    return True


def free_ports(count: int) -> list[int]:
    """Return unused loopback ports, none of them returned before.

    They lie below the ephemeral ports that systems use for outgoing
    connections, so that no connection takes a port before its process listens.
    """
    return list(itertools.islice(_FREE_PORTS, count))


def worker_ports(worker: str) -> range:
    """Return the port range of one pytest-xdist worker, such as ``gw1``.

    The ranges are disjoint, because a port that one worker has allotted may
    not be listened on yet and would seem free to another.
    """
    worker_number = int(worker.removeprefix('gw') or 0) % _MAX_TEST_WORKERS
    size = len(_PORT_RANGE) // _MAX_TEST_WORKERS
    return _PORT_RANGE[worker_number * size : (worker_number + 1) * size]


def iterate_free_ports(ports: range) -> Iterator[int]:
    """Yield free ports in random order, each again only after all others."""
    shuffled = random.SystemRandom().sample(ports, len(ports))
    return (port for port in itertools.cycle(shuffled) if _is_free(port))


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True


def wait_until(condition: Callable[[], object], timeout: float = 60) -> None:
    """Poll a condition, for ``timeout`` seconds. Raises TimeoutError."""
    deadline = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError('the condition did not become true in time')
        time.sleep(_POLL_INTERVAL_S)


_FREE_PORTS = iterate_free_ports(
    worker_ports(os.environ.get('PYTEST_XDIST_WORKER', ''))
)
