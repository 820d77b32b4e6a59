from __future__ import annotations

import pytest

from teaseldyke.dispatch.messages import Report
from teaseldyke.dispatch.records import RouterRecord


def _report(incarnation: int, seq: int) -> Report:
    return Report(
        shard="s",
        incarnation=incarnation,
        seq=seq,
        sent_at_s=0.0,
        echo_incarnation=0,
        echo_seq=0,
        echo_sent_at_s=0.0,
        seen_seq=0,
        members=2,
        promise_changes=1,
        held_for_s=0.0,
        predecessors_gone=False,
        joined=True,
        wants_release=False,
        term=0,
    )


class TestRestart:
    @pytest.mark.parametrize(
        ("has_ended", "is_heard"),
        [
            pytest.param(False, True, id="silent-or-not-yet-a-member"),
            pytest.param(True, False, id="process-gone"),
        ],
    )
    def test_a_lost_router_comes_back_unless_its_process_ended(
        self, has_ended: bool, is_heard: bool
    ) -> None:
        record = RouterRecord("router-2")
        record.take(_report(incarnation=7, seq=3), now_s=1.0)
        record.restart(has_ended=has_ended)
        assert record.is_news(_report(incarnation=7, seq=4)) is is_heard
