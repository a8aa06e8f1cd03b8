"""Append to the control stream and wait until the record is read back."""

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

#: Delay before an append that was not read back is retried, in ms.
_APPEND_RETRY_MS = 300


async def append_until_seen(
    log: LogPort,
    record: Record,
    seen: trio.Event,
) -> None:
    """Append a record, with retries, until ``seen`` is set by its reader."""
    text = encode_record(record)
    while not seen.is_set():
        try:
            await log.append(CONTROL_STREAM, text)
        except LogUnavailableError:
            await sleep(_APPEND_RETRY_MS)
            continue
        with move_on_after(_APPEND_RETRY_MS):
            await seen.wait()


async def publish_manifest(
    log: LogPort,
    configuration: Configuration,
    change: ManifestChange,
    timeout_ms: int,
) -> PublishResult | None:
    """Append a change and return its result, None if unknown in time.

    Meanwhile another task must apply the control stream to ``configuration``.
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
    """Return a record proposing a manifest edited from version ``base``."""
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
    """Append a drain order; return whether it came into force in time.

    Meanwhile another task must apply the control stream to ``configuration``.
    """
    previous_version = configuration.drains_version
    seen = trio.Event()

    def is_in_force() -> bool:
        offset, draining = configuration.drains.get(order.upstream, (0, False))
        return offset > previous_version and draining == order.draining

    async def watch() -> None:
        while not is_in_force():
            await configuration.wait_changed()
        seen.set()

    with move_on_after(timeout_ms):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            await append_until_seen(log, order, seen)
    return seen.is_set()
