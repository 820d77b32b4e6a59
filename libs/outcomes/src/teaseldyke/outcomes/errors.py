"""Errors raised by the outcome records."""

from __future__ import annotations

from teaseldyke.platform import Row
from teaseldyke.types import TeaseldykeError, WriteConflict


class RowChanged(WriteConflict):
    """A conditional write found another version of its row.

    Parameters
    ----------
    detail : str
        Which versions were found and expected.
    row : Row or None
        The current row.
    """

    def __init__(self, detail: str, row: Row | None) -> None:
        super().__init__(detail)
        self.row = row


class KeyReused(TeaseldykeError):
    """The idempotency key was used for another request; this one was not sent."""

    code = "idempotency_key_reused"
    status = 422
    executed = "no"


class AttemptRunning(TeaseldykeError):
    """Another attempt of the same request holds the key and may be executing."""

    code = "attempt_running"
    status = 409
    executed = "unknown"


class OutcomeUnknown(TeaseldykeError):
    """An attempt may have been executed, but its answer is not stored; not repeated."""

    code = "outcome_unknown"
    status = 409
    executed = "unknown"


class RecordUnavailable(TeaseldykeError):
    """The store is unavailable or overloaded; this request was not sent.

    ``executed`` is "unknown", because an earlier request with the same key may have
    been executed through any router.
    """

    code = "record_unavailable"
    status = 503
    executed = "unknown"


class AttemptLapsed(TeaseldykeError):
    """The lease of the attempt expired before anything was sent."""

    code = "attempt_lapsed"
    status = 503
    executed = "no"


class FencedOff(TeaseldykeError):
    """A backend server refused a request with an old fencing number."""

    code = "fenced_off"
    status = 503
    executed = "no"
