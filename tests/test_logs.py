"""Test writing log lines to slow and to closed readers."""

from __future__ import annotations

import os

from amaranthrail.logs import BoundedWriter


def test_lines_are_written() -> None:
    reader, writer = os.pipe()
    lines = BoundedWriter(writer)
    lines.write('one\n')
    lines.flush_now()
    assert os.read(reader, 100) == b'one\n'
    os.close(reader)
    os.close(writer)


def test_slow_reader_loses_lines_without_blocking() -> None:
    reader, writer = os.pipe()
    lines = BoundedWriter(writer)
    for _ in range(1000):
        lines.write('x' * 999 + '\n')
        lines.flush_now()
    assert len(os.read(reader, 10_000_000)) < 1_000_000
    os.close(reader)
    os.close(writer)


def test_closed_reader_raises_no_error() -> None:
    reader, writer = os.pipe()
    lines = BoundedWriter(writer)
    os.close(reader)
    lines.write('one\n')
    lines.flush_now()
    lines.write('two\n')
    lines.flush_now()
    os.close(writer)
