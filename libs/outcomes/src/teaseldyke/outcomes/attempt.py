"""An attempt as its owner sees it."""

from __future__ import annotations

import uuid
from typing import Literal

import attrs
import trio

from .errors import AttemptLapsed
from .record import Record, RecordState, StoredOutcome


@attrs.define(eq=False)
class Attempt:
    """One attempt to execute a request at most once, held by this process.

    Parameters
    ----------
    row_key : str
        Row of the organisation's idempotency key.
    service, fingerprint : str
        Of the request.
    router, incarnation : str
        This process.
    lease_s : float
        Length of the lease.
    attempt_id : str
        Unique over all routers and restarts.
    version : int
        Version of the row as last seen; before the first write the one expected.
    leased_at_s : float
        When the write that last renewed the lease was begun, on trio's clock.
    renewals : int
        Renewals of the lease so far.
    sent : bool
        Whether a byte of the request may have left.
    lost : bool
        Whether a reader has taken the attempt for lost.
    """

    row_key: str
    service: str
    fingerprint: str
    router: str
    incarnation: str
    lease_s: float
    attempt_id: str = attrs.field(factory=lambda: uuid.uuid4().hex)
    version: int = 0
    leased_at_s: float = attrs.field(factory=trio.current_time)
    renewals: int = 0
    sent: bool = False
    lost: bool = False

    def lapsed(self) -> bool:
        """Return whether nothing may be sent any more."""
        return self.lost or trio.current_time() >= self.leased_at_s + self.lease_s

    def check(self) -> None:
        """Raise unless the request may be sent at this moment.

        Raises
        ------
        AttemptLapsed
            If the lease ran out or a reader has taken the attempt for lost.
        """
        if not self.lapsed():
            return
        raise AttemptLapsed(
            f"the lease of {self.lease_s} s on the idempotency key ran out; "
            "nothing was sent",
            retry_after_s=1.0,
        )

    def record(
        self,
        state: RecordState,
        written_at_s: float,
        *,
        outcome: StoredOutcome | None = None,
        object_name: str | None = None,
        truncated: bool = False,
    ) -> Record:
        """Return the record to write for this attempt."""
        return Record(
            attempt_id=self.attempt_id,
            router=self.router,
            incarnation=self.incarnation,
            service=self.service,
            fingerprint=self.fingerprint,
            state=state,
            lease_s=self.lease_s,
            written_at_s=written_at_s,
            renewals=self.renewals,
            outcome=outcome,
            object_name=object_name,
            truncated=truncated,
        )


@attrs.frozen
class Started:
    """The request may be sent under this attempt.

    Parameters
    ----------
    attempt : Attempt
        To be finished, given up or marked unknown.
    fencing : int
        Grows with each attempt of one idempotency key.
    """

    attempt: Attempt
    fencing: int

    @property
    def attempt_id(self) -> str:
        """Identifier that is unique over all routers and restarts."""
        return self.attempt.attempt_id


@attrs.frozen
class Finished:
    """The request was executed before; this is its answer."""

    outcome: StoredOutcome


BeginResult = Started | Finished
Ending = Literal["finished", "unknown", "abandoned"]
