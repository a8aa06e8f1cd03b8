"""Name the faults that are tried on a running fleet, and their ends."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from standins.fleet import Fleet
from standins.launch import UpstreamProcess

from .evidence import Seen

Act = Callable[[Fleet], None]
#: A filing takes some 20 ms where nothing is wrong.
WAITED_S = 1.0
LATE_MS = 400.0


@dataclass(frozen=True)
class Fault:
    """Hold how a fault begins, how it ends, and how it is felt."""

    name: str
    begin: Act
    end: Act
    #: None where callers cannot notice it by itself.
    felt: Callable[[Seen], bool] | None


def _somebody_got_nothing(seen: Seen) -> bool:
    return seen.told['nothing'] > 0


def _somebody_waited(seen: Seen) -> bool:
    return seen.longest_s > WAITED_S


def _a_peer_was_lost(seen: Seen) -> bool:
    return seen.peers_lost > 0


def _all_were_slow(seen: Seen) -> bool:
    return seen.longest_s > LATE_MS / 1000


def _somebody_was_unsure(seen: Seen) -> bool:
    return seen.told['unknown 504'] > 0


def _answers_were_lost(seen: Seen) -> bool:
    return seen.appends_unanswered > 0


def _somebody_was_refused(seen: Seen) -> bool:
    return seen.told['not-run 503'] > 0


def _victim(fleet: Fleet) -> UpstreamProcess:
    return fleet.upstreams_of(fleet.deployment.plain)[0]


def _nothing(_fleet: Fleet) -> None:
    """Leave all as it is."""


def _restart_entry(fleet: Fleet) -> None:
    fleet.entries[0].child.restart()
    fleet.wait_entry_responds(fleet.entries[0])


def _platform(**faults: object) -> Act:
    return lambda fleet: fleet.set_platform_faults(**faults)


def _upstream(**faults: object) -> Act:
    return lambda fleet: _victim(fleet).set_faults(**faults)


def _relays(act: str, *arguments: object) -> Act:
    def each(fleet: Fleet) -> None:
        for one in fleet.upstreams_of(fleet.deployment.plain):
            getattr(one.relay, act)(*arguments)

    return each


FAULTS = (
    Fault(
        'entry killed',
        lambda fleet: fleet.entries[0].child.kill(),
        _restart_entry,
        _somebody_got_nothing,
    ),
    Fault(
        'entry paused',
        lambda fleet: fleet.entries[0].child.pause(),
        lambda fleet: fleet.entries[0].child.resume(),
        _somebody_waited,
    ),
    Fault(
        'sidecar killed',
        lambda fleet: _victim(fleet).sidecar.kill(),
        lambda fleet: _victim(fleet).sidecar.restart(),
        _a_peer_was_lost,
    ),
    Fault(
        'sidecar paused',
        lambda fleet: _victim(fleet).sidecar.pause(),
        lambda fleet: _victim(fleet).sidecar.resume(),
        _a_peer_was_lost,
    ),
    Fault(
        'upstream paused',
        lambda fleet: _victim(fleet).child.pause(),
        lambda fleet: _victim(fleet).child.resume(),
        _somebody_waited,
    ),
    Fault(
        'upstream cuts',
        _upstream(cut_after_bytes=9),
        _upstream(cut_after_bytes=None),
        _somebody_was_unsure,
    ),
    Fault(
        'upstream stalls',
        _upstream(stall=True),
        _upstream(stall=False),
        _somebody_waited,
    ),
    Fault('connections cut', _relays('cut'), _nothing, _a_peer_was_lost),
    Fault(
        'connections silent', _relays('blackhole'), _nothing, _a_peer_was_lost
    ),
    Fault(
        'messages late',
        _relays('delay', LATE_MS),
        _relays('delay', 0),
        _all_were_slow,
    ),
    Fault(
        'log down',
        _platform(log='down'),
        _platform(log='up'),
        _somebody_was_refused,
    ),
    Fault(
        'log slow',
        _platform(log='slow'),
        _platform(log='up'),
        _somebody_waited,
    ),
    Fault(
        'log loses answers',
        _platform(log='lose_answers'),
        _platform(log='up'),
        _answers_were_lost,
    ),
    Fault(
        'host list lags',
        _platform(hosts_lag_ms=10_000),
        _platform(hosts_lag_ms=0),
        None,
    ),
)
