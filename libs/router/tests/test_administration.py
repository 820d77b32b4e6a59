from __future__ import annotations

import json
from collections.abc import AsyncIterator
from datetime import UTC, datetime
from functools import partial
from hashlib import sha256
from pathlib import Path
from typing import Any

import attrs
import msgspec
import pytest
import trio

from teaseldyke.configuration import ConfigurationReader, ConfigurationStore
from teaseldyke.http import HttpClient, Response, ServerLimits, serve
from teaseldyke.peers import MemoryNetwork
from teaseldyke.platform import MemoryObjectStore, MemoryTableService
from teaseldyke.router import administration_bodies
from teaseldyke.router.administration import ROUTES, Administration
from teaseldyke.router.administration_access import (
    AUDIT_ROW_DENIALS_MAX,
    AUDIT_TABLE,
    BURST_REQUESTS,
    AccessControl,
    AuditTrail,
)
from teaseldyke.settings import OperatorToken

OPENAPI = Path(__file__).parents[3] / "docs" / "openapi.json"
KEY_HASH = "a" * 64
SHEET = {
    "organisations": {"parish": {"name": "parish", "share": 1.0}},
    "services": {"grants": {"name": "grants", "kind": "plain", "limit": 4}},
    "failure_domains": ["zone-a"],
}
APPLY = {"change_id": "first", "base_version": 0, "sheet": SHEET}
OUT = {
    "change_id": "second",
    "kind": "failure-domain",
    "name": "zone-a",
    "out": True,
}


def _token(name: str, role: Any, expires_at: datetime | None = None) -> OperatorToken:
    return OperatorToken(sha256(name.encode()).hexdigest(), name, role, expires_at)


TOKENS = [
    _token("reader", "read"),
    _token("day", "operate"),
    _token("owner", "own"),
    _token("former", "own", datetime(2026, 1, 1, tzinfo=UTC)),
]


@attrs.define
class Bench:
    """An administration API on a loopback port, with an in-memory platform."""

    administration: Administration
    table: MemoryTableService
    port: int
    client: HttpClient = attrs.field(factory=partial(HttpClient, 5.0))

    async def request(
        self, method: str, path: str, body: Any = None, token: str = "owner"
    ) -> Response:
        headers = [("authorization", f"Bearer {token}")] if token else []
        data = b"" if body is None else json.dumps(body).encode()
        return await self.client.request(
            method, "127.0.0.1", self.port, path, headers=headers, body=data
        )


@pytest.fixture
async def bench(nursery: trio.Nursery) -> AsyncIterator[Bench]:
    table = MemoryTableService()
    store = ConfigurationStore(table, MemoryObjectStore())
    links = MemoryNetwork(nursery).join("router-1")
    reader = ConfigurationReader(store, links, lambda: ["router-2"])
    access = AccessControl(TOKENS, lambda: datetime(2026, 6, 1, tzinfo=UTC))
    audit = AuditTrail(table, "router-1", lambda: 1000.0)
    administration = Administration("router-1", reader, access, audit)
    await nursery.start(reader.run)
    await nursery.start(administration.run)
    listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
    port = listener.socket.getsockname()[1]
    nursery.start_soon(serve, listener, administration.handle, ServerLimits())
    yield Bench(administration, table, port)
    nursery.cancel_scope.cancel()


class TestAccess:
    @pytest.mark.parametrize(
        ("token", "method", "path", "status", "code"),
        [
            ("", "GET", "/v1/status", 401, "token_missing"),
            ("stranger", "GET", "/v1/status", 401, "token_unknown"),
            ("former", "GET", "/v1/status", 401, "token_expired"),
            ("reader", "POST", "/v1/switches", 403, "role_missing"),
            ("day", "POST", "/v1/organisations", 403, "role_missing"),
            ("day", "GET", "/v1/audit", 403, "role_missing"),
        ],
    )
    async def test_a_refused_request_is_audited(
        self,
        bench: Bench,
        token: str,
        method: str,
        path: str,
        status: int,
        code: str,
    ) -> None:
        answer = await bench.request(method, path, token=token)
        assert (answer.status, answer.json()["code"]) == (status, code)
        await bench.administration.audit.write_pending()
        denials = (await bench.request("GET", "/v1/audit")).json()
        assert [(d["path"], d["code"]) for d in denials] == [(path, code)]

    async def test_a_flood_of_wrong_tokens_is_bounded(self, bench: Bench) -> None:
        statuses = set()
        for _ in range(int(BURST_REQUESTS) + 10):
            statuses.add((await bench.request("GET", "/v1/status", token="x")).status)
        assert statuses == {401, 429}
        assert (await bench.request("GET", "/v1/status")).status == 200
        await bench.administration.audit.write_pending()
        assert len(await bench.table.scan(AUDIT_TABLE)) == 1
        denials = (await bench.request("GET", "/v1/audit")).json()
        assert len(denials) == AUDIT_ROW_DENIALS_MAX
        assert (await bench.request("GET", "/v1/audit?after=1001")).json() == []

    @pytest.mark.parametrize("path", ["/healthz", "/metrics"])
    async def test_probes_need_no_token(self, bench: Bench, path: str) -> None:
        assert (await bench.request("GET", path, token="")).status == 200


