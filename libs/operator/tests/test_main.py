from __future__ import annotations

import json
import socket
import threading
from collections.abc import Callable, Iterator
from functools import partial
from hashlib import sha256
from pathlib import Path
from typing import Any

import pytest
import trio

from teaseldyke.configuration import (
    ConfigurationReader,
    ConfigurationStore,
    Sheet,
    write_sheet,
)
from teaseldyke.http import ServerLimits, serve
from teaseldyke.operator import client, main
from teaseldyke.peers import MemoryNetwork
from teaseldyke.platform import MemoryObjectStore, MemoryTableService
from teaseldyke.router.administration import Administration
from teaseldyke.router.administration_access import AccessControl, AuditTrail
from teaseldyke.settings import OperatorToken
from teaseldyke.types import BackendServer, Organisation, Service

SHEET = Sheet(
    organisations={"parish": Organisation("parish", 1.0, ("a" * 64,), ("grants",))},
    services={"grants": Service("grants", "plain", 4)},
    backend_servers={"g1": BackendServer("g1", "grants", "10.0.0.1", 80, "zone-a")},
    failure_domains=("zone-a",),
)

Command = Callable[..., tuple[int, str, str]]


async def _serve(table: MemoryTableService, started: Callable[[int], None]) -> None:
    async with trio.open_nursery() as nursery:
        store = ConfigurationStore(table, MemoryObjectStore())
        links = MemoryNetwork(nursery).join("router-1")
        reader = ConfigurationReader(store, links, list, poll_interval_s=0.1)
        tokens = [
            OperatorToken(sha256(b"owner").hexdigest(), "owner", "own"),
            OperatorToken(sha256(b"reader").hexdigest(), "reader", "read"),
        ]
        administration = Administration(
            "router-1", reader, AccessControl(tokens), AuditTrail(table, "router-1")
        )
        await nursery.start(reader.run)
        await nursery.start(administration.run)
        listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
        started(listener.socket.getsockname()[1])
        await serve(listener, administration.handle, ServerLimits())


@pytest.fixture
def table() -> MemoryTableService:
    return MemoryTableService()


