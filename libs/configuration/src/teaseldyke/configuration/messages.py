"""Messages by which routers pass the configuration on."""

from __future__ import annotations

import attrs


@attrs.frozen
class VersionQuery:
    """Asks a peer for its version."""


@attrs.frozen
class VersionNotice:
    """Tells a peer which version is in force here.

    Parameters
    ----------
    version : int
        Version in force; 0 for none.
    ready : bool
        Whether the sender has reason to believe it current.
    """

    version: int
    ready: bool = True


@attrs.frozen
class ConfigurationRequest:
    """Asks a peer for a newer configuration.

    Parameters
    ----------
    have_version : int
        Version in force here.
    have_sheet_sha256 : str
        Hash of the sheet in force here.
    """

    have_version: int
    have_sheet_sha256: str = ""


@attrs.frozen
class ConfigurationDocument:
    """A configuration for a peer that asked.

    Parameters
    ----------
    version : int
        Its version.
    document : bytes
        Encoded `Document`.
    """

    version: int
    document: bytes


@attrs.frozen
class SheetRequest:
    """Asks a peer for one part of a large sheet."""

    sha256: str
    part: int


@attrs.frozen
class SheetPart:
    """One part of a large sheet's stored form.

    Parameters
    ----------
    sha256 : str
        Hash of the sheet.
    part, parts : int
        Which part, counted from 0, of how many.
    data : bytes
        The part.
    """

    sha256: str
    part: int
    parts: int
    data: bytes


MESSAGE_TYPES: tuple[type, ...] = (
    VersionQuery,
    VersionNotice,
    ConfigurationRequest,
    ConfigurationDocument,
    SheetRequest,
    SheetPart,
)
