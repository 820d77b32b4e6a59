"""Requests of the administration API: routes, queries and problem answers."""

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
    """The administration API has no such path, or not with this method."""

    code = "route_unknown"
    status = 404
    executed = "no"


@attrs.frozen
class RequestContext:
    """One authenticated request.

    Parameters
    ----------
    request : Request
        The request.
    operator : str
        Name of the operator; empty on paths that need no token.
    role : str
        Role of the operator.
    name : str
        What stands for ``{name}`` in the path.
    """

    request: Request
    operator: str = ""
    role: OperatorRole = "read"
    name: str = ""


@attrs.frozen
class Route:
    """One method on one path.

    Parameters
    ----------
    method, path : str
        ``{name}`` in the path stands for any one segment.
    role : str or None
        Role that is needed; ``None`` for paths without a token.
    answer : callable
        Method of `Administration`.
    """

    method: str
    path: str
    role: OperatorRole | None
    answer: Callable[[Any, RequestContext], Awaitable[None]]


def find_route(routes: Sequence[Route], request: Request) -> tuple[Route, str]:
    """Return the route of a request and what stands for ``{name}`` in its path.

    Raises
    ------
    RouteUnknown
        If there is none.
    """
    segments = request.path.split("/")
    for route in routes:
        if route.method != request.method:
            continue
        name = _match(route.path.split("/"), segments)
        if name is not None:
            return route, name
    raise RouteUnknown(f"{request.method} {request.path} is not in docs/openapi.json")


def _match(template: list[str], segments: list[str]) -> str | None:
    """Return what stands for ``{name}``, or ``None`` when the paths differ."""
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
    """Return a whole number of the query; raises `BodyInvalid`."""
    text = request.query.get(name, str(default))
    if not (text.isascii() and text.isdigit() and len(text) <= 15):
        raise BodyInvalid(f"query {name}={text!r} is not a whole number")
    return int(text)


def problem_of(
    error: TeaseldykeError, request_id: str
) -> tuple[int, list[tuple[bytes, bytes]], bytes]:
    """Return a problem answer, with the winner of a conflict or a sheet's faults."""
    status, headers, body = problem_response(error, request_id)
    if status == 401:
        headers.append((b"www-authenticate", b"Bearer"))
    extra: dict[str, Any] = {}
    if isinstance(error, ChangeConflict) and error.winner is not None:
        extra["winner"] = attrs.asdict(error.winner)
    if isinstance(error, SheetInvalid):
        extra["faults"] = [attrs.asdict(fault) for fault in error.faults]
    return status, headers, json.dumps({**json.loads(body), **extra}).encode()
