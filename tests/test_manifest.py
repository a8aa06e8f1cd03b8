"""Test the validation of manifests and the published schema."""

from __future__ import annotations

import json
import re
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from amaranthrail.exceptions import ManifestError
from amaranthrail.manifest import Manifest, parse_manifest
from standins.deployments import DEPLOYMENTS, make_manifest

EXAMPLES = sorted((Path(__file__).parent.parent / 'examples').glob('*.json'))


def _manifest() -> dict[str, Any]:
    return make_manifest(DEPLOYMENTS['valtrebbia'])


def _duplicate_service(manifest: dict[str, Any]) -> None:
    manifest['services'].append(manifest['services'][0])


def _set_field(
    *path: str | int,
) -> Callable[[object], Callable[[Any], None]]:
    def with_content(content: object) -> Callable[[Any], None]:
        def change(manifest: Any) -> None:
            for segment in path[:-1]:
                manifest = manifest[segment]
            manifest[path[-1]] = content

        return change

    return with_content


FAULTS = [
    (_set_field('format')(2), 'format: Input should be 1'),
    (_set_field('surprise')(1), 'surprise: Extra inputs are not permitted'),
    (
        _set_field('services', 0, 'slots')(0),
        'services.0.slots: Input should be',
    ),
    (_set_field('services', 0, 'models')([]), 'lists at least one model'),
    (_set_field('services', 1, 'path_prefix')(None), 'has a path_prefix'),
    (
        _set_field('services', 1, 'name')('Bad Name'),
        'services.1.name: String should',
    ),
    (_duplicate_service, "service 'redattore' stands more than once"),
    (
        _set_field('organisations', 0, 'credentials')(['x']),
        'credentials.0: String',
    ),
    (
        _set_field('organisations', 0, 'weight')(-1),
        'organisations.0.weight: Input',
    ),
    (
        _set_field('groups')(
            [{'name': 'g', 'service': 's', 'ranks': 2, 'experts': 4}]
        ),
        "names service 's', which does not exist",
    ),
    (
        _set_field('services', 1, 'operations', 0, 'method')('FETCH'),
        "services.1.operations.0.method: Input should be 'GET'",
    ),
]


@pytest.mark.parametrize(('add_fault', 'message'), FAULTS)
def test_fault_is_reported(
    add_fault: Callable[[Any], None], message: str
) -> None:
    manifest = _manifest()
    add_fault(manifest)
    with pytest.raises(ManifestError, match=re.escape(message)) as raised:
        parse_manifest(json.dumps(manifest).encode())
    assert 'given: ' in str(raised.value)


@pytest.mark.parametrize('text', [b'', b'{', b'\xff', b'[]', b'null'])
def test_invalid_json_is_reported(text: bytes) -> None:
    with pytest.raises(ManifestError, match='file'):
        parse_manifest(text)


@pytest.mark.parametrize('path', EXAMPLES, ids=lambda path: path.stem)
def test_examples_are_valid(path: Path) -> None:
    parse_manifest(path.read_bytes())


def test_each_deployment_has_an_example() -> None:
    assert {path.stem for path in EXAMPLES} >= set(DEPLOYMENTS)


def test_published_schema_is_up_to_date() -> None:
    path = Path(__file__).parent.parent / 'docs/manifest.schema.json'
    assert json.loads(path.read_text()) == Manifest.model_json_schema()
