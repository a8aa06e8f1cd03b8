"""Let each attempt in at most once, and make every "not run" final."""

from __future__ import annotations

from ..clock import Clock
from ..configuration import Configuration
from ..frames import Dispatch
from ..outcomes import Reason, Refusal, not_run
from ..types import Incarnation
from .run import Run

#: A dispatch that answers a heartbeat older than this is refused.
MAX_DISPATCH_AGE_MS = 3000.0
#: How long a void must be remembered: longer than a copy can stay fresh.
VOID_RETENTION_MS = 4 * MAX_DISPATCH_AGE_MS
#: How long an ended keyed run answers those who ask for it.
KEYED_KEPT_MS = 900_000.0
#: How long an ended idempotent run waits for its entry to take the rest.
ANSWER_KEPT_MS = 30_000.0


class DispatchGate:
    """Decide what runs at this upstream.

    A run is known by its request id, and by its intent where it has one. What
    has been voided is refused while a copy of its dispatch could still be
    fresh; after that the copy is refused for being stale.
    """

    def __init__(
        self,
        upstream: str,
        incarnation: Incarnation,
        clock: Clock,
        configuration: Configuration,
    ) -> None:
        """Start with no runs, as a fresh incarnation must."""
        self._upstream = upstream
        self._incarnation = incarnation
        self._clock = clock
        self._configuration = configuration
        self._by_request: dict[str, Run] = {}
        self._by_intent: dict[str, Run] = {}
        self._by_key: dict[str, Run] = {}
        self._voided: dict[str, float] = {}
        self._leaving = False

    @property
    def leaving(self) -> bool:
        """Tell whether new work is refused."""
        drained = self._configuration.is_draining(self._upstream)
        return self._leaving or drained

    @property
    def remembered(self) -> int:
        """Return how many runs and voids are kept."""
        return len(self._by_request) + len(self._by_intent) + len(self._voided)

    def leave(self) -> None:
        """Refuse new work from now on."""
        self._leaving = True

    def find(self, request: str) -> Run | None:
        """Return the run of a request id."""
        return self._by_request.get(request)

    def check_dispatch(self, dispatch: Dispatch) -> Run | Refusal | None:
        """Return the run that a dispatch repeats, why it is refused, or None.

        On a refusal the dispatch's ids are void: no later copy will run.
        """
        known = self._known(dispatch)
        if known is not None:
            return known
        refusal = self._refuse(dispatch)
        if refusal is not None:
            self.void(dispatch.request)
            self.void(dispatch.intent)
        return refusal

    def add_run(self, run: Run) -> None:
        """Keep a run that was let in."""
        self._by_request[run.dispatch.request] = run
        if run.dispatch.intent:
            self._by_intent[run.dispatch.intent] = run
            self._by_key[run.key] = run

    def find_key(self, key: str) -> Run | None:
        """Return the latest run of a caller's key."""
        return self._by_key.get(key)

    def find_or_void(self, intent: str) -> Run | None:
        """Return the run of an attempt; where there is none it is void now."""
        run = self._by_intent.get(intent)
        if run is None:
            self.void(intent)
        return run

    def void(self, subject: str) -> None:
        """Refuse a request id or an intent from now on."""
        if subject:
            self._voided[subject] = self._clock.now() + VOID_RETENTION_MS

    def forget(self, request: str) -> None:
        """Drop an idempotent run whose entry has the whole answer."""
        run = self._by_request.get(request)
        if run is not None and run.ended:
            del self._by_request[request]

    def sweep(self) -> None:
        """Drop what nobody can ask for any more."""
        now = self._clock.now()
        self._voided = {
            subject: until
            for subject, until in self._voided.items()
            if until > now
        }
        self._by_request = _young(self._by_request, now - ANSWER_KEPT_MS)
        self._by_intent = _young(self._by_intent, now - KEYED_KEPT_MS)
        self._by_key = _young(self._by_key, now - KEYED_KEPT_MS)

    def unfinished(self) -> list[Run]:
        """Return the runs that have not ended."""
        return [run for run in self._by_request.values() if not run.ended]

    def untaken(self) -> int:
        """Return how many runs still have something to tell an entry."""
        return len(self._by_request)

    def _known(self, dispatch: Dispatch) -> Run | None:
        if dispatch.intent:
            return self._by_intent.get(dispatch.intent)
        return self._by_request.get(dispatch.request)

    def _refuse(self, dispatch: Dispatch) -> Refusal | None:
        if dispatch.incarnation != self._incarnation:
            return not_run(Reason.WRONG_INCARNATION, 'the sidecar restarted')
        if dispatch.request in self._voided or dispatch.intent in self._voided:
            return not_run(Reason.VOIDED, 'asked after before it arrived')
        age_ms = self._clock.now() - dispatch.clock
        if age_ms > MAX_DISPATCH_AGE_MS:
            return not_run(
                Reason.STALE_DISPATCH,
                f'sent on a heartbeat {age_ms:.0f} ms old',
            )
        if dispatch.manifest_version < self._configuration.version:
            return not_run(
                Reason.STALE_MANIFEST,
                f'version {self._configuration.version} is in force',
            )
        if self.leaving:
            return not_run(Reason.DRAINING, 'the upstream is leaving')
        return None


def _young(runs: dict[str, Run], since: float) -> dict[str, Run]:
    return {
        known: run
        for known, run in runs.items()
        if run.finished_at is None or run.finished_at > since
    }
