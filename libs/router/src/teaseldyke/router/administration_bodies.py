"""Bodies of the administration API's requests and answers."""

from __future__ import annotations

from typing import Any, TypeVar

import attrs
import msgspec

from teaseldyke.configuration import Sheet, SwitchKind
from teaseldyke.types import TeaseldykeError

T = TypeVar("T")


class BodyInvalid(TeaseldykeError):
    """The body of a request does not have the form that the path takes."""

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
    """Answer to every accepted change."""

    version: int
    change_id: str
    summary: str
    repeated: bool


def decode_body(data: bytes, cls: type[T]) -> T:
    """Return the body of a request.

    Raises
    ------
    BodyInvalid
        If it has another form; the detail names the place.
    """
    try:
        return msgspec.json.decode(data, type=cls, strict=True)
    except msgspec.MsgspecError as exc:
        raise BodyInvalid(f"body of {cls.__name__}: {exc}") from exc


def encode_answer(value: Any) -> bytes:
    """Return an answer as JSON."""
    return msgspec.json.encode(value)
