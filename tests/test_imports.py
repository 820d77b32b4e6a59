from __future__ import annotations

import ast
from pathlib import Path

import pytest

ORDER = (
    "types",
    "settings",
    "telemetry",
    "timers",
    "http",
    "platform",
    "peers",
    "fairness",
    "capacity",
    "placement",
    "patterns",
    "dispatch",
    "outcomes",
    "configuration",
    "gateway",
    "router",
    "operator",
    "standins",
    "replay",
)
LIBS = Path(__file__).parent.parent / "libs"


def _imported_libraries(path: Path) -> set[str]:
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        names = []
        if isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        if isinstance(node, ast.ImportFrom) and node.level == 0 and node.module:
            names = [node.module]
            if node.module == "teaseldyke":
                names = [f"teaseldyke.{alias.name}" for alias in node.names]
        for name in names:
            parts = name.split(".")
            if parts[0] == "teaseldyke" and len(parts) > 1:
                found.add(parts[1])
    return found


@pytest.mark.parametrize("library", ORDER)
def test_library_imports_only_earlier_libraries(library: str) -> None:
    allowed = set(ORDER[: ORDER.index(library) + 1])
    for path in (LIBS / library / "src").rglob("*.py"):
        assert _imported_libraries(path) <= allowed, path


def test_order_lists_every_library() -> None:
    assert {path.name for path in LIBS.iterdir() if path.is_dir()} == set(ORDER)
