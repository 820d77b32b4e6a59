from __future__ import annotations

import json

import pytest

from teaseldyke.adapter.rows import routing_table


def configuration(split: list[tuple[str, float]]) -> bytes:
    """Return a configuration with `app` and a service whose name is unreadable."""
    route = {
        "name": "maps",
        "host": "maps.example",
        "prefix": "/",
        "kind": "idempotent",
        "timeoutMs": 1000,
        "trafficSplit": [{"service": name, "weight": weight} for name, weight in split],
    }
    services = [{"name": "app"}, {"name": 7}]
    return json.dumps({"version": 3, "routes": [route], "services": services}).encode()


class TestRoutingTable:
    @pytest.mark.parametrize(
        ("split", "expected"),
        [
            ([("app", 1.0)], (("app", 1.0),)),
            ([("app", 3.0), ("unreadable", 1.0)], (("app", 3.0),)),
            ([("app", 0.0), ("unreadable", 1.0)], None),
            ([("unreadable", 1.0)], None),
            ([("app", 0.0)], None),
        ],
    )
    def test_split_omits_services_that_can_get_no_requests(
        self,
        split: list[tuple[str, float]],
        expected: tuple[tuple[str, float], ...] | None,
    ) -> None:
        route = routing_table(configuration(split)).match("maps.example", "/x")
        assert (route.split if route else None) == expected
