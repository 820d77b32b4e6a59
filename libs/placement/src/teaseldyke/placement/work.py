"""What one request asks of a backend server."""

from __future__ import annotations

import attrs

OUTPUT_TOKEN_WEIGHT = (
    2.0  # a generated token costs two read ones; operator's definition
)


@attrs.frozen
class Work:
    """Size and time limits of one request.

    Parameters
    ----------
    organisation : str
        Who asks.
    arrived_at_s : float
        When the router read it, on the fleet's clock.
    on_time_until_s : float
        Until when its first byte or event is on time.
    caller_timeout_at_s : float
        When its caller leaves unless it has got the first event.
    deadline_at_s : float
        When it gets its final answer at the latest.
    prompt_tokens : int
        Tokens to read; 0 for services that are no model engines.
    output_tokens : int
        Expected tokens to generate.
    parts : tuple of (str, int)
        The prompt's parts in their order, with their tokens.
    priority : int
        Rank, 0 the highest.
    resubmitted : bool
        Whether its caller was told before to come back, and did.
    """

    organisation: str
    arrived_at_s: float
    on_time_until_s: float
    caller_timeout_at_s: float
    deadline_at_s: float
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[tuple[str, int], ...] = ()
    priority: int = 0
    resubmitted: bool = False

    @property
    def cost_tokens(self) -> float:
        """Share of the engines' production that the request takes."""
        return self.prompt_tokens + OUTPUT_TOKEN_WEIGHT * self.output_tokens

    @property
    def memory_tokens(self) -> int:
        """Tokens that the request holds in an engine at its end."""
        return self.prompt_tokens + self.output_tokens

    @property
    def shared_tokens(self) -> int:
        """Tokens of the parts that other requests share."""
        return sum(tokens for _, tokens in self.parts[:-1])

    @property
    def prefix_key(self) -> str:
        """Key of the prompt that other requests share; empty if none do.

        The last part belongs to the request or its session, so the one before it is
        the longest chain that other requests may have left in an engine.
        """
        if len(self.parts) < 2:
            return self.parts[0][0] if self.parts else ""
        return self.parts[-2][0]
