"""Run soak tests with random faults: ``python -m soak --seeds 50``."""

from __future__ import annotations

import random
import sys
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import trio
import typer

from standins.platformfleet import platform_fleet

from .callers import Caller
from .observations import Observations
from .promises import find_violations
from .schedule import ScheduledFault, schedule_faults, schedule_restarts
from .testbed import Testbed

#: Seeds that have failed once, with the cause; they run first.
FAILED_SEEDS = Path(__file__).with_name('failed_seeds.txt')
#: Time after the last fault until calls must be served again, and time for
#: which they are then checked, in seconds.
RECOVERY_S = 6.0
RECOVERY_CHECK_S = 2.0
MAX_SEED = 1_000_000
_RESTARTS_OPTION = '--restarts-only'
_app = typer.Typer()


@dataclass(frozen=True, slots=True)
class RunSize:
    """Hold the duration of the faults in seconds, and the process counts."""

    seconds: float = 12
    entries: int = 3
    replicas: int = 6
    callers: int = 8
    restarts_only: bool = False

    def faults(self, seed: int) -> tuple[ScheduledFault, ...]:
        """Return the faults of a seed."""
        schedule = schedule_restarts if self.restarts_only else schedule_faults
        return schedule(seed, self.seconds)


async def soak_once(seed: int, size: RunSize) -> Observations:
    """Run one seed; return what was observed."""
    async with platform_fleet() as fleet, trio.open_nursery() as nursery:
        testbed = Testbed(fleet, nursery)
        await testbed.start(size.entries, size.replicas)
        hosts = [entry.host for entry in testbed.entries]
        callers = [
            Caller(number, seed, hosts) for number in range(size.callers)
        ]
        for caller in callers:
            caller.start()
        await testbed.inject_faults(size.faults(seed))
        await testbed.wait_ready()
        await trio.sleep(RECOVERY_S)
        testbed.observations.recovered_from = time.time()
        await trio.sleep(RECOVERY_CHECK_S)
        await _stop_callers(callers, testbed.observations)
        await testbed.check_versions()
        testbed.close()
        nursery.cancel_scope.cancel()
    return testbed.observations


async def _stop_callers(
    callers: list[Caller], observations: Observations
) -> None:
    """Stop the callers and collect their records."""
    for caller in callers:
        caller.stop()
    for caller in callers:
        await trio.to_thread.run_sync(caller.join)
        observations.calls.extend(caller.calls)


@_app.command()
def main(
    seeds: Annotated[int, typer.Option(help='New seeds to run.')] = 5,
    seconds: Annotated[float, typer.Option(help='Seconds of faults.')] = 12,
    first: Annotated[int, typer.Option(help='First new seed; 0: random.')] = 0,
    entries: Annotated[int, typer.Option(help='Entry processes.')] = 3,
    replicas: Annotated[int, typer.Option(help='Replicas.')] = 6,
    callers: Annotated[int, typer.Option(help='Concurrent callers.')] = 8,
    *,
    restarts_only: Annotated[
        bool, typer.Option(help='Only restarts, reloads and configurations.')
    ] = False,
) -> None:
    """Run failed and new seeds; exit with 1 if a guarantee was violated."""
    size = RunSize(seconds, entries, replicas, callers, restarts_only)
    start = first or random.SystemRandom().randrange(1, MAX_SEED)
    kept_seeds = failed_seeds(restarts_only=restarts_only)
    selected = [*kept_seeds, *range(start, start + seeds)]
    failed_count = 0
    for seed in selected:
        observations = trio.run(soak_once, seed, size)
        failed_count += _print_result(seed, size, observations)
    sys.stdout.write(
        f'{len(selected)} seeds, {failed_count} with a broken promise\n'
    )
    sys.exit(bool(failed_count))


def failed_seeds(*, restarts_only: bool = False) -> list[int]:
    """Read the seeds that are kept as regression cases of a kind of run."""
    lines = [
        line
        for line in FAILED_SEEDS.read_text().splitlines()
        if (_RESTARTS_OPTION in line) is restarts_only
    ]
    first_words = (line.partition(' ')[0] for line in lines)
    return [int(seed) for seed in first_words if seed.isdecimal()]


def _print_result(seed: int, size: RunSize, observations: Observations) -> bool:
    """Print the result of a seed; return whether a guarantee was violated."""
    violations = find_violations(observations)
    faults = size.faults(seed)
    call_count = len(observations.calls)
    served = sum(call.complete for call in observations.calls)
    sys.stdout.write(
        f'seed {seed}: {len(faults)} faults, {call_count} calls, '
        f'{served} answered, {len(violations)} promises broken\n',
    )
    details = [*violations, *map(str, faults)] if violations else []
    for line in (*details, *_log_lines(violations, observations)):
        sys.stdout.write(f'  {line}\n')
    sys.stdout.flush()
    return bool(violations)


def _log_lines(
    violations: list[str], observations: Observations
) -> Iterator[str]:
    """Yield what entries logged on violating calls and on their shutdowns."""
    attempts = [f'"{violation.partition(" ")[0]}"' for violation in violations]
    marks = ('leaving', 'cut off', *attempts) if attempts else ()
    for host, log in observations.logs.items():
        for line in log.splitlines():
            if any(mark in line for mark in marks):
                yield f'{host}: {line}'


if __name__ == '__main__':
    _app()
