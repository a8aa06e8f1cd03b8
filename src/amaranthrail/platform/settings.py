"""Load an entry's settings from the platform's settings file."""

from __future__ import annotations

import math
import os
from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType

from ..adapters.httpclient import MAX_PORT, Address, parse_address
from ..clock import MS_PER_SECOND
from ..decoding import Undecodable, decode, parse_count
from ..direct.settings import (
    DEFAULT_EVACUATION_MS,
    DEFAULT_STALL_MS,
    ColdLimits,
    DirectSettings,
    HedgingLimits,
    RetryBudgetLimits,
)
from ..exceptions import SettingError
from ..policy.buffering import DEFAULT_MEMORY_BYTES
from ..types import DomainName, Millis, RegionName

#: Environment variable that holds the path of the settings file.
SETTINGS_VARIABLE = 'AMARANTHRAIL_CONFIG'
#: ``bounds.contact_ms`` where the platform states none, in ms.
DEFAULT_CONTACT_MS = 3000.0
#: ``limits.link_mbps`` where the platform states none.
DEFAULT_LINK_MBPS = 1000.0
#: Environment variables that hold the settings of second sends where the file
#: has none: the platform writes the file, its operators can set variables.
_HEDGING_VARIABLES = MappingProxyType(
    {
        'hedging.share': 'AMARANTHRAIL_HEDGING_SHARE',
        'hedging.quantile': 'AMARANTHRAIL_HEDGING_QUANTILE',
    }
)
_REGION_PREFIX = 'zones.'
_BYTES_PER_MB = 1_048_576
#: ``limits.memory_mb`` where the platform states none.
DEFAULT_MEMORY_MB = DEFAULT_MEMORY_BYTES / _BYTES_PER_MB


def load_settings(path: Path) -> DirectSettings:
    """Return the settings in a file.

    Raises SettingError if the file cannot be read or a setting is not valid.
    """
    try:
        content = path.read_bytes()
    except OSError as error:
        raise SettingError(
            SETTINGS_VARIABLE,
            str(path),
            f'give the path of a readable file ({error.strerror})',
        ) from error
    text = decode(bytes.decode, content)
    if isinstance(text, Undecodable):
        hint = f'give the path of a text file in UTF-8 ({text.cause})'
        raise SettingError(SETTINGS_VARIABLE, str(path), hint)
    return parse_settings(text, os.environ)


def parse_settings(
    text: str, environment: Mapping[str, str] | None = None
) -> DirectSettings:
    """Return the settings in lines of ``name=value``; ignore unknown names.

    Variables of ``environment`` are defaults of the settings of second sends.
    Raises SettingError if a setting is missing or not valid.
    """
    pairs = (line.partition('=') for line in text.splitlines())
    fields = {name.strip(): text.strip() for name, _, text in pairs}
    peer_port, metrics_port = _get_ports(fields)
    environment = environment or {}
    return DirectSettings(
        name=_get_text(fields, 'node_name'),
        host=_get_text(fields, 'ip'),
        domain=DomainName(_get_text(fields, 'zone')),
        callers=_get_address(fields, 'listen.front'),
        probes=_get_address(fields, 'listen.ready'),
        peer_port=peer_port,
        metrics_port=metrics_port,
        store=_get_address(fields, 'platform.address'),
        # The ports are those of the hosts' control addresses; entries use the
        # internal ports for each other.
        seeds=tuple(
            seed.rpartition(':')[0]
            for seed in fields.get('seed_nodes', '').split(',')
            if seed
        ),
        # Time between SIGTERM and SIGKILL.
        shutdown_ms=Millis(
            _get_number(fields, 'bounds.grace_s') * MS_PER_SECOND
        ),
        contact_ms=Millis(
            _get_number(fields, 'bounds.contact_ms', DEFAULT_CONTACT_MS)
        ),
        memory_bytes=int(
            _get_number(fields, 'limits.memory_mb', DEFAULT_MEMORY_MB)
            * _BYTES_PER_MB
        ),
        retry_limits=RetryBudgetLimits(
            ratio=_get_number(fields, 'bounds.retry_budget_ratio'),
            slack=_get_number(fields, 'bounds.retry_budget_slack'),
            window_ms=Millis(
                _get_number(fields, 'bounds.budget_window_s') * MS_PER_SECOND,
            ),
        ),
        link_mbps=_get_number(fields, 'limits.link_mbps', DEFAULT_LINK_MBPS),
        regions={
            DomainName(name.removeprefix(_REGION_PREFIX)): RegionName(region)
            for name, region in fields.items()
            if name.startswith(_REGION_PREFIX) and region
        },
        evacuation_ms=Millis(
            _get_number(fields, 'bounds.evacuation_ms', DEFAULT_EVACUATION_MS)
        ),
        cold_limits=ColdLimits(
            overage=_get_number(fields, 'bounds.cold_overage', 1),
            slack=_get_number(fields, 'bounds.cold_slack', 0),
        ),
        hedging=HedgingLimits(
            share=_get_fraction(
                fields, environment, 'hedging.share', HedgingLimits().share
            ),
            quantile=_get_fraction(
                fields,
                environment,
                'hedging.quantile',
                HedgingLimits().quantile,
            ),
        ),
        stall_ms=Millis(
            _get_number(fields, 'bounds.stall_ms', DEFAULT_STALL_MS)
        ),
    )


def _get_text(fields: Mapping[str, str], name: str) -> str:
    text = fields.get(name, '')
    if not text:
        raise SettingError(name, text, 'give it in the settings file')
    return text


def _get_number(
    fields: Mapping[str, str], name: str, default: float | None = None
) -> float:
    """Return a number; a setting that is missing or empty has the default."""
    if default is not None and not fields.get(name):
        return default
    text = _get_text(fields, name)
    number = decode(float, text)
    if isinstance(number, Undecodable):
        raise SettingError(name, text, 'give a number')
    if not 0 <= number < math.inf:
        raise SettingError(name, text, 'give a number of at least 0')
    return number


def _get_fraction(
    fields: Mapping[str, str],
    environment: Mapping[str, str],
    name: str,
    default: float,
) -> float:
    """Return a number up to 1, from its environment variable by default."""
    source = name
    if not fields.get(name) and environment.get(_HEDGING_VARIABLES[name]):
        source = _HEDGING_VARIABLES[name]
        fields = environment
    number = _get_number(fields, source, default)
    if number > 1:
        raise SettingError(source, fields[source], 'give a number from 0 to 1')
    return number


def _get_address(fields: Mapping[str, str], name: str) -> Address:
    text = _get_text(fields, name)
    address = decode(parse_address, text)
    if isinstance(address, Undecodable) or address.port > MAX_PORT:
        hint = 'give an IP address and a port, as in 127.0.0.1:8080'
        raise SettingError(name, text, hint)
    return address


def _get_ports(fields: Mapping[str, str]) -> tuple[int, int]:
    """Return the first two ports of the range that processes may use."""
    name = 'internal_ports'
    text = _get_text(fields, name)
    lower, _, upper = text.partition(',')
    first, last = parse_count(lower) or 0, parse_count(upper) or 0
    if not 0 < first < last or last > MAX_PORT:
        raise SettingError(name, text, 'give the first and the last port')
    return first, first + 1
