"""Model of a language model engine: batched steps, chunked reading, kept prompts."""

from __future__ import annotations

from collections import OrderedDict, deque

import attrs

from teaseldyke.placement import Work


@attrs.frozen
class EngineSpec:
    """What one engine can do.

    Parameters
    ----------
    slots : int
        Requests that run at once.
    memory_tokens : int
        Tokens that it holds, those of kept prompts included.
    step_s, slot_step_s : float
        Length of a step, and what each running request adds.
    read_tokens_per_s : float
        Prompt tokens read.
    chunk_tokens : int
        Prompt tokens read in one step.
    """

    slots: int = 16
    memory_tokens: int = 410_000
    step_s: float = 0.0036
    slot_step_s: float = 0.00005
    read_tokens_per_s: float = 157_000.0
    chunk_tokens: int = 1024

    def busy_s(self, work: Work) -> float:
        """Return the part of the engine's time that a request takes at a full batch."""
        step_s = self.step_s / self.slots + self.slot_step_s
        return work.prompt_tokens / self.read_tokens_per_s + work.output_tokens * step_s


@attrs.define(eq=False)
class Run:
    """A request at an engine.

    Attributes
    ----------
    kept_tokens : int
        Prompt tokens that the engine had, once it is admitted.
    unread_tokens : float
        Prompt tokens still to be read.
    made_tokens : int
        Tokens generated.
    """

    work: Work
    kept_tokens: int = 0
    unread_tokens: float = 0.0
    made_tokens: int = 0


@attrs.define
class StepResult:
    """What one step brought about at its end."""

    duration_s: float
    admitted: list[Run]
    first: list[Run]
    ended: list[Run]


class EngineModel:
    """One engine, which admits requests in the order of their arrival.

    Parameters
    ----------
    name : str
        Its id.
    spec : EngineSpec
        What it can do.
    """

    def __init__(self, name: str, spec: EngineSpec) -> None:
        self.name = name
        self.spec = spec
        self.is_lost = False
        self.queue: deque[Run] = deque()
        self.running: list[Run] = []
        self.parts: OrderedDict[str, int] = OrderedDict()

    @property
    def is_busy(self) -> bool:
        """Whether there is a step to do."""
        return not self.is_lost and bool(self.queue or self.running)

    @property
    def held_tokens(self) -> int:
        """Tokens of running requests and of kept parts."""
        held = sum(run.work.memory_tokens for run in self.running)
        return held + sum(self.parts.values())

    def arrive(self, run: Run) -> None:
        """Take a request into the queue."""
        self.queue.append(run)

    def leave(self, run: Run) -> None:
        """Drop a request whose caller has left."""
        if run in self.queue:
            self.queue.remove(run)
        if run in self.running:
            self.running.remove(run)

    def lose(self) -> list[Run]:
        """End at once; return what was there."""
        lost = [*self.running, *self.queue]
        self.is_lost = True
        self.running.clear()
        self.queue.clear()
        self.parts.clear()
        return lost

    def step(self) -> StepResult:
        """Do one step: read a chunk of the first unread prompt, make a token each."""
        admitted = self._admit()
        spec = self.spec
        read = 0.0
        making = []
        for run in self.running:
            if run.unread_tokens <= 0.0:
                making.append(run)
                continue
            chunk = min(run.unread_tokens, spec.chunk_tokens - read)
            run.unread_tokens -= chunk
            read += chunk
            if run.unread_tokens <= 0.0:
                self._keep(run.work)
        first, ended = [], []
        for run in making:
            run.made_tokens += 1
            if run.made_tokens == 1:
                first.append(run)
            if run.made_tokens >= run.work.output_tokens:
                ended.append(run)
                self.running.remove(run)
        duration_s = spec.step_s + spec.slot_step_s * len(making)
        duration_s += read / spec.read_tokens_per_s
        return StepResult(duration_s, admitted, first, ended)

    def _admit(self) -> list[Run]:
        admitted = []
        while self.queue and len(self.running) < self.spec.slots:
            run = self.queue[0]
            if self.running and not self._make_room(run.work.memory_tokens):
                break
            self.queue.popleft()
            run.kept_tokens = self._kept_tokens(run.work)
            run.unread_tokens = float(run.work.prompt_tokens - run.kept_tokens)
            self.running.append(run)
            admitted.append(run)
        return admitted

    def _make_room(self, tokens: int) -> bool:
        """Drop the parts that were unused longest; return whether that is enough."""
        while self.held_tokens + tokens > self.spec.memory_tokens:
            if not self.parts:
                return False
            self.parts.popitem(last=False)
        return True

    def _kept_tokens(self, work: Work) -> int:
        kept = 0
        for part, tokens in work.parts:
            if part not in self.parts:
                break
            self.parts.move_to_end(part)
            kept += tokens
        return min(kept, work.prompt_tokens - 1)

    def _keep(self, work: Work) -> None:
        for part, tokens in work.parts[:-1]:
            self.parts[part] = tokens
            self.parts.move_to_end(part)
        self._make_room(0)
