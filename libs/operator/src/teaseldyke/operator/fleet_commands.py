"""Commands that show the state of the fleet."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

import attrs
import trio

from .client import RouterClient, RouterVersion
from .errors import NotInForce
from .session import Session

WAIT_POLL_INTERVAL_S = 0.2


def show_status(session: Session) -> None:
    """Print the versions in force, what is switched out, and the routers' states."""
    statuses = session.run(lambda client: client.statuses())
    versions = session.run(lambda client: client.versions())
    if session.output.form == "json":
        fleet = [attrs.asdict(version) for version in versions]
        session.output.rows([{"fleet": fleet, "routers": statuses}])
        return
    session.output.rows([attrs.asdict(version) for version in versions])
    newest = max(statuses, key=lambda status: int(status["version"]))
    _print_section(session, "out", _out_rows(newest["switches"]))
    _print_section(session, "routers", [_router_row(status) for status in statuses])
    _print_section(session, "shards", _shard_rows(statuses))
    _print_section(session, "backend servers", _server_rows(statuses))


def wait_for_version(session: Session, version: int, timeout_s: float) -> None:
    """Wait until a version is in force on all live routers, then print the versions.

    Raises
    ------
    NotInForce
        If that takes longer than ``timeout_s``; the message names the lagging routers.
    """

    async def wait(client: RouterClient) -> list[RouterVersion]:
        deadline_s = trio.current_time() + timeout_s
        while True:
            versions = await client.versions()
            lagging = [v for v in versions if v.version is None or v.version < version]
            if not lagging:
                return versions
            if trio.current_time() >= deadline_s:
                raise NotInForce(_lagging_detail(version, timeout_s, lagging))
            await trio.sleep(WAIT_POLL_INTERVAL_S)

    versions = session.run(wait)
    session.output.rows([attrs.asdict(found) for found in versions])


def _lagging_detail(
    version: int, timeout_s: float, lagging: list[RouterVersion]
) -> str:
    names = ", ".join(f"{found.router} ({found.version})" for found in lagging)
    return f"version {version} is not in force after {timeout_s:g} s on: {names}"


def _print_section(
    session: Session, title: str, rows: Sequence[Mapping[str, object]]
) -> None:
    if not rows:
        return
    session.output.note(f"\n{title}")
    session.output.rows(rows)


def _out_rows(switches: Mapping[str, list[str]]) -> list[dict[str, object]]:
    return [{"what": what, "names": names} for what, names in switches.items() if names]


def _router_row(status: Mapping[str, Any]) -> dict[str, object]:
    parts = status["parts"]
    return {
        "router": status["router"],
        "source": status["source"],
        "store_reachable": status["store_reachable"],
        "confirmed_age_s": status["confirmed_age_s"],
        "running": parts.get("running"),
        "members": len(parts.get("members", [])) or None,
    }


def _acting_shards(statuses: Sequence[Mapping[str, Any]]) -> list[dict[str, Any]]:
    """Return the shards as reported by their acting dispatchers."""
    found = []
    for status in statuses:
        for shard in status["parts"].get("dispatch", {}).get("shards", []):
            if shard.get("is_acting"):
                found.append(shard)
    return sorted(found, key=lambda shard: str(shard["shard"]))


def _shard_rows(statuses: Sequence[Mapping[str, Any]]) -> list[dict[str, object]]:
    names = ("shard", "dispatcher", "gap")
    return [
        {name: shard.get(name) for name in names} for shard in _acting_shards(statuses)
    ]


def _server_rows(statuses: Sequence[Mapping[str, Any]]) -> list[dict[str, object]]:
    rows = []
    for shard in _acting_shards(statuses):
        for server in shard.get("servers", []):
            rows.append({"backend_server": server["server"], **server})
    for row in rows:
        del row["server"]
    return rows
