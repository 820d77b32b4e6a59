"""Commands that check, compare, apply and export the sheet."""

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
        """Check a sheet without contacting a router; all faults are listed.

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
        sheet_file = _read(path)
        self._show(sheet_file, self._configuration())

    def apply(self, path: str, base: int | None = None) -> None:
        """Replace the sheet in force, after showing the difference and asking.

        Parameters
        ----------
        path : str
            Workbook (.xlsx) or directory of CSV files.
        base : int, optional
            Version on which the sheet is based; by default the version that the export
            wrote into it, else the version in force.
        """
        sheet_file = _read(path)
        configuration = self._configuration()
        lines = self._show(sheet_file, configuration)
        if not lines and configuration.head.version and not self.session.change_id:
            return
        removed = sum(line.verb == "remove" for line in lines)
        base_version = sheet_file.base_version if base is None else int(base)
        if base_version is None:
            base_version = configuration.head.version
        self.session.change(
            "PUT",
            "/v1/sheet",
            {"base_version": base_version, "sheet": sheet_file.sheet},
            f"apply {len(lines)} change(s), {removed} of them removals, "
            f"to the sheet of version {base_version}",
        )

    def export(self, path: str, force: bool = False) -> None:
        """Write the sheet in force to a workbook (.xlsx) or a directory of CSV files.

        Parameters
        ----------
        path : str
            Workbook or directory to write.
        force : bool
            Whether to overwrite an existing workbook or directory.
        """
        if Path(path).exists() and not force:
            raise UsageInvalid(f"{path} exists; add --force to overwrite it")
        configuration = self._configuration()
        write_sheet(configuration.sheet, path, configuration.head.version)
        self.session.output.rows(
            [{"path": str(path), "base_version": configuration.head.version}]
        )

    def history(self, after: int = 0, limit: int = 100) -> None:
        """List accepted changes and their operators, oldest first.

        Parameters
        ----------
        after : int
            List only changes after this version.
        limit : int
            Maximum number of changes to list.
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
        self, sheet_file: SheetFile, configuration: FleetConfiguration
    ) -> list[DifferenceLine]:
        lines = diff(configuration.sheet, sheet_file.sheet)
        if not lines:
            self.session.output.note("no difference")
            return lines
        self.session.output.rows([attrs.asdict(line) for line in lines])
        changed_at = configuration.head.sheet_version
        if sheet_file.base_version is not None and sheet_file.base_version < changed_at:
            self.session.output.note(
                f"the sheet was exported from version {sheet_file.base_version} and "
                f"changed since, at version {changed_at}: applying it will be a "
                "conflict"
            )
        return lines


def _read(path: str) -> SheetFile:
    try:
        return read_sheet_file(path)
    except SheetInvalid as exc:
        raise SheetFaulty(exc.detail) from exc


def _time(at_s: float) -> str:
    at = datetime.fromtimestamp(at_s, UTC)
    return at.isoformat(timespec="seconds").replace("+00:00", "Z")
