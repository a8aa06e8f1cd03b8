"""Test what an entry knows of the age of its configuration."""

from __future__ import annotations

from amaranthrail.clock import Clock
from amaranthrail.direct.clusterstate import ClusterState, ConfigurationView
from amaranthrail.direct.ports import StoreRecord
from amaranthrail.platform.program import WIRE_FORMAT

from .platformbuild import FakeTime, configuration


def new_cluster(time: FakeTime) -> ClusterState:
    return ClusterState(Clock(time), WIRE_FORMAT)


def test_the_view_states_the_age_of_the_latest_read() -> None:
    time = FakeTime()
    cluster = new_cluster(time)
    assert cluster.configuration_view == ConfigurationView(0, None)
    cluster.apply_configuration(
        StoreRecord('config', configuration(3)), 'store'
    )
    cluster.record_configuration_read()
    time.advance_ms(250)
    assert cluster.configuration_view == ConfigurationView(3, 250)


def test_the_view_states_a_later_version_that_an_entry_reported() -> None:
    time = FakeTime()
    cluster = new_cluster(time)
    cluster.record_peer_version(9, '10.0.0.1')
    time.advance_ms(400)
    assert cluster.configuration_view == ConfigurationView(0, None, 9, 400)
    cluster.apply_deployment(configuration(9), '10.0.0.1')
    assert cluster.configuration_view == ConfigurationView(9, None)
