"""Trace format: JSON lines, ordered by time.

A line is the arrival of a request or, with the key ``switch``, an operator's order.
A line that a router recorded, with the key ``prompt_cost``, is converted to an arrival.
"""

from __future__ import annotations

import os
from collections.abc import Iterable
from pathlib import Path
from typing import Literal

import attrs
import msgspec

from teaseldyke.router import PROMPT_TOKEN_COST, RecordedCall
from teaseldyke.types import TeaseldykeError

SwitchKind = Literal["failure-domain", "instance", "backend-server", "organisation"]


class TraceInvalid(TeaseldykeError):
    """A trace file or one of its lines is invalid."""

    code = "trace_invalid"
    status = 422
    executed = "no"


@attrs.frozen
class Arrival:
    """Arrival of a request at a router.

    Parameters
    ----------
    at_s : float
        Time since the start of the trace.
    organisation, service : str
        Names of the calling organisation and the called service.
    method, path : str
        As received by the backend server.
    router : int
        Index of the router at which it arrives.
    prompt_tokens, output_tokens : int
        Size of a request to a model engine; 0 for a plain service.
    max_tokens : int
        The caller's upper estimate of the output; 0 to send the true size.
    stream : bool
        Whether the answer is streamed.
    idempotency_key : str
        Idempotency key sent by the caller, empty for none.
    idempotent : bool
        Whether the request may be executed more than once.
    """

    at_s: float
    organisation: str
    service: str
    method: str = "POST"
    path: str = "/v1/chat/completions"
    router: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    max_tokens: int = 0
    stream: bool = False
    idempotency_key: str = ""
    idempotent: bool = True


@attrs.frozen
class SwitchOrder:
    """Operator's order to switch something out of service or back in.

    Parameters
    ----------
    at_s : float
        Time since the start of the trace.
    switch : str
        Kind of the object that is switched.
    name : str
        Name of the object.
    out : bool
        Whether it is switched out, else in.
    """

    at_s: float
    switch: SwitchKind
    name: str
    out: bool


Entry = Arrival | SwitchOrder


def convert_recorded(call: RecordedCall) -> Arrival:
    """Convert a recorded call to an arrival, sized by its estimated costs."""
    output_tokens = 0
    if call.prompt_cost > 0:
        output_tokens = max(1, int(call.cost - call.prompt_cost))
    digits = call.router.rpartition("-")[2]
    return Arrival(
        at_s=call.at_s,
        organisation=call.organisation,
        service=call.service,
        method=call.method,
        path=call.path,
        router=max(0, int(digits) - 1) if digits.isdigit() else 0,
        prompt_tokens=int(call.prompt_cost / PROMPT_TOKEN_COST),
        output_tokens=output_tokens,
        idempotency_key=call.idempotency_key or "",
        idempotent=call.idempotent,
    )


def read_trace(path: str | os.PathLike[str]) -> list[Entry]:
    """Read the entries of a trace file, sorted by time.

    Raises
    ------
    TraceInvalid
        If the file cannot be read or a line is invalid; the detail names the line.
    """
    try:
        lines = Path(path).read_text(encoding="utf-8").splitlines()
    except (OSError, UnicodeDecodeError) as exc:
        raise TraceInvalid(f"trace {os.fspath(path)}: {exc}") from exc
    entries: list[Entry] = []
    for number, line in enumerate(lines, start=1):
        if not line.strip():
            continue
        try:
            entries.append(parse_entry(line))
        except msgspec.DecodeError as exc:
            location = f"{os.fspath(path)}:{number}"
            raise TraceInvalid(f"trace {location}: {exc}") from exc
    return sorted(entries, key=lambda entry: entry.at_s)


def parse_entry(line: str) -> Entry:
    """Parse one line; raises `msgspec.DecodeError`.

    Examples
    --------
    >>> parse_entry('{"at_s": 1, "switch": "instance", "name": "r1", "out": true}')
    SwitchOrder(at_s=1.0, switch='instance', name='r1', out=True)
    """
    fields = msgspec.json.decode(line, type=dict[str, object])
    if "prompt_cost" in fields:
        return convert_recorded(msgspec.convert(fields, RecordedCall))
    if "switch" in fields:
        return msgspec.convert(fields, SwitchOrder)
    return msgspec.convert(fields, Arrival)


def write_trace(path: str | os.PathLike[str], entries: Iterable[Entry]) -> None:
    """Write entries sorted by time, without fields that have their default."""
    ordered = sorted(entries, key=lambda entry: entry.at_s)
    with Path(path).open("wb") as file:
        for entry in ordered:
            file.write(msgspec.json.encode(_non_default_fields(entry)) + b"\n")


def _non_default_fields(entry: Entry) -> dict[str, object]:
    found = {}
    for field in attrs.fields(type(entry)):
        value = getattr(entry, field.name)
        if value != field.default:
            found[field.name] = value
    return found
