"""Decide which prompts are kept from the engines after crashes.

Load pattern: one part of a prompt ends each engine that begins an answer on it,
and each crash stops a whole rank group for seconds. Calls with that part arrive
at all entries, between sound calls that share their caller and all their other
parts. Other crashes have nothing to do with the prompts that were in work.

A part of which an answer has begun is not the cause. Of the calls whose answers
had not begun at a crash, few parts are left, and an answer that begins later
clears further ones. A part that is left alone is held for long; while several
are left, their calls are tried one at a time.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from enum import Enum

import msgspec

from ..types import PromptPart

#: Crashes since the latest answer on a part after which that answer does not
#: clear it any more: an engine's new version may fail on a part that the old
#: one answered.
MAX_CRASHES_SINCE_ANSWER = 3
#: Time from a crash until calls with suspect parts are tried again, in ms: a
#: group is complete again after 3,500.
RECOVERY_MS = 4000.0
#: Time for which the only suspect of a crash is held, in ms; each further crash
#: makes it HOLD_FACTOR times as long.
FIRST_HOLD_MS = 30_000.0
HOLD_FACTOR = 4.0
#: Longest hold, in ms: a part that was held wrongly is tried again after it.
MAX_HOLD_MS = 3_600_000.0


class Crash(msgspec.Struct, frozen=True):
    """Hold the time of a crash, in ms, and the parts that may be its cause.

    ``parts`` are those of all calls in work at the upstream whose answers had
    not begun.
    """

    at: float
    parts: frozenset[PromptPart]


class Suspicion(msgspec.Struct, frozen=True):
    """Describe why a part is suspect.

    ``crashes`` counts the crashes that it may have caused, the last of them at
    ``last_crash_at``; ``is_alone`` says that one of them has no other suspect.
    """

    crashes: int
    last_crash_at: float
    is_alone: bool

    @property
    def hold_ms(self) -> float:
        """Return for how long the part is held where it is alone, in ms."""
        hold_ms = FIRST_HOLD_MS * HOLD_FACTOR ** (self.crashes - 1)
        return min(MAX_HOLD_MS, hold_ms)


class Admission(Enum):
    """State whether a call may be sent, for its prompt.

    TRIAL calls are sent one at a time over all entries.
    """

    SEND = 'send'
    TRIAL = 'trial'
    HOLD = 'hold'


class Verdict(msgspec.Struct, frozen=True):
    """Say how a call is admitted, and the suspect parts that decided.

    ``wait_ms`` is the time until a held call may be tried.
    """

    admission: Admission
    suspects: tuple[PromptPart, ...] = ()
    wait_ms: float = 0


def find_suspects(
    crashes: Collection[Crash], answered_at: Mapping[PromptPart, float]
) -> dict[PromptPart, Suspicion]:
    """Return the parts that may have caused crashes.

    ``answered_at`` is the time in ms at which the latest answer on a part
    began, for the parts that have one.
    """
    suspicions: dict[PromptPart, Suspicion] = {}
    for crash in sorted(crashes, key=lambda each: each.at):
        left = [
            part
            for part in crash.parts
            if not _is_cleared(part, crash, crashes, answered_at)
        ]
        for part in left:
            earlier = suspicions.get(part)
            suspicions[part] = Suspicion(
                1 if earlier is None else earlier.crashes + 1,
                crash.at,
                len(left) == 1 or (earlier is not None and earlier.is_alone),
            )
    return suspicions


def judge_prompt(
    parts: Iterable[PromptPart],
    suspicions: Mapping[PromptPart, Suspicion],
    now: float,
    *,
    trial_in_work: bool,
) -> Verdict:
    """Return how a call with these parts is admitted at ``now``, in ms."""
    suspects = tuple(part for part in parts if part in suspicions)
    if not suspects:
        return Verdict(Admission.SEND)
    last_crash_at = max(each.last_crash_at for each in suspicions.values())
    tried_at = last_crash_at + RECOVERY_MS
    for part in suspects:
        suspicion = suspicions[part]
        # A trial of several suspects at once would tell little.
        if suspicion.is_alone or len(suspects) > 1:
            held_until = suspicion.last_crash_at + suspicion.hold_ms
            tried_at = max(tried_at, held_until)
    if now < tried_at or trial_in_work:
        wait_ms = max(0.0, tried_at - now)
        return Verdict(Admission.HOLD, suspects, wait_ms)
    return Verdict(Admission.TRIAL, suspects)


def _is_cleared(
    part: PromptPart,
    crash: Crash,
    crashes: Iterable[Crash],
    answered_at: Mapping[PromptPart, float],
) -> bool:
    latest_at = answered_at.get(part)
    if latest_at is None:
        return False
    if latest_at > crash.at:
        return True
    later_crashes = sum(
        part in each.parts and each.at > latest_at for each in crashes
    )
    return later_crashes < MAX_CRASHES_SINCE_ANSWER
