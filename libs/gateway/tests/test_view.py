from __future__ import annotations

from collections.abc import Callable

import attrs
import pytest

from teaseldyke.gateway import view as module
from teaseldyke.gateway.view import FleetView
from teaseldyke.types import AnnouncedServer, RoutingTable

MakeServer = Callable[..., AnnouncedServer]


class Clock:
    def __init__(self) -> None:
        self.now_s = 100.0

    def __call__(self) -> float:
        return self.now_s


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr(module, "boot_time_s", clock)
    return clock


def usable(view: FleetView) -> list[str]:
    return sorted(state.server.id for state in view.states_of("app"))


class TestServers:
    def test_a_vanished_server_gets_no_requests(
        self, clock: Clock, view: FleetView, make_server: MakeServer
    ) -> None:
        clock.now_s += 60.0
        view.apply_servers([make_server("a"), make_server("b")])
        view.apply_servers([make_server("b")])
        assert usable(view) == ["b"]

    @pytest.mark.parametrize(("after_s", "expected"), [(1.0, ["a", "b"]), (1.9, ["b"])])
    @pytest.mark.parametrize(
        "store_is_back", [True, False], ids=["entry-lapsed", "reported-by-peers"]
    )
    def test_removal_around_a_store_outage_takes_effect_after_a_grace_period(
        self,
        clock: Clock,
        view: FleetView,
        make_server: MakeServer,
        store_is_back: bool,
        after_s: float,
        expected: list[str],
    ) -> None:
        """Entries may lapse in an outage; live servers renew theirs within 2 s."""
        view.apply_servers([make_server("a"), make_server("b")])
        view.set_store_available(False, "refused")
        clock.now_s += 5.0
        view.set_store_available(store_is_back, "back")
        view.apply_servers([make_server("b")])
        clock.now_s += after_s
        view.refresh()
        assert usable(view) == expected

    @pytest.mark.parametrize("outage_after_s", [0.5, 3.0])
    def test_server_removed_before_an_outage_stays_out(
        self,
        clock: Clock,
        view: FleetView,
        make_server: MakeServer,
        outage_after_s: float,
    ) -> None:
        """It came back into use during the outage, or for 1.8 s after it."""
        clock.now_s += 60.0
        view.apply_servers([make_server("a"), make_server("b")])
        view.apply_servers([make_server("b")])
        for available, after_s in ((False, outage_after_s), (True, 1.0)):
            clock.now_s += after_s
            view.set_store_available(available, "test")
            view.refresh()
            assert usable(view) == ["b"]

    def test_a_restart_under_the_same_id_discards_state(
        self, view: FleetView, make_server: MakeServer
    ) -> None:
        view.apply_servers([make_server("a")])
        (before,) = view.states_of("app")
        before.cached_parts["part"] = 1.0
        view.apply_servers([make_server("a", started=2, cold_for_s=3.0)])
        (after,) = view.states_of("app")
        assert after is not before
        assert not after.cached_parts
        assert after.is_cold(after.cold_until_s - 1.0)

    def test_a_heartbeat_keeps_state(
        self, view: FleetView, make_server: MakeServer
    ) -> None:
        view.apply_servers([make_server("a")])
        (before,) = view.states_of("app")
        view.apply_servers([make_server("a", slots=8)])
        (after,) = view.states_of("app")
        assert after is before
        assert after.server.slots == 8

    def test_a_cold_period_without_a_rate_is_no_limit(
        self, view: FleetView, make_server: MakeServer, table: RoutingTable
    ) -> None:
        free = attrs.evolve(table.services["app"], cold_rate_per_s=0.0)
        view.apply_routing(RoutingTable(4, (), (free,), ()))
        view.apply_servers([make_server("a", cold_for_s=5.0)])
        (state,) = view.states_of("app")
        assert not state.is_cold(state.cold_until_s - 1.0)


class TestRestore:
    @pytest.mark.parametrize("started", [1, 2], ids=["known-start", "unseen-start"])
    def test_removed_server_stays_out_until_its_entry_has_lasted(
        self,
        clock: Clock,
        view: FleetView,
        make_server: MakeServer,
        started: int,
    ) -> None:
        """A start that came and went between two reads looked like a new one."""
        clock.now_s += 60.0
        view.apply_servers([make_server("a"), make_server("b")])
        view.apply_servers([make_server("b")])
        clock.now_s += 4.0
        restored = [make_server("a", started=started), make_server("b")]
        view.apply_servers(restored, restored=True)
        for after_s, expected in ((0.0, ["b"]), (5.0, ["b"]), (1.0, ["a", "b"])):
            clock.now_s += after_s
            view.apply_servers(restored)
            assert usable(view) == expected


class TestEvacuation:
    def test_servers_are_cold_after_an_evacuation_of_their_domain(
        self, clock: Clock, view: FleetView, make_server: MakeServer
    ) -> None:
        view.apply_servers([make_server("a"), make_server("b", failure_domain="b")])
        view.apply_evacuated(frozenset({"b"}))
        assert usable(view) == ["a"]
        clock.now_s += 10.0
        view.apply_evacuated(frozenset())
        assert usable(view) == ["a", "b"]
        far = view.state("b")
        near = view.state("a")
        assert far is not None
        assert near is not None
        assert far.is_cold(clock.now_s + 2.9)
        assert not near.is_cold(clock.now_s)


@pytest.mark.parametrize(("version", "expected"), [(2, 3), (3, 3), (4, 4)])
def test_older_configurations_are_ignored(
    view: FleetView, version: int, expected: int
) -> None:
    view.apply_routing(RoutingTable(version, (), (), ()))
    assert view.table is not None
    assert view.table.version == expected
