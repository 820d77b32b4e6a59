"""Stored form of a sheet: compressed JSON lines, identified by their SHA-256.

The first line holds everything except the organisations; each further line holds up
to `ORGANISATIONS_PER_LINE` of them. Decoding line by line in a worker thread releases
the GIL between lines, so that the event loop can run.
"""

from __future__ import annotations

import hashlib
import zlib
from functools import partial

import attrs
import msgspec

from teaseldyke.types import Organisation

from .errors import DocumentBroken
from .offloading import run_off_loop
from .sheet import Sheet

ORGANISATIONS_PER_LINE = 250
DECODED_LIMIT_BYTES = 256 * 1024 * 1024
ENCODED_ORGANISATION_BYTES = 64  # minimum for one with a key, compressed
_COMPRESSION_LEVEL = 1  # key hashes hardly compress: level 6 is slower and saves 2 %

_sheet_decoder = msgspec.json.Decoder(Sheet)
_organisations_decoder = msgspec.json.Decoder(list[Organisation])


@attrs.frozen
class EncodedSheet:
    """A sheet in its stored form.

    Parameters
    ----------
    sha256 : str
        Hash of the text before compression, in hexadecimal.
    data : bytes
        Compressed text.
    """

    sha256: str
    data: bytes


def encode_sheet(sheet: Sheet) -> EncodedSheet:
    """Return the stored form of a sheet; equal sheets have equal hashes.

    Examples
    --------
    >>> encoded = encode_sheet(Sheet(failure_domains=("zone-a",)))
    >>> decode_sheet(encoded.data, encoded.sha256).failure_domains
    ('zone-a',)
    """
    rest = Sheet(
        services=dict(sorted(sheet.services.items())),
        backend_servers=dict(sorted(sheet.backend_servers.items())),
        failure_domains=sheet.failure_domains,
    )
    lines = [msgspec.json.encode(rest)]
    organisations = [sheet.organisations[name] for name in sorted(sheet.organisations)]
    for start in range(0, len(organisations), ORGANISATIONS_PER_LINE):
        batch = organisations[start : start + ORGANISATIONS_PER_LINE]
        lines.append(msgspec.json.encode(batch))
    text = b"\n".join(lines)
    digest = hashlib.sha256(text).hexdigest()
    return EncodedSheet(digest, zlib.compress(text, _COMPRESSION_LEVEL))


async def check_hash(sheet: Sheet, sha256: str) -> None:
    """Check the hash of a sheet that was built from a difference.

    Raises
    ------
    DocumentBroken
        If its hash differs.
    """
    encoded = await run_off_loop(len(sheet.organisations), partial(encode_sheet, sheet))
    if encoded.sha256 != sha256:
        raise DocumentBroken(
            f"the difference does not produce the sheet with SHA-256 {sha256}"
        )


async def decode_sheet_off_loop(data: bytes, sha256: str) -> Sheet:
    """Decode a sheet from its stored form, in a worker thread if it is large."""
    entries = len(data) // ENCODED_ORGANISATION_BYTES
    return await run_off_loop(entries, partial(decode_sheet, data, sha256))


def decode_sheet(data: bytes, sha256: str) -> Sheet:
    """Decode a sheet from its stored form.

    Raises
    ------
    DocumentBroken
        If the data do not match the hash or the schema.
    """
    try:
        decompressor = zlib.decompressobj()
        text = decompressor.decompress(data, DECODED_LIMIT_BYTES)
        if hashlib.sha256(text).hexdigest() != sha256:
            raise DocumentBroken(f"sheet does not match its SHA-256 {sha256}")
        lines = text.split(b"\n")
        rest = _sheet_decoder.decode(lines[0])
        organisations: dict[str, Organisation] = {}
        for line in lines[1:]:
            for organisation in _organisations_decoder.decode(line):
                organisations[organisation.name] = organisation
    except (zlib.error, msgspec.MsgspecError) as exc:
        raise DocumentBroken(
            f"sheet with SHA-256 {sha256} cannot be decoded: {exc}"
        ) from exc
    return attrs.evolve(rest, organisations=organisations)
