"""Bodies of the administration API's requests and responses."""

from __future__ import annotations

from typing import Any, TypeVar

import attrs
import msgspec

from teaseldyke.configuration import Sheet, SwitchKind
from teaseldyke.types import BackendServer, Organisation, Service, TeaseldykeError

T = TypeVar("T")


class BodyInvalid(TeaseldykeError):
    """The body of a request does not match the schema of its path."""

    code = "body_invalid"
    status = 400
    executed = "no"


@attrs.frozen
class SheetBody:
    """Body of ``PUT /v1/sheet``."""

    change_id: str
    base_version: int
    sheet: Sheet


@attrs.frozen
class _RawSheetBody:
    """Body of ``PUT /v1/sheet`` with the sheet not decoded yet."""

    change_id: str
    base_version: int
    sheet: msgspec.Raw


@attrs.frozen
class _RawSheet:
    """A sheet with its organisations not decoded yet."""

    organisations: dict[str, msgspec.Raw] = attrs.field(factory=dict)
    services: dict[str, Service] = attrs.field(factory=dict)
    backend_servers: dict[str, BackendServer] = attrs.field(factory=dict)
    failure_domains: tuple[str, ...] = ()


@attrs.frozen
class SwitchBody:
    """Body of ``POST /v1/switches``."""

    change_id: str
    kind: SwitchKind
    name: str
    out: bool
    base_version: int | None = None


@attrs.frozen
class OrganisationBody:
    """Body of ``POST /v1/organisations``."""

    change_id: str
    name: str
    share: float
    key_hash: str
    services: tuple[str, ...] = ()


@attrs.frozen
class KeyBody:
    """Body of ``POST /v1/organisations/<name>/rotate-key``."""

    change_id: str
    key_hash: str
    keep_old: bool = False


@attrs.frozen
class AcceptedBody:
    """Response to every accepted change."""

    version: int
    change_id: str
    summary: str
    repeated: bool


def decode_body(data: bytes | msgspec.Raw, cls: type[T]) -> T:
    """Return the decoded body of a request.

    Raises
    ------
    BodyInvalid
        If it does not match the schema; the detail names the field.
    """
    try:
        return msgspec.json.decode(data, type=cls, strict=True)
    except msgspec.MsgspecError as exc:
        raise BodyInvalid(f"body of {cls.__name__}: {exc}") from exc


def decode_sheet_body(data: bytes) -> SheetBody:
    """Return the decoded body of ``PUT /v1/sheet``; raises like `decode_body`.

    Organisations are decoded one by one: a single call for 18,000 of them would hold
    the GIL for about 30 ms and stall the event loop.
    """
    body = decode_body(data, _RawSheetBody)
    rest = decode_body(body.sheet, _RawSheet)
    organisations = {
        name: decode_body(raw, Organisation) for name, raw in rest.organisations.items()
    }
    sheet = Sheet(
        organisations, rest.services, rest.backend_servers, rest.failure_domains
    )
    return SheetBody(body.change_id, body.base_version, sheet)


def encode_response(value: Any) -> bytes:
    """Return a response body as JSON."""
    return msgspec.json.encode(value)
