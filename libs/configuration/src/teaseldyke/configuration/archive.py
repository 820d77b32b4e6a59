"""Snapshots in the object store, the fallback while the table service is down."""

from __future__ import annotations

import contextlib
from functools import partial

import attrs

from teaseldyke.platform import ObjectStore
from teaseldyke.types import AnswerLost

from .documents import Document, decode_document, encode_document
from .encoding import decode_sheet_off_loop, encode_sheet
from .errors import DocumentBroken
from .offloading import run_off_loop
from .records import sheet_object_name
from .snapshot import Snapshot

SNAPSHOT_PREFIX = "configuration/snapshots/"
SNAPSHOT_SLOTS = 8  # so that a delayed write does not overwrite a newer version


@attrs.define
class SnapshotArchive:
    """Stores the newest snapshots as objects.

    A snapshot is a small object that refers to its sheet by hash. The sheet is a
    separate object, shared by all snapshots that contain it.

    Parameters
    ----------
    objects : ObjectStore
        Holds the snapshots and sheets.
    """

    objects: ObjectStore
    _saved_sheet_sha256: str = attrs.field(default="", init=False)

    async def save(self, snapshot: Snapshot) -> None:
        """Store an accepted snapshot.

        Raises
        ------
        PlatformUnavailable
            If the object store is down; earlier snapshots are unaffected.
        """
        sha256 = snapshot.head.sheet_sha256
        if sha256 != self._saved_sheet_sha256:
            entries = len(snapshot.sheet.organisations)
            encode = partial(encode_sheet, snapshot.sheet)
            encoded = await run_off_loop(entries, encode)
            await self._put(sheet_object_name(sha256), encoded.data)
            self._saved_sheet_sha256 = sha256
        name = f"{SNAPSHOT_PREFIX}{snapshot.version % SNAPSHOT_SLOTS}"
        document = Document(snapshot.head, snapshot.switches)
        await self._put(name, encode_document(document))

    async def newest(self) -> Snapshot | None:
        """Return the newest snapshot that can be read and matches its hash.

        Raises
        ------
        PlatformUnavailable
            If the object store is down.
        """
        documents = []
        for name in await self.objects.names(SNAPSHOT_PREFIX):
            data = await self.objects.get(name)
            if data is None:
                continue
            with contextlib.suppress(DocumentBroken):
                documents.append(decode_document(data))
        documents.sort(key=lambda document: document.head.version, reverse=True)
        for document in documents:
            sha256 = document.head.sheet_sha256
            data = await self.objects.get(sheet_object_name(sha256))
            if data is None:
                continue
            try:
                sheet = await decode_sheet_off_loop(data, sha256)
            except DocumentBroken:
                continue
            return Snapshot(document.head, sheet, document.switches)
        return None

    async def _put(self, name: str, data: bytes) -> None:
        try:
            await self.objects.put(name, data)
        except AnswerLost:
            await self.objects.put(name, data)
