"""Messages between routers that propagate the configuration."""

from __future__ import annotations

import attrs


@attrs.frozen
class VersionQuery:
    """Asks a peer for its version."""


@attrs.frozen
class VersionNotice:
    """Reports the version in force on the sender.

    Parameters
    ----------
    version : int
        Version in force; 0 for none.
    ready : bool
        Whether the sender has confirmed it as current.
    """

    version: int
    ready: bool = True


@attrs.frozen
class ConfigurationRequest:
    """Asks a peer for a newer configuration.

    Parameters
    ----------
    have_version : int
        Version in force on the sender.
    have_sheet_sha256 : str
        Hash of the sheet in force on the sender.
    """

    have_version: int
    have_sheet_sha256: str = ""


@attrs.frozen
class ConfigurationDocument:
    """A configuration, pushed to a peer or sent on request.

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
        Index of the part, from 0, and number of parts.
    data : bytes
        Content of the part.
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
