"""Command line for operators."""

from __future__ import annotations

from .errors import EXIT_MEANINGS
from .main import main

__all__ = ["EXIT_MEANINGS", "main"]
