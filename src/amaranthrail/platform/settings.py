"""Read the platform's settings file."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

from ..adapters.httpclient import Address, parse_address
from ..clock import MS_PER_SECOND
from ..direct.settings import DirectSettings, RetryBudgetLimits
from ..exceptions import SettingError
from ..types import DomainName, Millis

#: Environment variable that holds the path of the settings file.
SETTINGS_VARIABLE = 'AMARANTHRAIL_CONFIG'


def load_settings(path: Path) -> DirectSettings:
    """Return the settings in a file. Raises SettingError."""
    try:
        text = path.read_text()
    except OSError as error:
        raise SettingError(
            SETTINGS_VARIABLE,
            str(path),
            f'give the path of a readable file ({error.strerror})',
        ) from error
    return parse_settings(text)


def parse_settings(text: str) -> DirectSettings:
    """Return the settings in lines of ``name=value``. Raises SettingError."""
    pairs = (line.partition('=') for line in text.splitlines())
    fields = {name.strip(): given.strip() for name, _, given in pairs}
    peer_port, metrics_port = _ports(fields)
    return DirectSettings(
        name=_text(fields, 'node_name'),
        host=_text(fields, 'ip'),
        domain=DomainName(_text(fields, 'zone')),
        callers=_address(fields, 'listen.front'),
        probes=_address(fields, 'listen.ready'),
        peer_port=peer_port,
        metrics_port=metrics_port,
        store=_address(fields, 'platform.address'),
        # Control addresses of hosts; entries talk on the internal ports.
        seeds=tuple(
            seed.rpartition(':')[0]
            for seed in fields.get('seed_nodes', '').split(',')
            if seed
        ),
        # Time that a process has between SIGTERM and SIGKILL.
        shutdown_ms=Millis(_number(fields, 'bounds.grace_s') * MS_PER_SECOND),
        retry_limits=RetryBudgetLimits(
            ratio=_number(fields, 'bounds.retry_budget_ratio'),
            slack=_number(fields, 'bounds.retry_budget_slack'),
            window_ms=Millis(
                _number(fields, 'bounds.budget_window_s') * MS_PER_SECOND,
            ),
        ),
    )


def _text(fields: Mapping[str, str], name: str) -> str:
    found = fields.get(name, '')
    if not found:
        raise SettingError(name, found, 'give it in the settings file')
    return found


def _number(fields: Mapping[str, str], name: str) -> float:
    text = _text(fields, name)
    try:
        number = float(text)
    except ValueError as error:
        raise SettingError(name, text, 'give a number') from error
    if number < 0:
        raise SettingError(name, text, 'give a number from 0')
    return number


def _address(fields: Mapping[str, str], name: str) -> Address:
    text = _text(fields, name)
    try:
        return parse_address(text)
    except ValueError as error:
        mend = 'give an IP number and a port, as in 127.0.0.1:8080'
        raise SettingError(name, text, mend) from error


def _ports(fields: Mapping[str, str]) -> tuple[int, int]:
    """Return the first two of the ports that processes may use."""
    name = 'internal_ports'
    text = _text(fields, name)
    first, _, last = text.partition(',')
    if not (first.isdecimal() and last.isdecimal() and int(first) < int(last)):
        raise SettingError(name, text, 'give the first and the last port')
    return int(first), int(first) + 1
