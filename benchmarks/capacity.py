"""Measures the costs per unit (slopes) that ``docs/CAPACITY.md`` is computed from.

Run by ``python -m benchmarks.capacity``; writes ``build/capacity.json``. With names of
parts as arguments only these parts are measured and printed, and no file is written.
"""

from __future__ import annotations

import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import trio

from benchmarks.control_slopes import codec_slopes, link_slopes
from benchmarks.process_slopes import (
    node_slopes,
    queue_memory_slope,
    request_slopes,
    stream_slopes,
)
from benchmarks.shard_slopes import shard_slopes
from benchmarks.slopes import Slope, format_slopes, write_slopes
from benchmarks.state_slopes import configuration_slopes, queue_slopes, record_slopes

REPORT = Path("build/capacity.json")
COMMAND = "python -m benchmarks.capacity"

PARTS: dict[str, Callable[[], Awaitable[list[Slope]]]] = {
    "codec": codec_slopes,
    "links": link_slopes,
    "configuration": configuration_slopes,
    "shards": shard_slopes,
    "queue": queue_slopes,
    "records": record_slopes,
    "requests": request_slopes,
    "streams": stream_slopes,
    "waiting": queue_memory_slope,
    "nodes": node_slopes,
}


async def run(names: list[str]) -> list[Slope]:
    """Measure the named parts."""
    slopes: list[Slope] = []
    for name in names:
        print(f"measuring {name} ...", flush=True)
        slopes += await PARTS[name]()
    return slopes


def main() -> None:
    """Measure and print; write the report if all parts were measured."""
    names = sys.argv[1:] or list(PARTS)
    slopes = trio.run(run, names)
    if names == list(PARTS):
        write_slopes(slopes, COMMAND, REPORT)
    print(format_slopes(slopes))


if __name__ == "__main__":
    main()
