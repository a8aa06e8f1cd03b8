"""Find a request's organisation, service and operation in the manifest."""

from __future__ import annotations

import hmac
import re
from dataclasses import dataclass

from ..manifest import (
    Manifest,
    Operation,
    Organisation,
    Service,
    hash_credential,
)

MODEL_PATHS = frozenset(('/v1/chat/completions', '/v1/completions'))
_SAFE_METHODS = frozenset(('GET', 'HEAD'))
_BEARER = 'bearer '


@dataclass(frozen=True, slots=True)
class Route:
    """Hold what the manifest says of a request."""

    service: Service
    operation: Operation


class RouteTable:
    """Look up what one version of the manifest says."""

    def __init__(self, manifest: Manifest) -> None:
        """Index a manifest."""
        self._organisations = {
            credential: organisation
            for organisation in manifest.organisations
            for credential in organisation.credentials
        }
        self._models = {
            model: service
            for service in manifest.services
            for model in service.models
        }
        self._plain = sorted(
            (svc for svc in manifest.services if svc.path_prefix),
            key=lambda svc: len(svc.path_prefix or ''),
            reverse=True,
        )
        self._patterns = {
            (service.name, operation.name): _pattern(operation.path)
            for service in manifest.services
            for operation in service.operations
        }
        self._weights = {
            organisation.name: organisation.weight
            for organisation in manifest.organisations
        }

    @property
    def weights(self) -> dict[str, float]:
        """Return each organisation's share."""
        return self._weights

    def organisation(self, authorization: str | None) -> Organisation | None:
        """Return whose credential an ``Authorization`` field carries.

        Only the hash of the credential is looked up, and the hash found is
        compared in constant time.
        """
        given = authorization or ''
        if not given.lower().startswith(_BEARER):
            return None
        digest = hash_credential(given[len(_BEARER) :].strip())
        found = self._organisations.get(digest)
        if found is None:
            return None
        known = (hmac.compare_digest(digest, one) for one in found.credentials)
        return found if any(tuple(known)) else None

    def model(self, model: str, path: str) -> Route | None:
        """Return the route of a completion request."""
        service = self._models.get(model)
        if service is None:
            return None
        return Route(service, self._operation(service, 'POST', path))

    def plain(self, method: str, path: str) -> Route | None:
        """Return the route of a call to a plain service."""
        for service in self._plain:
            prefix = service.path_prefix or ''
            if path.startswith(prefix):
                operation = self._operation(service, method, path)
                return Route(service, operation)
        return None

    def _operation(self, service: Service, method: str, path: str) -> Operation:
        for operation in service.operations:
            pattern = self._patterns[service.name, operation.name]
            if operation.method == method and pattern.fullmatch(path):
                return operation
        # What the manifest does not list is idempotent only if its method is
        # safe by the standard, or the service is a model.
        idempotent = service.kind == 'model' or method in _SAFE_METHODS
        return Operation.model_construct(
            name='unlisted',
            method=method,
            path=path,
            idempotent=idempotent,
            deadline_ms=service.default_deadline_ms,
        )


def _pattern(path: str) -> re.Pattern[str]:
    pieces = re.split(r'\{[^}]*\}', path)
    return re.compile('[^/]+'.join(re.escape(piece) for piece in pieces))
