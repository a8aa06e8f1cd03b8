"""Call entries as clients do and keep what they saw."""

from __future__ import annotations

import contextlib
import itertools
import random
import threading
import time
from dataclasses import dataclass
from enum import Enum
from http import client

from standins.replica import STREAM_EVENTS

#: Time that a caller gives a call, and its socket beyond that, in seconds.
PATIENCE_S = 3.0
SOCKET_TIMEOUT_S = 6.0
#: Pause of a caller between two calls, in seconds.
PAUSE_S = 0.02
_PORT = 8227


class Kind(Enum):
    """Name a kind of call; its route has the same name."""

    STREAM = 'stream'
    READ = 'read'
    BOOK = 'book'


@dataclass(frozen=True, slots=True)
class Seen:
    """Hold what became of one call, times in seconds of the wall clock.

    ``status`` is 0 where the connection ended without an answer.
    """

    attempt: str
    kind: Kind
    host: str
    began_at: float
    ended_at: float
    status: int
    body: bytes = b''
    signature: str = ''
    complete: bool = False


class Caller(threading.Thread):
    """Make calls one after the other, on an open connection while it lasts."""

    def __init__(self, number: int, seed: int, hosts: list[str]) -> None:
        """Take the caller's number, the run's seed and the entries' hosts."""
        super().__init__(daemon=True)
        self._number = number
        self._random = random.Random(seed * 1000 + number)
        self._hosts = hosts
        self._stopping = threading.Event()
        self._connections: dict[str, client.HTTPConnection] = {}
        self.seen: list[Seen] = []

    def stop(self) -> None:
        """End after the call in progress."""
        self._stopping.set()

    def run(self) -> None:
        """Call until told to stop."""
        for count in itertools.count():
            if self._stopping.is_set():
                break
            attempt = f'c{self._number}-{count}'
            kind = self._random.choice(list(Kind))
            host = self._random.choice(self._hosts)
            self.seen.append(self._call(attempt, kind, host))
            time.sleep(PAUSE_S * self._random.random())
        for connection in self._connections.values():
            connection.close()

    def _call(self, attempt: str, kind: Kind, host: str) -> Seen:
        connection = self._connections.pop(host, None)
        if connection is None:
            connection = client.HTTPConnection(
                host,
                _PORT,
                timeout=SOCKET_TIMEOUT_S,
            )
        began_at = time.time()
        status = 0
        signature = ''
        body = b''
        complete = False
        keep = False
        with contextlib.suppress(OSError, client.HTTPException):
            connection.request(
                'GET' if kind is Kind.READ else 'POST',
                f'/{kind.value}/{attempt}',
                headers=_headers(attempt),
            )
            answer = connection.getresponse()
            status = answer.status
            signature = answer.headers.get('replica-signature', '')
            body, complete = _read(answer)
            keep = complete and not answer.will_close
        if keep:
            self._connections[host] = connection
        else:
            connection.close()
        return Seen(
            attempt,
            kind,
            host,
            began_at,
            time.time(),
            status,
            body,
            signature,
            complete,
        )


def expected_body(kind: Kind, attempt: str, signature: str) -> bytes:
    """Return the body that the replica of a signature gives a call."""
    if kind is Kind.STREAM:
        return b''.join(
            f'id: {number}\ndata: {number}\n\n'.encode()
            for number in range(1, STREAM_EVENTS + 1)
        )
    name = signature.removeprefix('signed-')
    return f'{name} did /{kind.value}/{attempt}'.encode()


def _headers(attempt: str) -> dict[str, str]:
    return {
        'Host': 'h.example',
        'Attempt-Id': attempt,
        'Authorization': 'Token key-1',
        'Deadline-Remaining-Ms': str(int(PATIENCE_S * 1000)),
    }


def _read(answer: client.HTTPResponse) -> tuple[bytes, bool]:
    """Return an answer's body and whether it is complete."""
    try:
        return answer.read(), True
    except client.IncompleteRead as error:
        return error.partial, False
    except OSError:
        return b'', False
