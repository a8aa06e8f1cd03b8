"""Define the faults that tests inject into a running fleet."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from standins.fleet import Fleet
from standins.launch import UpstreamProcess

from .evidence import Seen

Act = Callable[[Fleet], None]
#: Response time that shows the effect of a fault, in seconds; a keyed request
#: takes some 20 ms without one.
WAITED_S = 1.0
RELAY_DELAY_MS = 400.0


@dataclass(frozen=True)
class Fault:
    """Define how a fault is injected, removed, and seen in the evidence."""

    name: str
    inject: Act
    remove: Act
    #: None where callers cannot notice the fault by itself.
    had_effect: Callable[[Seen], bool] | None


def _had_missing_responses(seen: Seen) -> bool:
    return seen.told['nothing'] > 0


def _had_long_waits(seen: Seen) -> bool:
    return seen.longest_s > WAITED_S


def _lost_a_peer(seen: Seen) -> bool:
    return seen.peers_lost > 0


def _had_delayed_responses(seen: Seen) -> bool:
    return seen.longest_s > RELAY_DELAY_MS / 1000


def _had_unknown_outcomes(seen: Seen) -> bool:
    return seen.told['unknown 504'] > 0


def _had_unanswered_appends(seen: Seen) -> bool:
    return seen.appends_unanswered > 0


def _had_refusals(seen: Seen) -> bool:
    return seen.told['not-run 503'] > 0


def _faulty_upstream(fleet: Fleet) -> UpstreamProcess:
    return fleet.upstreams_of(fleet.deployment.plain)[0]


def _no_action(_fleet: Fleet) -> None:
    """Do nothing; the fault ends by itself."""


def _restart_entry(fleet: Fleet) -> None:
    fleet.entries[0].child.restart()
    fleet.wait_entry_responds(fleet.entries[0])


def _set_platform_faults(**faults: object) -> Act:
    return lambda fleet: fleet.set_platform_faults(**faults)


def _set_upstream_faults(**faults: object) -> Act:
    return lambda fleet: _faulty_upstream(fleet).set_faults(**faults)


def _act_on_relays(act: str, *arguments: object) -> Act:
    def act_on_each(fleet: Fleet) -> None:
        for upstream in fleet.upstreams_of(fleet.deployment.plain):
            getattr(upstream.relay, act)(*arguments)

    return act_on_each


FAULTS = (
    Fault(
        'entry killed',
        lambda fleet: fleet.entries[0].child.kill(),
        _restart_entry,
        _had_missing_responses,
    ),
    Fault(
        'entry paused',
        lambda fleet: fleet.entries[0].child.pause(),
        lambda fleet: fleet.entries[0].child.resume(),
        _had_long_waits,
    ),
    Fault(
        'sidecar killed',
        lambda fleet: _faulty_upstream(fleet).sidecar.kill(),
        lambda fleet: _faulty_upstream(fleet).sidecar.restart(),
        _lost_a_peer,
    ),
    Fault(
        'sidecar paused',
        lambda fleet: _faulty_upstream(fleet).sidecar.pause(),
        lambda fleet: _faulty_upstream(fleet).sidecar.resume(),
        _lost_a_peer,
    ),
    Fault(
        'upstream paused',
        lambda fleet: _faulty_upstream(fleet).child.pause(),
        lambda fleet: _faulty_upstream(fleet).child.resume(),
        _had_long_waits,
    ),
    Fault(
        'upstream cuts',
        _set_upstream_faults(cut_after_bytes=9),
        _set_upstream_faults(cut_after_bytes=None),
        _had_unknown_outcomes,
    ),
    Fault(
        'upstream stalls',
        _set_upstream_faults(stall=True),
        _set_upstream_faults(stall=False),
        _had_long_waits,
    ),
    Fault('connections cut', _act_on_relays('cut'), _no_action, _lost_a_peer),
    Fault(
        'connections silent',
        _act_on_relays('blackhole'),
        _no_action,
        _lost_a_peer,
    ),
    Fault(
        'messages late',
        _act_on_relays('delay', RELAY_DELAY_MS),
        _act_on_relays('delay', 0),
        _had_delayed_responses,
    ),
    Fault(
        'log down',
        _set_platform_faults(log='down'),
        _set_platform_faults(log='up'),
        _had_refusals,
    ),
    Fault(
        'log slow',
        _set_platform_faults(log='slow'),
        _set_platform_faults(log='up'),
        _had_long_waits,
    ),
    Fault(
        'log loses answers',
        _set_platform_faults(log='lose_answers'),
        _set_platform_faults(log='up'),
        _had_unanswered_appends,
    ),
    Fault(
        'host list lags',
        _set_platform_faults(hosts_lag_ms=10_000),
        _set_platform_faults(hosts_lag_ms=0),
        None,
    ),
)
