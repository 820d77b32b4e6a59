"""The router process."""

from __future__ import annotations

from .costs import OUTPUT_TOKEN_COST, PROMPT_TOKEN_COST
from .recording import RecordedCall

__all__ = ["OUTPUT_TOKEN_COST", "PROMPT_TOKEN_COST", "RecordedCall"]
