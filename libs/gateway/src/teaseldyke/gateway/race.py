"""The attempts of one call that run beside each other, and which of them leads."""

from __future__ import annotations

from typing import Generic, Protocol, TypeVar

import attrs


class Runner(Protocol):
    """What a race needs of an attempt."""

    def supersede(self) -> None:
        """End the attempt, since another one is ahead."""


RunnerT = TypeVar("RunnerT", bound=Runner)


@attrs.define(eq=False)
class Race(Generic[RunnerT]):
    """The attempts of a call that run at the same time.

    Only one of them may forward its answer. The first one that brings the next event,
    or a complete plain answer, leads: it ends the others, so that nothing of theirs
    reaches the caller.

    Attributes
    ----------
    running : list
        Attempts that may still take the lead.
    is_over : bool
        Whether the call has ended, so that none may.
    """

    running: list[RunnerT] = attrs.field(factory=list)
    is_over: bool = False

    def lead(self, runner: RunnerT) -> bool:
        """End the other attempts; return false if one of them was ahead."""
        if self.is_over or runner not in self.running:
            return False
        for other in self.running:
            if other is not runner:
                other.supersede()
        self.running = [runner]
        return True

    def leave(self, runner: RunnerT) -> None:
        """Take an attempt that has ended out of the race."""
        if runner in self.running:
            self.running.remove(runner)

    def has_others(self, runner: RunnerT) -> bool:
        """Return whether another attempt may still answer."""
        return any(other is not runner for other in self.running)
