"""Commands that look at the fleet."""

from __future__ import annotations

from typing import Any

import attrs
import trio

from .client import RouterClient, RouterVersion
from .errors import NotInForce
from .session import Session

WAIT_PAUSE_S = 0.2


def show_status(session: Session) -> None:
    """Print the versions in force and what the asked router shows of itself."""
    status = session.run(lambda client: client.get("/v1/status", dict[str, Any]))
    versions = session.run(lambda client: client.versions())
    if session.output.form == "json":
        rows = [attrs.asdict(version) for version in versions]
        session.output.rows([{**status, "fleet": rows}])
        return
    session.output.rows([attrs.asdict(version) for version in versions])
    summary = {
        name: status[name]
        for name in ("router", "source", "store_reachable", "confirmed_age_s")
    }
    session.output.note("")
    session.output.rows([{**summary, **_switched_out(status["switches"])}])
    for name, part in status["parts"].items():
        session.output.note(f"\n{name}")
        session.output.rows(_part_rows(part))


def wait_for_version(session: Session, version: int, timeout_s: float) -> None:
    """Return when a version is in force on every live router.

    Raises
    ------
    NotInForce
        If that takes longer; names the routers that lag.
    """

    async def wait(client: RouterClient) -> list[RouterVersion]:
        deadline_s = trio.current_time() + timeout_s
        while True:
            versions = await client.versions()
            late = [v for v in versions if v.version is None or v.version < version]
            if not late:
                return versions
            if trio.current_time() >= deadline_s:
                raise NotInForce(_lag_detail(version, timeout_s, late))
            await trio.sleep(WAIT_PAUSE_S)

    versions = session.run(wait)
    session.output.rows([attrs.asdict(found) for found in versions])


def _lag_detail(version: int, timeout_s: float, late: list[RouterVersion]) -> str:
    names = ", ".join(f"{found.router} ({found.version})" for found in late)
    return f"version {version} is not in force after {timeout_s:g} s on: {names}"


def _switched_out(switches: dict[str, list[str]]) -> dict[str, list[str]]:
    return {name: names for name, names in switches.items() if names}


def _part_rows(part: Any) -> list[dict[str, Any]]:
    """Return a part of the status as rows, whatever its form."""
    if isinstance(part, list) and all(isinstance(item, dict) for item in part):
        return part
    if isinstance(part, dict):
        return [{"name": name, "value": value} for name, value in part.items()]
    return [{"value": part}]
