"""Describe the deployments of the first two users at their present sizes."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any

_ORGANISATIONS = 10
LARGE_ORGANISATIONS = 3
LARGE_WEIGHT = 4


@dataclass(frozen=True)
class Deployment:
    """Hold the failure domains, services and sizes of a user's deployment.

    ``model`` and ``plain`` name its model service and its plain service.
    ``operations`` are those of the plain service, each with name, method, path
    and whether it is idempotent; ``replicas`` and ``services`` count the
    upstreams of the model service and of the plain service.
    """

    name: str
    region: str
    domains: tuple[str, ...]
    model: str
    plain: str
    operations: tuple[tuple[str, str, str, bool], ...]
    replicas: int = 16
    services: int = 3


DEPLOYMENTS = MappingProxyType(
    {
        'valtrebbia': Deployment(
            'valtrebbia',
            'emilia-nord',
            ('piacenza', 'bobbio', 'rivergaro'),
            'redattore',
            'sportello',
            (
                ('file-order', 'POST', '/sportello/orders', False),
                ('order-status', 'GET', '/sportello/orders/{id}', True),
            ),
        ),
        'dvorak': Deployment(
            'dvorak',
            'morava',
            ('brno-a', 'brno-b', 'brno-c'),
            'ladic',
            'dilna',
            (
                ('book-slot', 'POST', '/dilna/bookings', False),
                ('pay', 'POST', '/dilna/payments', False),
                ('order-status', 'GET', '/dilna/orders/{id}', True),
            ),
        ),
    }
)


def organisation_names() -> list[str]:
    """Return the names of the organisations that every deployment has."""
    return [
        f'organisation-{number:02}' for number in range(1, _ORGANISATIONS + 1)
    ]


def organisation_token(deployment: str, organisation: str) -> str:
    """Derive the bearer token of an organisation's callers.

    Anyone can derive it: it is for local use only.
    """
    secret = f'local-only/{deployment}/{organisation}'.encode()
    return hashlib.sha256(secret).hexdigest()[:32]


def make_manifest(
    deployment: Deployment,
    policies: dict[str, Any] | None = None,
    slots: int = 8,
    token_ms: float = 6,
) -> dict[str, Any]:
    """Return a deployment's manifest as JSON-able data.

    ``policies`` override the policies of the model service; ``slots`` is per
    upstream, ``token_ms`` the expected time of a token in milliseconds.
    """
    model_policies = {
        'pick': 'affinity',
        'token_ms': token_ms,
        **(policies or {}),
    }
    return {
        'format': 1,
        'deployment': deployment.name,
        'failure_domains': [
            {'name': domain, 'region': deployment.region}
            for domain in deployment.domains
        ],
        'organisations': [
            _organisation_fields(deployment.name, name, index)
            for index, name in enumerate(organisation_names())
        ],
        'services': [
            {
                'name': deployment.model,
                'kind': 'model',
                'models': [deployment.model],
                'slots': slots,
                'default_deadline_ms': 60_000,
                'policies': model_policies,
            },
            {
                'name': deployment.plain,
                'kind': 'plain',
                'path_prefix': f'/{deployment.plain}/',
                'slots': slots,
                'operations': [
                    {
                        'name': name,
                        'method': method,
                        'path': path,
                        'idempotent': idempotent,
                        'deadline_ms': 5000,
                    }
                    for name, method, path, idempotent in deployment.operations
                ],
                'policies': {'pick': 'two_choices'},
            },
        ],
    }


def _organisation_fields(
    deployment: str, name: str, index: int
) -> dict[str, Any]:
    digest = hashlib.sha256(
        organisation_token(deployment, name).encode()
    ).hexdigest()
    return {
        'name': name,
        'credentials': [f'sha256:{digest}'],
        'weight': LARGE_WEIGHT if index < LARGE_ORGANISATIONS else 1,
    }
