"""Works out ``docs/CAPACITY.md`` from the slopes in ``docs/capacity-slopes.json``.

Run by ``make capacity`` after the slopes were measured; a test holds the page against
what this module gives.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path

import attrs

SLOPES = Path("docs/capacity-slopes.json")
PAGE = Path("docs/CAPACITY.md")
START = "<!-- worked out by benchmarks/capacity_page.py -->"
END = "<!-- end -->"

US_PER_MS = 1000.0
MB = 1e6


@attrs.frozen
class Size:
    """The users' plan for the next two years."""

    nodes: int = 420
    engines: int = 600
    organisations: int = 18_000
    requests_per_s: float = 3600.0
    tokens_per_s: float = 830_000.0
    backlogged_part: float = 0.1
    recorded_part: float = 0.05  # supposed: part of the requests that need a record

    @property
    def shards(self) -> int:
        """Return shards of eight engines each."""
        return self.engines // ENGINES_A_SHARD

    @property
    def node_requests_per_s(self) -> float:
        """Return the requests that one node takes."""
        return self.requests_per_s / self.nodes

    @property
    def shard_requests_per_s(self) -> float:
        """Return the requests that one dispatcher grants."""
        return self.requests_per_s / self.shards


ENGINES_A_SHARD = 8
HOLDERS = 7  # routers that hold a part of one shard
RENEWALS_PER_S = 3.0  # of each part, while its shard has work
FRAMES_A_REQUEST = 3.0  # demand, grant and end, when none is batched with another
DEMANDS_A_REPORT = 1.0
HOLDINGS_A_REPORT = 3.0
FRAME_OVERHEAD_BYTES = 8.0  # of pynng on TCP
NODE_CPU_MS_PER_S = 25.0
NODE_BYTES_PER_S = 18_000.0
NODE_MEMORY_BYTES = 64 * MB
STORE_READS_PER_S = 2000.0
STORE_WRITES_PER_S = 500.0  # "several hundred"


@attrs.frozen
class Row:
    """One line of the page."""

    role: str
    what: str
    how: str
    value: float
    unit: str
    budget: float | None = None

    def cells(self) -> list[str]:
        """Return the cells of the line."""
        budget = "" if self.budget is None else f"{self.budget:,.0f}"
        verdict = ""
        if self.budget is not None:
            verdict = "yes" if self.value <= self.budget else "**no**"
        value = f"{self.value:,.1f}" if self.value < 100 else f"{self.value:,.0f}"
        return [self.role, self.what, self.how, f"{value} {self.unit}", budget, verdict]


Slopes = dict[str, float]


def read_slopes(path: Path = SLOPES) -> Slopes:
    """Return the measured slopes by name."""
    return {entry["name"]: entry["value"] for entry in json.loads(path.read_text())}


def report_bytes(slopes: Slopes) -> float:
    """Return the size of a usual report on the wire."""
    entries = DEMANDS_A_REPORT * slopes["demand_entry_size"]
    entries += HOLDINGS_A_REPORT * slopes["holding_entry_size"]
    head = slopes["demand_entry_message_size"] + slopes["control_frame_size"]
    return head + entries + FRAME_OVERHEAD_BYTES


def batch_bytes(slopes: Slopes) -> float:
    """Return the size of a message with one grant on the wire."""
    head = slopes["grant_entry_message_size"] + slopes["control_frame_size"]
    return head + slopes["grant_entry_size"] + FRAME_OVERHEAD_BYTES


def cpu_rows(size: Size, slopes: Slopes) -> list[Row]:
    """Return the processor time of a node for control."""
    frame_ms = slopes["control_frame_cpu"] / US_PER_MS
    base = slopes["idle_cpu"] / US_PER_MS
    by_router = max(0.0, slopes["idle_cpu_by_router"]) * size.nodes / US_PER_MS
    shards = slopes["idle_shard_cpu"] * size.shards / US_PER_MS
    own = FRAMES_A_REQUEST * size.node_requests_per_s * frame_ms
    parts = HOLDERS * size.shards / size.nodes
    holding = 2 * parts * RENEWALS_PER_S * frame_ms
    granting = FRAMES_A_REQUEST * size.shard_requests_per_s * frame_ms
    renewing = 2 * HOLDERS * RENEWALS_PER_S * frame_ms
    plain = base + by_router + shards + own + holding
    return [
        Row("router", "idle", "idle_cpu + idle_cpu_by_router x nodes", base, "ms/s"),
        Row("router", "idle shards", "idle_shard_cpu x shards", shards, "ms/s"),
        Row("router", "demand and ends", "3 frames x requests of a node", own, "ms/s"),
        Row("router", "parts held", "renewals, 7 holders a shard", holding, "ms/s"),
        Row("router", "**sum**", "", plain, "ms/s", NODE_CPU_MS_PER_S),
        Row("dispatcher", "grants", "3 frames x requests of a shard", granting, "ms/s"),
        Row("dispatcher", "renewals", "7 holders x 3/s", renewing, "ms/s"),
        Row(
            "router and dispatcher",
            "**sum**",
            "",
            plain + granting + renewing,
            "ms/s",
            NODE_CPU_MS_PER_S,
        ),
    ]


