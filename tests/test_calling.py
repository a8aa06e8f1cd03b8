"""Test the allotment of free ports to the processes of test fleets."""

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


def test_no_port_is_allotted_twice() -> None:
    first = free_ports(100)
    second = free_ports(100)
    assert not set(first) & set(second)


def test_test_workers_have_disjoint_port_ranges() -> None:
    first, second = worker_ports('gw0'), worker_ports('gw1')
    assert not set(first) & set(second)
    assert worker_ports('') == first


def test_a_port_in_use_is_not_allotted() -> None:
    with socket.socket() as listener:
        listener.bind((LOOPBACK, 0))
        listener.listen()
        port = listener.getsockname()[1]
        assert is_listening(f'http://{LOOPBACK}:{port}')
        allotted = itertools.islice(
            iterate_free_ports(range(port, port + 3)), 4
        )
        assert port not in allotted
    assert not is_listening(f'http://{LOOPBACK}:{port}')
