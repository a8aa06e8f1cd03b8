"""Call servers and wait for conditions as an ordinary program would."""

from __future__ import annotations

import contextlib
import json
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from http import client
from typing import Any

LOOPBACK = '127.0.0.1'
_POLL_S = 0.02


@dataclass
class Answer:
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
) -> Answer:
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
        return Answer(answer.status, fields, answer.read())


def answers(address: str, target: str) -> bool:
    """Tell whether a server answers a target with success."""
    try:
        return http_call(address, 'GET', target, timeout=1).status == 200
    except (OSError, client.HTTPException):
        return False


def free_ports(count: int) -> list[int]:
    """Return ports that were free a moment ago, all different."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for fresh in sockets:
            fresh.bind((LOOPBACK, 0))
        return [bound.getsockname()[1] for bound in sockets]


def wait_until(condition: Callable[[], object], timeout: float = 60) -> None:
    """Poll until a condition holds. Raises TimeoutError."""
    deadline = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError('the condition did not come to hold')
        time.sleep(_POLL_S)
