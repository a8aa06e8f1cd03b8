"""Test that any bytes decode to frames or raise FrameError."""

from __future__ import annotations

import typing

import msgpack
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from amaranthrail.exceptions import FrameError
from amaranthrail.frames import (
    MAX_FRAME_BYTES,
    AnyFrame,
    Dispatch,
    Frame,
    FrameDecoder,
    encode_frame,
)

FRAME_CLASSES: tuple[type[Frame], ...] = typing.get_args(AnyFrame)
fuzz = settings(derandomize=True, max_examples=300, deadline=None)

_scalars = (
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats(allow_nan=False)
    | st.text(max_size=20)
    | st.binary(max_size=20)
)
_trees = st.recursive(
    _scalars,
    lambda inner: (
        st.lists(inner, max_size=5)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=12,
)


st.register_type_strategy(int, st.integers(-(2**63), 2**63 - 1))
st.register_type_strategy(float, st.floats(allow_nan=False))


@st.composite
def frames(draw: st.DrawFn) -> Frame:
    frame: Frame = draw(st.from_type(draw(st.sampled_from(FRAME_CLASSES))))
    return frame


@fuzz
@given(st.lists(frames(), max_size=4), st.integers(1, 64))
def test_frames_decode_from_chunks_of_any_size(
    sent: list[Frame], size: int
) -> None:
    stream = b''.join(encode_frame(frame) for frame in sent)
    decoder = FrameDecoder()
    received = [
        frame
        for start in range(0, len(stream), size)
        for frame in decoder.feed(stream[start : start + size])
    ]
    assert received == sent


@fuzz
@given(st.binary(max_size=400))
def test_random_bytes_give_frames_or_frame_error(payload: bytes) -> None:
    _decode(payload)


@fuzz
@given(
    st.sampled_from(
        [frame_class.__struct_config__.tag for frame_class in FRAME_CLASSES]
    ),
    st.lists(_trees, max_size=16),
)
def test_invalid_fields_give_frames_or_frame_error(
    tag: str,
    fields: list[object],
) -> None:
    _decode(msgpack.packb([tag, *fields]))


def test_oversized_frame_is_refused() -> None:
    decoder = FrameDecoder()
    header = b'\xc6' + (MAX_FRAME_BYTES + 1).to_bytes(4, 'big')
    for _ in range(MAX_FRAME_BYTES // 65_536 - 1):
        decoder.feed(header + b'x' * 65_536)
        header = b''
    with pytest.raises(FrameError):
        decoder.feed(b'x' * 65_536 * 2)


def test_deep_nesting_is_refused() -> None:
    with pytest.raises(FrameError):
        FrameDecoder().feed(b'\x91' * 100_000 + b'\xc0')


def test_dispatch_size_is_within_the_budget() -> None:
    # A dispatch without headers and body must fit the budget of 6 KB/s per node
    # at 2,700 requests a second over 330 nodes, which is 8.2 a second per node.
    dispatch = Dispatch(
        request='0123456789ab-1234567',
        incarnation='0123456789ab',
        stamp=2**60,
        clock=1.0,
        manifest_version=123_456,
        organisation='organisation-01',
        method='POST',
        target='/v1/chat/completions',
        headers=(),
        body=b'',
        left_ms=30_000.0,
        cost_ms=100.0,
    )
    assert len(encode_frame(dispatch)) < 6000 * 330 / 2700


def _decode(payload: bytes) -> None:
    try:
        decoded = FrameDecoder().feed(payload)
    except FrameError:
        return
    assert all(isinstance(frame, Frame) for frame in decoded)
