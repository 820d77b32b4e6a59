"""Stand-in for a model engine with continuous batching."""

from __future__ import annotations

import attrs
import trio

from teaseldyke.http import Request

from .backend import BackendState
from .batch import Batch, PrefixCache
from .executions import Execution
from .faults import AnswerFaults
from .generation import Generation
from .load import ServerLoad
from .orders import BadOrder, UnknownPath, split_path, unknown_path
from .settings import EngineSettings

BODY_LIMIT_BYTES = 16 * 1024 * 1024
PREFILL_UNIT_TOKENS = 1000  # prompt tokens that take ``prefill_s``


@attrs.define(eq=False)
class _Slot:
    """A request's slot in the batch, released before the end of the answer is sent."""

    load: ServerLoad
    batch: Batch
    is_held: bool = True

    def release(self, *, completed: bool) -> None:
        """Release the slot; further calls have no effect."""
        if not self.is_held:
            return
        self.is_held = False
        self.batch.running -= 1
        self.load.finish(completed=completed)


@attrs.frozen
class _Job:
    """A request that runs in the engine."""

    request: Request
    request_id: str
    execution: Execution
    faults: AnswerFaults
    generation: Generation
    first: int
    cached_tokens: int
    slot: _Slot


@attrs.define
class Engine:
    """Serves chat completions at a configured token rate.

    Parameters
    ----------
    settings : EngineSettings
        Token rates and limits.
    """

    settings: EngineSettings
    state: BackendState = attrs.field(init=False)
    batch: Batch = attrs.field(init=False)
    cache: PrefixCache = attrs.field(init=False)
    _scopes: dict[str, trio.CancelScope] = attrs.field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        settings = self.settings
        self.state = BackendState(settings)
        self.batch = Batch(settings.tokens_per_s, settings.limit)
        self.cache = PrefixCache(settings.prefix_entries)

    async def handle(self, request: Request) -> None:
        """Handle one request."""
        if await self.state.handle(request):
            return
        match request.method, split_path(request):
            case "POST", ["v1", "chat", "completions"]:
                await self._complete_chat(request)
            case "DELETE", ["v1", "requests", request_id]:
                await self._cancel(request, request_id)
            case _:
                raise unknown_path(request)

    async def _cancel(self, request: Request, request_id: str) -> None:
        scope = self._scopes.get(request_id)
        if scope is None:
            raise UnknownPath(f"request {request_id!r} does not run here")
        scope.cancel()
        await request.respond(204)

    async def _complete_chat(self, request: Request) -> None:
        generation = Generation.parse(await request.read_body(BODY_LIMIT_BYTES))
        first = _resume_offset(request, generation)
        faults = self.state.take_faults()
        self.state.load.start()
        job = self._admit(request, generation, first, faults)
        completed = False
        try:
            completed = await self._run_until_disconnect(job)
        finally:
            job.slot.release(completed=completed)
            job.execution.cancelled |= not completed

    def _admit(
        self,
        request: Request,
        generation: Generation,
        first: int | None,
        faults: AnswerFaults,
    ) -> _Job:
        """Record the execution, look up the prefix and take a slot in the batch."""
        self.batch.running += 1
        execution = self.state.executions.get_or_create(request)
        if first is None:
            execution.count += 1
        else:
            execution.resumed += 1
        hit = self.cache.use(generation.prefix)
        cached_tokens = generation.prefix_tokens if hit else 0
        request_id = request.header("X-Request-Id") or request.id
        return _Job(
            request,
            request_id,
            execution,
            faults,
            generation,
            first or 0,
            cached_tokens,
            _Slot(self.state.load, self.batch),
        )

    async def _run_until_disconnect(self, job: _Job) -> bool:
        """Run a job until it completes, its caller disconnects or it is cancelled."""
        previous = self._scopes.get(job.request_id)
        if previous is not None:
            previous.cancel()  # a resumed stream supersedes the earlier one with its id
        completed = False
        async with trio.open_nursery() as nursery:
            scope = nursery.cancel_scope
            self._scopes[job.request_id] = scope
            self.state.running.add(scope)
            nursery.start_soon(_cancel_on_disconnect, job.request, scope)
            try:
                await self._run(job)
                completed = True
            finally:
                self.state.running.discard(scope)
                if self._scopes.get(job.request_id) is scope:
                    del self._scopes[job.request_id]
            scope.cancel()
        if not completed:
            await job.request.abort()
        return completed

    async def _run(self, job: _Job) -> None:
        await self._prefill(job)
        if job.generation.stream:
            await self._stream(job)
            return
        async for _ in self.batch.tokens(job.first, job.generation.output_tokens):
            continue
        job.slot.release(completed=True)
        body = job.generation.response_body(job.request_id, job.cached_tokens)
        await self.state.respond(job.request, job.execution, job.faults, body)

    async def _prefill(self, job: _Job) -> None:
        tokens = job.generation.prompt_tokens - job.cached_tokens
        await trio.sleep(tokens / PREFILL_UNIT_TOKENS * self.settings.prefill_s)

    async def _stream(self, job: _Job) -> None:
        request, generation, faults = job.request, job.generation, job.faults
        await trio.sleep(faults.late_s)
        if faults.lose:
            await request.abort()
            return
        headers = [
            *self.state.request_id_headers(request, faults),
            (b"content-type", b"text/event-stream"),
        ]
        if request.header("Resume-Offset") is not None:
            headers.append((b"resume-offset", str(job.first).encode()))
        await request.start_response(200, headers)
        truncated_at = generation.output_tokens // 2
        async for indices in self.batch.tokens(job.first, generation.output_tokens):
            await request.send(generation.events(indices, job.request_id))
            if faults.truncate and indices.stop >= truncated_at:
                await request.abort()
                return
        job.slot.release(completed=True)
        await request.send(b" " * faults.oversize_bytes)
        skipped = max(0, job.first - generation.output_tokens)
        await request.send(
            generation.final_events(job.request_id, job.cached_tokens, skipped)
        )
        self.state.extra.pending = b"x" * faults.extra_bytes
        await request.finish()
        job.execution.answered += 1


async def _cancel_on_disconnect(request: Request, scope: trio.CancelScope) -> None:
    await request.wait_disconnect()
    scope.cancel()


def _resume_offset(request: Request, generation: Generation) -> int | None:
    """Return the event index to resume a stream at, or ``None`` for a new stream."""
    text = request.header("Resume-Offset")
    if text is None:
        return None
    if not text.isascii() or not text.isdigit():
        raise BadOrder(f"Resume-Offset is {text!r}, expected a number of events")
    offset = int(text)
    if offset > generation.event_count:
        raise BadOrder(
            f"Resume-Offset is {offset}, the stream has {generation.event_count} events"
        )
    return offset
