"""CPU time and memory of a running process."""

from __future__ import annotations

from pathlib import Path

NS_PER_S = 1e9
KIB = 1024


def cpu_s(pid: int) -> float:
    """Return the CPU time used by the live threads of a process, in seconds."""
    used_ns = 0
    for path in Path(f"/proc/{pid}/task").glob("*/schedstat"):
        used_ns += int(path.read_text().split()[0])
    return used_ns / NS_PER_S


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process, in bytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * KIB
    raise ValueError(f"/proc/{pid}/status has no VmRSS line")
