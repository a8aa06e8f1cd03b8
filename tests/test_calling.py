"""Give each process of a fleet a port of its own, and wait until it listens."""

from __future__ import annotations

import itertools
import socket

from standins.calling import (
    LOOPBACK,
    free_ports,
    is_listening,
    iterate_free_ports,
    worker_ports,
)


def test_no_port_is_given_out_twice() -> None:
    first = free_ports(100)
    second = free_ports(100)
    assert not set(first) & set(second)


def test_processes_that_run_tests_share_no_port() -> None:
    first, second = worker_ports('gw0'), worker_ports('gw1')
    assert not set(first) & set(second)
    assert worker_ports('') == first


def test_a_port_in_use_is_not_given_out() -> None:
    with socket.socket() as taken:
        taken.bind((LOOPBACK, 0))
        taken.listen()
        port = taken.getsockname()[1]
        assert is_listening(f'http://{LOOPBACK}:{port}')
        dealt = itertools.islice(iterate_free_ports(range(port, port + 3)), 4)
        assert port not in dealt
    assert not is_listening(f'http://{LOOPBACK}:{port}')
