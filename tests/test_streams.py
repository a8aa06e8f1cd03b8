"""Test how event streams are split into events."""

from __future__ import annotations

import re
from collections.abc import Iterator
from types import SimpleNamespace

import pytest

from amaranthrail.direct import streams

#: Parts of an event, each of five bytes.
PARTS = 3000


def test_an_unfinished_event_is_searched_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a stream whose event takes quadratic time to arrive."""
    searched: list[int] = []
    event_end = streams._EVENT_END

    def search(text: bytes, start: int = 0) -> Iterator[re.Match[bytes]]:
        searched.append(len(text) - start)
        return event_end.finditer(text, start)

    monkeypatch.setattr(streams, '_EVENT_END', SimpleNamespace(finditer=search))
    splitter = streams.EventSplitter()
    for _ in range(PARTS):
        assert not splitter.feed(b'abcde')
    assert splitter.feed(b'\r\n\r\n') == PARTS * b'abcde' + b'\r\n\r\n'
    assert sum(searched) <= 2 * 5 * PARTS


@pytest.mark.parametrize('end', [b'\n\n', b'\r\r', b'\r\n\r\n'])
def test_an_event_ends_wherever_its_end_is_split(end: bytes) -> None:
    text = b'id: 1\ndata: a' + end + b'id: 2\ndata: b' + end
    for position, _ in enumerate(text):
        splitter = streams.EventSplitter()
        events = splitter.feed(text[:position])
        events += splitter.feed(text[position:])
        assert (events, splitter.events) == (text, 2), position
