"""Access control of the administration API and audit trail of refused requests."""

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
AUDIT_INTERVAL_S = 10.0  # between two rows of the audit trail
AUDIT_ROW_DENIALS_MAX = 64  # further denials are only counted
REQUESTS_PER_S = 20.0  # per operator, and for all unauthenticated requests together
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
    """The operator exceeds the rate limit of the administration API."""

    code = "too_many_requests"
    status = 429
    executed = "no"


@attrs.frozen
class Denial:
    """A refused request, as recorded in the audit trail.

    Parameters
    ----------
    at_s : float
        Time of the refusal, as Unix time.
    router : str
        Router that refused the request.
    operator : str
        Name of the operator; empty if unknown.
    method, path : str
        Method and path of the request.
    code : str
        Error code.
    suppressed : int
        Refused requests before this one that were counted but not recorded.
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
    """Token bucket that limits one operator's requests.

    Parameters
    ----------
    available : float
        Tokens in the bucket; each request takes one.
    filled_at_s : float
        Time of the last refill, on trio's clock.
    """

    available: float = BURST_REQUESTS
    filled_at_s: float = 0.0

    def take(self, now_s: float) -> None:
        """Refill the bucket and take one token.

        Raises
        ------
        TooManyRequests
            If the bucket is empty.
        """
        gained = (now_s - self.filled_at_s) * REQUESTS_PER_S
        self.available = min(BURST_REQUESTS, self.available + gained)
        self.filled_at_s = now_s
        if self.available < 1:
            raise TooManyRequests(
                f"rate limit of {REQUESTS_PER_S:g} requests per second exceeded",
                retry_after_s=1.0,
            )
        self.available -= 1


@attrs.define
class AccessControl:
    """Authenticates operators by token and checks role, expiry and request rate.

    Parameters
    ----------
    tokens : iterable of OperatorToken
        Tokens of the known operators.
    clock : callable
        Returns the current date and time.
    """

    tokens: Iterable[OperatorToken]
    clock: Callable[[], datetime] = lambda: datetime.now(UTC)
    _by_hash: dict[str, OperatorToken] = attrs.field(init=False)
    _buckets: dict[str, RequestBucket] = attrs.field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        self._by_hash = {token.hash: token for token in self.tokens}

    def authenticate(self, authorization: str | None) -> OperatorToken:
        """Return the operator token in an ``Authorization`` header.

        Raises
        ------
        TokenMissing, TokenUnknown
            If the header carries no token or an unknown one.
        """
        scheme, _, secret = (authorization or "").partition(" ")
        if scheme.lower() != "bearer" or not secret:
            raise TokenMissing("expected a header 'Authorization: Bearer <token>'")
        digest = hashlib.sha256(secret.strip().encode()).hexdigest()
        token = self._by_hash.get(digest)
        if token is None:
            raise TokenUnknown("the token belongs to no operator of this router")
        return token

    def authorise(self, token: OperatorToken, role: OperatorRole) -> None:
        """Check that an operator may send a request that requires a role.

        Raises
        ------
        TokenExpired, RoleMissing, TooManyRequests
            If the token expired, the role is too low or the rate limit is exceeded.
        """
        if token.expires_at is not None and token.expires_at <= self.clock():
            raise TokenExpired(
                f"the token of {token.name!r} expired at {token.expires_at}"
            )
        if _RANKS[token.role] < _RANKS[role]:
            raise RoleMissing(
                f"operator {token.name!r} has role {token.role!r}; required: {role!r}"
            )
        self.check_rate(token.name)

    def check_rate(self, name: str) -> None:
        """Count a request against the rate limit of an operator.

        Requests without a known operator share the bucket of the empty name.

        Raises
        ------
        TooManyRequests
            If the limit is exceeded.
        """
        bucket = self._buckets.setdefault(name, RequestBucket())
        bucket.take(trio.current_time())


@attrs.define
class AuditTrail:
    """Writes refused requests to the store, at most one row per interval.

    Parameters
    ----------
    table : TableService
        Table service that stores the audit trail.
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
        """Queue a refused request for the next row; never blocks."""
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
        """Write the queued denials as one row; they stay queued if the write fails."""
        if not self._pending:
            return
        batch = list(self._pending)
        key = f"{_time_key(batch[0].at_s)}/{self.router}"
        row = Write(AUDIT_TABLE, key, msgspec.json.encode(batch))
        try:
            await self.table.transact([row])
        except TeaseldykeError:
            return  # the next write overwrites this row, so nothing is duplicated
        del self._pending[: len(batch)]

    async def read(self, after_s: float, limit: int) -> list[Denial]:
        """Return requests refused since a Unix time, oldest first.

        Parameters
        ----------
        after_s : float
            Unix time in seconds.
        limit : int
            Maximum number of rows; each holds up to `AUDIT_ROW_DENIALS_MAX` denials.
        """
        rows = await self.table.scan(AUDIT_TABLE, after=_time_key(after_s), limit=limit)
        denials: list[Denial] = []
        for row in rows:
            denials.extend(msgspec.json.decode(row.value, type=list[Denial]))
        return denials


def _time_key(at_s: float) -> str:
    return f"{int(at_s * 1000):015d}"
