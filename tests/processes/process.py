"""One process that a test has started, ended by its id."""

from __future__ import annotations

import signal
import subprocess
from pathlib import Path

import attrs
import trio

from teaseldyke.settings import Address

EXIT_POLL_S = 0.05


@attrs.define
class FleetProcess:
    """One started process.

    Parameters
    ----------
    name : str
        Name within the fleet.
    process : subprocess.Popen
        The process.
    log : Path
        What it prints.
    address : Address
        Where it takes requests.
    administration : Address, optional
        Administration address of a router.
    settings : Path
        Its settings file.
    kind : str
        ``platform``, ``engine``, ``service`` or ``router``.
    """

    name: str
    process: subprocess.Popen[bytes]
    log: Path
    address: Address
    settings: Path
    kind: str
    administration: Address | None = None

    def kill(self) -> None:
        """End the process at once."""
        self.process.kill()
        self.process.wait()

    def freeze(self) -> None:
        """Stop the process where it is."""
        self.process.send_signal(signal.SIGSTOP)

    def unfreeze(self) -> None:
        """Let a frozen process go on."""
        self.process.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask the process for a planned stop."""
        self.process.terminate()

    async def wait(self, timeout_s: float = 30.0) -> int:
        """Return the exit status."""
        with trio.fail_after(timeout_s):
            while self.process.poll() is None:
                await trio.sleep(EXIT_POLL_S)
        return int(self.process.returncode)
