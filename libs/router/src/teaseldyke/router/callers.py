"""Handles the requests on the callers' port."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import attrs
import trio

from teaseldyke.http import CallerGone, Request
from teaseldyke.telemetry import Tracing, counter, histogram
from teaseldyke.types import Configuration, TeaseldykeError

from .authentication import OrganisationDirectory
from .calls import Call, has_idempotency_key, read_call
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
    """Handles callers' requests; each gets exactly one response or error.

    Parameters
    ----------
    get_configuration : callable
        Returns the configuration in force, or ``None``.
    forwarder : Forwarder
        For idempotent requests and those without an idempotency key.
    at_most_once : AtMostOnceForwarder
        For non-idempotent requests with an idempotency key.
    tracing : Tracing
        Records the root span of each request.
    body_limit_bytes : int
        Largest accepted request body.
    recorder : TraceRecorder or None
        Writes each request to a trace for replay.

    Attributes
    ----------
    running : int
        Requests in progress.
    """

    get_configuration: Callable[[], Configuration | None]
    forwarder: Forwarder
    at_most_once: AtMostOnceForwarder
    tracing: Tracing
    body_limit_bytes: int
    recorder: TraceRecorder | None = None
    running: int = 0
    _directory: OrganisationDirectory | None = None

    async def handle(self, request: Request) -> None:
        """Handle one request.

        Raises
        ------
        TeaseldykeError
            The error to return to the caller.
        """
        started_at_s = trio.current_time()
        self.running += 1
        service = "none"
        code = "ok"
        call: Call | None = None
        try:
            call = await read_call(
                request, self._current_directory(), self.body_limit_bytes
            )
            service = call.service.name
            await self._handle_call(call, request)
        except Exception as exc:
            code = _code_of(exc)
            if (
                call is None
                and isinstance(exc, TeaseldykeError)
                and has_idempotency_key(request)
            ):
                # Refused before the record of its key was read: an earlier request with
                # this key may have been executed.
                exc.executed = "unknown"
            raise
        finally:
            self.running -= 1
            ANSWERS.bind(service=service, code=code).add()
            DURATION.bind(service=service).observe(trio.current_time() - started_at_s)

    def _current_directory(self) -> OrganisationDirectory:
        configuration = self.get_configuration()
        if configuration is None:
            raise ConfigurationMissing(
                "the router has not loaded a configuration yet",
                retry_after_s=CONFIGURATION_RETRY_S,
            )
        directory = self._directory
        if directory is None or directory.configuration is not configuration:
            directory = OrganisationDirectory(configuration)
            self._directory = directory
        return directory

    async def _handle_call(self, call: Call, request: Request) -> None:
        if self.recorder is not None:
            self.recorder.record(call)
        sink = Sink(request, survives_disconnect=not call.idempotent)
        parent = request.header("traceparent")
        with self.tracing.span(
            "request",
            parent,
            organisation=call.organisation.name,
            service=call.service.name,
        ) as span:
            call.span = span
            with trio.CancelScope() as scope:
                on_disconnect = partial(_cancel_unless_sent, call, sink, scope)
                with request.on_disconnect(on_disconnect):
                    await self._forward(call, sink)
        if sink.caller_gone:
            raise CallerGone(
                "caller closed its connection before the response was complete"
            )

    async def _forward(self, call: Call, sink: Sink) -> None:
        if call.idempotent or call.idempotency_key is None:
            await self.forwarder.forward(call, sink)
            return
        await self.at_most_once.forward(call, sink)


def _cancel_unless_sent(call: Call, sink: Sink, scope: trio.CancelScope) -> None:
    """Cancel a disconnected caller's call, unless it was sent and isn't idempotent."""
    sink.caller_gone = True
    if call.idempotent or call.sends == 0:
        scope.cancel()


def _code_of(exc: BaseException) -> str:
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    return exc.code if isinstance(exc, TeaseldykeError) else TeaseldykeError.code
