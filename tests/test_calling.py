"""Test the allotment of free ports to the processes of test fleets."""

from __future__ import annotations

import itertools
import socket
import subprocess
import sys

from standins.calling import (
    LOOPBACK,
    claim_port_range,
    free_ports,
    is_listening,
    iterate_free_ports,
)


def test_no_port_is_allotted_twice() -> None:
    first = free_ports(100)
    second = free_ports(100)
    assert not set(first) & set(second)


def test_no_two_processes_are_dealt_the_same_ports() -> None:
    """Guards against 'Address already in use' in runs beside each other."""
    claims = [claim_port_range() for _ in range(3)]
    ports = [port for _, claimed in claims for port in claimed]
    assert len(ports) == len(set(ports))
    assert not set(ports) & set(free_ports(10))
    code = 'from standins.calling import free_ports; print(*free_ports(50))'
    output = subprocess.check_output([sys.executable, '-c', code], text=True)
    assert not set(ports) & {int(port) for port in output.split()}
    for lock, _ in claims:
        lock.close()


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
