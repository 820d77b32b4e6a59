"""Results of the requests of a trace."""

from __future__ import annotations

from typing import Literal

import attrs

from .trace import Arrival

Executed = Literal["yes", "no", "unknown"]


@attrs.frozen
class Attempt:
    """Result of one exchange with a router.

    Parameters
    ----------
    status : int
        HTTP status; 0 if there was no answer.
    code : str
        Error code of a refusal or of a broken exchange.
    executed : {"yes", "no", "unknown"}
        Whether the request was executed, according to the answer.
    request_id : str
        ``Teaseldyke-Request-Id`` of the answer.
    retry_after_s : float or None
        Value of the header ``Retry-After``.
    """

    status: int
    code: str = ""
    executed: Executed = "unknown"
    request_id: str = ""
    retry_after_s: float | None = None


@attrs.define
class CallResult:
    """Attempts and received answer of one arrival.

    Parameters
    ----------
    arrival : Arrival
        The request.
    sent_at_s : float
        Start of the first attempt, since the start of the replay.
    first_byte_s : float
        From ``sent_at_s`` to the first byte of the body of a successful answer.
    total_s : float
        From ``sent_at_s`` to the end of the last attempt.
    attempts : list of Attempt
        In order; the last one is final.
    own_answer : bool
        Whether a successful answer was complete and belonged to the request.
    cut : bool
        Whether an answer broke off after its first byte.
    cost_by_second : dict of int to float
        Cost received in each second of the replay.
    """

    arrival: Arrival
    sent_at_s: float
    first_byte_s: float = 0.0
    total_s: float = 0.0
    attempts: list[Attempt] = attrs.field(factory=list)
    own_answer: bool = False
    cut: bool = False
    cost_by_second: dict[int, float] = attrs.field(factory=dict)

    @property
    def final(self) -> Attempt:
        """The last attempt."""
        return self.attempts[-1]

    @property
    def answered(self) -> bool:
        """Whether the caller got a successful answer."""
        return 200 <= self.final.status < 300

    def record_cost(self, at_s: float, cost: float) -> None:
        """Record a cost received at a time since the start of the replay."""
        second = int(at_s)
        self.cost_by_second[second] = self.cost_by_second.get(second, 0.0) + cost
