"""Commands on the morning sheet."""

from __future__ import annotations

from datetime import UTC, datetime
from pathlib import Path

import attrs

from teaseldyke.configuration import (
    DifferenceLine,
    SheetFile,
    SheetInvalid,
    diff,
    read_sheet_file,
    write_sheet,
)

from .client import FleetConfiguration
from .errors import SheetFaulty, UsageInvalid
from .session import Session


@attrs.frozen
class SheetCommands:
    """Check, compare, apply and export the sheet.

    Parameters
    ----------
    session : Session
        Options of the command.
    """

    session: Session

    def check(self, path: str) -> None:
        """Check a sheet without a router; every fault is listed.

        Parameters
        ----------
        path : str
            Workbook (.xlsx) or directory of CSV files.
        """
        sheet = _read(path).sheet
        self.session.output.rows(
            [
                {
                    "organisations": len(sheet.organisations),
                    "services": len(sheet.services),
                    "backend_servers": len(sheet.backend_servers),
                    "failure_domains": len(sheet.failure_domains),
                }
            ]
        )

    def diff(self, path: str) -> None:
        """Show what a sheet would change."""
        found = _read(path)
        self._show(found, self._configuration())

    def apply(self, path: str, base: int | None = None) -> None:
        """Replace the sheet in force; it shows the difference and asks first.

        Parameters
        ----------
        path : str
            Workbook (.xlsx) or directory of CSV files.
        base : int, optional
            Version that the sheet was made from; by default the one that an export
            wrote into it, else the one that the difference was shown against.
        """
        found = _read(path)
        configuration = self._configuration()
        lines = self._show(found, configuration)
        if not lines and configuration.head.version and not self.session.change_id:
            return
        removed = sum(line.verb == "remove" for line in lines)
        base_version = found.base_version if base is None else int(base)
        if base_version is None:
            base_version = configuration.head.version
        self.session.change(
            "PUT",
            "/v1/sheet",
            {"base_version": base_version, "sheet": found.sheet},
            f"apply {len(lines)} change(s), {removed} of them removals, "
            f"to the sheet of version {base_version}",
        )

    def export(self, path: str, force: bool = False) -> None:
        """Write the sheet in force to a workbook (.xlsx) or a directory.

        Parameters
        ----------
        path : str
            Where to write.
        force : bool
            Whether a workbook or directory that exists is written over.
        """
        if Path(path).exists() and not force:
            raise UsageInvalid(f"{path} exists; add --force to write over it")
        configuration = self._configuration()
        write_sheet(configuration.sheet, path, configuration.head.version)
        self.session.output.rows(
            [{"path": str(path), "base_version": configuration.head.version}]
        )

    def history(self, after: int = 0, limit: int = 100) -> None:
        """List accepted changes with who made them, oldest first.

        Parameters
        ----------
        after : int
            Only changes after this version.
        limit : int
            Most changes to list.
        """
        records = self.session.run(
            lambda client: client.history(int(after), int(limit))
        )
        self.session.output.rows(
            [
                {
                    "version": record.version,
                    "at": _time(record.accepted_at_s),
                    "operator": record.operator,
                    "kind": record.kind,
                    "summary": record.summary,
                    "change_id": record.change_id,
                }
                for record in records
            ]
        )

    def _configuration(self) -> FleetConfiguration:
        return self.session.run(lambda client: client.configuration())

    def _show(
        self, found: SheetFile, configuration: FleetConfiguration
    ) -> list[DifferenceLine]:
        lines = diff(configuration.sheet, found.sheet)
        if not lines:
            self.session.output.note("no difference")
            return lines
        self.session.output.rows([attrs.asdict(line) for line in lines])
        changed_at = configuration.head.sheet_version
        if found.base_version is not None and found.base_version < changed_at:
            self.session.output.note(
                f"the sheet was exported from version {found.base_version} and changed "
                f"since, at version {changed_at}: applying it will be a conflict"
            )
        return lines


def _read(path: str) -> SheetFile:
    try:
        return read_sheet_file(path)
    except SheetInvalid as exc:
        raise SheetFaulty(exc.detail) from exc


def _time(at_s: float) -> str:
    moment = datetime.fromtimestamp(at_s, UTC)
    return moment.isoformat(timespec="seconds").replace("+00:00", "Z")
