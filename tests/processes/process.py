"""A process that a test has started and ends by its id."""

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
    """A started process.

    Parameters
    ----------
    name : str
        Name within the fleet.
    process : subprocess.Popen
        The process.
    log : Path
        File with its output.
    address : Address
        Address at which it takes requests.
    administration : Address, optional
        Administration address of a router.
    settings : Path
        Its settings file.
    kind : str
        ``platform``, ``relay``, ``engine``, ``service`` or ``router``.
    """

    name: str
    process: subprocess.Popen[bytes]
    log: Path
    address: Address
    settings: Path
    kind: str
    administration: Address | None = None

    def kill(self) -> None:
        """Kill the process and wait for its exit."""
        self.process.kill()
        self.process.wait()

    def freeze(self) -> None:
        """Suspend the process."""
        self.process.send_signal(signal.SIGSTOP)

    def unfreeze(self) -> None:
        """Resume a suspended process."""
        self.process.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Request a planned stop."""
        self.process.terminate()

    async def wait(self, timeout_s: float = 30.0) -> int:
        """Return the exit status."""
        with trio.fail_after(timeout_s):
            while self.process.poll() is None:
                await trio.sleep(EXIT_POLL_S)
        return int(self.process.returncode)
