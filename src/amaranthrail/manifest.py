"""Define the manifest and its validation; it yields the JSON Schema."""

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
    """Select how an entry balances requests over replicas."""

    AFFINITY = 'affinity'
    TWO_CHOICES = 'two_choices'
    ROUND_ROBIN = 'round_robin'


class QueuePolicy(Enum):
    """Select how a sidecar orders queued requests."""

    SHORT_FIRST = 'short_first'
    FIFO = 'fifo'


class AdmissionPolicy(Enum):
    """Select how an entry admits requests."""

    DEADLINE = 'deadline'
    ACCEPT_ALL = 'accept_all'


class SizeClass(Enum):
    """Classify an operation's requests as short, long, or by token count."""

    SHORT = 'short'
    LONG = 'long'
    BY_TOKENS = 'by_tokens'


class _StrictModel(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True)


class FailureDomain(_StrictModel):
    """Name a failure domain and its region."""

    name: Name
    region: Name


class OrganisationLimits(_StrictModel):
    """Limit the concurrent requests of one organisation."""

    concurrent: int = Field(default=1024, ge=1, le=1_000_000)


class Organisation(_StrictModel):
    """Define an organisation by credential hashes, weight and limits."""

    name: Name
    credentials: tuple[Credential, ...] = Field(min_length=1)
    weight: float = Field(default=1, gt=0, le=1000)
    limits: OrganisationLimits = OrganisationLimits()


class Operation(_StrictModel):
    """Describe one kind of call; ``{name}`` in a path matches one segment."""

    name: Name
    method: Literal['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']
    path: Path
    idempotent: bool
    deadline_ms: DeadlineMs
    size: SizeClass = SizeClass.SHORT
    cost_ms: float = Field(default=20, gt=0, le=3_600_000)


class Policies(_StrictModel):
    """Select the policies of a service."""

    pick: PickPolicy = PickPolicy.TWO_CHOICES
    queue: QueuePolicy = QueuePolicy.SHORT_FIRST
    admission: AdmissionPolicy = AdmissionPolicy.DEADLINE
    long_share: float = Field(default=0.5, gt=0, le=1)
    long_tokens: int = Field(default=512, ge=1)
    token_ms: float = Field(default=20, gt=0, le=10_000)


class Service(_StrictModel):
    """Describe a service, which is a set of equivalent replicas."""

    name: Name
    kind: Literal['model', 'plain']
    models: tuple[str, ...] = ()
    path_prefix: Path | None = None
    slots: int = Field(default=8, ge=1, le=4096)
    default_deadline_ms: DeadlineMs = 30_000
    operations: tuple[Operation, ...] = ()
    policies: Policies = Policies()

    @model_validator(mode='after')
    def _check_route(self) -> Service:
        if self.kind == 'model' and not self.models:
            raise ValueError('a model service lists at least one model')
        if self.kind == 'plain' and self.path_prefix is None:
            raise ValueError('a plain service has a path_prefix')
        return self


class Group(_StrictModel):
    """Describe ranks that execute steps together with one expert map."""

    name: Name
    service: Name
    ranks: int = Field(ge=1, le=1024)
    experts: int = Field(ge=1, le=4096)
    fencing: bool = True


class Limits(_StrictModel):
    """Limit the share of retries and the size of bodies."""

    retry_share: float = Field(default=0.1, ge=0, le=1)
    max_body_bytes: int = Field(default=1_048_576, ge=1, le=2_097_152)


class Manifest(_StrictModel):
    """Describe a whole deployment."""

    format: Literal[1]
    deployment: Name
    failure_domains: tuple[FailureDomain, ...] = Field(min_length=1)
    organisations: tuple[Organisation, ...] = Field(min_length=1)
    services: tuple[Service, ...] = Field(min_length=1)
    groups: tuple[Group, ...] = ()
    limits: Limits = Limits()

    @model_validator(mode='after')
    def _check_names_are_unique(self) -> Manifest:
        _reject_duplicates(
            'organisation', [org.name for org in self.organisations]
        )
        _reject_duplicates('service', [svc.name for svc in self.services])
        _reject_duplicates('group', [group.name for group in self.groups])
        _reject_duplicates(
            'credential',
            [cred for org in self.organisations for cred in org.credentials],
        )
        _reject_duplicates(
            'model',
            [model for svc in self.services for model in svc.models],
        )
        return self

    @model_validator(mode='after')
    def _check_groups_have_services(self) -> Manifest:
        service_names = {svc.name for svc in self.services}
        for group in self.groups:
            if group.service not in service_names:
                raise ValueError(
                    f'group {group.name!r} names service {group.service!r}, '
                    'which does not exist',
                )
        return self


def _reject_duplicates(kind: str, names: list[str]) -> None:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            raise ValueError(f'{kind} {name!r} stands more than once')
        seen.add(name)


def parse_manifest(text: bytes) -> Manifest:
    """Parse and validate a manifest in JSON.

    Raises ManifestError with one line per fault: the path within the file, the
    fault, and the value given.
    """
    try:
        return Manifest.model_validate_json(text)
    except ValidationError as error:
        raise ManifestError(format_faults(error)) from error


def format_faults(error: ValidationError) -> str:
    """Return one line for each fault of a validation error."""
    return '\n'.join(
        '{path}: {message} (given: {given:.80})'.format(
            path='.'.join(str(segment) for segment in fault['loc']) or '(file)',
            message=fault['msg'],
            given=repr(fault['input']),
        )
        for fault in error.errors()
    )


def hash_credential(token: str) -> str:
    """Return the hash of a caller's token as a manifest contains it."""
    return f'sha256:{hashlib.sha256(token.encode()).hexdigest()}'
