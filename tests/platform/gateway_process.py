"""Gateways as processes of their own, before stand-ins on loopback addresses."""

from __future__ import annotations

import os
import resource
import subprocess
import sys
from pathlib import Path

import attrs
import trio
import yaml

from teaseldyke.settings import Address
from tests.platform.conftest import BOUNDS, Caller, wait_until_listening
from tests.processes.ports import free_address

READY_TIMEOUT_S = 30.0
ROLES = ("callers", "readiness", "exchange", "metrics")


@attrs.define(eq=False)
class GatewayProcess:
    """One gateway and what it has logged.

    Parameters
    ----------
    name : str
        Name of the instance.
    folder : Path
        For its settings and its log.
    store : Address
        The platform's store.
    settings : dict
        Settings beside the addresses.
    descriptors_allowed : int, optional
        File descriptors that the operating system lets the process open.
    """

    name: str
    folder: Path
    store: Address
    settings: dict[str, object] = attrs.field(factory=dict)
    descriptors_allowed: int | None = None
    addresses: dict[str, Address] = attrs.field(
        factory=lambda: {role: free_address() for role in ROLES}
    )
    process: subprocess.Popen[bytes] | None = None

    async def start(self) -> None:
        """Start the process and wait until it is ready."""
        path = self.folder / f"{self.name}.yaml"
        values = {
            "name": self.name,
            "failure_domain": "zone-a",
            "platform": str(self.store),
            "bounds": attrs.asdict(BOUNDS),
            **{role: str(address) for role, address in self.addresses.items()},
            **self.settings,
        }
        path.write_text(yaml.safe_dump(values))
        command = [sys.executable, "-m", "teaseldyke.adapter.main", str(path)]
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                command, stdout=output, stderr=output, preexec_fn=self._limit
            )
        await wait_until_listening(self.addresses["readiness"])
        with trio.fail_after(READY_TIMEOUT_S):
            while True:
                caller = Caller(self.addresses["readiness"])
                answer = await caller.request("/-/ready", method="GET")
                await caller.close()
                if answer.status == 200:
                    return
                await trio.sleep(0.05)

    def _limit(self) -> None:
        allowed = self.descriptors_allowed
        if allowed is not None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (allowed, allowed))

    @property
    def log(self) -> Path:
        """File with the process's output."""
        return self.folder / f"{self.name}.log"

    @property
    def is_running(self) -> bool:
        """Whether the process lives."""
        return self.process is not None and self.process.poll() is None

    def peak_resident_bytes(self) -> int:
        """Return the most memory that the process has had resident."""
        assert self.process is not None
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
        return int(line.split()[1]) * 1024

    def descriptors(self) -> int:
        """Return the number of the process's open descriptors."""
        assert self.process is not None
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def kill(self) -> None:
        """End the process."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
