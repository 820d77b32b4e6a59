"""Parsing and normalisation of request targets."""

from __future__ import annotations

import re
from urllib.parse import parse_qsl, unquote_to_bytes

from .errors import MalformedRequest

QUERY_FIELDS_MAX = 256

_ALLOWED = re.compile(rb"[\x21-\x7e]+")
_ABSOLUTE = re.compile(rb"https?://[^/?#]*", re.IGNORECASE)
_ESCAPE = re.compile(r"%([0-9A-Fa-f]{2})")
_BAD_ESCAPE = re.compile(r"%(?![0-9A-Fa-f]{2})")
_UNRESERVED = frozenset(
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~"
)


def split_target(target: bytes) -> tuple[str, str]:
    """Return the normalised path and the raw query of a request target.

    Percent-encoded unreserved characters are decoded and other escapes put in upper
    case, so that equivalent paths compare equal and an escape can't bypass rules on
    path prefixes.

    Raises
    ------
    MalformedRequest
        On a target that isn't a path, on an invalid escape, and on an empty, ``.`` or
        ``..`` segment, which servers interpret differently.

    Examples
    --------
    >>> split_target(b"/services/a/%67rants?x=1")
    ('/services/a/grants', 'x=1')
    """
    if not _ALLOWED.fullmatch(target):
        raise MalformedRequest(f"request target {target[:80]!r} has invalid bytes")
    absolute = _ABSOLUTE.match(target)
    if absolute:
        target = target[absolute.end() :] or b"/"
    raw_path, _, query = target.decode("ascii").partition("?")
    if not raw_path.startswith("/") and raw_path != "*":
        raise MalformedRequest(f"request target {raw_path[:80]!r} is not a path")
    if _BAD_ESCAPE.search(raw_path) or "#" in raw_path or "\\" in raw_path:
        raise MalformedRequest(
            f"path {raw_path[:80]!r} has an invalid character or escape"
        )
    path = _ESCAPE.sub(_normalise_escape, raw_path) if "%" in raw_path else raw_path
    if "/." in path or "//" in path:
        _check_segments(path)
    return path, query


def parse_query(query: str) -> dict[str, str]:
    """Return the fields of a query; the last value of a repeated name wins.

    Examples
    --------
    >>> parse_query("after=a%20b&limit=5")
    {'after': 'a b', 'limit': '5'}
    """
    if not query:
        return {}
    try:
        pairs = parse_qsl(
            query, keep_blank_values=True, max_num_fields=QUERY_FIELDS_MAX
        )
    except ValueError as exc:
        raise MalformedRequest(
            f"query has more than {QUERY_FIELDS_MAX} fields"
        ) from exc
    return dict(pairs)


def _normalise_escape(match: re.Match[str]) -> str:
    character = unquote_to_bytes(match.group()).decode("latin-1")
    if character in _UNRESERVED:
        return character
    return match.group().upper()


def _check_segments(path: str) -> None:
    inner = path.split("/")[1:-1]
    if "" in inner:
        raise MalformedRequest(f"path {path[:80]!r} has an empty segment")
    for segment in path.split("/"):
        if segment in (".", ".."):
            raise MalformedRequest(f"path {path[:80]!r} has a {segment!r} segment")
