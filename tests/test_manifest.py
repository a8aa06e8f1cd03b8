"""Accept good manifests and name what is wrong in others."""

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


def _repeat_service(manifest: dict[str, Any]) -> None:
    manifest['services'].append(manifest['services'][0])


def _set(*path: str | int) -> Callable[[object], Callable[[Any], None]]:
    def with_setting(setting: object) -> Callable[[Any], None]:
        def change(manifest: Any) -> None:
            for step in path[:-1]:
                manifest = manifest[step]
            manifest[path[-1]] = setting

        return change

    return with_setting


FAULTS = [
    (_set('format')(2), 'format: Input should be 1'),
    (_set('surprise')(1), 'surprise: Extra inputs are not permitted'),
    (_set('services', 0, 'slots')(0), 'services.0.slots: Input should be'),
    (_set('services', 0, 'models')([]), 'lists at least one model'),
    (_set('services', 1, 'path_prefix')(None), 'has a path_prefix'),
    (_set('services', 1, 'name')('Bad Name'), 'services.1.name: String should'),
    (_repeat_service, "service 'redattore' appears more than once"),
    (_set('organisations', 0, 'credentials')(['x']), 'credentials.0: String'),
    (_set('organisations', 0, 'weight')(-1), 'organisations.0.weight: Input'),
    (
        _set('groups')(
            [{'name': 'g', 'service': 's', 'ranks': 2, 'experts': 4}]
        ),
        "names service 's', which does not exist",
    ),
    (
        _set('services', 1, 'operations', 0, 'method')('FETCH'),
        "services.1.operations.0.method: Input should be 'GET'",
    ),
]


@pytest.mark.parametrize(('spoil', 'told'), FAULTS)
def test_fault_is_named(spoil: Callable[[Any], None], told: str) -> None:
    manifest = _manifest()
    spoil(manifest)
    with pytest.raises(ManifestError, match=re.escape(told)) as caught:
        parse_manifest(json.dumps(manifest).encode())
    assert 'given: ' in str(caught.value)


@pytest.mark.parametrize('text', [b'', b'{', b'\xff', b'[]', b'null'])
def test_no_json_is_named(text: bytes) -> None:
    with pytest.raises(ManifestError, match='file'):
        parse_manifest(text)


@pytest.mark.parametrize('path', EXAMPLES, ids=lambda path: path.stem)
def test_examples_are_valid(path: Path) -> None:
    parse_manifest(path.read_bytes())


def test_there_is_an_example_for_each_user() -> None:
    assert {path.stem for path in EXAMPLES} >= set(DEPLOYMENTS)


def test_published_schema_is_up_to_date() -> None:
    path = Path(__file__).parent.parent / 'docs/manifest.schema.json'
    assert json.loads(path.read_text()) == Manifest.model_json_schema()
