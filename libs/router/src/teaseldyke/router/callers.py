"""Answers callers: one handler for every request on the callers' port."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import attrs
import trio

from teaseldyke.http import CallerGone, Request
from teaseldyke.telemetry import Tracing, counter, histogram
from teaseldyke.types import Configuration, TeaseldykeError

from .authentication import Directory
from .calls import Call, has_key, read_call
from .errors import ConfigurationMissing
from .forwarding import Forwarder
from .recorded import AtMostOnceForwarder
from .recording import TraceRecorder
from .sink import Sink

CONFIGURATION_RETRY_S = 1.0

ANSWERS = counter("teaseldyke_answers_total", "Requests answered, by service and code.")
DURATION = histogram("teaseldyke_request_duration_seconds", "From header to answer.")


@attrs.define
class CallerHandler:
    """Turns each request of a caller into one final answer.

    Parameters
    ----------
    current : callable
        Returns the configuration in force, or ``None``.
    forwarder : Forwarder
        For requests without a record.
    recorded : AtMostOnceForwarder
        For non-idempotent requests with an idempotency key.
    tracing : Tracing
        Records the first span of each request.
    body_limit_bytes : int
        Largest request body.
    recorder : TraceRecorder or None
        Writes each request to a trace for replay.
    """

    current: Callable[[], Configuration | None]
    forwarder: Forwarder
    recorded: AtMostOnceForwarder
    tracing: Tracing
    body_limit_bytes: int
    recorder: TraceRecorder | None = None
    running: int = 0
    _directory: Directory | None = None

    async def handle(self, request: Request) -> None:
        """Answer one request, or raise the refusal to answer with."""
        started_at_s = trio.current_time()
        self.running += 1
        service = "none"
        code = "ok"
        call: Call | None = None
        try:
            call = await read_call(request, self._current(), self.body_limit_bytes)
            service = call.service.name
            await self._answer(call, request)
        except Exception as exc:
            code = _code_of(exc)
            if call is None and isinstance(exc, TeaseldykeError) and has_key(request):
                exc.executed = "unknown"  # the record of its key was not read
            raise
        finally:
            self.running -= 1
            ANSWERS.bind(service=service, code=code).add()
            DURATION.bind(service=service).observe(trio.current_time() - started_at_s)

    def _current(self) -> Directory:
        configuration = self.current()
        if configuration is None:
            raise ConfigurationMissing(
                "the router has no configuration yet",
                retry_after_s=CONFIGURATION_RETRY_S,
            )
        directory = self._directory
        if directory is None or directory.configuration is not configuration:
            directory = Directory(configuration)
            self._directory = directory
        return directory

    async def _answer(self, call: Call, request: Request) -> None:
        if self.recorder is not None:
            self.recorder.record(call)
        sink = Sink(request, runs_on=not call.idempotent)
        parent = request.header("traceparent")
        with self.tracing.span(
            "request",
            parent,
            organisation=call.organisation.name,
            service=call.service.name,
        ) as span:
            call.span = span
            with trio.CancelScope() as scope:
                gone = partial(_give_up, call, sink, scope)
                with request.on_disconnect(gone):
                    await self._forward(call, sink)
        if sink.caller_gone:
            raise CallerGone("caller closed its connection before its answer")

    async def _forward(self, call: Call, sink: Sink) -> None:
        if call.idempotent or call.idempotency_key is None:
            await self.forwarder.forward(call, sink)
            return
        await self.recorded.forward(call, sink)


def _give_up(call: Call, sink: Sink, scope: trio.CancelScope) -> None:
    """Cancel a call whose caller went away, unless it may not be cut any more."""
    sink.caller_gone = True
    if call.idempotent or call.sends == 0:
        scope.cancel()


def _code_of(exc: BaseException) -> str:
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    return exc.code if isinstance(exc, TeaseldykeError) else TeaseldykeError.code
