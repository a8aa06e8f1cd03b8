"""Name the faults that are tried on a running fleet, and their ends."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from standins.calling import http_call
from standins.fleet import Fleet
from standins.launch import UpstreamProcess

Act = Callable[[Fleet], None]


@dataclass(frozen=True)
class Fault:
    """Hold how a fault begins and how it ends."""

    name: str
    begin: Act
    end: Act


def _victim(fleet: Fleet) -> UpstreamProcess:
    return fleet.of_service(fleet.deployment.plain)[0]


def _nothing(_fleet: Fleet) -> None:
    """Leave all as it is."""


def _restart_entry(fleet: Fleet) -> None:
    fleet.entries[0].child.restart()
    fleet.wait_entry_answers(fleet.entries[0])


def _platform(**faults: object) -> Act:
    return lambda fleet: fleet.fault_platform(**faults)


def _upstream(**faults: object) -> Act:
    def act(fleet: Fleet) -> None:
        http_call(_victim(fleet).url, 'POST', '/control/faults', faults)

    return act


def _relays(act: str, *arguments: object) -> Act:
    def each(fleet: Fleet) -> None:
        for one in fleet.of_service(fleet.deployment.plain):
            getattr(one.relay, act)(*arguments)

    return each


FAULTS = (
    Fault(
        'entry killed',
        lambda fleet: fleet.entries[0].child.kill(),
        _restart_entry,
    ),
    Fault(
        'entry paused',
        lambda fleet: fleet.entries[0].child.pause(),
        lambda fleet: fleet.entries[0].child.resume(),
    ),
    Fault(
        'sidecar killed',
        lambda fleet: _victim(fleet).sidecar.kill(),
        lambda fleet: _victim(fleet).sidecar.restart(),
    ),
    Fault(
        'sidecar paused',
        lambda fleet: _victim(fleet).sidecar.pause(),
        lambda fleet: _victim(fleet).sidecar.resume(),
    ),
    Fault(
        'upstream paused',
        lambda fleet: _victim(fleet).child.pause(),
        lambda fleet: _victim(fleet).child.resume(),
    ),
    Fault(
        'upstream cuts',
        _upstream(cut_after_bytes=9),
        _upstream(cut_after_bytes=None),
    ),
    Fault('upstream stalls', _upstream(stall=True), _upstream(stall=False)),
    Fault('connections cut', _relays('cut'), _nothing),
    Fault('connections silent', _relays('silence'), _nothing),
    Fault('messages late', _relays('delay', 400), _relays('delay', 0)),
    Fault('log down', _platform(log='down'), _platform(log='up')),
    Fault('log slow', _platform(log='slow'), _platform(log='up')),
    Fault(
        'log loses answers', _platform(log='lose_answers'), _platform(log='up')
    ),
    Fault(
        'host list lags',
        _platform(hosts_lag_ms=10_000),
        _platform(hosts_lag_ms=0),
    ),
)
