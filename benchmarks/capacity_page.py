"""Computes the tables of ``docs/CAPACITY.md`` from ``docs/capacity-slopes.json``.

Run by ``make capacity`` after the slopes have been measured; a test checks that the
page matches the output of this module.
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
class FleetSize:
    """Planned size and load of the fleet in the next two years."""

    nodes: int = 420
    engines: int = 600
    organisations: int = 18_000
    requests_per_s: float = 3600.0
    tokens_per_s: float = 830_000.0
    backlogged_fraction: float = 0.1
    recorded_fraction: float = 0.05  # assumed; requests with an outcome record

    @property
    def shards(self) -> int:
        """Number of shards in the fleet."""
        return self.engines // ENGINES_PER_SHARD

    @property
    def node_requests_per_s(self) -> float:
        """Requests per second that one node receives from callers."""
        return self.requests_per_s / self.nodes

    @property
    def shard_requests_per_s(self) -> float:
        """Requests per second that one dispatcher grants."""
        return self.requests_per_s / self.shards


ENGINES_PER_SHARD = 8
LEASE_HOLDERS_PER_SHARD = 7  # routers that lease a fraction of the limits of one shard
LEASE_RENEWALS_PER_S = 3.0  # per lease, while the shard has work
FRAMES_PER_REQUEST = 3.0  # demand, grant and end, none batched with others
DEMANDS_PER_REPORT = 1.0
HOLDINGS_PER_REPORT = 3.0
FRAME_OVERHEAD_BYTES = 8.0  # added by pynng on TCP
NODE_CPU_BUDGET_MS_PER_S = 25.0
NODE_TRAFFIC_BUDGET_BYTES_PER_S = 18_000.0
NODE_MEMORY_BUDGET_BYTES = 64 * MB
STORE_READ_BUDGET_PER_S = 2000.0
STORE_WRITE_BUDGET_PER_S = 500.0  # stated as "several hundred"


@attrs.frozen
class Row:
    """One row of the page's table, with a budget if there is one."""

    role: str
    item: str
    formula: str
    value: float
    unit: str
    budget: float | None = None

    def cells(self) -> list[str]:
        """Return the formatted cells of the row."""
        budget = "" if self.budget is None else f"{self.budget:,.0f}"
        verdict = ""
        if self.budget is not None:
            verdict = "yes" if self.value <= self.budget else "**no**"
        value = f"{self.value:,.1f}" if self.value < 100 else f"{self.value:,.0f}"
        return [
            self.role,
            self.item,
            self.formula,
            f"{value} {self.unit}",
            budget,
            verdict,
        ]


Slopes = dict[str, float]


def read_slopes(path: Path = SLOPES) -> Slopes:
    """Return the measured slopes by name."""
    return {entry["name"]: entry["value"] for entry in json.loads(path.read_text())}


def report_bytes(slopes: Slopes) -> float:
    """Return the size of a typical report on the wire."""
    entries = DEMANDS_PER_REPORT * slopes["demand_entry_size"]
    entries += HOLDINGS_PER_REPORT * slopes["holding_entry_size"]
    head = slopes["demand_entry_message_size"] + slopes["control_frame_size"]
    return head + entries + FRAME_OVERHEAD_BYTES


def batch_bytes(slopes: Slopes) -> float:
    """Return the size on the wire of a batch with one grant."""
    head = slopes["grant_entry_message_size"] + slopes["control_frame_size"]
    return head + slopes["grant_entry_size"] + FRAME_OVERHEAD_BYTES


def cpu_rows(size: FleetSize, slopes: Slopes) -> list[Row]:
    """Return the processor time that a node spends on control messages."""
    frame_ms = slopes["control_frame_cpu"] / US_PER_MS
    base = slopes["idle_cpu"] / US_PER_MS
    peers = max(0.0, slopes["idle_cpu_by_router"]) * size.nodes / US_PER_MS
    shards = slopes["idle_shard_cpu"] * size.shards / US_PER_MS
    demand = FRAMES_PER_REQUEST * size.node_requests_per_s * frame_ms
    leases_per_node = LEASE_HOLDERS_PER_SHARD * size.shards / size.nodes
    holder_renewals = 2 * leases_per_node * LEASE_RENEWALS_PER_S * frame_ms
    grants = FRAMES_PER_REQUEST * size.shard_requests_per_s * frame_ms
    dispatcher_renewals = 2 * LEASE_HOLDERS_PER_SHARD * LEASE_RENEWALS_PER_S * frame_ms
    router_total = base + peers + shards + demand + holder_renewals
    return [
        Row("router", "idle", "idle_cpu + idle_cpu_by_router x nodes", base, "ms/s"),
        Row("router", "idle shards", "idle_shard_cpu x shards", shards, "ms/s"),
        Row(
            "router", "demand and ends", "3 frames x requests of a node", demand, "ms/s"
        ),
        Row(
            "router",
            "parts held",
            "renewals, 7 holders a shard",
            holder_renewals,
            "ms/s",
        ),
        Row("router", "**sum**", "", router_total, "ms/s", NODE_CPU_BUDGET_MS_PER_S),
        Row("dispatcher", "grants", "3 frames x requests of a shard", grants, "ms/s"),
        Row("dispatcher", "renewals", "7 holders x 3/s", dispatcher_renewals, "ms/s"),
        Row(
            "router and dispatcher",
            "**sum**",
            "",
            router_total + grants + dispatcher_renewals,
            "ms/s",
            NODE_CPU_BUDGET_MS_PER_S,
        ),
    ]


