"""Define the manifest, its checks and its JSON Schema."""

from __future__ import annotations

import hashlib
from enum import Enum
from typing import Annotated, Literal

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
    model_validator,
)

from .exceptions import ManifestError

_NAME_PATTERN = '^[a-z0-9][a-z0-9-]{0,62}$'
Name = Annotated[str, Field(pattern=_NAME_PATTERN)]
Credential = Annotated[str, Field(pattern='^sha256:[0-9a-f]{64}$')]
Path = Annotated[str, Field(pattern='^/', max_length=512)]
DeadlineMs = Annotated[int, Field(ge=10, le=3_600_000)]


class PickPolicy(Enum):
    """Choose how an entry picks a replica."""

    AFFINITY = 'affinity'
    TWO_CHOICES = 'two_choices'
    ROUND_ROBIN = 'round_robin'


class QueuePolicy(Enum):
    """Choose how a sidecar orders waiting work."""

    SHORT_FIRST = 'short_first'
    FIFO = 'fifo'


class AdmissionPolicy(Enum):
    """Choose how an entry admits work."""

    DEADLINE = 'deadline'
    ACCEPT_ALL = 'accept_all'


class SizeClass(Enum):
    """Say how long an operation takes."""

    SHORT = 'short'
    LONG = 'long'
    BY_TOKENS = 'by_tokens'


class _Strict(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True)


class FailureDomain(_Strict):
    """Name a failure domain and the region that it lies in."""

    name: Name
    region: Name


class OrganisationLimits(_Strict):
    """Bound what one organisation may have in progress."""

    concurrent: int = Field(default=1024, ge=1, le=1_000_000)


class Organisation(_Strict):
    """Name an organisation, its credentials' hashes and its share."""

    name: Name
    credentials: tuple[Credential, ...] = Field(min_length=1)
    weight: float = Field(default=1, gt=0, le=1000)
    limits: OrganisationLimits = OrganisationLimits()


class Operation(_Strict):
    """Describe one kind of call; ``{name}`` matches one path segment."""

    name: Name
    method: Literal['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']
    path: Path
    idempotent: bool
    deadline_ms: DeadlineMs
    size: SizeClass = SizeClass.SHORT
    cost_ms: float = Field(default=20, gt=0, le=3_600_000)


class Policies(_Strict):
    """Select the policies of a service."""

    pick: PickPolicy = PickPolicy.TWO_CHOICES
    queue: QueuePolicy = QueuePolicy.SHORT_FIRST
    admission: AdmissionPolicy = AdmissionPolicy.DEADLINE
    long_share: float = Field(default=0.5, gt=0, le=1)
    long_tokens: int = Field(default=512, ge=1)
    token_ms: float = Field(default=20, gt=0, le=10_000)


class Service(_Strict):
    """Describe the replicas behind one name."""

    name: Name
    kind: Literal['model', 'plain']
    models: tuple[str, ...] = ()
    path_prefix: Path | None = None
    slots: int = Field(default=8, ge=1, le=4096)
    default_deadline_ms: DeadlineMs = 30_000
    operations: tuple[Operation, ...] = ()
    policies: Policies = Policies()

    @model_validator(mode='after')
    def _has_route(self) -> Service:
        if self.kind == 'model' and not self.models:
            raise ValueError('a model service lists at least one model')
        if self.kind == 'plain' and self.path_prefix is None:
            raise ValueError('a plain service has a path_prefix')
        return self


class Group(_Strict):
    """Describe ranks that run in lock-step on one expert map."""

    name: Name
    service: Name
    ranks: int = Field(ge=1, le=1024)
    experts: int = Field(ge=1, le=4096)
    fencing: bool = True


class Limits(_Strict):
    """Bound what the whole deployment spends on retries and bodies."""

    retry_share: float = Field(default=0.1, ge=0, le=1)
    max_body_bytes: int = Field(default=1_048_576, ge=1, le=2_097_152)


class Manifest(_Strict):
    """Describe a whole deployment."""

    format: Literal[1]
    deployment: Name
    failure_domains: tuple[FailureDomain, ...] = Field(min_length=1)
    organisations: tuple[Organisation, ...] = Field(min_length=1)
    services: tuple[Service, ...] = Field(min_length=1)
    groups: tuple[Group, ...] = ()
    limits: Limits = Limits()

    @model_validator(mode='after')
    def _names_are_unique(self) -> Manifest:
        _reject_repeated(
            'organisation', [org.name for org in self.organisations]
        )
        _reject_repeated('service', [svc.name for svc in self.services])
        _reject_repeated('group', [group.name for group in self.groups])
        _reject_repeated(
            'credential',
            [cred for org in self.organisations for cred in org.credentials],
        )
        _reject_repeated(
            'model',
            [model for svc in self.services for model in svc.models],
        )
        return self

    @model_validator(mode='after')
    def _groups_have_services(self) -> Manifest:
        known = {svc.name for svc in self.services}
        for group in self.groups:
            if group.service not in known:
                raise ValueError(
                    f'group {group.name!r} names service {group.service!r}, '
                    'which does not exist',
                )
        return self


def _reject_repeated(kind: str, names: list[str]) -> None:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            raise ValueError(f'{kind} {name!r} stands more than once')
        seen.add(name)


def parse_manifest(text: bytes) -> Manifest:
    """Return the manifest in JSON ``text``.

    Raises ManifestError with one line a fault: the path within the file, what
    is wrong, and the value given.
    """
    try:
        return Manifest.model_validate_json(text)
    except ValidationError as error:
        raise ManifestError(describe_faults(error)) from error


def describe_faults(error: ValidationError) -> str:
    """Return one line for each fault that pydantic found."""
    return '\n'.join(
        '{path}: {message} (given: {given:.80})'.format(
            path='.'.join(str(step) for step in fault['loc']) or '(file)',
            message=fault['msg'],
            given=repr(fault['input']),
        )
        for fault in error.errors()
    )


def hash_credential(token: str) -> str:
    """Return the form in which a manifest carries a caller's token."""
    return f'sha256:{hashlib.sha256(token.encode()).hexdigest()}'
