"""Forwards non-idempotent calls that carry an idempotency key, at most once."""

from __future__ import annotations

import attrs

from teaseldyke.outcomes import (
    Attempt,
    Finished,
    OutcomeRecords,
    StoredOutcome,
    fingerprint_of,
)

from .calls import Call
from .forwarding import Forwarder
from .sink import Sink


@attrs.define
class AtMostOnceForwarder:
    """Executes a call at most once over all routers, guarded by a durable record.

    Parameters
    ----------
    forwarder : Forwarder
        Sends the call.
    records : OutcomeRecords
        Durable records of attempts and their outcomes.
    """

    forwarder: Forwarder
    records: OutcomeRecords

    async def forward(self, call: Call, sink: Sink) -> None:
        """Send a call and relay its response, or replay the stored response.

        Raises
        ------
        TeaseldykeError
            The error to return to the caller.
        """
        assert call.idempotency_key is not None
        fingerprint = fingerprint_of(
            call.method,
            call.target,
            call.headers,
            call.body,
            service=call.service.name,
        )
        begun = await self.records.begin(
            call.organisation.name,
            call.idempotency_key,
            fingerprint,
            service=call.service.name,
        )
        if isinstance(begun, Finished):
            await sink.replay(begun.outcome)
            return
        attempt = begun.attempt

        async def store_outcome(outcome: StoredOutcome) -> None:
            await self.records.finish(attempt, outcome)

        def before_send() -> None:
            self.records.mark_sending(attempt)

        sink.store_outcome = store_outcome
        sink.buffer_limit_bytes = call.service.answer_limit_bytes
        call.before_send = before_send
        try:
            await self.forwarder.forward(call, sink)
        finally:
            if not sink.complete:
                await self._end_record(call, attempt)

    async def _end_record(self, call: Call, attempt: Attempt) -> None:
        """Release the key if nothing was sent; otherwise mark the outcome unknown."""
        if call.sends:
            await self.records.mark_unknown(attempt)
            return
        await self.records.abandon(attempt)
