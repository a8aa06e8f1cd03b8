"""Test which prompts are held after crashes, by replays of their load."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

import pytest

from amaranthrail.policy.quarantine import (
    FIRST_HOLD_MS,
    MAX_CRASHES_SINCE_ANSWER,
    MAX_HOLD_MS,
    RECOVERY_MS,
    Admission,
    Crash,
    find_suspects,
    judge_prompt,
)
from amaranthrail.types import PromptPart

DEADLY = PromptPart('deadly')
FIRST = PromptPart('first')
OTHER = PromptPart('other')
#: Crashes that one part may cause before its calls must end, as the users
#: state it.
MAX_CRASHES = 5
#: Share of sound calls that must begin, against the time without such calls.
MIN_SOUND_SHARE = 0.5


def crash(at: float, *parts: PromptPart) -> Crash:
    return Crash(at, frozenset(parts))


def admission(
    parts: Iterable[PromptPart],
    crashes: list[Crash],
    now: float,
    answered_at: dict[PromptPart, float] | None = None,
    *,
    trial_in_work: bool = False,
) -> Admission:
    suspicions = find_suspects(crashes, answered_at or {})
    verdict = judge_prompt(parts, suspicions, now, trial_in_work=trial_in_work)
    return verdict.admission


def test_the_only_part_without_an_answer_is_held_after_one_crash() -> None:
    crashes = [crash(1000, FIRST, DEADLY)]
    answered_at = {FIRST: 500.0}
    later = 1000 + RECOVERY_MS
    assert admission([DEADLY], crashes, later, answered_at) is Admission.HOLD
    assert admission([FIRST], crashes, 1001, answered_at) is Admission.SEND


def test_several_suspects_are_tried_one_at_a_time() -> None:
    """Guards against entries that start during a crash and know no answer."""
    crashes = [crash(1000, FIRST, DEADLY)]
    later = 1000 + RECOVERY_MS
    assert admission([FIRST], crashes, later - 1) is Admission.HOLD
    assert admission([FIRST], crashes, later) is Admission.TRIAL
    assert (
        admission([FIRST], crashes, later, trial_in_work=True) is Admission.HOLD
    )
    assert admission([FIRST, DEADLY], crashes, later) is Admission.HOLD


def test_an_answer_clears_a_suspect_and_leaves_the_others() -> None:
    crashes = [crash(1000, FIRST, DEADLY)]
    answered_at = {FIRST: 1200.0}
    later = 1000 + RECOVERY_MS
    assert admission([FIRST], crashes, 1201, answered_at) is Admission.SEND
    assert admission([DEADLY], crashes, later, answered_at) is Admission.HOLD


def test_a_part_answered_before_is_held_after_further_crashes() -> None:
    """A new version of an engine may fail on what the old one answered."""
    answered_at = {DEADLY: 500.0}
    crashes = [
        crash(1000 + number, DEADLY)
        for number in range(MAX_CRASHES_SINCE_ANSWER)
    ]
    assert admission([DEADLY], crashes, 1010, answered_at) is Admission.HOLD
    assert admission([DEADLY], crashes[1:], 1010, answered_at) is Admission.SEND


def test_a_part_that_was_held_wrongly_is_tried_again() -> None:
    crashes = [crash(1000, OTHER)]
    tried_at = 1000 + FIRST_HOLD_MS
    assert admission([OTHER], crashes, tried_at - 1) is Admission.HOLD
    assert admission([OTHER], crashes, tried_at) is Admission.TRIAL
    answered_at = {OTHER: tried_at + 100}
    assert (
        admission([OTHER], crashes, tried_at + 101, answered_at)
        is Admission.SEND
    )


def test_holds_grow_with_each_crash_up_to_a_limit() -> None:
    holds = [
        find_suspects([crash(at, DEADLY) for at in range(count)], {})[
            DEADLY
        ].hold_ms
        for count in range(1, 12)
    ]
    assert holds == sorted(holds)
    assert holds[0] == pytest.approx(FIRST_HOLD_MS)
    assert holds[-1] == pytest.approx(MAX_HOLD_MS)


def test_other_crashes_hold_no_part_that_has_answers() -> None:
    answered_at = {FIRST: 900.0, OTHER: 950.0}
    crashes = [crash(1000, FIRST, OTHER), crash(9000, FIRST)]
    assert find_suspects(crashes, answered_at) == {}


#: When the answer begins, and the parts of the prompt.
_CallInWork = tuple[float, tuple[PromptPart, ...]]


@dataclass
class Replay:
    """Send calls of a service to one group, which a deadly part stops.

    Answers begin after ``BEGIN_MS``; a crash takes all calls in work with it.
    """

    rng: random.Random
    crashes: list[Crash] = field(default_factory=list)
    answered_at: dict[PromptPart, float] = field(default_factory=dict)
    in_work: list[_CallInWork] = field(default_factory=list)
    down_until: float = 0
    trial_until: float = 0
    sound_sent: int = 0
    sound_held: int = 0
    deadly_crashes: int = 0

    def call(self, now: float, parts: tuple[PromptPart, ...]) -> None:
        self._finish(now)
        if now < self.down_until:
            return
        suspicions = find_suspects(self.crashes, self.answered_at)
        verdict = judge_prompt(
            parts, suspicions, now, trial_in_work=now < self.trial_until
        )
        is_held = verdict.admission is Admission.HOLD
        if DEADLY not in parts:
            self.sound_held += is_held
            self.sound_sent += not is_held
        if is_held:
            return
        if verdict.admission is Admission.TRIAL:
            self.trial_until = now + BEGIN_MS
        self.in_work.append((now + BEGIN_MS, parts))

    def end(self, now: float) -> None:
        """End an engine for another reason than a prompt."""
        self._finish(now)
        self._crash(now)

    def _finish(self, now: float) -> None:
        for begins_at, parts in sorted(self.in_work):
            if begins_at > now:
                break
            if DEADLY in parts:
                self.deadly_crashes += 1
                self._crash(begins_at)
                break
            self.answered_at.update(dict.fromkeys(parts, begins_at))
        self.in_work = [call for call in self.in_work if call[0] > now]

    def _crash(self, at: float) -> None:
        # The calls at one engine of a group of eight.
        at_engine = [
            parts
            for begins_at, parts in self.in_work
            if begins_at >= at and self.rng.random() < 1 / 8
        ]
        dying = [parts for _, parts in self.in_work if DEADLY in parts]
        lost = {part for parts in (*at_engine, *dying) for part in parts}
        self.crashes.append(Crash(at, frozenset(lost)))
        self.in_work.clear()
        self.down_until = at + DOWN_MS


BEGIN_MS = 150.0
DOWN_MS = 3500.0
MINUTE_MS = 60_000.0
DEADLY_SHARE = 0.05
END_MS = 600_000.0
PARTS = 60


@pytest.mark.parametrize('seed', range(8))
@pytest.mark.parametrize('answers_known', [True, False])
def test_a_deadly_part_causes_few_crashes_and_sound_calls_go_on(
    seed: int, *, answers_known: bool
) -> None:
    """Replays a twentieth of calls with a deadly part, for ten minutes.

    An engine ends for another reason each minute. The entries know the answers
    of the time before, or have all just started.
    """
    rng = random.Random(seed)
    firsts = [PromptPart(f'first-{number}') for number in range(PARTS)]
    replay = Replay(rng)
    if answers_known:
        replay.answered_at = dict.fromkeys(firsts, -1.0)
    now, next_end = 0.0, MINUTE_MS
    while now < END_MS:
        now += rng.expovariate(30 / 1000)
        is_deadly = rng.random() < DEADLY_SHARE
        parts = (rng.choice(firsts), *((DEADLY,) if is_deadly else ()))
        if now > next_end:
            next_end += MINUTE_MS
            replay.end(now)
        replay.call(now, parts)
    assert replay.deadly_crashes <= MAX_CRASHES
    total = replay.sound_sent + replay.sound_held
    assert replay.sound_sent > MIN_SOUND_SHARE * total
