"""Spread the configuration in force between peers."""

from __future__ import annotations

from collections.abc import Callable

import trio

from .adapters.link import Link
from .clock import sleep
from .configuration import Configuration
from .exceptions import ManifestError
from .frames import AnyFrame, Heartbeat, ManifestPull, ManifestPush
from .runtime import Runtime
from .settings import ProcessSettings


def push_frame(configuration: Configuration) -> ManifestPush:
    """Return the frame that hands over what is in force here."""
    in_force = configuration.in_force
    text = b'' if in_force is None else in_force.text
    return ManifestPush(
        configuration.version,
        text,
        configuration.drain_list(),
    )


def heartbeat_without_load(runtime: Runtime) -> Heartbeat:
    """Return a heartbeat that tells versions and no load."""
    configuration = runtime.configuration
    return Heartbeat(
        runtime.clock.stamp(),
        runtime.clock.now(),
        configuration.version,
        configuration.drains_version,
    )


def compare_versions(link: Link, runtime: Runtime, heard: Heartbeat) -> None:
    """Ask for what a peer's heartbeat shows to be newer.

    Nothing is sent unasked: a manifest can be megabytes, and a process hears
    of a change from all its peers at once but needs it from one.
    """
    if runtime.pulls.should_pull(heard.manifest_version, heard.drains_version):
        link.enqueue(ManifestPull())


def take_push(runtime: Runtime, pushed: ManifestPush) -> None:
    """Adopt what a peer hands over, where it is newer and valid."""
    configuration = runtime.configuration
    before = configuration.version
    try:
        configuration.adopt(pushed.version, pushed.manifest, pushed.drains)
    except ManifestError:
        runtime.metrics.count('manifest_pushes_invalid')
        return
    if configuration.version > before:
        runtime.timeline.add(
            'manifest-adopted',
            str(configuration.version),
            'from a peer',
        )


async def exchange_frames(
    link: Link,
    runtime: Runtime,
    settings: ProcessSettings,
    take: Callable[[AnyFrame], None],
) -> None:
    """Beat without load, and hand on what arrives, until the link ends."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(link.run_writer)
        nursery.start_soon(link.watch_liveness, settings.silence_ms)
        nursery.start_soon(_beat, link, runtime, settings.heartbeat_ms)
        while True:
            take(await link.receive())


async def _beat(link: Link, runtime: Runtime, interval_ms: float) -> None:
    while True:
        link.enqueue(heartbeat_without_load(runtime))
        await sleep(interval_ms)


def handle_config_frame(link: Link, runtime: Runtime, frame: AnyFrame) -> bool:
    """Take a frame that spreads the configuration; tell whether it was one."""
    match frame:
        case Heartbeat():
            runtime.clock.receive(frame.stamp)
            compare_versions(link, runtime, frame)
        case ManifestPush():
            take_push(runtime, frame)
        case ManifestPull():
            link.enqueue(push_frame(runtime.configuration))
        case _:
            return False
    return True
