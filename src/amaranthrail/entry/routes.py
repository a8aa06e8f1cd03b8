"""Look up a request's organisation, service and operation in the manifest."""

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

#: Paths of completion requests, which are routed by the model in their body.
MODEL_PATHS = frozenset(('/v1/chat/completions', '/v1/completions'))
_SAFE_METHODS = frozenset(('GET', 'HEAD'))
_BEARER_PREFIX = 'bearer '


@dataclass(frozen=True, slots=True)
class Route:
    """Hold the service and the operation that a request addresses."""

    service: Service
    operation: Operation


class RouteTable:
    """Index one version of the manifest for authentication and routing."""

    def __init__(self, manifest: Manifest) -> None:
        """Build the indexes; the longest path prefix is matched first."""
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
        self._plain_services = sorted(
            (service for service in manifest.services if service.path_prefix),
            key=lambda service: len(service.path_prefix or ''),
            reverse=True,
        )
        self._patterns = {
            (service.name, operation.name): _compile_path(operation.path)
            for service in manifest.services
            for operation in service.operations
        }
        self._weights = {
            organisation.name: organisation.weight
            for organisation in manifest.organisations
        }

    @property
    def weights(self) -> dict[str, float]:
        """Return the weight of each organisation for fair shares, by name."""
        return self._weights

    def authenticate(self, authorization: str | None) -> Organisation | None:
        """Return the organisation of an ``Authorization`` header's credential.

        Return None for a missing or unknown credential. Only the hash of the
        credential is looked up, and the hash found is compared in constant
        time.
        """
        header = authorization or ''
        if not header.lower().startswith(_BEARER_PREFIX):
            return None
        digest = hash_credential(header[len(_BEARER_PREFIX) :].strip())
        organisation = self._organisations.get(digest)
        if organisation is None:
            return None
        matches = (
            hmac.compare_digest(digest, credential)
            for credential in organisation.credentials
        )
        return organisation if any(tuple(matches)) else None

    def find_model_route(self, model: str, path: str) -> Route | None:
        """Return the route of a completion request, None for no such model."""
        service = self._models.get(model)
        if service is None:
            return None
        return Route(service, self._find_operation(service, 'POST', path))

    def find_plain_route(self, method: str, path: str) -> Route | None:
        """Return the route of a request by its path, None if no prefix fits."""
        for service in self._plain_services:
            prefix = service.path_prefix or ''
            if path.startswith(prefix):
                operation = self._find_operation(service, method, path)
                return Route(service, operation)
        return None

    def _find_operation(
        self, service: Service, method: str, path: str
    ) -> Operation:
        for operation in service.operations:
            pattern = self._patterns[service.name, operation.name]
            if operation.method == method and pattern.fullmatch(path):
                return operation
        # An operation that the manifest does not list is idempotent only if
        # its method is safe (RFC 9110) or the service is a model.
        idempotent = service.kind == 'model' or method in _SAFE_METHODS
        return Operation.model_construct(
            name='unlisted',
            method=method,
            path=path,
            idempotent=idempotent,
            deadline_ms=service.default_deadline_ms,
        )


def _compile_path(path: str) -> re.Pattern[str]:
    literals = re.split(r'\{[^}]*\}', path)
    return re.compile('[^/]+'.join(re.escape(literal) for literal in literals))
