"""Roll-outs at one instance, with what others and the store tell of them."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import pytest

from teaseldyke.gateway import RolloutState
from teaseldyke.gateway import rollouts as module
from teaseldyke.gateway.rollouts import Rollouts
from teaseldyke.gateway.view import FleetView
from teaseldyke.placement import Stage, Work
from teaseldyke.timers import boot_time_s
from teaseldyke.types import AnnouncedServer, RolloutOrder

ORDER = RolloutOrder("app", "v2", 16.0)
NEXT_ORDER = RolloutOrder("app", "v3", 16.0)
WORK = Work("o", 1, 0.0, 1.0, 10.0, 10.0)


@attrs.define
class FleetStandin:
    instances: int = 5
    alive: int = 5
    lag_s: float = 0.0
    own_rank: int = 0

    def rank(self, key: str) -> int:
        return self.own_rank


@attrs.define
class RowsStandin:
    """Rows of states and orders; counts the reads."""

    states: dict[str, tuple[int, str, RolloutState]] = attrs.field(factory=dict)
    written: list[tuple[str, str]] = attrs.field(factory=list)
    reads: int = 0
    orders: list[RolloutOrder] = attrs.field(factory=list)

    async def rollout_states(self) -> dict[str, tuple[int, str, RolloutState]]:
        self.reads += 1
        return dict(self.states)

    async def rollout_orders(self) -> list[RolloutOrder]:
        return list(self.orders)

    async def write_rollout_state(
        self, service: str, version: str, state: RolloutState, known: int
    ) -> bool:
        if self.states.get(service, (0,))[0] != known:
            return False
        self.states[service] = known + 1, version, state
        self.written.append((version, state.value))
        return True


@attrs.define
class Instance:
    rollouts: Rollouts
    fleet: FleetStandin
    rows: RowsStandin
    view: FleetView
    now_s: float = 1000.0

    def order(self, *orders: RolloutOrder) -> None:
        self.rows.orders = list(orders)
        self.rollouts.apply_orders(orders)

    async def write(self) -> None:
        for service, running in list(self.rollouts._running.items()):
            await self.rollouts._write_if_due(service, running)

    @property
    def stage(self) -> Stage:
        return self.rollouts._running["app"].rollout.stage

    def move_to(self, stage: Stage) -> None:
        self.rollouts._running["app"].rollout._enter(stage, self.now_s)

    def versions(self, sends: int = 400) -> dict[str, int]:
        """Return how many sends each version may get, as sides allow."""
        found: dict[str, int] = {}
        for _ in range(sends):
            side = self.rollouts.assign("app", WORK).side
            for state in self.view.states_of("app"):
                if side is None or side.allows(state.server):
                    name = state.server.version
                    found[name] = found.get(name, 0) + 1
        return found


@pytest.fixture
def instance(
    view: FleetView,
    make_server: Callable[..., AnnouncedServer],
    monkeypatch: pytest.MonkeyPatch,
) -> Instance:
    fleet, rows = FleetStandin(), RowsStandin()
    rollouts = Rollouts(view, fleet, rows, 0.1, 50.0)
    rollouts.apply_orders([])
    made = Instance(rollouts, fleet, rows, view)
    monkeypatch.setattr(module, "boot_time_s", lambda: made.now_s)
    list_versions(made, make_server, "v1", "v2", "v3")
    return made


def list_versions(
    instance: Instance, make_server: Callable[..., AnnouncedServer], *versions: str
) -> None:
    instance.view.apply_servers([make_server(f"e-{v}", version=v) for v in versions])


def remove_version(instance: Instance, version: str) -> None:
    states = instance.view.states_of("app")
    states[:] = [state for state in states if state.server.version != version]


class TestOrders:
    @pytest.mark.parametrize("stage", [Stage.ROLLED_BACK, Stage.COMPLETED])
    def test_end_of_another_order_is_not_adopted(
        self, instance: Instance, stage: Stage
    ) -> None:
        """An instance that had not seen the next order yet ended that one, too."""
        instance.order(ORDER)
        instance.move_to(stage)
        told = instance.rollouts.sums()
        instance.order(NEXT_ORDER)
        instance.rollouts.hear(told)
        assert instance.stage is Stage.TRIAL

    async def test_withdrawn_order_ends_as_rolled_back(
        self, instance: Instance
    ) -> None:
        """The state stayed `running`, and the new version got its share of all."""
        instance.order(ORDER)
        await instance.write()
        instance.order()
        await instance.write()
        assert instance.rows.written == [("v2", "running"), ("v2", "rolled_back")]
        assert "v2" not in instance.versions()

    async def test_replaced_order_ends_as_rolled_back(self, instance: Instance) -> None:
        """Servers of the replaced version counted as old ones of the next order."""
        instance.order(ORDER)
        await instance.write()
        instance.order(NEXT_ORDER)
        for _ in range(2):
            await instance.write()
        assert instance.rows.written[1:] == [("v2", "rolled_back"), ("v3", "running")]
        assert "v2" not in instance.versions()

    async def test_version_of_a_completed_order_is_the_old_one_of_the_next(
        self, instance: Instance
    ) -> None:
        instance.order(ORDER)
        instance.move_to(Stage.COMPLETED)
        instance.order(NEXT_ORDER)
        assert "v2" in instance.versions()

    async def test_instance_behind_the_orders_writes_nothing(
        self, instance: Instance
    ) -> None:
        """It replaced the state of the order that it had not seen yet."""
        instance.order(ORDER)
        instance.rows.states["app"] = 7, "v3", RolloutState.RUNNING
        instance.rows.orders = [NEXT_ORDER]
        await instance.write()
        assert instance.rows.written == []


class TestSums:
    def test_own_answers_are_compared_with_others_of_the_same_time(
        self, instance: Instance
    ) -> None:
        """An instance rolled back by its newest answers as all servers had trouble."""
        instance.fleet.lag_s = 1.0
        instance.order(ORDER)
        running = instance.rollouts._running["app"]
        server = instance.view.states_of("app")[0].server
        instance.rollouts.advance()
        for waited_s, answers in ((0.5, 0), (1.1, 1)):
            instance.rollouts.record(server, "r", is_bad=True)
            instance.now_s += waited_s
            instance.rollouts.advance()
            totals = instance.rollouts._totals_of(running)
            assert len(totals) == answers


class TestRestart:
    def test_restarted_instance_gets_no_slack_again(
        self,
        view: FleetView,
        make_server: Callable[..., AnnouncedServer],
    ) -> None:
        """Each restart in a small fleet sent up to ten requests to a bad version."""
        rollouts = Rollouts(view, FleetStandin(2, 2), RowsStandin(), 0.1, 50.0)
        made = Instance(rollouts, FleetStandin(), RowsStandin(), view)
        list_versions(made, make_server, "v1", "v2")
        rollouts.apply_orders([ORDER])
        made.rollouts._running["app"].rollout.hear(
            Stage.TRIAL, 1.0, boot_time_s() + 2.0
        )
        assert made.stage is Stage.TRIAL
        assert made.versions(10).get("v2", 0) <= 1

    async def test_instance_of_any_rank_reads_the_end_at_its_start(
        self, instance: Instance
    ) -> None:
        """Without word of others, most instances of a large fleet stayed unknown."""
        instance.fleet.own_rank = 60
        instance.order(ORDER)
        instance.move_to(Stage.UNKNOWN)
        instance.rows.states["app"] = 7, "v2", RolloutState.COMPLETED
        await instance.write()
        assert instance.stage is Stage.COMPLETED
        assert instance.rows.written == []


class TestCutOff:
    def test_instance_without_others_stays_at_the_share_of_the_trial(
        self, instance: Instance
    ) -> None:
        """It went on to all requests, as it did not hear of a roll-back."""
        instance.order(ORDER)
        instance.versions(1000)  # uses up the slack
        instance.move_to(Stage.MOVING)
        instance.fleet.alive = 1
        instance.now_s += 4.0
        instance.rollouts.advance()
        assert instance.stage is Stage.MOVING
        assert instance.versions(400)["v2"] <= 0.1 * 400

    async def test_instance_without_others_reads_the_end(
        self, instance: Instance
    ) -> None:
        """It sent to servers that had ended, as only few instances read the state."""
        instance.fleet.own_rank = 60
        instance.order(ORDER)
        instance.rollouts._running["app"].written = Stage.TRIAL
        instance.fleet.alive = 1
        instance.rows.states["app"] = 7, "v2", RolloutState.COMPLETED
        instance.now_s += 5.0
        await instance.write()
        assert instance.stage is Stage.COMPLETED

    @pytest.mark.parametrize(("alive", "written"), [(1, False), (5, True)])
    async def test_instance_without_others_leaves_the_end_to_them(
        self, instance: Instance, alive: int, written: bool
    ) -> None:
        """Its trial ended for want of answers, where others had moved all traffic."""
        instance.order(ORDER)
        await instance.write()
        instance.fleet.alive = alive
        instance.now_s += 15.1
        instance.rollouts.advance()
        assert instance.stage is Stage.ROLLED_BACK
        await instance.write()
        assert (("v2", "rolled_back") in instance.rows.written) is written
        instance.now_s += 1.0
        await instance.write()
        assert ("v2", "rolled_back") in instance.rows.written


class TestNewServers:
    @pytest.mark.parametrize("is_full", [False, True], ids=["gone", "full"])
    def test_old_servers_serve_if_no_new_one_can(
        self,
        instance: Instance,
        is_full: bool,
    ) -> None:
        """Requests were refused or queued beside idle servers of the old version."""
        instance.order(ORDER)
        instance.move_to(Stage.MOVED)
        if is_full:
            for state in instance.view.states_of("app"):
                if state.server.version == "v2":
                    state.mark_full(instance.now_s + 5.0)
        else:
            remove_version(instance, "v2")
        assert instance.versions(10).get("v1") == 10

    @pytest.mark.parametrize(
        ("waited_s", "stage"), [(5.0, Stage.MOVED), (15.5, Stage.ROLLED_BACK)]
    )
    async def test_version_without_servers_is_not_completed(
        self,
        instance: Instance,
        waited_s: float,
        stage: Stage,
    ) -> None:
        """The old servers ended where no new one was left."""
        instance.order(ORDER)
        await instance.write()
        instance.move_to(Stage.MOVED)
        remove_version(instance, "v2")
        instance.now_s += waited_s
        await instance.write()
        assert instance.stage is stage
