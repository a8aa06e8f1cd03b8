"""Build records, frames and manifests for tests."""

from __future__ import annotations

import json
from typing import Any

import msgspec

from amaranthrail.frames import Dispatch, Heartbeat
from amaranthrail.records import (
    AttemptState,
    Conclusion,
    Intent,
    ManifestChange,
    ManifestSnapshot,
)
from standins.deployments import DEPLOYMENTS, make_manifest


def manifest_text(variant: int = 0) -> bytes:
    """Return a valid manifest; ``variant`` changes one of its limits."""
    manifest = make_manifest(DEPLOYMENTS['dvorak'])
    manifest['limits'] = {'max_body_bytes': 1000 + variant}
    return json.dumps(manifest).encode()


def change(name: str, base: int, variant: int = 0) -> ManifestChange:
    text = manifest_text(variant)
    return ManifestChange(
        id=name,
        base=base,
        author='test',
        manifest=msgspec.Raw(text),
    )


def snapshot(name: str, version: int, text: bytes) -> ManifestSnapshot:
    return ManifestSnapshot(
        id=name,
        version=version,
        manifest=msgspec.Raw(text),
    )


def intent(key: str, name: str, attempt: int = 1, **changes: Any) -> Intent:
    fields: dict[str, Any] = {
        'key': key,
        'id': name,
        'attempt': attempt,
        'digest': 'd',
        'service': 's',
        'upstream': 'u',
        'incarnation': 'i',
        'entry': 'e',
        'deadline': 0,
        'operation': 'o',
    }
    return Intent(**{**fields, **changes})


def conclusion(key: str, name: str, state: AttemptState) -> Conclusion:
    return Conclusion(key=key, intent=name, state=state)


def dispatch(request: str, incarnation: str, **changes: Any) -> Dispatch:
    fields: dict[str, Any] = {
        'request': request,
        'incarnation': incarnation,
        'stamp': 0,
        'clock': 0.0,
        'manifest_version': 0,
        'organisation': 'o',
        'method': 'POST',
        'target': '/',
        'headers': (),
        'body': b'',
        'left_ms': 1e9,
        'cost_ms': 1.0,
    }
    return Dispatch(**{**fields, **changes})


def make_heartbeat(**load: Any) -> Heartbeat:
    """Return a sidecar's heartbeat that reports ``load``."""
    return Heartbeat(
        **{
            'stamp': 0,
            'clock': 0.0,
            'manifest_version': 1,
            'drains_version': 0,
            **load,
        }
    )
