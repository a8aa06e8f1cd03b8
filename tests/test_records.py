"""Test that any bytes decode to a record or to None."""

from __future__ import annotations

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from amaranthrail.records import (
    AttemptState,
    Conclusion,
    FactBatch,
    Intent,
    Record,
    decode_record,
    encode_record,
)

fuzz = settings(derandomize=True, max_examples=300, deadline=None)
_json_trees = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=10),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=10,
)
_record_types = st.sampled_from(
    ['manifest-change', 'manifest-snapshot', 'drain', 'filings', 'other'],
)
_facts = st.from_type(Intent) | st.from_type(Conclusion)


@fuzz
@given(st.binary(max_size=200))
def test_random_bytes_give_a_record_or_none(text: bytes) -> None:
    assert isinstance(decode_record(text), Record | None)


@fuzz
@given(
    _record_types, st.dictionaries(st.text(max_size=8), _json_trees, max_size=5)
)
def test_invalid_fields_give_a_record_or_none(
    record_type: str,
    fields: dict[str, object],
) -> None:
    text = json.dumps({**fields, 'type': record_type, 'id': 'x'}).encode()
    assert isinstance(decode_record(text), Record | None)


@fuzz
@given(st.lists(_facts, max_size=4))
def test_fact_batch_round_trip(facts: list[Intent | Conclusion]) -> None:
    batch = FactBatch(id='one', facts=tuple(facts))
    assert decode_record(encode_record(batch)) == batch


@pytest.mark.parametrize('depth', [10, 100_000])
def test_deep_nesting_gives_none(depth: int) -> None:
    assert decode_record(b'[' * depth) is None


def test_conclusion_body_round_trip() -> None:
    fact = Conclusion(
        key='k',
        intent='i',
        state=AttemptState.RAN,
        body=bytes(range(256)),
    )
    batch = FactBatch(id='one', facts=(fact,))
    assert decode_record(encode_record(batch)) == batch
