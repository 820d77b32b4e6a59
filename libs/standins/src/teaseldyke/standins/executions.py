"""Records of the executions at a backend server."""

from __future__ import annotations

import attrs

from teaseldyke.http import Request

RECORDS_MAX = 1_000_000  # the oldest records are evicted above it, to bound memory


@attrs.define
class Execution:
    """Record of the executions of one request id.

    Parameters
    ----------
    count : int
        Number of executions.
    method, path : str
        Request line of the first execution.
    organisation, idempotency_key, fencing_number : str
        Headers of the first execution, empty if absent.
    resumed : int
        Number of times that its stream was resumed.
    cancelled : bool
        Whether any of its executions was cancelled.
    answered : int
        Number of answers that were sent completely.
    """

    count: int = 0
    method: str = ""
    path: str = ""
    organisation: str = ""
    idempotency_key: str = ""
    fencing_number: str = ""
    resumed: int = 0
    cancelled: bool = False
    answered: int = 0


@attrs.define
class Executions:
    """Executions by request id, of at most `RECORDS_MAX` ids."""

    by_id: dict[str, Execution] = attrs.field(factory=dict)
    unnamed: int = 0

    def get_or_create(self, request: Request) -> Execution:
        """Return the record of a request's id; created if there is none.

        A request without an id gets a record of its own, ``unnamed-<n>``.
        """
        request_id = request.header("X-Request-Id")
        if not request_id:
            self.unnamed += 1
            request_id = f"unnamed-{self.unnamed}"
        execution = self.by_id.get(request_id)
        if execution is not None:
            return execution
        execution = Execution(
            method=request.method,
            path=request.path,
            organisation=request.header("Teaseldyke-Organisation") or "",
            idempotency_key=request.header("Idempotency-Key") or "",
            fencing_number=request.header("Fencing-Number") or "",
        )
        self.by_id[request_id] = execution
        if len(self.by_id) > RECORDS_MAX:
            del self.by_id[next(iter(self.by_id))]
        return execution

    def clear(self) -> None:
        """Delete all records."""
        self.by_id.clear()
