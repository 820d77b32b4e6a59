"""Permission to send one request to one backend server."""

from __future__ import annotations

import enum
from typing import Protocol

import attrs

from teaseldyke.types import BackendServer

from .errors import PermitLapsed


class Completion(enum.Enum):
    """Result of a request that had a permit."""

    OK = "ok"
    REFUSED = "refused"  # the backend server refused the connection or the request
    FAILED = "failed"
    CANCELLED = "cancelled"  # the caller disconnected
    UNUSED = "unused"  # nothing was sent


class PermitOwner(Protocol):
    """Validates a permit and is notified of its use."""

    def lapse_reason(self, permit: Permit) -> str | None:
        """Return why the permit may not be used, or ``None``."""
        ...

    def sent(self, permit: Permit) -> None:
        """Handle that the request is about to be sent."""
        ...

    def charged(self, permit: Permit, cost_so_far: float) -> None:
        """Handle the cost so far of a running request."""
        ...

    def finished(self, permit: Permit, cost: float, completion: Completion) -> None:
        """Handle the end of the request."""
        ...


@attrs.define(eq=False)
class Permit:
    """Permission to send one request, checked right before sending.

    Parameters
    ----------
    grant_id : int
        Unique in the fleet.
    organisation : str
        Organisation that sent the request.
    server : BackendServer
        Backend server to send the request to.
    fencing : int
        Fencing number: the term of the dispatcher, which grows from one to the next.
    estimate_cost : float
        Charged until the request ends.
    expires_at_s : float
        Latest time to send the request, on this router's clock.
    dispatcher : tuple of str and int
        Name and incarnation of the dispatcher that issued the grant.
    """

    grant_id: int
    organisation: str
    server: BackendServer
    fencing: int
    estimate_cost: float
    expires_at_s: float
    dispatcher: tuple[str, int]
    owner: PermitOwner
    deadline_at_s: float = float("inf")
    is_sent: bool = False
    is_finished: bool = False
    is_revoked: bool = False

    def check(self) -> None:
        """Verify that the request may be sent now.

        Raises
        ------
        PermitLapsed
            If it may not; the permit is then returned, and the request was not sent.
        """
        reason = self.owner.lapse_reason(self)
        if reason is None:
            return
        self.finish(0.0, Completion.UNUSED)
        raise PermitLapsed(
            f"permit for {self.server.name!r} is no longer valid: {reason}"
        )

    def mark_sent(self) -> None:
        """Mark the request as sent; call right after `check`."""
        if self.is_sent or self.is_finished:
            return
        self.is_sent = True
        self.owner.sent(self)

    def charge(self, cost_so_far: float) -> None:
        """Correct the charge of a running request."""
        if not self.is_finished:
            self.owner.charged(self, cost_so_far)

    def finish(self, cost: float, completion: Completion) -> None:
        """Return the permit; later calls do nothing.

        Parameters
        ----------
        cost : float
            Actual cost; ignored for `Completion.UNUSED`.
        completion : Completion
            How the request ended.
        """
        if self.is_finished:
            return
        self.is_finished = True
        self.owner.finished(self, cost, completion)
