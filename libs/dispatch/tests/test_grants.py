from __future__ import annotations

from itertools import count

from teaseldyke.dispatch.grants import GrantTable
from teaseldyke.dispatch.messages import Holding, grant_id_of
from teaseldyke.dispatch.records import RouterRecord
from teaseldyke.dispatch.slots import new_slots
from teaseldyke.fairness import Accounts


class TestHoldings:
    def make_book(self) -> tuple[GrantTable, RouterRecord]:
        slots = {"engine": new_slots("engine", (4, 4, 0), 0.5, False)}
        return GrantTable(7, Accounts(), slots, count(1)), RouterRecord("router")

    def test_unknown_grant_is_requested_in_full_and_then_counted(self) -> None:
        grant_table, router = self.make_book()
        grant_table.reconcile_holdings(router, [3], [], seen_seq=0, now_s=1.0)
        assert router.list_all
        holding = Holding(grant_id_of(7, 3), "a", "engine", 1.0, True)
        grant_table.reconcile_holdings(router, [], [holding], seen_seq=0, now_s=1.1)
        assert not router.list_all
        assert grant_table.slots["engine"].running == 1
        grant_table.reconcile_holdings(router, [], [], seen_seq=0, now_s=1.2)
        assert (
            grant_table.slots["engine"].granted
            == grant_table.slots["engine"].running
            == 0
        )
