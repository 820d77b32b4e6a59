"""Builds a sheet from its parsed pages and checks it as a whole."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from teaseldyke.types import BackendServer, Organisation, RequestRule, Service

from .cells import cell_text
from .columns import PAGES
from .errors import SheetFault, SheetInvalid
from .rows import ParsedPage, RawPage, parse_page
from .sheet import Sheet

Pages = dict[str, ParsedPage]


def sheet_from_pages(
    raw_pages: Iterable[RawPage], faults: Sequence[SheetFault] = ()
) -> Sheet:
    """Build a sheet from its pages.

    Parameters
    ----------
    raw_pages : iterable of RawPage
        Pages as read.
    faults : sequence of SheetFault
        Faults found while reading the pages.

    Raises
    ------
    SheetInvalid
        With every fault of every page.
    """
    all_faults = list(faults)
    pages = {name: ParsedPage(page, f"{name}.csv") for name, page in PAGES.items()}
    for raw in raw_pages:
        pages[raw.page.name] = parse_page(raw, all_faults)
    _check_references(pages, all_faults)
    _check_limits(pages["services"], all_faults)
    _check_key_hashes(pages["organisations"], all_faults)
    _check_addresses(pages["backend_servers"], all_faults)
    if all_faults:
        raise SheetInvalid(all_faults)
    return _build(pages)


def check(sheet: Sheet) -> None:
    """Check a sheet that did not come from a file.

    Raises
    ------
    SheetInvalid
        With every fault; rows are numbered as in an export of the sheet.
    """
    sheet_from_pages(pages_of(sheet))


def pages_of(sheet: Sheet, base_version: int | None = None) -> list[RawPage]:
    """Return the pages of a sheet, with their headers.

    Parameters
    ----------
    sheet : Sheet
        Sheet to write.
    base_version : int, optional
        Version that the sheet was exported from.
    """
    rows: dict[str, list[list[object]]] = {name: [] for name in PAGES}
    for organisation in sheet.organisations.values():
        columns = PAGES["organisations"].columns
        rows["organisations"].append([getattr(organisation, c.name) for c in columns])
        for service_name in organisation.services:
            rows["reach"].append([organisation.name, service_name])
    for service in sheet.services.values():
        columns = PAGES["services"].columns
        rows["services"].append([getattr(service, c.name) for c in columns])
        for rule in service.rules:
            rows["rules"].append(
                [service.name, rule.method, rule.path_prefix, rule.idempotent]
            )
    for server in sheet.backend_servers.values():
        columns = PAGES["backend_servers"].columns
        rows["backend_servers"].append([getattr(server, c.name) for c in columns])
    rows["failure_domains"] = [[name] for name in sheet.failure_domains]
    if base_version is not None:
        rows["export"] = [[base_version]]
    pages = []
    for name, page in PAGES.items():
        if page.optional and not rows[name]:
            continue
        header = [column.name for column in page.columns]
        pages.append(RawPage(page, f"{name}.csv", [header, *rows[name]]))
    return pages


def _check_references(pages: Pages, faults: list[SheetFault]) -> None:
    for page in pages.values():
        for column in page.page.columns:
            if column.page is None:
                continue
            allowed = f"a name from page {column.page}"
            for row in page.rows:
                if row.values[column.name] in pages[column.page].names:
                    continue
                faults.append(page.fault(row, column.name, allowed))


def _check_limits(services: ParsedPage, faults: list[SheetFault]) -> None:
    for row in services.rows:
        limit = row.values["limit"]
        if row.values["cold_limit"] <= limit:
            continue
        allowed = f"at most limit, {limit}"
        faults.append(services.fault(row, "cold_limit", allowed))


def _check_key_hashes(organisations: ParsedPage, faults: list[SheetFault]) -> None:
    first_rows: dict[str, int] = {}
    for row in organisations.rows:
        for key_hash in row.values["key_hashes"]:
            first = first_rows.setdefault(key_hash, row.number)
            if first == row.number:
                continue
            allowed = f"a unique hash; row {first} holds {key_hash[:8]}... too"
            faults.append(organisations.fault(row, "key_hashes", allowed))


def _check_addresses(servers: ParsedPage, faults: list[SheetFault]) -> None:
    first_rows: dict[tuple[str, int], int] = {}
    for row in servers.rows:
        address = (row.values["host"], row.values["port"])
        first = first_rows.setdefault(address, row.number)
        if first == row.number:
            continue
        allowed = f"a unique address; row {first} has {cell_text(address[0])} too"
        faults.append(servers.fault(row, "port", allowed))


def _build(pages: Pages) -> Sheet:
    reach: dict[str, list[str]] = {}
    for row in pages["reach"].rows:
        reach.setdefault(row.values["organisation"], []).append(row.values["service"])
    rules: dict[str, list[RequestRule]] = {}
    for row in pages["rules"].rows:
        values = dict(row.values)
        rules.setdefault(values.pop("service"), []).append(RequestRule(**values))
    organisations = {}
    for row in pages["organisations"].rows:
        name = row.values["name"]
        services = tuple(sorted(reach.get(name, ())))
        organisations[name] = Organisation(**row.values, services=services)
    services_by_name = {}
    for row in pages["services"].rows:
        name = row.values["name"]
        own_rules = tuple(rules.get(name, ()))
        services_by_name[name] = Service(**row.values, rules=own_rules)
    servers = {}
    for row in pages["backend_servers"].rows:
        servers[row.values["name"]] = BackendServer(**row.values)
    domains = tuple(row.values["name"] for row in pages["failure_domains"].rows)
    return Sheet(organisations, services_by_name, servers, domains)
