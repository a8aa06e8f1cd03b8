"""Define and validate the settings of entries and sidecars."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import Annotated, Any, TypeVar

from pydantic import (
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    ValidationError,
    model_validator,
)
from pydantic.fields import FieldInfo
from typing_extensions import Doc

from .adapters.httpclient import Address, parse_address
from .exceptions import SettingError
from .logs import LogFormat, LogLevel
from .tls import TlsFiles, is_loopback

#: Prefix of the environment variables of settings.
ENVIRONMENT_PREFIX = 'AMARANTHRAIL_'
#: Shortest token or key that is accepted, in characters.
MIN_SECRET_LENGTH = 16
_MAX_PORT = 65_535


def _parse_endpoint(raw: object) -> Address:
    try:
        address = parse_address(str(raw))
        is_loopback(address.host)
    except ValueError as error:
        raise ValueError(
            'give an IP address and a port, as in 127.0.0.1:8080'
        ) from error
    if not 0 <= address.port <= _MAX_PORT:
        raise ValueError('give a port from 0 to 65535')
    return address


Endpoint = Annotated[Address, BeforeValidator(_parse_endpoint)]
Secret = Annotated[str, Field(min_length=MIN_SECRET_LENGTH, repr=False)]
IntervalMs = Annotated[int, Field(ge=10, le=60_000)]


class ProcessSettings(BaseModel):
    """Define the settings that entries and sidecars share."""

    model_config = ConfigDict(
        extra='forbid',
        frozen=True,
        arbitrary_types_allowed=True,
    )

    name: Annotated[
        str,
        Field(min_length=1, max_length=64),
        Doc('name of this process, unique in the deployment'),
    ]
    listen: Annotated[Endpoint, Doc('IP address and port to serve on')]
    admin_listen: Annotated[
        Endpoint,
        Doc('IP address and port of administration, health and metrics'),
    ]
    admin_token: Annotated[Secret, Doc('token of the administration API')]
    peer_key: Annotated[
        Secret, Doc('key that all processes share to authenticate each other')
    ]
    domain: Annotated[
        str,
        Field(min_length=1),
        Doc('failure domain of this process'),
    ]
    platform: Annotated[
        Endpoint, Doc('address of the log service and host list')
    ]
    heartbeat_ms: Annotated[
        IntervalMs, Doc('interval between heartbeats, in ms')
    ] = 500
    silence_ms: Annotated[
        IntervalMs,
        Doc('time without data until a peer is disconnected, in ms'),
    ] = 2000
    log_format: Annotated[LogFormat, Doc('json or console')] = LogFormat.JSON
    log_level: Annotated[
        LogLevel,
        Doc('debug, info, warning or error'),
    ] = LogLevel.INFO
    peer_certificate: Annotated[
        Path | None,
        Doc('PEM certificate presented to peers'),
    ] = None
    peer_private_key: Annotated[
        Path | None,
        Doc('PEM private key of the peer certificate'),
    ] = None
    peer_authority: Annotated[
        Path | None,
        Doc('PEM certificate of the CA that signs peer certificates'),
    ] = None

    @property
    def peer_tls(self) -> TlsFiles | None:
        """Return the files for mutual TLS between peers, None if not set."""
        if self.peer_certificate is None or self.peer_private_key is None:
            return None
        return TlsFiles(
            self.peer_certificate,
            self.peer_private_key,
            self.peer_authority,
        )

    @model_validator(mode='after')
    def _check_peer_settings(self) -> ProcessSettings:
        files = (
            self.peer_certificate,
            self.peer_private_key,
            self.peer_authority,
        )
        if any(files) and not all(files):
            raise ValueError(
                'peer_certificate: give certificate, private key and '
                'authority together',
            )
        if self.silence_ms < 2 * self.heartbeat_ms:
            raise ValueError(
                'silence_ms: give at least twice heartbeat_ms',
            )
        return self


class EntrySettings(ProcessSettings):
    """Define an entry's settings."""

    subset: Annotated[
        int,
        Field(ge=1, le=10_000),
        Doc('number of replicas of each service to stay connected to'),
    ] = 32
    shards: Annotated[
        int,
        Field(ge=1, le=256),
        Doc('shards of the keyed requests, the same at every entry'),
    ] = 4
    shard_interval_ms: Annotated[
        int,
        Field(ge=0, le=10_000),
        Doc('least time between two appends to one shard, in ms'),
    ] = 20
    hosts_interval_ms: Annotated[
        IntervalMs,
        Doc('interval between reads of the host list, in ms'),
    ] = 500
    lost_grace_ms: Annotated[
        IntervalMs,
        Doc('time past its deadline until a keyed request is lost, in ms'),
    ] = 2000
    caller_certificate: Annotated[
        Path | None,
        Doc('PEM certificate presented to callers'),
    ] = None
    caller_private_key: Annotated[
        Path | None,
        Doc('PEM private key of the caller certificate'),
    ] = None

    @property
    def caller_tls(self) -> TlsFiles | None:
        """Return the files for TLS with callers, None if not set."""
        if self.caller_certificate is None or self.caller_private_key is None:
            return None
        return TlsFiles(self.caller_certificate, self.caller_private_key)

    @model_validator(mode='after')
    def _check_caller_settings(self) -> EntrySettings:
        if (self.caller_certificate is None) != (
            self.caller_private_key is None
        ):
            raise ValueError(
                'caller_certificate: give certificate and private key together',
            )
        if self.caller_tls is None and not is_loopback(self.listen.host):
            raise ValueError(
                'listen: outside loopback give caller_certificate and '
                'caller_private_key',
            )
        if not is_loopback(self.admin_listen.host):
            raise ValueError(
                'admin_listen: the administration port has no TLS; '
                'give a loopback address',
            )
        return self


