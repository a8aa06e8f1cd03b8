"""Make every "not run" final: no copy of the dispatch runs later."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import pytest

from amaranthrail.clock import Clock
from amaranthrail.configuration import Configuration
from amaranthrail.frames import Dispatch
from amaranthrail.outcomes import Outcome, Reason, Refusal
from amaranthrail.sidecar.gate import MAX_DISPATCH_AGE_MS, DispatchGate
from amaranthrail.sidecar.run import Run
from amaranthrail.types import Incarnation

from . import build

#: When copies of the refused dispatch come again, in milliseconds after it.
COPIES_MS = (0, 1, 500, 2999, 3001, 11_999, 12_001, 60_000, 3_600_000)


@dataclass
class Scene:
    """Hold a gate, its configuration and the time."""

    now_ms: float = 10_000.0
    configuration: Configuration = field(default_factory=Configuration)

    def __post_init__(self) -> None:
        clock = Clock(self.now_s, self.now_s)
        self.gate = DispatchGate(
            'u', Incarnation('i'), clock, self.configuration
        )

    def now_s(self) -> float:
        return self.now_ms / 1000

    def drain(self, offset: int, *, draining: bool) -> None:
        self.configuration.adopt(0, b'', (('u', offset, draining),))


def _draining(scene: Scene) -> None:
    scene.drain(1, draining=True)


def _inquired(scene: Scene) -> None:
    assert scene.gate.find_or_void('n') is None


def _new_manifest(scene: Scene) -> None:
    scene.configuration.adopt(7, build.manifest_text(), ())


def _late(scene: Scene) -> None:
    scene.now_ms += MAX_DISPATCH_AGE_MS + 1


REFUSALS = [
    (_draining, Reason.DRAINING),
    (_inquired, Reason.VOIDED),
    (_new_manifest, Reason.STALE_MANIFEST),
    (_late, Reason.STALE_DISPATCH),
    (lambda scene: scene.gate.start_shutdown(), Reason.DRAINING),
]


@pytest.mark.parametrize(('cause', 'reason'), REFUSALS)
@pytest.mark.parametrize('after_ms', COPIES_MS)
def test_refused_dispatch_never_runs(
    cause: Callable[[Scene], None],
    reason: Reason,
    after_ms: float,
) -> None:
    scene = Scene()
    sent = build.dispatch(
        'r', 'i', clock=scene.now_ms, intent='n', manifest_version=3
    )
    cause(scene)
    refused = scene.gate.check_dispatch(sent)
    assert isinstance(refused, Refusal)
    assert (refused.outcome, refused.reason) == (Outcome.NOT_RUN, reason)
    # The cause goes away; the refusal stays.
    scene.drain(2, draining=False)
    scene.now_ms += after_ms
    scene.gate.sweep()
    assert isinstance(scene.gate.check_dispatch(sent), Refusal)


def test_another_incarnation_refuses() -> None:
    found = Scene().gate.check_dispatch(
        build.dispatch('r', 'earlier', clock=10_000)
    )
    assert isinstance(found, Refusal)
    assert found.reason is Reason.WRONG_INCARNATION


@pytest.mark.parametrize('after_ms', COPIES_MS)
def test_resumption_of_what_never_arrived_voids_it(after_ms: float) -> None:
    scene = Scene()
    sent = build.dispatch('r', 'i', clock=scene.now_ms)
    assert scene.gate.find_run('r') is None
    scene.gate.void('r')
    scene.now_ms += after_ms
    scene.gate.sweep()
    assert isinstance(scene.gate.check_dispatch(sent), Refusal)


def _enter(scene: Scene, sent: Dispatch) -> Run:
    assert scene.gate.check_dispatch(sent) is None
    run = Run(sent, scene.now_ms)
    scene.gate.add_run(run)
    return run


@pytest.mark.parametrize('after_ms', [0, 2999, 600_000])
def test_keyed_copy_finds_the_run(after_ms: float) -> None:
    scene = Scene()
    sent = build.dispatch('r', 'i', clock=scene.now_ms, intent='n')
    run = _enter(scene, sent)
    run.complete(scene.now_ms)
    scene.now_ms += after_ms
    scene.gate.sweep()
    again = build.dispatch('r2', 'i', clock=scene.now_ms, intent='n')
    assert scene.gate.check_dispatch(again) is run
    assert scene.gate.find_or_void('n') is run


def test_forgotten_idempotent_run_does_not_run_from_a_stale_copy() -> None:
    scene = Scene()
    sent = build.dispatch('r', 'i', clock=scene.now_ms)
    _enter(scene, sent).complete(scene.now_ms)
    scene.gate.discard_run('r')
    scene.now_ms += MAX_DISPATCH_AGE_MS + 1
    assert isinstance(scene.gate.check_dispatch(sent), Refusal)
