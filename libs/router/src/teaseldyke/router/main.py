"""Entry point of ``teaseldyke-router``."""

from __future__ import annotations

import fire
import trio

from teaseldyke.settings import RouterSettings, settings_or_exit
from teaseldyke.telemetry import configure_logging

from .process import run_router


def run(settings: str, verbosity: int = 0) -> None:
    """Run a router until SIGTERM.

    The first SIGTERM starts a planned stop, the second stops the process immediately.

    Parameters
    ----------
    settings : str
        YAML file with the router's settings; see docs/configuration.md.
    verbosity : int
        -1 for warnings only, 0 for state changes, 1 for debugging.
    """
    checked = settings_or_exit(settings, RouterSettings)
    configure_logging(verbosity, checked.log_format)
    trio.run(run_router, checked)


def main() -> None:
    """Run the command line."""
    fire.Fire(run)
