"""Encoded snapshots, for peers and for the archive in the object store."""

from __future__ import annotations

import attrs
import msgspec

from teaseldyke.types import Switches

from .difference import SheetDifference, apply_difference, difference
from .encoding import decode_sheet, encode_sheet
from .errors import DocumentBroken
from .preparation import DIFFERENCE_LIMIT_ENTRIES, INLINE_LIMIT_BYTES
from .records import Head
from .sheet import Sheet
from .snapshot import Snapshot


@attrs.frozen
class Document:
    """A snapshot whose sheet is included, given as a difference, or left out.

    Parameters
    ----------
    head : Head
        Versions, and the hash of the sheet.
    switches : Switches
        State of the switches.
    base_sha256 : str
        Hash of the sheet that ``difference`` is based on.
    difference : SheetDifference or None
        Changes from the base sheet.
    data : bytes or None
        Stored form of the whole sheet.
    """

    head: Head
    switches: Switches
    base_sha256: str = ""
    difference: SheetDifference | None = None
    data: bytes | None = None


@attrs.define
class SheetHistory:
    """The sheet in force, its stored form and its difference from the previous one.

    Parameters
    ----------
    sha256 : str
        Hash of the sheet in force.
    sheet : Sheet
        Sheet in force.
    """

    sha256: str = ""
    sheet: Sheet = attrs.field(factory=Sheet)
    _previous_sha256: str = attrs.field(default="", init=False)
    _difference: SheetDifference | None = attrs.field(default=None, init=False)
    _data: bytes | None = attrs.field(default=None, init=False)

    def advance(self, snapshot: Snapshot) -> SheetHistory:
        """Return the history after a newer snapshot; may take long for large sheets."""
        if snapshot.head.sheet_sha256 == self.sha256:
            return self
        after = SheetHistory(snapshot.head.sheet_sha256, snapshot.sheet)
        change = difference(self.sheet, snapshot.sheet)
        if self.sha256 and change.size <= DIFFERENCE_LIMIT_ENTRIES:
            after._previous_sha256 = self.sha256
            after._difference = change
        return after

    def data(self) -> bytes:
        """Return the stored form of the sheet; may take long for large sheets."""
        if self._data is None:
            self._data = encode_sheet(self.sheet).data
        return self._data

    def document_for(self, snapshot: Snapshot, have_sha256: str) -> Document:
        """Return the smallest document for a peer whose sheet has the given hash."""
        document = Document(snapshot.head, snapshot.switches)
        if have_sha256 == snapshot.head.sheet_sha256:
            return document
        if self._difference is not None and have_sha256 == self._previous_sha256:
            return attrs.evolve(
                document, base_sha256=have_sha256, difference=self._difference
            )
        data = self.data()
        return attrs.evolve(
            document, data=data if len(data) <= INLINE_LIMIT_BYTES else None
        )


def encode_document(document: Document) -> bytes:
    """Encode a document as MessagePack."""
    return msgspec.msgpack.encode(document)


def decode_document(data: bytes) -> Document:
    """Decode a document.

    Raises
    ------
    DocumentBroken
        If the data do not match the schema.
    """
    try:
        return msgspec.msgpack.decode(data, type=Document)
    except msgspec.MsgspecError as exc:
        raise DocumentBroken(
            f"configuration document cannot be decoded: {exc}"
        ) from exc


def sheet_in(document: Document, known: Snapshot) -> Sheet | None:
    """Return the sheet of a document, or ``None`` if it cannot be built from it.

    Raises
    ------
    DocumentBroken
        If a whole sheet does not match its hash. A sheet built from a difference is
        not checked here.
    """
    sha256 = document.head.sheet_sha256
    if sha256 == known.head.sheet_sha256:
        return known.sheet
    if document.difference and document.base_sha256 == known.head.sheet_sha256:
        return apply_difference(known.sheet, document.difference)
    if document.data is not None:
        return decode_sheet(document.data, sha256)
    return None
