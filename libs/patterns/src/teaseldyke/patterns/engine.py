"""Model of an LLM engine: continuous batching, chunked prefill, prefix cache."""

from __future__ import annotations

from collections import OrderedDict, deque

import attrs

from teaseldyke.placement import Work


@attrs.frozen
class EngineSpec:
    """Capacity and speed of an engine.

    Parameters
    ----------
    slots : int
        Largest number of requests in the batch.
    memory_tokens : int
        Size of the KV cache, cached prompt prefixes included.
    step_s, slot_step_s : float
        Base duration of a step, and the addition for each request that generates.
    prefill_tokens_per_s : float
        Prefill throughput, in prompt tokens.
    chunk_tokens : int
        Largest number of prompt tokens prefilled in one step.
    """

    slots: int = 16
    memory_tokens: int = 410_000
    step_s: float = 0.0036
    slot_step_s: float = 0.00005
    prefill_tokens_per_s: float = 157_000.0
    chunk_tokens: int = 1024

    def busy_s(self, work: Work) -> float:
        """Return the engine time that a request takes at full batch."""
        step_s = self.step_s / self.slots + self.slot_step_s
        return (
            work.prompt_tokens / self.prefill_tokens_per_s + work.output_tokens * step_s
        )


@attrs.define(eq=False)
class EngineRequest:
    """A request queued or running at an engine.

    Attributes
    ----------
    cached_tokens : int
        Prompt tokens found in the prefix cache, set on admission.
    pending_prefill_tokens : float
        Prompt tokens not yet prefilled.
    generated_tokens : int
        Output tokens generated so far.
    """

    work: Work
    cached_tokens: int = 0
    pending_prefill_tokens: float = 0.0
    generated_tokens: int = 0


@attrs.define
class StepResult:
    """Result of one step.

    Attributes
    ----------
    duration_s : float
        Duration of the step.
    admitted : list of EngineRequest
        Requests that joined the batch at its start.
    first : list of EngineRequest
        Requests that generated their first token.
    ended : list of EngineRequest
        Requests that generated their last token.
    """

    duration_s: float
    admitted: list[EngineRequest]
    first: list[EngineRequest]
    ended: list[EngineRequest]


class EngineModel:
    """Model of one engine, which admits requests in order of arrival.

    Parameters
    ----------
    name : str
        Id of the engine.
    spec : EngineSpec
        Capacity and speed.
    """

    def __init__(self, name: str, spec: EngineSpec) -> None:
        self.name = name
        self.spec = spec
        self.has_failed = False
        self.queue: deque[EngineRequest] = deque()
        self.running: list[EngineRequest] = []
        self.cached_parts: OrderedDict[str, int] = OrderedDict()

    @property
    def is_busy(self) -> bool:
        """Whether requests are queued or running."""
        return not self.has_failed and bool(self.queue or self.running)

    @property
    def used_tokens(self) -> int:
        """Tokens of running requests and of cached prompt parts."""
        running = sum(request.work.memory_tokens for request in self.running)
        return running + sum(self.cached_parts.values())

    def enqueue(self, request: EngineRequest) -> None:
        """Add a request to the queue."""
        self.queue.append(request)

    def cancel(self, request: EngineRequest) -> None:
        """Remove a request whose caller has disconnected."""
        if request in self.queue:
            self.queue.remove(request)
        if request in self.running:
            self.running.remove(request)

    def fail(self) -> list[EngineRequest]:
        """Fail at once and return the requests that were running or queued."""
        aborted = [*self.running, *self.queue]
        self.has_failed = True
        self.running.clear()
        self.queue.clear()
        self.cached_parts.clear()
        return aborted

    def step(self) -> StepResult:
        """Run one step: prefill a chunk of pending prompts, then generate a token each.

        A request generates from the step after the one that completes its prefill.
        """
        admitted = self._admit()
        spec = self.spec
        prefilled = 0.0
        generating = []
        for request in self.running:
            if request.pending_prefill_tokens <= 0.0:
                generating.append(request)
                continue
            chunk = min(request.pending_prefill_tokens, spec.chunk_tokens - prefilled)
            request.pending_prefill_tokens -= chunk
            prefilled += chunk
            if request.pending_prefill_tokens <= 0.0:
                self._cache_parts(request.work)
        first, ended = [], []
        for request in generating:
            request.generated_tokens += 1
            if request.generated_tokens == 1:
                first.append(request)
            if request.generated_tokens >= request.work.output_tokens:
                ended.append(request)
                self.running.remove(request)
        duration_s = spec.step_s + spec.slot_step_s * len(generating)
        duration_s += prefilled / spec.prefill_tokens_per_s
        return StepResult(duration_s, admitted, first, ended)

    def _admit(self) -> list[EngineRequest]:
        admitted = []
        while self.queue and len(self.running) < self.spec.slots:
            request = self.queue[0]
            if self.running and not self._evict_until_fits(request.work.memory_tokens):
                break
            self.queue.popleft()
            request.cached_tokens = self._match_cached(request.work)
            request.pending_prefill_tokens = float(
                request.work.prompt_tokens - request.cached_tokens
            )
            self.running.append(request)
            admitted.append(request)
        return admitted

    def _evict_until_fits(self, tokens: int) -> bool:
        """Evict least recently used parts; return whether the tokens then fit."""
        while self.used_tokens + tokens > self.spec.memory_tokens:
            if not self.cached_parts:
                return False
            self.cached_parts.popitem(last=False)
        return True

    def _match_cached(self, work: Work) -> int:
        cached = 0
        for part, tokens in work.parts:
            if part not in self.cached_parts:
                break
            self.cached_parts.move_to_end(part)
            cached += tokens
        return min(cached, work.prompt_tokens - 1)

    def _cache_parts(self, work: Work) -> None:
        for part, tokens in work.parts[:-1]:
            self.cached_parts[part] = tokens
            self.cached_parts.move_to_end(part)
        self._evict_until_fits(0)