def byte_rows(size: Size, slopes: Slopes) -> list[Row]:
    """Return the control bytes of a node, sent and received."""
    report = report_bytes(slopes)
    batch = batch_bytes(slopes)
    own = size.node_requests_per_s * (2 * report + batch)
    parts = HOLDERS * size.shards / size.nodes
    holding = parts * RENEWALS_PER_S * (report + batch)
    granting = size.shard_requests_per_s * (2 * report + batch)
    renewing = HOLDERS * RENEWALS_PER_S * (report + batch)
    gossip = slopes["idle_control_by_router"] * size.nodes
    plain = own + holding + gossip
    return [
        Row("router", "demand and ends", "2 reports, 1 batch a request", own, "B/s"),
        Row("router", "parts held", "renewals", holding, "B/s"),
        Row("router", "versions", "idle_control_by_router x nodes", gossip, "B/s"),
        Row("router", "**sum**", "", plain, "B/s", NODE_BYTES_PER_S),
        Row("dispatcher", "grants and renewals", "", granting + renewing, "B/s"),
        Row(
            "router and dispatcher",
            "**sum**",
            "",
            plain + granting + renewing,
            "B/s",
            NODE_BYTES_PER_S,
        ),
    ]


def memory_rows(size: Size, slopes: Slopes) -> list[Row]:
    """Return the memory of a node that is not for open requests."""
    base = slopes["router_memory"] / MB
    peers = slopes["router_memory_by_router"] * size.nodes / MB
    sheet = slopes["configuration_memory"] * size.organisations / MB
    waiting = size.backlogged_part * size.organisations / size.shards
    queued = waiting * slopes["demand_entry_size"] / MB
    total = base + peers + sheet + queued
    return [
        Row("router", "program and libraries", "router_memory", base, "MB"),
        Row("router", "peers", "router_memory_by_router x nodes", peers, "MB"),
        Row(
            "configuration reader",
            "sheet",
            "configuration_memory x organisations",
            sheet,
            "MB",
        ),
        Row("router", "**sum**", "", total, "MB", NODE_MEMORY_BYTES / MB),
    ]


def platform_rows(size: Size, slopes: Slopes) -> list[Row]:
    """Return what the fleet asks of the platform's tables."""
    reads = slopes["platform_reads_by_router"] * size.nodes
    recorded = size.requests_per_s * size.recorded_part
    writes = recorded * slopes["record_transactions_1"]
    share = f"{size.recorded_part:.0%} of requests"
    return [
        Row(
            "configuration reader",
            "table reads",
            "platform_reads_by_router x nodes",
            reads,
            "reads/s",
            STORE_READS_PER_S,
        ),
        Row(
            "record keeper",
            "transactions",
            f"record_transactions_1 x {share}",
            writes,
            "writes/s",
            STORE_WRITES_PER_S,
        ),
    ]


def data_rows(size: Size, slopes: Slopes) -> list[Row]:
    """Return the processor time of a node for requests and tokens."""
    plain = slopes["plain_request_cpu"] * size.node_requests_per_s / US_PER_MS
    events = size.tokens_per_s / size.nodes
    streamed = slopes["streamed_event_cpu_alone"] * events / US_PER_MS
    return [
        Row("data path", "requests", "plain_request_cpu x requests", plain, "ms/s"),
        Row(
            "data path",
            "tokens",
            "streamed_event_cpu_alone x tokens",
            streamed,
            "ms/s",
        ),
    ]


def table(size: Size, slopes: Slopes) -> str:
    """Return the page's table."""
    rows = [
        *cpu_rows(size, slopes),
        *byte_rows(size, slopes),
        *memory_rows(size, slopes),
        *platform_rows(size, slopes),
        *data_rows(size, slopes),
    ]
    lines = [
        "| role | what | how | value | budget | holds |",
        "|---|---|---|---|---|---|",
    ]
    for row in rows:
        lines.append("| " + " | ".join(row.cells()) + " |")
    return "\n".join(lines)


def slope_table(slopes: list[dict[str, str]]) -> str:
    """Return the slopes as a table."""
    lines = ["| slope | value | for |", "|---|---|---|"]
    for entry in slopes:
        lines.append(f"| `{entry['name']}` | {entry['value']} | {entry['unit']} |")
    return "\n".join(lines)


def generated() -> str:
    """Return everything between the marks of the page."""
    entries = json.loads(SLOPES.read_text())
    return f"{table(Size(), read_slopes())}\n\n{slope_table(entries)}"


def main() -> int:
    """Copy new slopes and rewrite the page; return the exit code."""
    measured = Path("build/capacity.json")
    if measured.exists():
        SLOPES.write_text(measured.read_text())
    page = PAGE.read_text()
    head, _, rest = page.partition(START)
    _, _, tail = rest.partition(END)
    PAGE.write_text(f"{head}{START}\n\n{generated()}\n\n{END}{tail}")
    print(table(Size(), read_slopes()))
    return 0


if __name__ == "__main__":
    sys.exit(main())
