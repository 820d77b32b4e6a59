"""Ways in which an instance ends an answer or a connection by itself (LOST)."""

from __future__ import annotations

from typing import Any

import pytest

from teaseldyke.gateway import calls
from tests.platform.conftest import Fleet, configuration, script_all, wait_until
from tests.platform.standins import reset, stream_of


class TestRecord:
    @pytest.mark.parametrize(
        ("target", "reason", "started"),
        [("/none/a", "route_unknown", "no"), ("/single/a", "server_broke", "yes")],
    )
    async def test_ended_answer_tells_versions_and_age_of_the_configuration(
        self,
        fleet: Fleet,
        monkeypatch: pytest.MonkeyPatch,
        target: str,
        reason: str,
        started: str,
    ) -> None:
        lines: list[dict[str, Any]] = []

        def log(event: str, **fields: Any) -> None:
            lines.append({"event": event, **fields})

        monkeypatch.setattr(calls, "log_decision", log)
        counter = calls.ANSWERS_ENDED.bind(reason=reason, started=started)
        before = counter.value
        view = fleet.gateways[0].view
        fleet.store.put("op", "config", configuration(7))
        await wait_until(lambda: view.table is not None and view.table.version == 7)
        script_all(fleet, stream_of(1, 9, cut_after=3), reset)
        await fleet.caller().request(target)
        (line,) = lines
        assert line["code"] == reason
        assert line["cut"] == (started == "yes")
        assert line["in_force"] == 7
        assert 0.0 <= line["in_force_s"] < 5.0
        assert counter.value == before + 1
