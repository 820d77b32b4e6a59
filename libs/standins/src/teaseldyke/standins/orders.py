"""Parsing of orders to a stand-in: request paths and JSON bodies."""

from __future__ import annotations

from typing import TypeVar
from urllib.parse import unquote

import attrs
import msgspec

from teaseldyke.http import Request
from teaseldyke.types import TeaseldykeError

ORDER_LIMIT_BYTES = 64 * 1024

T = TypeVar("T")


class BadOrder(TeaseldykeError):
    """An order is not JSON, or has a key or value that is not allowed."""

    code = "bad_order"
    status = 400
    executed = "no"


class UnknownPath(TeaseldykeError):
    """The stand-in has no resource at this method and path."""

    code = "unknown_path"
    status = 404
    executed = "no"


def split_path(request: Request) -> list[str]:
    """Return the decoded segments of a request's path."""
    return [unquote(segment) for segment in request.path.split("/")[1:]]


def unknown_path(request: Request) -> UnknownPath:
    """Return the error for a request that has no handler."""
    return UnknownPath(f"{request.method} {request.path} is not known")


async def read_order(request: Request, cls: type[T]) -> T:
    """Decode the JSON body of a request to an attrs class; an empty body is ``{}``.

    Raises
    ------
    BadOrder
        If the body is not JSON, or a key or a value is not allowed.
    """
    body = await request.read_body(ORDER_LIMIT_BYTES)
    return decode_order(body or b"{}", cls)


def decode_order(body: bytes, cls: type[T]) -> T:
    """Decode JSON to an attrs class; raises as `read_order` does."""
    try:
        value = msgspec.json.decode(body)
        order = msgspec.convert(value, cls)
    except msgspec.DecodeError as exc:
        raise BadOrder(f"body: {exc}") from exc
    allowed = {field.name for field in attrs.fields(cls)}  # type: ignore[arg-type]
    unknown = sorted(set(value) - allowed)
    if unknown:
        raise BadOrder(f"unknown keys {unknown}; allowed: {sorted(allowed)}")
    return order
