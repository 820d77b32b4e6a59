"""Errors of sheets and of changes to the configuration."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

import attrs

from teaseldyke.types import TeaseldykeError

if TYPE_CHECKING:
    from .records import ChangeRecord


@attrs.frozen
class SheetFault:
    """One invalid value in a sheet.

    Parameters
    ----------
    file : str
        File, or workbook and page.
    row : int
        Row number as in a spreadsheet, with the header as row 1; 0 for the whole file.
    column : str
        Header of the column; empty for the whole row.
    value : str
        Value found.
    allowed : str
        Description of the values allowed.
    """

    file: str
    row: int
    column: str
    value: str
    allowed: str

    def __str__(self) -> str:
        location = self.file
        if self.row:
            location += f" row {self.row}"
        if self.column:
            location += f" column {self.column}"
        return f"{location}: found {self.value!r}; allowed: {self.allowed}"


class SheetInvalid(TeaseldykeError):
    """A sheet has faults; nothing of it was applied.

    Parameters
    ----------
    faults : sequence of SheetFault
        Every fault found.
    """

    code = "sheet_invalid"
    status = 422
    executed = "no"

    def __init__(self, faults: Sequence[SheetFault]) -> None:
        lines = "\n".join(f"  {fault}" for fault in faults)
        super().__init__(f"the sheet has {len(faults)} fault(s)\n{lines}")
        self.faults = tuple(faults)


class ChangeConflict(TeaseldykeError):
    """A conflicting change was accepted first; this one was rejected.

    Parameters
    ----------
    detail : str
        Which change was accepted first, and what to do.
    winner : ChangeRecord, optional
        Change that was accepted first.
    """

    code = "configuration_conflict"
    status = 409
    executed = "no"

    def __init__(self, detail: str, winner: ChangeRecord | None = None) -> None:
        super().__init__(detail)
        self.winner = winner


class ChangeIdReused(TeaseldykeError):
    """A change id was used before, for a different change."""

    code = "change_id_reused"
    status = 422
    executed = "no"


class ChangeOutcomeUnknown(TeaseldykeError):
    """It is unknown whether a change was accepted; repeat it with the same id."""

    code = "change_unsettled"
    status = 503
    executed = "unknown"


class BaseVersionUnknown(TeaseldykeError):
    """A change refers to a base version that does not exist."""

    code = "base_version_unknown"
    status = 422
    executed = "no"


class DocumentBroken(TeaseldykeError):
    """A stored or received configuration does not match its hash or schema."""

    code = "configuration_broken"
    status = 500
    executed = "no"


class ConfigurationNotReady(TeaseldykeError):
    """No version of the configuration was confirmed as current yet."""

    code = "configuration_not_ready"
    status = 503
    executed = "no"
