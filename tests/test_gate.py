"""Check that after a "not run" refusal no duplicate dispatch runs."""

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

#: When a duplicate dispatch arrives, in milliseconds after the refused
#: one: on both sides of the age limit (3000) and the void retention (12 000).
DUPLICATE_AFTER_MS = (0, 1, 500, 2999, 3001, 11_999, 12_001, 60_000, 3_600_000)


@dataclass
class GateFixture:
    """Hold a gate with its configuration and an adjustable clock."""

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


def _drain(fixture: GateFixture) -> None:
    fixture.drain(1, draining=True)


def _query_attempt(fixture: GateFixture) -> None:
    assert fixture.gate.find_or_void('n') is None


def _adopt_manifest(fixture: GateFixture) -> None:
    fixture.configuration.adopt(7, build.manifest_text(), ())


def _exceed_age(fixture: GateFixture) -> None:
    fixture.now_ms += MAX_DISPATCH_AGE_MS + 1


REFUSALS = [
    (_drain, Reason.DRAINING),
    (_query_attempt, Reason.VOIDED),
    (_adopt_manifest, Reason.STALE_MANIFEST),
    (_exceed_age, Reason.STALE_DISPATCH),
    (lambda fixture: fixture.gate.start_shutdown(), Reason.DRAINING),
]


@pytest.mark.parametrize(('cause', 'reason'), REFUSALS)
@pytest.mark.parametrize('after_ms', DUPLICATE_AFTER_MS)
def test_refused_dispatch_never_runs(
    cause: Callable[[GateFixture], None],
    reason: Reason,
    after_ms: float,
) -> None:
    fixture = GateFixture()
    dispatch = build.dispatch(
        'r', 'i', clock=fixture.now_ms, intent='n', manifest_version=3
    )
    cause(fixture)
    refusal = fixture.gate.check_dispatch(dispatch)
    assert isinstance(refusal, Refusal)
    assert (refusal.outcome, refusal.reason) == (Outcome.NOT_RUN, reason)
    # The refusal remains after its cause has ended.
    fixture.drain(2, draining=False)
    fixture.now_ms += after_ms
    fixture.gate.sweep()
    assert isinstance(fixture.gate.check_dispatch(dispatch), Refusal)


def test_dispatch_to_earlier_incarnation_is_refused() -> None:
    refusal = GateFixture().gate.check_dispatch(
        build.dispatch('r', 'earlier', clock=10_000)
    )
    assert isinstance(refusal, Refusal)
    assert refusal.reason is Reason.WRONG_INCARNATION


@pytest.mark.parametrize('after_ms', DUPLICATE_AFTER_MS)
def test_resume_of_unknown_request_voids_it(after_ms: float) -> None:
    fixture = GateFixture()
    dispatch = build.dispatch('r', 'i', clock=fixture.now_ms)
    assert fixture.gate.find_run('r') is None
    fixture.gate.void('r')
    fixture.now_ms += after_ms
    fixture.gate.sweep()
    assert isinstance(fixture.gate.check_dispatch(dispatch), Refusal)


def _admit(fixture: GateFixture, dispatch: Dispatch) -> Run:
    assert fixture.gate.check_dispatch(dispatch) is None
    run = Run(dispatch, fixture.now_ms)
    fixture.gate.add_run(run)
    return run


@pytest.mark.parametrize('after_ms', [0, 2999, 600_000])
def test_keyed_duplicate_finds_the_run(after_ms: float) -> None:
    fixture = GateFixture()
    dispatch = build.dispatch('r', 'i', clock=fixture.now_ms, intent='n')
    run = _admit(fixture, dispatch)
    run.complete(fixture.now_ms)
    fixture.now_ms += after_ms
    fixture.gate.sweep()
    duplicate = build.dispatch('r2', 'i', clock=fixture.now_ms, intent='n')
    assert fixture.gate.check_dispatch(duplicate) is run
    assert fixture.gate.find_or_void('n') is run


def test_stale_duplicate_of_discarded_run_is_refused() -> None:
    fixture = GateFixture()
    dispatch = build.dispatch('r', 'i', clock=fixture.now_ms)
    _admit(fixture, dispatch).complete(fixture.now_ms)
    fixture.gate.discard_run('r')
    fixture.now_ms += MAX_DISPATCH_AGE_MS + 1
    assert isinstance(fixture.gate.check_dispatch(dispatch), Refusal)
