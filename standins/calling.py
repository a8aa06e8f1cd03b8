"""Call HTTP servers with the standard library, and allot free ports."""

from __future__ import annotations

import contextlib
import functools
import itertools
import json
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
#: Ranges that processes claim, one each: some test runs of four to eight
#: workers fit beside each other.
_PORT_RANGES = 40


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
    return list(itertools.islice(_claim_own_ports()[1], count))


def claim_port_range() -> tuple[socket.socket, range]:
    """Return ports that no other process is dealt, and the lock on them.

    A port that one process has allotted may not be listened on yet and would
    seem free to another, of this test run or of one beside it. The lock is a
    socket on the first port of the range; the range is free again once it is
    closed. Raises RuntimeError where all ranges are taken.
    """
    size = len(_PORT_RANGE) // _PORT_RANGES
    for first in _PORT_RANGE[::size]:
        lock = socket.socket()
        try:
            lock.bind((LOOPBACK, first))
        except OSError:
            lock.close()
            continue
        lock.listen()
        return lock, range(first + 1, first + size)
    raise RuntimeError('all port ranges are taken; end other test runs')


@functools.cache
def _claim_own_ports() -> tuple[socket.socket, Iterator[int]]:
    """Return the ports of this process and their lock, kept by the cache."""
    lock, ports = claim_port_range()
    return lock, iterate_free_ports(ports)


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
