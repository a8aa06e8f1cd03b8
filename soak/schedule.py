"""Draw the faults of one soak run from its seed."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum

from .shutdowncallers import LEAD_S

#: Mean number of faults that start in a second; most last longer, so they
#: overlap.
FAULTS_PER_S = 0.9
#: The same for the faults in _ADDED_FAULTS.
ADDED_FAULTS_PER_S = 0.25
#: Time without faults at the start of a run, in seconds.
FAULT_FREE_START_S = 1.0
#: Shortest and longest duration of a fault, in seconds.
MIN_FAULT_S = 0.3
MAX_FAULT_S = 3.0
#: Duration of a limit, in seconds: it is checked over 4 s, from 3 s on.
LIMITED_S = 8.0
#: Evacuations that start in a second, and the shortest duration of one in
#: seconds: it is checked from 5 s on. Shorter runs have none.
EVACUATIONS_PER_S = 1 / 12
MIN_EVACUATED_S = 8.0
#: Rewinds of the store in a second, in the same runs, and the longest time by
#: which one follows the start or the end of an evacuation, in seconds.
REWINDS_PER_S = 1 / 12
MAX_REWIND_LAG_S = 0.3
#: Replicas that become cold in a second, in the same runs, and the shortest
#: time for which one is cold, in seconds: it is checked from 2 s on.
COLD_PER_S = 1 / 6
MIN_COLD_S = 4.0
#: Groups of callers that read slowly and start in a second, in the same runs.
SLOW_READERS_PER_S = 1 / 12
#: Series of restarts that start in a second, in the same runs.
RESTARTS_PER_S = 1 / 12
#: Longest pause between two SIGTERM of a series, longest time for which a
#: process is stopped as it gets one, and the time in which the other operations
#: of a series follow the start of an entry's callers, in seconds.
_MAX_RESTART_GAP_S = 2.0
_MAX_SIGNAL_LAG_S = 0.8
_SERIES_MARGIN_S = 8.0


class Fault(Enum):
    """Name a fault of an entry, the store, a replica or a network path.

    The last part of a path fault's value selects its effect.
    """

    ENTRY_KILLED = 'entry-killed'
    ENTRY_PAUSED = 'entry-paused'
    ENTRY_SHUT_DOWN = 'entry-told-to-leave'
    ENTRY_RELOADED = 'entry-reloaded'
    ALL_ENTRIES_KILLED = 'all-entries-killed'
    STORE_REFUSING = 'store-refusing'
    STORE_SILENT = 'store-silent'
    STORE_BUSY = 'store-busy'
    STORE_MALFORMED = 'store-malformed'
    STORE_COMPACTED = 'store-forgets'
    STORE_PATH_SLOW = 'store-path-slow'
    STORE_PATH_RESET = 'store-path-reset'
    STORE_PATH_BLACKHOLED = 'store-path-silenced'
    STORE_PATH_REPLIES_BLACKHOLED = 'store-path-deaf'
    REPLICA_SHEDDING = 'replica-shedding'
    REPLICA_FAILING = 'replica-failing'
    REPLICA_TRUNCATING = 'replica-cutting'
    REPLICA_TRUNCATING_IN_EVENT = 'replica-cutting-in-event'
    REPLICA_UNRESPONSIVE = 'replica-mute'
    REPLICA_WRONG_ATTEMPT_ID = 'replica-crossed'
    REPLICA_UNSIGNED = 'replica-unsigned'
    REPLICA_ENCODED = 'replica-encoded'
    REPLICA_PATH_SLOW = 'replica-path-slow'
    REPLICA_PATH_RESET = 'replica-path-reset'
    REPLICA_PATH_BLACKHOLED = 'replica-path-silenced'
    REPLICA_PATH_REPLIES_BLACKHOLED = 'replica-path-deaf'
    REPLICA_DRAINED = 'replica-leaves'
    REPLICA_REPLACED = 'replica-replaced'
    CONFIGURATION_CHANGED = 'configuration-changed'
    REPLICA_REPEATING_REFUSAL = 'replica-repeating-refusal'
    REPLICA_REPEATING_MISDIRECTED = 'replica-repeating-misdirected'
    REPLICA_LIMITED = 'replica-limited'
    DOMAIN_EVACUATED = 'domain-evacuated'
    STORE_REWOUND = 'store-rewound'
    REPLICA_COLD = 'replica-cold'
    CALLERS_SLOW = 'callers-slow'
    ENTRIES_RESTARTED = 'entries-restarted'


#: Faults that are drawn from a generator of their own, so that a seed keeps the
#: other faults that it had before these were added.
_ADDED_FAULTS = (
    Fault.REPLICA_REPEATING_REFUSAL,
    Fault.REPLICA_REPEATING_MISDIRECTED,
    Fault.REPLICA_LIMITED,
)


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """Hold one fault, its times in seconds since the start, and its target.

    ``target`` is taken modulo the number of entries or replicas.
    """

    starts_s: float
    duration_s: float
    fault: Fault
    target: int

    @property
    def ends_s(self) -> float:
        """Return the time at which the fault ends."""
        return self.starts_s + self.duration_s


def schedule_restarts(seed: int, seconds: float) -> tuple[ScheduledFault, ...]:
    """Return the series of restarts of a run, sorted by start time."""
    restarts = _draw_faults(
        random.Random(f'restarts {seed}'),
        [Fault.ENTRIES_RESTARTED],
        seconds,
        RESTARTS_PER_S,
    )
    return tuple(sorted(restarts, key=lambda scheduled: scheduled.starts_s))


def restart_steps(target: int, entries: int) -> tuple[ScheduledFault, ...]:
    """Return the steps of a series of restarts, sorted by start time.

    It concerns all entries or all but one. The duration of an ENTRY_SHUT_DOWN
    is the time for which the process is stopped as it gets SIGTERM; its target
    is the entry, plus ``entries`` where calls go on to the end of the grace
    period.
    """
    generator = random.Random(f'series {target}')
    count = max(1, entries - generator.randrange(2))
    steps: list[ScheduledFault] = []
    at_s = 0.0
    for entry in generator.sample(range(entries), count):
        at_s += generator.choice((0, generator.uniform(0, _MAX_RESTART_GAP_S)))
        lag_s = generator.choice((0, generator.uniform(0, _MAX_SIGNAL_LAG_S)))
        restart = entry + entries * generator.randrange(2)
        steps.append(
            ScheduledFault(at_s, lag_s, Fault.ENTRY_SHUT_DOWN, restart)
        )
        offsets_s = (0, LEAD_S, generator.uniform(0, _SERIES_MARGIN_S))
        steps.extend(
            ScheduledFault(at_s + offset_s, 0, Fault.ENTRY_RELOADED, entry)
            for offset_s in generator.sample(offsets_s, generator.randrange(3))
        )
    steps.extend(
        ScheduledFault(
            generator.uniform(0, at_s + _SERIES_MARGIN_S),
            0,
            Fault.CONFIGURATION_CHANGED,
            target,
        )
        for _ in range(2)
    )
    return tuple(sorted(steps, key=lambda step: step.starts_s))


def schedule_faults(seed: int, seconds: float) -> tuple[ScheduledFault, ...]:
    """Return the faults of a run of ``seconds``, sorted by start time."""
    later_faults = {
        *_ADDED_FAULTS,
        Fault.DOMAIN_EVACUATED,
        Fault.STORE_REWOUND,
        Fault.REPLICA_COLD,
        Fault.CALLERS_SLOW,
        Fault.ENTRIES_RESTARTED,
    }
    earlier_faults = [fault for fault in Fault if fault not in later_faults]
    faults = [
        *_draw_faults(
            random.Random(seed), earlier_faults, seconds, FAULTS_PER_S
        ),
        *_draw_faults(
            random.Random(f'added {seed}'),
            list(_ADDED_FAULTS),
            seconds,
            ADDED_FAULTS_PER_S,
        ),
    ]
    if seconds >= MIN_EVACUATED_S:
        evacuations = list(
            _draw_faults(
                random.Random(f'evacuation {seed}'),
                [Fault.DOMAIN_EVACUATED],
                seconds,
                EVACUATIONS_PER_S,
            )
        )
        faults.extend(evacuations)
        faults.extend(_draw_rewinds(seed, evacuations, seconds))
        slow = random.Random(f'slow {seed}')
        faults.extend(
            _draw_faults(
                slow, [Fault.CALLERS_SLOW], seconds, SLOW_READERS_PER_S
            )
        )
        cold = random.Random(f'cold {seed}')
        faults.extend(
            _draw_faults(cold, [Fault.REPLICA_COLD], seconds, COLD_PER_S)
        )
        faults.extend(schedule_restarts(seed, seconds))
    return tuple(sorted(faults, key=lambda scheduled: scheduled.starts_s))


def _draw_rewinds(
    seed: int, evacuations: list[ScheduledFault], seconds: float
) -> Iterator[ScheduledFault]:
    """Yield rewinds at any time, or as an evacuation starts or ends."""
    generator = random.Random(f'rewind {seed}')
    rewinds = list(
        _draw_faults(generator, [Fault.STORE_REWOUND], seconds, REWINDS_PER_S)
    )
    for rewind in rewinds:
        evacuation = generator.choice(evacuations)
        lag_s = generator.uniform(0, MAX_REWIND_LAG_S)
        starts_s = generator.choice(
            (
                rewind.starts_s,
                evacuation.starts_s + lag_s,
                evacuation.ends_s + MIN_EVACUATED_S + lag_s,
            )
        )
        yield replace(rewind, starts_s=starts_s)


def _draw_faults(
    generator: random.Random,
    kinds: list[Fault],
    seconds: float,
    faults_per_s: float,
) -> Iterator[ScheduledFault]:
    last_start_s = max(FAULT_FREE_START_S, seconds - MAX_FAULT_S)
    for _ in range(max(1, round(faults_per_s * seconds))):
        yield ScheduledFault(
            generator.uniform(FAULT_FREE_START_S, last_start_s),
            generator.uniform(MIN_FAULT_S, MAX_FAULT_S),
            generator.choice(kinds),
            generator.randrange(1000),
        )
