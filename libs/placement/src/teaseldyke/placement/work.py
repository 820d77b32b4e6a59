"""Size and deadlines of one request."""

from __future__ import annotations

import attrs

from .request_identity import RequestIdentity
from .rollout import VersionSide

OUTPUT_TOKEN_WEIGHT = 2.0  # in prompt tokens; defined by the operator


@attrs.frozen
class Work:
    """Size and deadlines of one request.

    Parameters
    ----------
    organisation : str
        Organisation of the caller.
    arrived_at_s : float
        When the router read the request, on the fleet's clock.
    on_time_until_s : float
        Until when the first byte or event meets the latency target.
    caller_timeout_at_s : float
        When the caller gives up unless it has received the first event.
    deadline_at_s : float
        Deadline of the whole response.
    prompt_tokens : int
        Tokens of the prompt; 0 for services that are not model engines.
    output_tokens : int
        Expected tokens to generate.
    parts : tuple of (str, int)
        Keys of the prompt's parts in their order, with their tokens.
    priority : int
        Priority, 0 the highest.
    resubmitted : bool
        Whether the caller sent the request again after a refusal.
    identity : RequestIdentity or None
        Tells whether it is the same as an earlier one; ``None`` if that isn't asked.
    version : str
        Software version of the servers that may serve it; empty for any.
    begun : bool
        Whether it is a stream that a server has begun, so that its caller has a part
        of the answer.
    side : VersionSide or None
        Which servers it may go to in a roll-out; ``None`` for all.
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
    identity: RequestIdentity | None = None
    version: str = ""
    begun: bool = False
    side: VersionSide | None = None

    @property
    def cost_tokens(self) -> float:
        """Cost of the request in the engines' token throughput."""
        return self.prompt_tokens + OUTPUT_TOKEN_WEIGHT * self.output_tokens

    @property
    def memory_tokens(self) -> int:
        """Tokens that the request occupies in an engine's memory when it ends."""
        return self.prompt_tokens + self.output_tokens

    @property
    def shared_tokens(self) -> int:
        """Tokens of the prefix that other requests share."""
        return sum(tokens for _, tokens in self.parts[:-1])

    @property
    def prefix_key(self) -> str:
        """Key of the prefix that other requests share; empty without a prompt.

        The last part belongs to the request or its session, so the part before it ends
        the longest prefix that other requests may have left in an engine's cache.
        """
        if len(self.parts) < 2:
            return self.parts[0][0] if self.parts else ""
        return self.parts[-2][0]
