"""Test that an entry that works with sidecars answers all calls it took."""

from __future__ import annotations

import signal
import time
from concurrent.futures import ThreadPoolExecutor

from standins.fleet import running_fleet
from standins.launch import FleetPlan

#: Time by which an administration call has been read, in seconds.
READ_S = 0.5


def test_an_administration_call_at_the_end_of_an_entry_is_answered() -> None:
    """Guards against changes whose author does not learn what became of them.

    The log is down, so that the call is in progress when SIGTERM comes.
    """
    plan = FleetPlan(entries=1, replicas=1, services=1)
    with running_fleet(plan) as fleet, ThreadPoolExecutor(1) as pool:
        fleet.set_platform_faults(log='down')
        order = {
            'upstream': fleet.upstreams[0].name,
            'draining': True,
            'author': 'test',
        }
        drain = pool.submit(fleet.admin_call, 'POST', '/v1/drain', order)
        time.sleep(READ_S)
        fleet.entries[0].child.send(signal.SIGTERM)
        assert drain.result().status == 202
        assert fleet.entries[0].child.wait(10) == 0