def byte_rows(size: FleetSize, slopes: Slopes) -> list[Row]:
    """Return the control traffic of a node, sent and received."""
    report = report_bytes(slopes)
    batch = batch_bytes(slopes)
    demand = size.node_requests_per_s * (2 * report + batch)
    leases_per_node = LEASE_HOLDERS_PER_SHARD * size.shards / size.nodes
    holder_renewals = leases_per_node * LEASE_RENEWALS_PER_S * (report + batch)
    grants = size.shard_requests_per_s * (2 * report + batch)
    dispatcher_renewals = (
        LEASE_HOLDERS_PER_SHARD * LEASE_RENEWALS_PER_S * (report + batch)
    )
    gossip = slopes["idle_control_by_router"] * size.nodes
    router_total = demand + holder_renewals + gossip
    return [
        Row("router", "demand and ends", "2 reports, 1 batch a request", demand, "B/s"),
        Row("router", "parts held", "renewals", holder_renewals, "B/s"),
        Row("router", "versions", "idle_control_by_router x nodes", gossip, "B/s"),
        Row(
            "router",
            "**sum**",
            "",
            router_total,
            "B/s",
            NODE_TRAFFIC_BUDGET_BYTES_PER_S,
        ),
        Row(
            "dispatcher", "grants and renewals", "", grants + dispatcher_renewals, "B/s"
        ),
        Row(
            "router and dispatcher",
            "**sum**",
            "",
            router_total + grants + dispatcher_renewals,
            "B/s",
            NODE_TRAFFIC_BUDGET_BYTES_PER_S,
        ),
    ]


def memory_rows(size: FleetSize, slopes: Slopes) -> list[Row]:
    """Return the memory of a node, not counting open requests."""
    base = slopes["router_memory"] / MB
    peers = slopes["router_memory_by_router"] * size.nodes / MB
    sheet = slopes["configuration_memory"] * size.organisations / MB
    backlogged_per_shard = size.backlogged_fraction * size.organisations / size.shards
    queued = backlogged_per_shard * slopes["demand_entry_size"] / MB
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
        Row("router", "**sum**", "", total, "MB", NODE_MEMORY_BUDGET_BYTES / MB),
    ]


def platform_rows(size: FleetSize, slopes: Slopes) -> list[Row]:
    """Return the load of the whole fleet on the platform's table service."""
    reads = slopes["platform_reads_by_router"] * size.nodes
    recorded = size.requests_per_s * size.recorded_fraction
    writes = recorded * slopes["record_transactions_1"]
    share = f"{size.recorded_fraction:.0%} of requests"
    return [
        Row(
            "configuration reader",
            "table reads",
            "platform_reads_by_router x nodes",
            reads,
            "reads/s",
            STORE_READ_BUDGET_PER_S,
        ),
        Row(
            "record keeper",
            "transactions",
            f"record_transactions_1 x {share}",
            writes,
            "writes/s",
            STORE_WRITE_BUDGET_PER_S,
        ),
    ]


def data_rows(size: FleetSize, slopes: Slopes) -> list[Row]:
    """Return the processor time that a node spends on requests and tokens."""
    requests_ms = slopes["plain_request_cpu"] * size.node_requests_per_s / US_PER_MS
    events = size.tokens_per_s / size.nodes
    tokens_ms = slopes["streamed_event_cpu_alone"] * events / US_PER_MS
    return [
        Row(
            "data path", "requests", "plain_request_cpu x requests", requests_ms, "ms/s"
        ),
        Row(
            "data path",
            "tokens",
            "streamed_event_cpu_alone x tokens",
            tokens_ms,
            "ms/s",
        ),
    ]


def table(size: FleetSize, slopes: Slopes) -> str:
    """Return the table of requirements and budgets in Markdown."""
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
    """Return the table of slopes in Markdown."""
    lines = ["| slope | value | for |", "|---|---|---|"]
    for entry in slopes:
        lines.append(f"| `{entry['name']}` | {entry['value']} | {entry['unit']} |")
    return "\n".join(lines)


def generated() -> str:
    """Return the text between the `START` and `END` marks of the page."""
    entries = json.loads(SLOPES.read_text())
    return f"{table(FleetSize(), read_slopes())}\n\n{slope_table(entries)}"


def main() -> int:
    """Copy new slopes, if any, and rewrite the page; return the exit code."""
    measured = Path("build/capacity.json")
    if measured.exists():
        SLOPES.write_text(measured.read_text())
    page = PAGE.read_text()
    head, _, rest = page.partition(START)
    _, _, tail = rest.partition(END)
    PAGE.write_text(f"{head}{START}\n\n{generated()}\n\n{END}{tail}")
    print(table(FleetSize(), read_slopes()))
    return 0


if __name__ == "__main__":
    sys.exit(main())
