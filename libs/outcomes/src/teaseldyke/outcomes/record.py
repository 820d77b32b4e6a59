"""The durable record of one request that must run at most once."""

from __future__ import annotations

import hashlib
from typing import Literal

import attrs
import msgspec

RecordState = Literal["running", "finished", "unknown", "abandoned"]

KEY_DIGEST_BYTES = 20


@attrs.frozen
class StoredOutcome:
    """The answer of a backend server, stored for repeated requests.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of tuple of bytes
        Names and values, in order.
    body : bytes
        Whole body.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""


@attrs.frozen
class Record:
    """One row: the latest attempt of an (organisation, idempotency key).

    The state "running" means that the request may have been sent. Only the owner of
    the attempt may change the state to "abandoned", and only an abandoned attempt
    may be followed by another one.

    Parameters
    ----------
    attempt_id : str
        Unique over all routers and restarts.
    router, incarnation : str
        Owner of the attempt.
    service : str
        Service that the request is for.
    fingerprint : str
        Of the request; see `fingerprint_of`.
    state : {"running", "finished", "unknown", "abandoned"}
        State of the attempt.
    lease_s : float
        Time without a renewal after which the lease of a running attempt expires.
    written_at_s : float
        Seconds since 1970 on the writer's clock; read only to remove expired rows.
    renewals : int
        Renewals of the lease so far.
    outcome : StoredOutcome or None
        Answer of a finished attempt.
    object_name : str or None
        Name of the object that holds the body instead of ``outcome.body``.
    truncated : bool
        Whether the body was too large to store.
    """

    attempt_id: str
    router: str
    incarnation: str
    service: str
    fingerprint: str
    state: RecordState
    lease_s: float
    written_at_s: float
    renewals: int = 0
    outcome: StoredOutcome | None = None
    object_name: str | None = None
    truncated: bool = False


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Record)


def encode_record(record: Record) -> bytes:
    """Return the encoded value of a record's row."""
    return _encoder.encode(record)


def decode_record(value: bytes) -> Record:
    """Return the record decoded from a row's value.

    Raises
    ------
    msgspec.DecodeError
        If the value is not an encoded record.
    """
    return _decoder.decode(value)


def row_key_of(organisation: str, key: str) -> str:
    """Return the row key of an organisation's idempotency key.

    The key is a digest: digests are evenly distributed, so that a sweep may start
    at a random position in the table.

    Examples
    --------
    >>> row_key_of("parish-9", "grant-1") == row_key_of("parish-9", "grant-1")
    True
    >>> row_key_of("a", "b-c") == row_key_of("a-b", "c")
    False
    """
    digest = hashlib.blake2b(digest_size=KEY_DIGEST_BYTES)
    for part in (organisation.encode(), key.encode()):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    return digest.hexdigest()
