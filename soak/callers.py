"""Call entries as clients do and record the responses."""

from __future__ import annotations

import itertools
import random
import threading
import time
from dataclasses import dataclass
from enum import Enum
from http import client

from standins.replica import STREAM_EVENTS, long_stream_events

#: Deadline that a caller gives a call, and the longer timeout of its socket, in
#: seconds.
CALL_DEADLINE_S = 3.0
SOCKET_TIMEOUT_S = 6.0
#: Longest pause of a caller between two calls, in seconds.
MAX_PAUSE_S = 0.02
PORT = 8227


class CallKind(Enum):
    """Name a kind of call; the configuration has a route of the same name."""

    STREAM = 'stream'
    READ = 'read'
    BOOK = 'book'
    LONG = 'long'


#: Kinds of the calls that are made throughout a run.
_COMMON_KINDS = (CallKind.STREAM, CallKind.READ, CallKind.BOOK)


@dataclass(frozen=True, slots=True)
class CallRecord:
    """Record one call, with times in seconds of the wall clock.

    ``status`` is 0 where the connection ended without a response; ``signature``
    is the replica signature. ``sent_at`` is when the last byte had been sent, 0
    where that failed. ``time_limit_s`` is the caller's deadline, which is below
    the timeout of each route. ``was_reset`` tells whether the connection ended
    with a reset, as it does where the entry has not read the request.
    """

    attempt: str
    kind: CallKind
    host: str
    started_at: float
    ended_at: float
    status: int
    body: bytes = b''
    signature: str = ''
    complete: bool = False
    sent_at: float = 0
    time_limit_s: float = CALL_DEADLINE_S
    was_reset: bool = False


class Caller(threading.Thread):
    """Make calls one after the other, on persistent connections."""

    def __init__(self, number: int, seed: int, hosts: list[str]) -> None:
        """Set the caller's number, the run's seed and the entries' hosts."""
        super().__init__(daemon=True)
        self._number = number
        self._random = random.Random(seed * 1000 + number)
        self._hosts = hosts
        self._stopping = threading.Event()
        self._connections: dict[str, client.HTTPConnection] = {}
        self.calls: list[CallRecord] = []

    def stop(self) -> None:
        """End the thread after the call in progress."""
        self._stopping.set()

    def run(self) -> None:
        """Make random calls until ``stop`` is called."""
        for call_number in itertools.count():
            if self._stopping.is_set():
                break
            attempt = f'c{self._number}-{call_number}'
            kind = self._random.choice(_COMMON_KINDS)
            host = self._random.choice(self._hosts)
            connection = self._connections.get(host) or open_later(host)
            self._connections[host] = connection
            self.calls.append(make_call(connection, kind, attempt))
            time.sleep(MAX_PAUSE_S * self._random.random())
        for connection in self._connections.values():
            connection.close()


def open_later(
    host: str, timeout_s: float = SOCKET_TIMEOUT_S
) -> client.HTTPConnection:
    """Return a connection to an entry that is opened when it is used.

    The timeout must be longer than the deadline of any call on it: a call that
    the caller gives up before that would count as lost.
    """
    return client.HTTPConnection(host, PORT, timeout=timeout_s)


def make_call(
    connection: client.HTTPConnection,
    kind: CallKind,
    attempt: str,
    deadline_s: float = CALL_DEADLINE_S,
) -> CallRecord:
    """Make a call and record it.

    The connection is opened again at its next use where it has ended.
    """
    started_at = time.time()
    sent_at = 0.0
    status = 0
    signature = ''
    body = b''
    complete = False
    was_reset = False
    method = 'GET' if kind is CallKind.READ else 'POST'
    path = f'/{kind.value}/{attempt}'
    try:
        connection.request(method, path, headers=_headers(attempt, deadline_s))
        sent_at = time.time()
        response = connection.getresponse()
    except client.HTTPException:
        # Also an orderly end of the connection; RemoteDisconnected says so.
        pass
    except OSError as error:
        was_reset = isinstance(error, ConnectionError)
    else:
        status = response.status
        signature = response.headers.get('replica-signature', '')
        body, complete = _read_body(response)
    if not complete:
        connection.close()
    return CallRecord(
        attempt,
        kind,
        connection.host,
        started_at,
        time.time(),
        status,
        body,
        signature,
        complete,
        sent_at,
        deadline_s,
        was_reset,
    )


def expected_body(kind: CallKind, attempt: str, signature: str) -> bytes:
    """Return the body that the replica of a signature sends for a call."""
    if kind in {CallKind.STREAM, CallKind.LONG}:
        is_long = kind is CallKind.LONG
        events = long_stream_events(attempt) if is_long else STREAM_EVENTS
        return b''.join(
            f'id: {number}\ndata: {number}\n\n'.encode()
            for number in range(1, events + 1)
        )
    replica = signature.removeprefix('signed-')
    return f'{replica} did /{kind.value}/{attempt}'.encode()


def _headers(attempt: str, deadline_s: float) -> dict[str, str]:
    return {
        'Host': 'h.example',
        'Attempt-Id': attempt,
        'Authorization': 'Token key-1',
        'Deadline-Remaining-Ms': str(int(deadline_s * 1000)),
    }


def _read_body(response: client.HTTPResponse) -> tuple[bytes, bool]:
    """Return a response's body and whether it is complete."""
    try:
        return response.read(), True
    except client.IncompleteRead as error:
        return error.partial, False
    except OSError:
        return b'', False