class SidecarSettings(ProcessSettings):
    """Define a sidecar's settings."""

    service: Annotated[
        str,
        Field(min_length=1),
        Doc('service that the upstream belongs to'),
    ]
    upstream: Annotated[
        str,
        Field(min_length=1),
        Doc('name of the upstream in the host list'),
    ]
    upstream_address: Annotated[
        Endpoint, Doc('IP address and port of the upstream')
    ]
    slots: Annotated[
        int,
        Field(ge=1, le=4096),
        Doc('concurrent requests at the upstream until a manifest sets it'),
    ] = 8
    group: Annotated[
        str,
        Doc('group of ranks that the upstream belongs to, empty for none'),
    ] = ''
    rank: Annotated[
        int,
        Field(ge=-1, le=1023),
        Doc('rank of the upstream in its group, -1 for none'),
    ] = -1
    shutdown_ms: Annotated[
        int,
        Field(ge=0, le=3_600_000),
        Doc('longest wait for the last response at shutdown, in ms'),
    ] = 600_000

    @model_validator(mode='after')
    def _check_group_and_rank(self) -> SidecarSettings:
        if bool(self.group) != (self.rank >= 0):
            raise ValueError('group: give group and rank together')
        return self

    @model_validator(mode='after')
    def _check_peer_port_has_tls(self) -> SidecarSettings:
        if self.peer_tls is None and not is_loopback(self.listen.host):
            raise ValueError(
                'listen: outside loopback give peer_certificate, '
                'peer_private_key and peer_authority',
            )
        return self


@dataclass(frozen=True, slots=True)
class SettingDoc:
    """Hold the name and help text of one setting."""

    name: str
    text: str


def describe_settings(
    settings_class: type[ProcessSettings],
) -> list[SettingDoc]:
    """Return the name and help text of every setting, in order."""
    return [
        SettingDoc(name, _describe(field))
        for name, field in settings_class.model_fields.items()
    ]


def _describe(field: FieldInfo) -> str:
    docs = [entry for entry in field.metadata if isinstance(entry, Doc)]
    text = docs[0].documentation
    if field.is_required():
        return f'{text} (required)'
    default = field.default
    if default is None:
        return f'{text} (none)'
    default_text = default.value if isinstance(default, Enum) else default
    return f'{text} ({default_text})'


_Settings = TypeVar('_Settings', bound=ProcessSettings)


def load_settings(
    settings_class: type[_Settings],
    raw_settings: dict[str, Any],
) -> _Settings:
    """Return validated settings; None stands for the default.

    Raises SettingError for the first invalid setting.
    """
    present = {
        name: raw for name, raw in raw_settings.items() if raw is not None
    }
    try:
        return settings_class.model_validate(present)
    except ValidationError as error:
        raise _setting_error(error, present) from error


def _setting_error(
    error: ValidationError,
    present: dict[str, Any],
) -> SettingError:
    fault = error.errors()[0]
    message = fault['msg'].removeprefix('Value error, ')
    if fault['loc']:
        name = str(fault['loc'][0])
    else:
        # A validator of several settings starts its message with the name of
        # one.
        name, _, message = message.partition(': ')
    flag = name.replace('_', '-')
    return SettingError(
        f'--{flag} ({ENVIRONMENT_PREFIX}{name.upper()})',
        _displayed(name, present),
        message,
    )


def _displayed(name: str, present: dict[str, Any]) -> object:
    if name in {'admin_token', 'peer_key'} and name in present:
        return f'({len(str(present[name]))} characters)'
    return present.get(name, '(not given)')
