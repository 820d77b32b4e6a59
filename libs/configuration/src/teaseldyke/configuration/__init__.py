"""Sheets, the versioned configuration store and propagation between routers."""

from __future__ import annotations

from .assembly import check
from .cells import describe_column
from .changes import (
    ApplySheet,
    Change,
    CreateOrganisation,
    NameTaken,
    NameUnknown,
    ReplaceKey,
    SetSwitch,
)
from .columns import PAGES, Column, Page
from .counters import ReaderCounters
from .difference import DifferenceLine, SheetDifference, diff
from .errors import (
    BaseVersionUnknown,
    ChangeConflict,
    ChangeIdReused,
    ChangeOutcomeUnknown,
    ConfigurationNotReady,
    DocumentBroken,
    SheetFault,
    SheetInvalid,
)
from .files import SheetFile, read_sheet, read_sheet_file, write_sheet
from .messages import MESSAGE_TYPES
from .offloading import run_off_loop
from .reader import ConfigurationReader
from .readiness import PeerVersion
from .records import SWITCH_KINDS, ChangeRecord, Head, SwitchKind
from .sheet import Sheet, combine, sheet_of
from .snapshot import Snapshot
from .store import AcceptedChange, ConfigurationStore

__all__ = [
    "AcceptedChange",
    "ApplySheet",
    "BaseVersionUnknown",
    "Change",
    "ChangeConflict",
    "ChangeIdReused",
    "ChangeOutcomeUnknown",
    "ChangeRecord",
    "Column",
    "ConfigurationNotReady",
    "ConfigurationReader",
    "ConfigurationStore",
    "CreateOrganisation",
    "DifferenceLine",
    "DocumentBroken",
    "Head",
    "MESSAGE_TYPES",
    "NameTaken",
    "NameUnknown",
    "PAGES",
    "Page",
    "PeerVersion",
    "ReaderCounters",
    "ReplaceKey",
    "SWITCH_KINDS",
    "SetSwitch",
    "Sheet",
    "SheetDifference",
    "SheetFault",
    "SheetFile",
    "SheetInvalid",
    "Snapshot",
    "SwitchKind",
    "check",
    "combine",
    "describe_column",
    "diff",
    "read_sheet",
    "read_sheet_file",
    "run_off_loop",
    "sheet_of",
    "write_sheet",
]
