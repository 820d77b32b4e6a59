"""Entry point of the program."""

from __future__ import annotations

import fire


def main() -> None:
    """Run the command line."""
    fire.Fire({})
