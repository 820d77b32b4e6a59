from __future__ import annotations

from pathlib import Path

import openpyxl
import pytest

from teaseldyke.configuration import (
    Sheet,
    SheetInvalid,
    read_sheet,
    read_sheet_file,
    write_sheet,
)
from teaseldyke.types import BackendServer, Organisation, RequestRule, Service

RULES = (RequestRule("GET", "/stations", True), RequestRule("*", "/", False))
SHEET = Sheet(
    organisations={
        "parish": Organisation("parish", 1.5, ("a" * 64, "b" * 64), ("licensing",)),
        "union": Organisation("union", 4.0, ("c" * 64,), (), disabled=True),
    },
    services={"licensing": Service("licensing", "plain", 4, rules=RULES)},
    backend_servers={
        "licensing-1": BackendServer(
            "licensing-1", "licensing", "10.0.0.1", 9000, "zone-a"
        )
    },
    failure_domains=("zone-a", "zone-b"),
)


@pytest.mark.parametrize("name", ["sheet", "sheet.xlsx"])
def test_a_sheet_round_trips_through_its_file(tmp_path: Path, name: str) -> None:
    write_sheet(SHEET, tmp_path / name, base_version=41)
    found = read_sheet_file(tmp_path / name)
    assert found.sheet == SHEET
    assert found.base_version == 41


@pytest.mark.parametrize(
    ("page", "old", "new", "message"),
    [
        ("organisations", "1.5", "0", "row 2 column share: found '0'; allowed: a n"),
        ("organisations", "1.5", "nan", "column share: found 'nan'"),
        ("organisations", "1.5", "1_0", "column share: found '1_0'"),
        ("organisations", "1.5", "=A1", "column share: found '=A1'; allowed: a value"),
        ("organisations", "c" * 64, "b" * 64, "row 3 column key_hashes"),
        ("organisations", "union", "parish", "row 3 column name: found 'parish'"),
        ("organisations", "union", "Union", "row 3 column name: found 'Union'"),
        ("organisations", "share", "shares", "row 1 column shares: found 'shares'"),
        ("organisations", ",yes", ",yes,7", "row 3: found '7'; allowed: no cell with"),
        ("services", "plain", "plane", "column kind: found 'plane'; allowed: one of"),
        ("services", "plain,4,1", "plain,4,5", "cold_limit: found '5'; allowed: at"),
        ("services", "plain,4,1", "plain,4.5,1", "column limit: found '4.5'"),
        ("rules", "GET", "get", "row 2 column method: found 'get'"),
        ("rules", "/stations", "stations", "column path_prefix: found 'stations'"),
        ("reach", "parish", "parrish", "column organisation: found 'parrish'"),
        ("backend_servers", "10.0.0.1", "localhost", "column host: found 'localhost'"),
        ("backend_servers", "9000", "90000", "allowed: an integer from 1 to 65535"),
    ],
)
def test_a_fault_names_file_row_column_and_what_is_allowed(
    tmp_path: Path, page: str, old: str, new: str, message: str
) -> None:
    write_sheet(SHEET, tmp_path)
    path = tmp_path / f"{page}.csv"
    text = path.read_text()
    assert old in text
    path.write_text(text.replace(old, new))
    with pytest.raises(SheetInvalid) as caught:
        read_sheet(tmp_path)
    assert f"  {page}.csv row" in caught.value.detail
    assert message in caught.value.detail


def test_a_reference_to_another_page_is_checked(tmp_path: Path) -> None:
    write_sheet(SHEET, tmp_path)
    (tmp_path / "failure_domains.csv").write_text("name\nzone-c\n")
    message = "backend_servers.csv row 2 column failure_domain: found 'zone-a'"
    with pytest.raises(SheetInvalid, match=message):
        read_sheet(tmp_path)


def test_a_faulty_row_is_not_also_reported_as_missing(tmp_path: Path) -> None:
    write_sheet(SHEET, tmp_path)
    path = tmp_path / "organisations.csv"
    path.write_text(path.read_text().replace("1.5", "many"))
    with pytest.raises(SheetInvalid) as caught:
        read_sheet(tmp_path)
    assert [fault.value for fault in caught.value.faults] == ["many"]


def test_faults_of_all_pages_are_listed_together(tmp_path: Path) -> None:
    write_sheet(SHEET, tmp_path)
    (tmp_path / "reach.csv").write_text("organisation,service\nx,y\n")
    (tmp_path / "rules.csv").unlink()
    (tmp_path / "organisation.csv").write_text("name\n")
    with pytest.raises(SheetInvalid) as caught:
        read_sheet(tmp_path)
    files = {fault.file for fault in caught.value.faults}
    assert files == {"reach.csv", "organisation.csv", str(tmp_path)}
    assert len(caught.value.faults) == 4


class TestWorkbooks:
    def test_a_fault_names_the_page(self, tmp_path: Path) -> None:
        path = tmp_path / "sheet.xlsx"
        write_sheet(SHEET, path)
        book = openpyxl.load_workbook(path)
        book["services"]["C2"] = "many"
        book.save(path)
        with pytest.raises(SheetInvalid) as caught:
            read_sheet(path)
        fault = caught.value.faults[0]
        assert (fault.file, fault.row, fault.column, fault.value) == (
            "sheet.xlsx[services]",
            2,
            "limit",
            "many",
        )

    @pytest.mark.parametrize("content", [b"", b"PK\x03\x04rubbish"])
    def test_an_invalid_workbook_is_rejected(
        self, tmp_path: Path, content: bytes
    ) -> None:
        path = tmp_path / "sheet.xlsx"
        path.write_bytes(content)
        with pytest.raises(SheetInvalid, match=r"a workbook \(\.xlsx\)"):
            read_sheet(path)
