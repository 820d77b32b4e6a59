"""Logs how sends to backend servers ended."""

from __future__ import annotations

from teaseldyke.telemetry import counter, log_decision
from teaseldyke.timers import boot_time_s

from .attempts import Attempt, SendResult
from .call import Call

LONG_SILENCE_S = 1.0  # longer than most gaps of a server that is well
CANCELLED = "cancelled"

SENDS_ENDED = counter(
    "teaseldyke_sends_ended_total",
    "Sends without a whole answer, by outcome, kind of connection, silence and side.",
)


def log_send_ended(call: Call, attempt: Attempt, result: SendResult) -> None:
    """Log a send that has not delivered the answer."""
    _log(call, attempt, result.outcome.value, result.status, result.detail)


def log_send_cancelled(call: Call, attempt: Attempt) -> None:
    """Log a send that ended with its call, without a result of its own.

    That is at a deadline, at a stop, when the caller leaves, or when another send has
    answered the call.
    """
    if attempt.connection is None:
        return
    _log(call, attempt, CANCELLED, 0, "")


def _log(call: Call, attempt: Attempt, outcome: str, status: int, reason: str) -> None:
    reservation = attempt.reservation
    use = attempt.connection
    silent_s = use.silent_s if use else 0.0
    closed_by = use.closed_by if use else None
    SENDS_ENDED.bind(
        outcome=outcome,
        connection="none" if use is None else "reused" if use.is_reused else "new",
        silent="yes" if silent_s >= LONG_SILENCE_S else "no",
        closed_by=closed_by or "none",
    ).add()
    log_decision(
        "send_ended",
        id=call.text_id,
        server=reservation.state.server.id,
        outcome=outcome,
        status=status,
        reason=reason,
        silent_s=round(silent_s, 3),
        reused=use.is_reused if use else None,
        idle_s=round(use.idle_s, 3) if use else None,
        closed_by=closed_by,
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
