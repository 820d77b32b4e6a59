"""Ends of calls."""

from __future__ import annotations

from contextlib import nullcontext
from types import SimpleNamespace
from typing import Any

import trio

from teaseldyke.gateway.calls import CallHandler
from teaseldyke.timers import boot_time_s


async def test_answer_complete_at_the_deadline_is_not_reset() -> None:
    """A deadline right after a second send's complete answer had it reset."""
    request: Any = SimpleNamespace(
        finished=False, on_disconnect=lambda callback: nullcontext()
    )
    call: Any = SimpleNamespace(
        request=request,
        possible_runs=1,
        work=SimpleNamespace(deadline_at_s=boot_time_s() + 0.05),
    )

    async def answer_and_wait(call: object) -> None:
        request.finished = True  # by a second send, while the first one still ends
        await trio.sleep_forever()

    handler = CallHandler.__new__(CallHandler)
    handler._sender = SimpleNamespace(  # type: ignore[assignment]
        send_with_retries=answer_and_wait
    )
    await handler._run_call(call)