class TestChanges:
    async def test_a_sheet_comes_into_force_at_once(self, bench: Bench) -> None:
        assert (await bench.request("GET", "/readyz", token="")).status == 503
        answer = await bench.request("PUT", "/v1/sheet", APPLY, "day")
        assert answer.json() == {
            "version": 1,
            "change_id": "first",
            "summary": "add organisations parish; add services grants; "
            "add failure_domains zone-a",
            "repeated": False,
        }
        assert (await bench.request("GET", "/readyz", token="")).status == 200
        found = (await bench.request("GET", "/v1/configuration")).json()
        assert found["sheet"]["organisations"]["parish"]["share"] == 1.0
        assert (await bench.request("PUT", "/v1/sheet", APPLY)).json()["repeated"]

    async def test_an_instance_taken_out_is_not_ready(self, bench: Bench) -> None:
        await bench.request("PUT", "/v1/sheet", APPLY)
        switch = {**OUT, "kind": "instance", "name": "router-1"}
        await bench.request("POST", "/v1/switches", switch)
        answer = await bench.request("GET", "/readyz", token="")
        assert answer.status == 503
        assert "taken this instance out" in answer.json()["detail"]

    async def test_an_instance_is_not_ready_before_its_port_is_open(
        self, bench: Bench
    ) -> None:
        """Callers that came after the answer found no connection."""
        await bench.request("PUT", "/v1/sheet", APPLY)
        bench.administration.is_listening = lambda: False
        answer = await bench.request("GET", "/readyz", token="")
        assert answer.status == 503
        bench.administration.is_listening = lambda: True
        assert (await bench.request("GET", "/readyz", token="")).status == 200

    async def test_the_history_names_the_operator(self, bench: Bench) -> None:
        await bench.request("PUT", "/v1/sheet", APPLY, "day")
        await bench.request("POST", "/v1/switches", OUT, "owner")
        records = (await bench.request("GET", "/v1/history")).json()
        assert [(r["version"], r["operator"]) for r in records] == [
            (1, "day"),
            (2, "owner"),
        ]

    async def test_a_conflict_names_the_winner(self, bench: Bench) -> None:
        await bench.request("PUT", "/v1/sheet", APPLY)
        answer = await bench.request("PUT", "/v1/sheet", {**APPLY, "change_id": "late"})
        assert (answer.status, answer.json()["executed"]) == (409, "no")
        assert answer.json()["winner"]["change_id"] == "first"

    async def test_keys_are_rotated_and_hidden_from_readers(self, bench: Bench) -> None:
        await bench.request("PUT", "/v1/sheet", APPLY)
        body = {"change_id": "key", "key_hash": KEY_HASH}
        path = "/v1/organisations/parish/rotate-key"
        assert (await bench.request("POST", path, body)).status == 200
        for token, shown in (("reader", "aaaaaaaa..."), ("day", KEY_HASH)):
            found = (
                await bench.request("GET", "/v1/configuration", token=token)
            ).json()
            hashes = found["sheet"]["organisations"]["parish"]["key_hashes"]
            assert hashes == [shown]

    @pytest.mark.parametrize(
        ("method", "path", "body", "status", "code"),
        [
            ("PUT", "/v1/sheet", {"change_id": 1}, 400, "body_invalid"),
            ("PUT", "/v1/sheet", {**APPLY, "change_id": ""}, 400, "body_invalid"),
            ("PUT", "/v1/sheet", {**APPLY, "base_version": 9}, 422, None),
            ("POST", "/v1/switches", {**OUT, "kind": "rack"}, 400, "body_invalid"),
            ("POST", "/v1/switches", OUT, 404, "name_unknown"),
            ("POST", "/v1/switches", "x" * 70000, 413, "body_too_large"),
            ("GET", "/v1/history?after=x", None, 400, "body_invalid"),
            ("GET", "/v2/status", None, 404, "route_unknown"),
        ],
    )
    async def test_a_refused_request_changes_nothing(
        self,
        bench: Bench,
        method: str,
        path: str,
        body: Any,
        status: int,
        code: str | None,
    ) -> None:
        answer = await bench.request(method, path, body)
        assert answer.status == status
        assert code in (None, answer.json()["code"])
        assert (await bench.administration.reader.store.head()).version == 0

    async def test_faults_of_a_sheet_are_listed(self, bench: Bench) -> None:
        sheet = {"organisations": {"p": {"name": "p", "share": -1, "services": ["x"]}}}
        answer = await bench.request("PUT", "/v1/sheet", {**APPLY, "sheet": sheet})
        assert answer.status == 422
        columns = [fault["column"] for fault in answer.json()["faults"]]
        assert columns == ["share", "service"]

    async def test_an_unavailable_store_is_reported(self, bench: Bench) -> None:
        bench.table.faults.down = True
        answer = await bench.request("PUT", "/v1/sheet", APPLY)
        assert (answer.status, answer.json()["executed"]) == (503, "no")


async def test_versions_name_a_router_that_does_not_answer(bench: Bench) -> None:
    versions = (await bench.request("GET", "/v1/versions")).json()
    assert [(v["router"], v["version"]) for v in versions] == [
        ("router-1", 0),
        ("router-2", None),
    ]


class TestDocument:
    def test_every_route_is_documented_with_its_role(self) -> None:
        documented = set()
        for path, operations in json.loads(OPENAPI.read_text())["paths"].items():
            for method, operation in operations.items():
                documented.add((method.upper(), path, operation.get("x-role")))
        assert documented == {(r.method, r.path, r.role) for r in ROUTES}

    @pytest.mark.parametrize(
        "cls",
        [
            administration_bodies.SheetBody,
            administration_bodies.SwitchBody,
            administration_bodies.OrganisationBody,
            administration_bodies.KeyBody,
            administration_bodies.AcceptedBody,
        ],
    )
    def test_every_body_is_documented(self, cls: type) -> None:
        schemas = json.loads(OPENAPI.read_text())["components"]["schemas"]
        template = "#/components/schemas/{name}"
        _, components = msgspec.json.schema_components([cls], ref_template=template)
        expected = json.loads(json.dumps(components[cls.__name__]))
        found = schemas[cls.__name__]
        assert found["properties"] == expected["properties"]
        assert found["required"] == expected["required"]
