"""Logs how sends to backend servers ended."""

from __future__ import annotations

from teaseldyke.telemetry import log_decision
from teaseldyke.timers import boot_time_s

from .attempts import Attempt, SendResult
from .call import Call
from .reservation import Reservation


def log_send_ended(call: Call, reservation: Reservation, result: SendResult) -> None:
    """Log a send that has not delivered the answer."""
    log_decision(
        "send_ended",
        id=call.text_id,
        server=reservation.state.server.id,
        outcome=result.outcome.value,
        status=result.status,
        reason=result.detail,
        events=call.relay.events,
        head_s=round(reservation.measured_head_s, 4),
        first_s=round(reservation.measured_first_s, 4),
        after_s=round(boot_time_s() - reservation.sent_at_s, 4),
        parts=[part for part, _ in call.work.parts[:-1]],
    )


def log_suspect(
    call: Call, attempt: Attempt, crash: str, result: SendResult, may_repeat: bool
) -> None:
    """Log a request that was at a server, without an answer, when it crashed."""
    reservation = attempt.reservation
    identity = call.work.identity
    log_decision(
        "crash_suspect",
        id=call.text_id,
        crash=crash,
        service=call.service.name,
        request=identity.key if identity else None,
        organisation=call.organisation.name if call.organisation else None,
        parts=[part for part, _ in call.work.parts],
        status=result.status,
        head_s=round(reservation.measured_head_s, 4),
        first_s=round(reservation.measured_first_s, 4),
        after_s=round(boot_time_s() - reservation.sent_at_s, 4),
        send=call.sends - 1,
        is_trial=attempt.is_trial,
        may_repeat=may_repeat,
    )
