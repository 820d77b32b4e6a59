"""Attempts to execute a request, in the memory of the router that owns them."""

from __future__ import annotations

import uuid
from typing import Literal

import attrs
import trio

from .errors import AttemptLapsed
from .record import Record, RecordState, StoredOutcome


@attrs.define(eq=False)
class Attempt:
    """One attempt of this process to execute a request at most once.

    Parameters
    ----------
    row_key : str
        Row key of the organisation's idempotency key.
    service, fingerprint : str
        Service and fingerprint of the request.
    router, incarnation : str
        Name of the owning router, and identifier of its process.
    lease_s : float
        Duration of the lease.
    attempt_id : str
        Unique across all routers and restarts.
    version : int
        Version of the row as last seen; before the first write, the expected version.
    leased_at_s : float
        When the write that last granted or renewed the lease started, on trio's clock.
    renewals : int
        Number of lease renewals.
    sent : bool
        Whether a byte of the request may have been sent.
    lease_lost : bool
        Whether the lease was given up, or the row no longer has this attempt as
        running.
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
    lease_lost: bool = False

    def lapsed(self) -> bool:
        """Return whether the lease is lost or expired, so that nothing may be sent."""
        return self.lease_lost or trio.current_time() >= self.leased_at_s + self.lease_s

    def check(self) -> None:
        """Raise unless the request may be sent at this moment.

        Raises
        ------
        AttemptLapsed
            If the lease is lost or expired.
        """
        if not self.lapsed():
            return
        raise AttemptLapsed(
            f"the lease of {self.lease_s} s on the idempotency key has expired; "
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
        To be finished, abandoned or marked unknown.
    fencing_number : int
        Increases with each attempt of one idempotency key.
    """

    attempt: Attempt
    fencing_number: int

    @property
    def attempt_id(self) -> str:
        """Identifier that is unique across all routers and restarts."""
        return self.attempt.attempt_id


@attrs.frozen
class Finished:
    """The request was already executed; ``outcome`` is its stored answer."""

    outcome: StoredOutcome


BeginResult = Started | Finished
FinalState = Literal["finished", "unknown", "abandoned"]
