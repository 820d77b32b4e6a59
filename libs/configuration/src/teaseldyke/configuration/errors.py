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
    """One value of a sheet that is not allowed.

    Parameters
    ----------
    file : str
        File, or workbook and page.
    row : int
        Row as a spreadsheet counts it, the header being row 1; 0 for the whole file.
    column : str
        Header of the column; empty for the whole row.
    value : str
        What stands there.
    allowed : str
        What may stand there.
    """

    file: str
    row: int
    column: str
    value: str
    allowed: str

    def __str__(self) -> str:
        place = self.file
        if self.row:
            place += f" row {self.row}"
        if self.column:
            place += f" column {self.column}"
        return f"{place}: found {self.value!r}; allowed: {self.allowed}"


class SheetInvalid(TeaseldykeError):
    """A sheet holds faults; nothing of it was applied.

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
    """Another change to the same part came first; this one was not accepted.

    Parameters
    ----------
    detail : str
        Which change won and what to do.
    winner : ChangeRecord, optional
        The change that won.
    """

    code = "configuration_conflict"
    status = 409
    executed = "no"

    def __init__(self, detail: str, winner: ChangeRecord | None = None) -> None:
        super().__init__(detail)
        self.winner = winner


class ChangeIdReused(TeaseldykeError):
    """A change id was used before for a change of other content."""

    code = "change_id_reused"
    status = 422
    executed = "no"


class ChangeOutcomeUnknown(TeaseldykeError):
    """The store did not tell whether a change was accepted; repeat it with its id."""

    code = "change_unsettled"
    status = 503
    executed = "unknown"


class BaseVersionUnknown(TeaseldykeError):
    """A change names a base version that was never accepted."""

    code = "base_version_unknown"
    status = 422
    executed = "no"


class DocumentBroken(TeaseldykeError):
    """A stored or received configuration does not match its hash or form."""

    code = "configuration_broken"
    status = 500
    executed = "no"


class ConfigurationNotReady(TeaseldykeError):
    """No version is known that there is reason to believe current."""

    code = "configuration_not_ready"
    status = 503
    executed = "no"
