"""Spread the configuration in force between peers."""

from __future__ import annotations

from .adapters.link import Link
from .configuration import Configuration
from .exceptions import ManifestError
from .frames import Heartbeat, ManifestPull, ManifestPush
from .runtime import Runtime


def push_frame(configuration: Configuration) -> ManifestPush:
    """Return the frame that hands over what is in force here."""
    in_force = configuration.in_force
    text = b'' if in_force is None else in_force.text
    return ManifestPush(
        configuration.version,
        text,
        configuration.drain_list(),
    )


def compare_versions(
    link: Link,
    configuration: Configuration,
    heard: Heartbeat,
) -> None:
    """Ask for what a peer's heartbeat shows to be newer; hand over if older."""
    ahead = heard.manifest > configuration.version
    if ahead or heard.drains > configuration.drains_version:
        link.post(ManifestPull())
    behind = heard.manifest < configuration.version
    if behind or heard.drains < configuration.drains_version:
        link.post(push_frame(configuration))


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
