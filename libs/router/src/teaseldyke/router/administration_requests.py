"""Routing, query parameters and problem responses of the administration API."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import attrs

from teaseldyke.configuration import ChangeConflict, SheetInvalid
from teaseldyke.http import Request, problem_response
from teaseldyke.settings import OperatorRole
from teaseldyke.types import TeaseldykeError

from .administration_bodies import BodyInvalid


class RouteUnknown(TeaseldykeError):
    """No route of the administration API matches the path and method."""

    code = "route_unknown"
    status = 404
    executed = "no"


@attrs.frozen
class RequestContext:
    """A request and the operator who sent it.

    Parameters
    ----------
    request : Request
        The HTTP request.
    operator : str
        Name of the operator; empty on paths that require no token.
    role : str
        Role of the operator.
    name : str
        Value of ``{name}`` in the path.
    """

    request: Request
    operator: str = ""
    role: OperatorRole = "read"
    name: str = ""


@attrs.frozen
class Route:
    """Handler of one method on one path.

    Parameters
    ----------
    method, path : str
        ``{name}`` in the path matches any one segment.
    role : str or None
        Required role; ``None`` for paths that require no token.
    handler : callable
        Method of `Administration` that handles the request.
    """

    method: str
    path: str
    role: OperatorRole | None
    handler: Callable[[Any, RequestContext], Awaitable[None]]


def find_route(routes: Sequence[Route], request: Request) -> tuple[Route, str]:
    """Return the route of a request and the value of ``{name}`` in its path.

    Raises
    ------
    RouteUnknown
        If no route matches.
    """
    segments = request.path.split("/")
    for route in routes:
        if route.method != request.method:
            continue
        name = _match(route.path.split("/"), segments)
        if name is not None:
            return route, name
    raise RouteUnknown(
        f"no route for {request.method} {request.path}; see docs/openapi.json"
    )


def _match(template: list[str], segments: list[str]) -> str | None:
    """Return the value of ``{name}``, or ``None`` if the path does not match."""
    if len(template) != len(segments):
        return None
    name = ""
    for expected, found in zip(template, segments, strict=True):
        if expected == "{name}" and found:
            name = found
            continue
        if expected != found:
            return None
    return name


def query_integer(request: Request, name: str, default: int) -> int:
    """Return a query parameter as an integer.

    Raises
    ------
    BodyInvalid
        If it is not a non-negative integer of at most 15 digits.
    """
    text = request.query.get(name, str(default))
    if not (text.isascii() and text.isdigit() and len(text) <= 15):
        raise BodyInvalid(
            f"query parameter {name}={text!r} is not an integer of 1 to 15 digits"
        )
    return int(text)


def problem_of(
    error: TeaseldykeError, request_id: str
) -> tuple[int, list[tuple[bytes, bytes]], bytes]:
    """Return status, headers and body of a problem response.

    A conflict includes the change that won, an invalid sheet its faults.
    """
    status, headers, body = problem_response(error, request_id)
    if status == 401:
        headers.append((b"www-authenticate", b"Bearer"))
    extra: dict[str, Any] = {}
    if isinstance(error, ChangeConflict) and error.winner is not None:
        extra["winner"] = attrs.asdict(error.winner)
    if isinstance(error, SheetInvalid):
        extra["faults"] = [attrs.asdict(fault) for fault in error.faults]
    return status, headers, json.dumps({**json.loads(body), **extra}).encode()
