from __future__ import annotations

from collections.abc import Callable

import pytest

from teaseldyke.gateway.view import FleetView
from teaseldyke.types import (
    AnnouncedServer,
    CallerBounds,
    Route,
    RouteKind,
    RoutingTable,
    ServiceDescription,
)

MakeServer = Callable[..., AnnouncedServer]


@pytest.fixture
def table() -> RoutingTable:
    service = ServiceDescription("app", 100, cold_s=3.0, cold_rate_per_s=10.0)
    route = Route("r", "h", "/r/", RouteKind.IDEMPOTENT, (("app", 1.0),), 3.0, 0.2)
    return RoutingTable(3, (route,), (service,), (), CallerBounds(tokens_per_s=1000.0))


@pytest.fixture
def make_server() -> MakeServer:
    def make(name: str, **fields: object) -> AnnouncedServer:
        values = {
            "id": name,
            "started": 1,
            "service": "app",
            "host": "127.0.0.1",
            "port": 1,
            "failure_domain": "a",
            "slots": 4,
            **fields,
        }
        return AnnouncedServer(**values)  # type: ignore[arg-type]

    return make


@pytest.fixture
def view(table: RoutingTable) -> FleetView:
    view = FleetView(lambda: None)
    view.set_store_available(True, "test")
    view.apply_routing(table)
    return view
