"""Exchange the configuration in force between peers."""

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


def make_push(configuration: Configuration) -> ManifestPush:
    """Return a frame with the manifest and drains in force here."""
    in_force = configuration.in_force
    text = b'' if in_force is None else in_force.text
    return ManifestPush(
        configuration.version,
        text,
        configuration.drain_list(),
    )


def heartbeat_without_load(runtime: Runtime) -> Heartbeat:
    """Return a heartbeat with the versions in force and no load."""
    configuration = runtime.configuration
    return Heartbeat(
        runtime.clock.stamp(),
        runtime.clock.now(),
        configuration.version,
        configuration.drains_version,
    )


def pull_if_newer(link: Link, runtime: Runtime, heartbeat: Heartbeat) -> None:
    """Request the peer's configuration if its heartbeat shows newer versions.

    Peers never push without a request: a manifest can be megabytes, and a
    process learns of a change from all its peers at once but needs it from
    one.
    """
    if runtime.pulls.should_pull(
        heartbeat.manifest_version, heartbeat.drains_version
    ):
        link.enqueue(ManifestPull())


def apply_push(runtime: Runtime, push: ManifestPush) -> None:
    """Adopt a peer's configuration where it is newer and valid.

    An invalid manifest is counted in ``manifest_pushes_invalid``.
    """
    configuration = runtime.configuration
    previous_version = configuration.version
    try:
        configuration.adopt(push.version, push.manifest, push.drains)
    except ManifestError:
        runtime.metrics.count('manifest_pushes_invalid')
        return
    if configuration.version > previous_version:
        runtime.timeline.add(
            'manifest-adopted',
            str(configuration.version),
            'from a peer',
        )


async def exchange_frames(
    link: Link,
    runtime: Runtime,
    settings: ProcessSettings,
    handle_frame: Callable[[AnyFrame], None],
) -> None:
    """Send heartbeats without load and handle received frames.

    Runs until the link closes or the peer is silent for ``silence_ms``.
    """
    async with trio.open_nursery() as nursery:
        nursery.start_soon(link.run_writer)
        nursery.start_soon(link.watch_liveness, settings.silence_ms)
        nursery.start_soon(
            _send_heartbeats, link, runtime, settings.heartbeat_ms
        )
        while True:
            handle_frame(await link.receive())


async def _send_heartbeats(
    link: Link, runtime: Runtime, interval_ms: float
) -> None:
    while True:
        link.enqueue(heartbeat_without_load(runtime))
        await sleep(interval_ms)


def handle_config_frame(link: Link, runtime: Runtime, frame: AnyFrame) -> bool:
    """Handle heartbeat, pull and push frames; return False for others."""
    match frame:
        case Heartbeat():
            runtime.clock.receive(frame.stamp)
            pull_if_newer(link, runtime, frame)
        case ManifestPush():
            apply_push(runtime, frame)
        case ManifestPull():
            link.enqueue(make_push(runtime.configuration))
        case _:
            return False
    return True
