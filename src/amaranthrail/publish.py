"""Append to the control stream and learn what became of the record."""

from __future__ import annotations

import msgspec
import trio

from .clock import move_on_after, sleep
from .configuration import Configuration, PublishResult
from .exceptions import LogUnavailableError
from .ports import LogPort
from .records import (
    CONTROL_STREAM,
    Drain,
    ManifestChange,
    Record,
    encode_record,
    new_record_id,
)

_REPEAT_MS = 300


async def append_until_seen(
    log: LogPort,
    record: Record,
    seen: trio.Event,
) -> None:
    """Append a record again and again until a reader has seen it."""
    text = encode_record(record)
    while not seen.is_set():
        try:
            await log.append(CONTROL_STREAM, text)
        except LogUnavailableError:
            await sleep(_REPEAT_MS)
            continue
        with move_on_after(_REPEAT_MS):
            await seen.wait()


async def publish_manifest(
    log: LogPort,
    configuration: Configuration,
    change: ManifestChange,
    timeout_ms: int,
) -> PublishResult | None:
    """Append a change and return its verdict, None if not known in time.

    The configuration must be following the log meanwhile.
    """
    seen = trio.Event()

    async def watch() -> None:
        while configuration.publish_result(change.id) is None:
            await configuration.wait_changed()
        seen.set()

    with move_on_after(timeout_ms):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            await append_until_seen(log, change, seen)
    return configuration.publish_result(change.id)


def new_change(base: int, text: bytes, author: str) -> ManifestChange:
    """Return the record that proposes a manifest made from ``base``."""
    return ManifestChange(
        id=new_record_id(),
        base=base,
        author=author,
        manifest=msgspec.Raw(text),
    )


async def publish_drain(
    log: LogPort,
    configuration: Configuration,
    order: Drain,
    timeout_ms: int,
) -> bool:
    """Append a drain order; tell whether it was seen in force in time."""
    before = configuration.drains_version
    seen = trio.Event()

    def in_force() -> bool:
        offset, draining = configuration.drains.get(order.upstream, (0, False))
        return offset > before and draining == order.draining

    async def watch() -> None:
        while not in_force():
            await configuration.wait_changed()
        seen.set()

    with move_on_after(timeout_ms):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            await append_until_seen(log, order, seen)
    return seen.is_set()
