"""Errors with codes, shared by all libraries."""

from __future__ import annotations

from typing import ClassVar, Literal

Executed = Literal["no", "unknown"]


class TeaseldykeError(Exception):
    """Base of all errors that are part of a library's interface.

    Parameters
    ----------
    detail : str
        What was found, what was expected and what the reader can do.
    retry_after_s : float, optional
        Seconds after which the same request may succeed.

    Attributes
    ----------
    code : str
        Stable identifier, used in answers, logs and metrics.
    status : int
        HTTP status of an answer that reports this error.
    executed : {"no", "unknown"}
        "no" if the request was certainly not executed; an instance may override the
        "no" of its class with "unknown".
    """

    code: ClassVar[str] = "internal"
    status: ClassVar[int] = 500
    executed: Executed = "unknown"

    def __init__(self, detail: str, *, retry_after_s: float | None = None) -> None:
        super().__init__(detail)
        self.detail = detail
        self.retry_after_s = retry_after_s


class SettingsError(TeaseldykeError):
    """A settings file or sheet contains an invalid value."""

    code = "settings_invalid"
    status = 422
    executed = "no"


class PlatformUnavailable(TeaseldykeError):
    """The platform refused, timed out before sending, or is known to be down."""

    code = "platform_unavailable"
    status = 503
    executed = "no"


class AnswerLost(TeaseldykeError):
    """A platform write was sent but not answered; a read shows whether it applied."""

    code = "platform_answer_lost"
    status = 503
    executed = "unknown"


class WriteConflict(TeaseldykeError):
    """A conditional write found an unexpected version; nothing was written."""

    code = "write_conflict"
    status = 409
    executed = "no"
