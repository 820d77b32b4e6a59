"""Who may use the administration API, and the trail of refused uses."""

from __future__ import annotations

import hashlib
import time
from collections.abc import Callable, Iterable
from datetime import UTC, datetime

import attrs
import msgspec
import trio

from teaseldyke.platform import TableService, Write
from teaseldyke.settings import OperatorRole, OperatorToken
from teaseldyke.telemetry import counter
from teaseldyke.types import TeaseldykeError

AUDIT_TABLE = "administration_audit"
AUDIT_INTERVAL_S = 10.0  # between two rows of refused uses
AUDIT_ROW_DENIALS_MAX = 64  # refused uses in one row; more are only counted
REQUESTS_PER_S = 20.0  # of one operator, and of all refused ones together
BURST_REQUESTS = 100.0

_RANKS: dict[OperatorRole, int] = {"read": 0, "operate": 1, "own": 2}

DENIED = counter(
    "teaseldyke_administration_denied_total", "Refused uses of the administration."
)


class TokenMissing(TeaseldykeError):
    """The request carries no ``Authorization: Bearer`` header."""

    code = "token_missing"
    status = 401
    executed = "no"


class TokenUnknown(TeaseldykeError):
    """The token belongs to no operator."""

    code = "token_unknown"
    status = 401
    executed = "no"


class TokenExpired(TeaseldykeError):
    """The token is no longer accepted."""

    code = "token_expired"
    status = 401
    executed = "no"


class RoleMissing(TeaseldykeError):
    """The operator's role does not allow the request."""

    code = "role_missing"
    status = 403
    executed = "no"


class TooManyRequests(TeaseldykeError):
    """The operator sends more requests than the administration takes."""

    code = "too_many_requests"
    status = 429
    executed = "no"


@attrs.frozen
class Denial:
    """A refused use, for the audit trail.

    Parameters
    ----------
    at_s : float
        Unix time.
    router : str
        Router that refused.
    operator : str
        Name of the operator; empty when unknown.
    method, path : str
        Of the request.
    code : str
        Why it was refused.
    suppressed : int
        Refused uses before this one that were only counted.
    """

    at_s: float
    router: str
    operator: str
    method: str
    path: str
    code: str
    suppressed: int = 0


@attrs.define
class RequestBucket:
    """Token bucket for one operator.

    Parameters
    ----------
    available : float
        Requests that may come at once.
    filled_at_s : float
        When that was so, on trio's clock.
    """

    available: float = BURST_REQUESTS
    filled_at_s: float = 0.0

    def take(self, now_s: float) -> None:
        """Take one request from the bucket; raises `TooManyRequests`."""
        gained = (now_s - self.filled_at_s) * REQUESTS_PER_S
        self.available = min(BURST_REQUESTS, self.available + gained)
        self.filled_at_s = now_s
        if self.available < 1:
            raise TooManyRequests(
                f"more than {REQUESTS_PER_S:g} requests a second", retry_after_s=1.0
            )
        self.available -= 1


@attrs.define
class AccessControl:
    """Finds the operator of a token and checks role, expiry and rate.

    Parameters
    ----------
    tokens : iterable of OperatorToken
        Known operators.
    clock : callable
        Returns the time of day.
    """

    tokens: Iterable[OperatorToken]
    clock: Callable[[], datetime] = lambda: datetime.now(UTC)
    _by_hash: dict[str, OperatorToken] = attrs.field(init=False)
    _buckets: dict[str, RequestBucket] = attrs.field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        self._by_hash = {token.hash: token for token in self.tokens}

    def find(self, authorization: str | None) -> OperatorToken:
        """Return the operator that an ``Authorization`` header names.

        Raises
        ------
        TokenMissing, TokenUnknown
            If it names none.
        """
        scheme, _, secret = (authorization or "").partition(" ")
        if scheme.lower() != "bearer" or not secret:
            raise TokenMissing("expected a header 'Authorization: Bearer <token>'")
        digest = hashlib.sha256(secret.strip().encode()).hexdigest()
        token = self._by_hash.get(digest)
        if token is None:
            raise TokenUnknown("the token belongs to no operator of this router")
        return token

    def check(self, token: OperatorToken, role: OperatorRole) -> None:
        """Check that an operator may do what needs a role now.

        Raises
        ------
        TokenExpired, RoleMissing, TooManyRequests
            If not.
        """
        if token.expires_at is not None and token.expires_at <= self.clock():
            raise TokenExpired(
                f"the token of {token.name!r} expired {token.expires_at}"
            )
        if _RANKS[token.role] < _RANKS[role]:
            raise RoleMissing(
                f"operator {token.name!r} has role {token.role!r}; needed: {role!r}"
            )
        self.check_rate(token.name)

    def check_rate(self, name: str) -> None:
        """Count a request against the rate of a name; raises `TooManyRequests`."""
        bucket = self._buckets.setdefault(name, RequestBucket())
        bucket.take(trio.current_time())


@attrs.define
class AuditTrail:
    """Writes refused uses to the store, one row each interval at most.

    Parameters
    ----------
    table : TableService
        Where they are kept.
    router : str
        Name of this router.
    clock : callable
        Returns Unix time in seconds.
    """

    table: TableService
    router: str
    clock: Callable[[], float] = time.time
    _pending: list[Denial] = attrs.field(factory=list, init=False)
    _suppressed: int = attrs.field(default=0, init=False)

    def record_denial(self, operator: str, method: str, path: str, code: str) -> None:
        """Keep a refused use to be written; never blocks."""
        DENIED.bind(code=code).add()
        if len(self._pending) >= AUDIT_ROW_DENIALS_MAX:
            self._suppressed += 1
            return
        denial = Denial(
            self.clock(), self.router, operator, method, path, code, self._suppressed
        )
        self._suppressed = 0
        self._pending.append(denial)

    async def write_pending(self) -> None:
        """Write what waits as one row; keep it when the store does not confirm."""
        if not self._pending:
            return
        batch = list(self._pending)
        key = f"{_time_key(batch[0].at_s)}/{self.router}"
        row = Write(AUDIT_TABLE, key, msgspec.json.encode(batch))
        try:
            await self.table.transact([row])
        except TeaseldykeError:
            return  # writing the same row again is harmless
        del self._pending[: len(batch)]

    async def read(self, after_s: float, limit: int) -> list[Denial]:
        """Return refused uses from a Unix time on, oldest first.

        Parameters
        ----------
        after_s : float
            Unix time.
        limit : int
            Most rows to read; each holds up to `AUDIT_ROW_DENIALS_MAX` refused uses.
        """
        rows = await self.table.scan(AUDIT_TABLE, after=_time_key(after_s), limit=limit)
        denials: list[Denial] = []
        for row in rows:
            denials.extend(msgspec.json.decode(row.value, type=list[Denial]))
        return denials


def _time_key(at_s: float) -> str:
    return f"{int(at_s * 1000):015d}"
