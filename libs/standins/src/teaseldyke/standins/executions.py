"""Count of every execution at a backend server."""

from __future__ import annotations

import attrs

from teaseldyke.http import Request

EXECUTIONS_MAX = 1_000_000  # request ids remembered; beyond it the oldest go


@attrs.define
class Execution:
    """What happened to one request id.

    Parameters
    ----------
    count : int
        Times that the request was executed.
    method, path : str
        Request line of the first execution.
    organisation, idempotency_key, fencing_number : str
        Headers of the first execution, empty when absent.
    resumed : int
        Times that its stream was continued.
    cancelled : bool
        Whether it was cancelled at some time.
    answered : int
        Answers that were written to their end.
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
    """Executions by request id, the oldest forgotten beyond a bound."""

    by_id: dict[str, Execution] = attrs.field(factory=dict)
    unnamed: int = 0

    def of(self, request: Request) -> Execution:
        """Return the record of a request's id, made when there is none."""
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
        if len(self.by_id) > EXECUTIONS_MAX:
            del self.by_id[next(iter(self.by_id))]
        return execution

    def clear(self) -> None:
        """Forget all executions."""
        self.by_id.clear()