@pytest.fixture
def operator(
    table: MemoryTableService,
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> Iterator[Command]:
    """Return a function that runs a command against a router in a thread."""
    ports: list[int] = []
    scopes: list[tuple[trio.lowlevel.TrioToken, trio.CancelScope]] = []
    ready = threading.Event()

    def started(port: int) -> None:
        ports.append(port)
        ready.set()

    async def run() -> None:
        with trio.CancelScope() as scope:
            scopes.append((trio.lowlevel.current_trio_token(), scope))
            await _serve(table, started)

    thread = threading.Thread(target=partial(trio.run, run))
    thread.start()
    assert ready.wait(10)
    monkeypatch.setenv("TEASELDYKE_TOKEN", "owner")

    def command(*arguments: str, first: str = "") -> tuple[int, str, str]:
        status = 0
        routers = f"{first},127.0.0.1:{ports[0]}".strip(",")
        try:
            main([*arguments, f"--router={routers}"])
        except SystemExit as exc:
            status = int(exc.code or 0)
        printed = capsys.readouterr()
        return status, printed.out, printed.err

    yield command
    token, scope = scopes[0]
    token.run_sync_soon(scope.cancel)
    thread.join(10)


@pytest.fixture
def sheet(tmp_path: Path) -> str:
    path = tmp_path / "sheet"
    write_sheet(SHEET, path)
    return str(path)


@pytest.fixture
def applied(operator: Command, sheet: str) -> Command:
    assert operator("sheet", "apply", sheet, "--yes")[0] == 0
    return operator


def _rows(printed: str) -> Any:
    return json.loads(printed)


class TestSheet:
    def test_a_faulty_sheet_is_listed_without_a_router(
        self, operator: Command, sheet: str
    ) -> None:
        path = Path(sheet) / "organisations.csv"
        path.write_text(path.read_text().replace(",1,", ",-1,"))
        status, _, error = operator("sheet", "check", sheet)
        assert status == 3
        assert "organisations.csv row 2 column share: found '-1'" in error

    def test_apply_shows_the_difference_and_asks(
        self, operator: Command, sheet: str
    ) -> None:
        status, printed, error = operator("sheet", "apply", sheet)
        assert status == 9
        assert "add   organisations    parish" in printed
        assert "--yes" in error

    def test_a_dry_run_changes_nothing(self, operator: Command, sheet: str) -> None:
        status, printed, _ = operator("sheet", "apply", sheet, "--dry-run")
        assert status == 0
        assert "dry run: apply 4 change(s)" in printed
        assert "(none)" in operator("sheet", "history")[1]

    def test_an_export_applies_again(self, applied: Command, tmp_path: Path) -> None:
        path = str(tmp_path / "out.xlsx")
        assert applied("sheet", "export", path)[0] == 0
        assert applied("sheet", "export", path)[0] == 2
        status, printed, _ = applied("sheet", "apply", path, "--yes")
        assert (status, printed) == (0, "no difference\n")

    def test_a_stale_export_conflicts_and_names_the_newer_change(
        self, applied: Command, tmp_path: Path
    ) -> None:
        path = str(tmp_path / "out")
        applied("sheet", "export", path)
        applied("organisation", "rotate-key", "parish", "--yes")
        status, printed, error = applied("sheet", "apply", path, "--yes")
        assert status == 4
        assert "applying it will be a conflict" in printed
        assert "key of organisation parish replaced" in error

    def test_a_change_id_repeats_a_change(self, applied: Command, sheet: str) -> None:
        path = Path(sheet) / "organisations.csv"
        path.write_text(path.read_text().replace(",1,", ",2,"))
        arguments = ("sheet", "apply", sheet, "--yes", "--output=json")
        first = applied(*arguments, "--change-id=abc")
        again = applied(*arguments, "--change-id=abc")
        accepted = [_rows(run[1].splitlines()[-1])[0] for run in (first, again)]
        assert [a["version"] for a in accepted] == [2, 2]
        assert [a["repeated"] for a in accepted] == [False, True]


class TestCommands:
    def test_a_failure_domain_is_taken_out_and_brought_back(
        self, applied: Command
    ) -> None:
        status, printed, _ = applied("failure-domain", "out", "zone-a", "--yes")
        assert status == 0
        assert "warning: service grants will have no backend server" in printed
        rows = _rows(applied("failure-domain", "status", "--output=json")[1])
        assert rows == [{"failure_domain": "zone-a", "state": "out", "grants": 1}]
        assert applied("failure-domain", "in", "zone-a", "--yes")[0] == 0
        assert applied("wait", "3")[0] == 0

    def test_a_new_key_is_printed_and_only_its_hash_is_stored(
        self, applied: Command
    ) -> None:
        status, printed, _ = applied(
            "organisation", "create", "union", "2", "grants", "--yes", "--output=json"
        )
        assert status == 0
        key = _rows(printed.splitlines()[1])[0]["key"]
        history = applied("sheet", "history", "--output=json")[1]
        assert "organisation union created" in history
        assert key not in history

    @pytest.mark.parametrize(
        ("arguments", "status", "message"),
        [
            (("failure-domain", "out", "zone-z"), 10, "known: zone-a"),
            (("instance", "out", "router-9"), 10, "known: router-1"),
            (("organisation", "create", "parish", "1"), 10, "already"),
            (("organisation", "create", "union", "much"), 2, "--share=much"),
            (("organisation", "rotate-key", "nobody"), 10, "nobody"),
            (("wait", "9", "--timeout-s=0"), 8, "router-1 (1)"),
            (("wait", "soon"), 2, "not a version"),
            (("status", "--output=xml"), 2, "expected table or json"),
            (("sheet", "check", "absent"), 3, "a directory of CSV files"),
        ],
    )
    def test_an_error_says_what_to_do(
        self,
        applied: Command,
        arguments: tuple[str, ...],
        status: int,
        message: str,
    ) -> None:
        exit_status, _, error = applied(*arguments, "--yes")
        assert (exit_status, message in error) == (status, True), error

    def test_status_shows_versions_and_what_is_out(self, applied: Command) -> None:
        applied("backend-server", "out", "g1", "--yes")
        printed = applied("status")[1]
        assert "router-1  2        yes" in printed
        assert "g1" in printed


class TestAccessAndFailures:
    @pytest.mark.parametrize(
        ("token", "status"), [("", 2), ("stranger", 5), ("reader", 5)]
    )
    def test_a_token_without_permission_is_refused(
        self,
        applied: Command,
        monkeypatch: pytest.MonkeyPatch,
        token: str,
        status: int,
    ) -> None:
        monkeypatch.setenv("TEASELDYKE_TOKEN", token)
        assert applied("instance", "out", "router-1", "--yes")[0] == status

    def test_an_unknown_token_cannot_read_the_status(
        self, applied: Command, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setenv("TEASELDYKE_TOKEN", "stranger")
        assert applied("status")[0] == 5

    def test_a_frozen_router_is_skipped(
        self, applied: Command, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(client, "READ_TIMEOUT_S", 0.2)
        with socket.create_server(("127.0.0.1", 0)) as frozen:
            address = f"127.0.0.1:{frozen.getsockname()[1]}"
            status, printed, _ = applied("failure-domain", "status", first=address)
            assert (status, "zone-a" in printed) == (0, True)
            assert "router-1" in applied("status", first=address)[1]

    def test_a_store_that_is_down_ends_with_status_6(
        self, applied: Command, table: MemoryTableService
    ) -> None:
        table.faults.down = True
        assert applied("failure-domain", "out", "zone-a", "--yes")[0] == 6
