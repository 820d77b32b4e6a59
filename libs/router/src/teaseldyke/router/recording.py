"""Records callers' requests as a trace for replay."""

from __future__ import annotations

from pathlib import Path
from typing import IO

import attrs
import msgspec
import trio

from .calls import Call


@attrs.frozen
class RecordedCall:
    """One line of a recorded trace.

    Parameters
    ----------
    at_s : float
        Time of arrival since the start of the recording.
    router, organisation, service, method, path : str
        Router, organisation and request line, as received.
    idempotent : bool
        Whether the request may be executed more than once.
    prompt_cost, cost : float
        Estimated cost of the prompt and in total, in output tokens or requests.
    body_bytes : int
        Size of the body; its content is not recorded.
    idempotency_key : str or None
        Idempotency key from the caller.
    """

    at_s: float
    router: str
    organisation: str
    service: str
    method: str
    path: str
    idempotent: bool
    prompt_cost: float
    cost: float
    body_bytes: int
    idempotency_key: str | None


@attrs.define
class TraceRecorder:
    """Appends one line of JSON to a file for each request.

    Parameters
    ----------
    path : Path
        File to append to.
    router : str
        Name of this router.
    """

    path: Path
    router: str
    _file: IO[bytes] = attrs.field(init=False)
    _started_at_s: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._file = self.path.open("ab", buffering=0)
        self._started_at_s = trio.current_time()

    def record(self, call: Call) -> None:
        """Append a line for a call."""
        line = RecordedCall(
            at_s=round(call.arrived_at_s - self._started_at_s, 6),
            router=self.router,
            organisation=call.organisation.name,
            service=call.service.name,
            method=call.method,
            path=call.target,
            idempotent=call.idempotent,
            prompt_cost=call.estimate.prompt_cost,
            cost=call.estimate.cost,
            body_bytes=len(call.body),
            idempotency_key=call.idempotency_key,
        )
        self._file.write(msgspec.json.encode(line) + b"\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()
