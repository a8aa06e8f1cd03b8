"""Call servers and wait for conditions as an ordinary program would."""

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
_POLL_S = 0.02
_PORTS = range(10_000, 30_000)
_MAX_WORKERS = 8


@dataclass
class Response:
    """Hold an HTTP answer as an ordinary client sees it."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body)


def http_call(
    address: str,
    method: str,
    target: str,
    body: bytes | dict[str, Any] | None = None,
    headers: dict[str, str] | None = None,
    timeout: float = 30,
) -> Response:
    """Call a server with the standard library's client."""
    payload = json.dumps(body).encode() if isinstance(body, dict) else body
    connection = client.HTTPConnection(
        address.removeprefix('http://'),
        timeout=timeout,
    )
    with contextlib.closing(connection):
        connection.request(method, target, payload, headers or {})
        answer = connection.getresponse()
        fields = {name.lower(): text for name, text in answer.getheaders()}
        return Response(answer.status, fields, answer.read())


def responds_ok(address: str, target: str) -> bool:
    """Tell whether a server answers a target with success."""
    try:
        return http_call(address, 'GET', target, timeout=1).status == 200
    except (OSError, client.HTTPException):
        return False


def is_listening(address: str) -> bool:
    """Tell whether a process listens at an address."""
    host, _, port = address.removeprefix('http://').partition(':')
    try:
        socket.create_connection((host, int(port)), timeout=1).close()
    except OSError:
        return False
    return True


def free_ports(count: int) -> list[int]:
    """Return ports that nobody listens at, none of them given out before.

    They lie below those that systems give to outgoing connections, so that
    none is taken before its process listens.
    """
    return list(itertools.islice(_DEALT, count))


def worker_ports(worker: str) -> range:
    """Return the ports of one of the processes that run tests.

    They do not overlap: what one has given out need not be listened at yet.
    """
    number = int(worker.removeprefix('gw') or 0) % _MAX_WORKERS
    size = len(_PORTS) // _MAX_WORKERS
    return _PORTS[number * size : (number + 1) * size]


def iterate_free_ports(ports: range) -> Iterator[int]:
    """Yield free ports, each one again only after all others."""
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
    """Poll until a condition holds. Raises TimeoutError."""
    deadline = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError('the condition did not come to hold')
        time.sleep(_POLL_S)


_DEALT = iterate_free_ports(
    worker_ports(os.environ.get('PYTEST_XDIST_WORKER', ''))
)
