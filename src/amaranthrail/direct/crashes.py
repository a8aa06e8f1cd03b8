"""Keep the evidence which prompts crash engines, over all entries."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from contextlib import contextmanager

import msgspec

from ..clock import Clock
from ..logs import part_logger
from ..policy.quarantine import (
    Admission,
    Crash,
    Suspicion,
    Verdict,
    find_suspects,
    judge_prompt,
)
from ..types import PromptPart, ServiceName
from .deployment import UpstreamRecord
from .peermessages import AnswerReport, CrashEvidence, CrashReport
from .reporttrigger import ReportTrigger

#: Most parts whose latest answer is remembered, those answered last.
MAX_ANSWERED_PARTS = 8192
#: Most crashes that are remembered, the latest, and most parts of each.
MAX_CRASHES = 16
MAX_PARTS_PER_CRASH = 24
#: Age from which a crash keeps only the parts that no later answer has cleared,
#: in ms: by then all entries have reported their answers.
SETTLE_MS = 5000.0
#: Time for which a crash is remembered, in ms: the longest hold and some more.
CRASH_RETENTION_MS = 4_000_000.0
#: Time after the last report of another entry's trial from which it counts as
#: over, in ms; single reports get lost.
TRIAL_EXPIRY_MS = 450.0
#: Source of a crash that this entry has seen itself, in the log.
OWN_SOURCE = 'own'
_log = part_logger('crashes')


class _CrashKey(msgspec.Struct, frozen=True):
    """Identify a crash: an upstream ends once after each start."""

    service: ServiceName
    upstream: str
    started_at: int


class _AnswerKey(msgspec.Struct, frozen=True):
    service: ServiceName
    part: PromptPart


class CrashRecords:
    """Record crashes and answers, and admit calls by their prompts."""

    def __init__(
        self, clock: Clock, report_trigger: ReportTrigger | None = None
    ) -> None:
        """Start without evidence.

        ``report_trigger`` is used for each crash or trial of this entry.
        """
        self._clock = clock
        self._report_trigger = report_trigger or ReportTrigger()
        self._crashes: OrderedDict[_CrashKey, Crash] = OrderedDict()
        self._answered_at: OrderedDict[_AnswerKey, float] = OrderedDict()
        self._reported_answers: dict[_AnswerKey, float] = {}
        self._own_trials: set[PromptPart] = set()
        self._other_trials_until = 0.0

    def record_answer(
        self, service: ServiceName, parts: Iterable[PromptPart]
    ) -> None:
        """Record that an answer on a prompt with these parts has begun."""
        now = self._clock.now()
        for part in parts:
            key = _AnswerKey(service, part)
            self._answered_at[key] = now
            self._answered_at.move_to_end(key)
        while len(self._answered_at) > MAX_ANSWERED_PARTS:
            self._answered_at.popitem(last=False)

    def record_crash(
        self, upstream: UpstreamRecord, parts: Iterable[PromptPart]
    ) -> None:
        """Record a crash and the parts of a call that had no answer yet."""
        key = _CrashKey(upstream.service, upstream.name, upstream.started_at)
        self._add_crash(key, self._clock.now(), frozenset(parts), OWN_SOURCE)
        self._report_trigger.request()

    def judge(
        self, service: ServiceName, parts: tuple[PromptPart, ...]
    ) -> Verdict:
        """Return how a call with these parts is admitted; see judge_prompt."""
        if not self._has_candidate(service, parts):
            return Verdict(Admission.SEND)
        now = self._clock.now()
        others_try = now < self._other_trials_until
        return judge_prompt(
            parts,
            self._find_suspects(service),
            now,
            trial_in_work=others_try or bool(self._own_trials),
        )

    @contextmanager
    def trial(self, suspects: tuple[PromptPart, ...]) -> Iterator[None]:
        """Tell other entries of the trial of a call while the block runs."""
        _log.info('suspect tried', parts=list(suspects))
        self._own_trials.update(suspects)
        self._report_trigger.request()
        try:
            yield
        finally:
            self._own_trials.difference_update(suspects)

    def evidence(self) -> CrashEvidence:
        """Return what other entries need to know, for a report."""
        now = self._clock.now()
        # Before crashes are settled: an entry that has just reported a part
        # lacks the answer that clears it.
        answers = [
            AnswerReport(
                key.service, key.part, round(now - self._answered_at[key])
            )
            for key in self._candidates() & self._answered_at.keys()
        ]
        self._settle_crashes(now)
        crashes = [
            CrashReport(
                key.service,
                key.upstream,
                key.started_at,
                round(now - crash.at),
                sorted(crash.parts),
            )
            for key, crash in self._crashes.items()
        ]
        return CrashEvidence(crashes, answers, sorted(self._own_trials))

    def apply_evidence(self, evidence: CrashEvidence, host: str) -> None:
        """Add what another entry knows.

        A crash keeps the time of its first report, and reported answers are
        not reported on, so that times do not drift as reports go round.
        """
        now = self._clock.now()
        for crash in evidence.crashes:
            key = _CrashKey(
                ServiceName(crash.service), crash.upstream, crash.started_at
            )
            parts = frozenset(PromptPart(part) for part in crash.parts)
            self._add_crash(key, now - crash.age_ms, parts, host)
        for answer in evidence.answers:
            answer_key = _AnswerKey(
                ServiceName(answer.service), PromptPart(answer.part)
            )
            known_at = self._reported_answers.get(answer_key, 0.0)
            self._reported_answers[answer_key] = max(
                known_at, now - answer.age_ms
            )
        if evidence.trials:
            self._other_trials_until = now + TRIAL_EXPIRY_MS

    def _add_crash(
        self,
        key: _CrashKey,
        at: float,
        parts: frozenset[PromptPart],
        source: str,
    ) -> None:
        known = self._crashes.get(key)
        if known is not None and parts <= known.parts:
            return
        if known is not None:
            at = known.at
            parts |= known.parts
        kept = self._choose_parts(key.service, parts)
        self._crashes[key] = Crash(at, kept)
        if len(self._crashes) > MAX_CRASHES:
            self._drop_least_telling_crash()
        if known is None or source == OWN_SOURCE:
            _log.warning(
                'upstream crashed before an answer began',
                upstream=key.upstream,
                started_at=key.started_at,
                age_ms=int(self._clock.now() - at),
                source=source,
                parts=sorted(kept),
                suspects=sorted(self._find_suspects(key.service)),
            )

    def _choose_parts(
        self, service: ServiceName, parts: frozenset[PromptPart]
    ) -> frozenset[PromptPart]:
        """Return the parts that are kept, those without answers first."""
        by_answer = sorted(
            parts,
            key=lambda part: (
                self._find_answer(_AnswerKey(service, part)) is not None,
                part,
            ),
        )
        return frozenset(by_answer[:MAX_PARTS_PER_CRASH])

    def _drop_least_telling_crash(self) -> None:
        """Drop the oldest crash without a suspect, or the oldest of all."""
        for key, crash in self._crashes.items():
            if crash.parts.isdisjoint(self._find_suspects(key.service)):
                del self._crashes[key]
                return
        self._crashes.popitem(last=False)

    def _has_candidate(
        self, service: ServiceName, parts: tuple[PromptPart, ...]
    ) -> bool:
        return any(
            part in crash.parts
            for key, crash in self._crashes.items()
            if key.service == service
            for part in parts
        )

    def _find_suspects(
        self, service: ServiceName
    ) -> dict[PromptPart, Suspicion]:
        crashes = [
            crash
            for key, crash in self._crashes.items()
            if key.service == service
        ]
        answered_at: dict[PromptPart, float] = {}
        for key in self._candidates():
            at = self._find_answer(key)
            if key.service == service and at is not None:
                answered_at[key.part] = at
        return find_suspects(crashes, answered_at)

    def _find_answer(self, key: _AnswerKey) -> float | None:
        """Return when the latest answer on a part began at any entry."""
        times = [
            answers[key]
            for answers in (self._answered_at, self._reported_answers)
            if key in answers
        ]
        return max(times, default=None)

    def _candidates(self) -> set[_AnswerKey]:
        """Return the parts that some crash has."""
        return {
            _AnswerKey(key.service, part)
            for key, crash in self._crashes.items()
            for part in crash.parts
        }

    def _settle_crashes(self, now: float) -> None:
        """Drop parts that later answers have cleared, and old crashes.

        Reports stay short; an entry that still has such a part reports it, and
        the answer is reported to it again.
        """
        for key, crash in list(self._crashes.items()):
            age_ms = now - crash.at
            if age_ms < SETTLE_MS:
                continue
            left = frozenset(
                part
                for part in crash.parts
                if not self._is_answered_after(key.service, part, crash.at)
            )
            self._crashes[key] = Crash(crash.at, left)
            if not left or age_ms > CRASH_RETENTION_MS:
                del self._crashes[key]
        candidates = self._candidates()
        self._reported_answers = {
            answer_key: at
            for answer_key, at in self._reported_answers.items()
            if answer_key in candidates
        }

    def _is_answered_after(
        self, service: ServiceName, part: PromptPart, at: float
    ) -> bool:
        answered_at = self._find_answer(_AnswerKey(service, part))
        return answered_at is not None and answered_at > at
