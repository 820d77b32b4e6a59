"""Forwards non-idempotent calls that carry an idempotency key."""

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
    """Runs a call at most once over all routers, under a durable record.

    Parameters
    ----------
    forwarder : Forwarder
        Sends the call.
    records : OutcomeRecords
        Durable records of attempts and outcomes.
    """

    forwarder: Forwarder
    records: OutcomeRecords

    async def forward(self, call: Call, sink: Sink) -> None:
        """Bring a call to its final answer, or raise the refusal to answer with."""
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

        async def keep(outcome: StoredOutcome) -> None:
            await self.records.finish(attempt, outcome)

        def check_record() -> None:
            self.records.mark_sending(attempt)

        sink.keep = keep
        sink.hold_bytes = call.service.answer_limit_bytes
        call.check_record = check_record
        try:
            await self.forwarder.forward(call, sink)
        finally:
            if not sink.whole:
                await self._give_up(call, attempt)

    async def _give_up(self, call: Call, attempt: Attempt) -> None:
        """Free the key when nothing was sent; otherwise say that nobody knows."""
        if call.sends:
            await self.records.mark_unknown(attempt)
            return
        await self.records.abandon(attempt)
