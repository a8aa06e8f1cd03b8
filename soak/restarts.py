"""Restart the entries of a soak run, also in series and under load."""

from __future__ import annotations

import itertools
import signal
import time
from collections import defaultdict
from collections.abc import Callable

import trio

from standins.calling import is_listening
from standins.platformfleet import EntryProcess, PlatformFleet

from .losses import GRACE_S, RELOAD_S
from .observations import Interval, Observations
from .schedule import Fault, ScheduledFault, restart_steps
from .shutdowncallers import LEAD_S, ShutdownCallers

EffectCheck = Callable[[], bool]


class Restarts:
    """Send SIGTERM and SIGHUP to entries, start them again and record it."""

    def __init__(
        self,
        fleet: PlatformFleet,
        observations: Observations,
        locks: defaultdict[str, trio.Lock],
    ) -> None:
        """Set the fleet, the observations and a lock for each host."""
        self._fleet = fleet
        self._observations = observations
        self._locks = locks
        self._numbers = itertools.count(1)

    def reload(self, entry: EntryProcess) -> None:
        """Change an entry's settings file and send SIGHUP."""
        entry.change_settings(f'{self._fleet.settings(entry)}#\n')
        entry.send_signal(signal.SIGHUP)
        self._observations.reloads.append(
            Interval(time.time(), time.time() + RELOAD_S, entry.host)
        )

    async def shut_down(
        self, entry: EntryProcess, lag_s: float = 0
    ) -> EffectCheck:
        """Send SIGTERM, which is handled ``lag_s`` later; start a process."""
        async with self._locks[entry.host]:
            started_at = time.time()
            was_listening = await trio.to_thread.run_sync(
                is_listening, entry.address
            )
            with trio.move_on_after(GRACE_S):
                sigterm_at = await trio.to_thread.run_sync(
                    _send_sigterm, entry, lag_s
                )
                await entry.wait()
            entry.send_signal(signal.SIGKILL)
            exit_code = await entry.wait()
            ended_at = time.time()
            self._observations.shutdowns.append(
                Interval(started_at, ended_at, entry.host)
            )
            self._observations.sigterms.append(
                Interval(sigterm_at, ended_at, entry.host)
            )
            entry.start(self._fleet.settings(entry))
        # SIGTERM ends a process that does not listen yet.
        expected_codes = (
            {0, -signal.SIGKILL} if was_listening else {0, -signal.SIGTERM}
        )
        return lambda: exit_code in expected_codes

    async def run_series(
        self,
        scheduled: ScheduledFault,
        change_configuration: Callable[[], None],
    ) -> EffectCheck:
        """Take the steps of a series; return when all entries have exited."""
        effect_checks: list[EffectCheck] = []
        entries = self._fleet.entries

        async def take(step: ScheduledFault) -> None:
            entry = entries[step.target % len(entries)]
            if step.fault is Fault.ENTRY_SHUT_DOWN:
                until_grace = step.target >= len(entries)
                effect_checks.append(
                    await self._shut_down_under_load(
                        entry, step.duration_s, until_grace=until_grace
                    )
                )
            elif step.fault is Fault.CONFIGURATION_CHANGED:
                change_configuration()
            elif await trio.to_thread.run_sync(is_listening, entry.address):
                # SIGHUP ends a process whose interpreter has just started.
                self.reload(entry)

        started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            for step in restart_steps(scheduled.target, len(entries)):
                await trio.sleep_until(started_at + step.starts_s)
                nursery.start_soon(take, step)
        return lambda: all(check() for check in effect_checks)

    async def _shut_down_under_load(
        self, entry: EntryProcess, lag_s: float, *, until_grace: bool
    ) -> EffectCheck:
        """Shut an entry down while callers use it until its process ends."""
        prefix = f's{next(self._numbers)}'
        callers = ShutdownCallers(entry.host, prefix, until_grace=until_grace)
        async with self._locks[f'{entry.host} under load']:
            await trio.to_thread.run_sync(callers.start)
            await trio.sleep(LEAD_S)
            check = await self.shut_down(entry, lag_s)
            await trio.to_thread.run_sync(callers.stop)
        self._observations.calls.extend(callers.calls)
        return check


def _send_sigterm(entry: EntryProcess, lag_s: float) -> float:
    """Send SIGTERM to a process that goes on ``lag_s`` later.

    Returns when it had been sent. Runs in a thread, as an event loop that is
    held up by other work would let the process go on later than drawn.
    """
    if lag_s:
        entry.send_signal(signal.SIGSTOP)
    entry.send_signal(signal.SIGTERM)
    sigterm_at = time.time()
    if lag_s:
        time.sleep(lag_s)
        entry.send_signal(signal.SIGCONT)
    return sigterm_at
