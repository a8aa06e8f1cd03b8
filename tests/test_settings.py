"""Test the validation of settings when a process starts."""

from __future__ import annotations

import os
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from amaranthrail.settings import (
    EntrySettings,
    SidecarSettings,
    describe_settings,
)

VALID = {
    'name': 'e',
    'listen': '127.0.0.1:0',
    'admin-listen': '127.0.0.1:0',
    'admin-token': 'a-token-long-enough',
    'peer-key': 'a-key-that-is-long',
    'domain': 'bobbio',
    'platform': '127.0.0.1:1',
}

INVALID = [
    # flag, its argument, part of the error message
    ('listen', 'localhost:80', 'give an IP address and a port'),
    ('listen', '127.0.0.1', 'give an IP address and a port'),
    ('listen', '127.0.0.1:70000', 'give a port from 0 to 65535'),
    ('listen', '192.0.2.1:80', 'outside loopback give caller_certificate'),
    ('admin-listen', '192.0.2.1:80', 'administration port has no TLS'),
    ('admin-token', 'short', 'at least 16 characters'),
    ('name', '', 'at least 1 character'),
    ('heartbeat-ms', '5', 'greater than or equal to 10'),
    ('silence-ms', '600', 'at least twice heartbeat_ms'),
    ('log-level', 'loud', "'debug', 'info', 'warning' or 'error'"),
    ('shards', 'many', 'valid integer'),
    ('caller-certificate', 'x.pem', 'certificate and private key together'),
    ('peer-certificate', 'x.pem', 'private key and authority together'),
]


@pytest.mark.parametrize(('flag', 'argument', 'message'), INVALID)
def test_invalid_setting_is_reported_in_one_line(
    flag: str,
    argument: str,
    message: str,
) -> None:
    completed = _start_entry({**VALID, flag: argument})
    assert completed.returncode == 2
    (line,) = completed.stderr.splitlines()
    name = flag.upper().replace('-', '_')
    assert f'--{flag} (AMARANTHRAIL_{name})' in line
    assert message in line
    displayed = '(5 characters)' if flag == 'admin-token' else repr(argument)
    assert displayed in line


def test_missing_setting_is_reported() -> None:
    completed = _start_entry({})
    assert completed.returncode == 2
    assert 'AMARANTHRAIL_NAME' in completed.stderr


def test_flags_override_the_environment() -> None:
    completed = _start_entry(
        {**VALID, 'shards': 'flag'}, AMARANTHRAIL_SHARDS='variable'
    )
    assert "'flag'" in completed.stderr


def test_address_in_use_is_reported() -> None:
    with socket.create_server(('127.0.0.1', 0)) as listener:
        address = f'127.0.0.1:{listener.getsockname()[1]}'
        completed = _start_entry({**VALID, 'listen': address})
    assert completed.returncode == 2
    assert f'setting --listen is {address!r}' in completed.stderr


@pytest.mark.parametrize('settings_class', [EntrySettings, SidecarSettings])
def test_every_setting_is_documented(
    settings_class: type[EntrySettings | SidecarSettings],
) -> None:
    page = (Path(__file__).parent.parent / 'docs/OPERATIONS.md').read_text()
    for setting in describe_settings(settings_class):
        assert f'`--{setting.name.replace("_", "-")}`' in page
        assert setting.text


def _start_entry(
    flags: dict[str, str],
    **environment: str,
) -> subprocess.CompletedProcess[str]:
    arguments = [part for name in flags for part in (f'--{name}', flags[name])]
    return subprocess.run(
        [sys.executable, '-m', 'amaranthrail.daemon', 'entry', *arguments],
        env={**os.environ, **environment},
        capture_output=True,
        text=True,
        timeout=20,
        check=False,
    )
