"""Admit each attempt at most once and keep every "not run" refusal final."""

from __future__ import annotations

from ..clock import Clock
from ..configuration import Configuration
from ..frames import Dispatch
from ..outcomes import Reason, Refusal, not_run
from ..types import Incarnation
from .run import Run

#: A dispatch based on a heartbeat older than this is refused.
MAX_DISPATCH_AGE_MS = 3000.0
#: How long a voided id is kept. It must be longer than a duplicate of the
#: dispatch can stay under the age limit above.
VOID_RETENTION_MS = 4 * MAX_DISPATCH_AGE_MS
#: How long an ended keyed run stays available to queries.
KEYED_RETENTION_MS = 900_000.0
#: How long an ended run can be found by its request id, for its entry to
#: receive the rest of the response. A keyed run stays longer under its intent.
RESPONSE_RETENTION_MS = 30_000.0


class DispatchGate:
    """Admit, deduplicate or refuse the dispatches for this upstream.

    Runs are indexed by request id and, for work with an idempotency key, by
    that key and by intent, the id of one attempt. A voided id is refused for as
    long as a duplicate of its dispatch could be under the age limit; after that
    the duplicate is refused as stale.
    """

    def __init__(
        self,
        upstream: str,
        incarnation: Incarnation,
        clock: Clock,
        configuration: Configuration,
    ) -> None:
        """Start without runs: a new incarnation knows none of earlier ones."""
        self._upstream = upstream
        self._incarnation = incarnation
        self._clock = clock
        self._configuration = configuration
        self._by_request: dict[str, Run] = {}
        self._by_intent: dict[str, Run] = {}
        self._by_key: dict[str, Run] = {}
        self._voided: dict[str, float] = {}
        self._shutting_down = False

    @property
    def is_draining(self) -> bool:
        """Tell whether a drain order or a shutdown makes it refuse new work."""
        drained = self._configuration.is_draining(self._upstream)
        return self._shutting_down or drained

    @property
    def record_count(self) -> int:
        """Return the size of the request, intent and void tables together."""
        return len(self._by_request) + len(self._by_intent) + len(self._voided)

    def start_shutdown(self) -> None:
        """Refuse new work until the process ends."""
        self._shutting_down = True

    def find_run(self, request: str) -> Run | None:
        """Return the run with a request id, None if it is not kept."""
        return self._by_request.get(request)

    def check_dispatch(self, dispatch: Dispatch) -> Run | Refusal | None:
        """Return the run that a dispatch duplicates, a refusal, or None.

        None admits the dispatch. A refusal voids its ids, so that no later
        duplicate runs.
        """
        duplicated = self._find_duplicate(dispatch)
        if duplicated is not None:
            return duplicated
        refusal = self._refuse(dispatch)
        if refusal is not None:
            self.void(dispatch.request)
            self.void(dispatch.intent)
        return refusal

    def add_run(self, run: Run) -> None:
        """Index an admitted run by request id and, if keyed, intent and key."""
        self._by_request[run.dispatch.request] = run
        if run.dispatch.intent:
            self._by_intent[run.dispatch.intent] = run
            self._by_key[run.key] = run

    def find_run_by_key(self, key: str) -> Run | None:
        """Return the latest run with a qualified idempotency key, if kept."""
        return self._by_key.get(key)

    def find_or_void(self, intent: str) -> Run | None:
        """Return the run of an attempt; void the attempt if there is none."""
        run = self._by_intent.get(intent)
        if run is None:
            self.void(intent)
        return run

    def void(self, dispatch_id: str) -> None:
        """Refuse dispatches with a request id or intent; ignore an empty id."""
        if dispatch_id:
            self._voided[dispatch_id] = self._clock.now() + VOID_RETENTION_MS

    def discard_run(self, request: str) -> None:
        """Drop an ended run's request id: its entry has the whole response.

        A keyed run can still be found by its intent and key.
        """
        run = self._by_request.get(request)
        if run is not None and run.ended:
            del self._by_request[request]

    def sweep(self) -> None:
        """Drop voided ids and ended runs whose retention time is over."""
        now = self._clock.now()
        self._voided = {
            dispatch_id: expires_at
            for dispatch_id, expires_at in self._voided.items()
            if expires_at > now
        }
        self._by_request = _drop_finished(
            self._by_request,
            now - RESPONSE_RETENTION_MS,
        )
        self._by_intent = _drop_finished(
            self._by_intent,
            now - KEYED_RETENTION_MS,
        )
        self._by_key = _drop_finished(self._by_key, now - KEYED_RETENTION_MS)

    def unfinished_runs(self) -> list[Run]:
        """Return the runs that wait for a slot or occupy one."""
        return [run for run in self._by_request.values() if not run.ended]

    def count_undelivered(self) -> int:
        """Return how many responses are awaited and not acknowledged in full.

        The entry of a run that it has cancelled acknowledges nothing.
        """
        return sum(not run.abandoned for run in self._by_request.values())

    def _find_duplicate(self, dispatch: Dispatch) -> Run | None:
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
        if self.is_draining:
            return not_run(Reason.DRAINING, 'the upstream is leaving')
        return None


def _drop_finished(runs: dict[str, Run], cutoff: float) -> dict[str, Run]:
    return {
        run_id: run
        for run_id, run in runs.items()
        if run.finished_at is None or run.finished_at > cutoff
    }
