from __future__ import annotations

import attrs
import pytest

from teaseldyke.dispatch.records import RouterRecord

from .reports import REPORT


class TestReset:
    @pytest.mark.parametrize(
        ("process_ended", "is_accepted"),
        [
            pytest.param(False, True, id="silent-or-not-yet-a-member"),
            pytest.param(True, False, id="process-gone"),
        ],
    )
    def test_lost_router_may_report_again_unless_its_process_ended(
        self, process_ended: bool, is_accepted: bool
    ) -> None:
        record = RouterRecord("router-2")
        record.update(attrs.evolve(REPORT, incarnation=7, seq=3), now_s=1.0)
        record.reset(process_ended=process_ended)
        assert (
            record.is_superseded_by(attrs.evolve(REPORT, incarnation=7, seq=4))
            is is_accepted
        )
