"""Names of the users' platform may occur only in the folder `platform/`."""

from __future__ import annotations

from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
NAMES = (
    "x-teaseldyke-",
    "kv-fetch",
    "rows-tx",
    "rows-get",
    "rows-feed",
    "expectedrev",
    "afterrev",
    "nodename",
    "coldremainingms",
    "trafficsplit",
    "targetlatencyms",
    "kvcapacitytokens",
    "apikeys",
    "retrybudgetratio",
)


@pytest.mark.parametrize("name", NAMES)
def test_no_library_contains_a_platform_name(name: str) -> None:
    matches = [
        str(path.relative_to(ROOT))
        for path in (ROOT / "libs").glob("*/src/**/*.py")
        if name in path.read_text().lower()
    ]
    assert matches == []


def test_platform_does_not_import_placement() -> None:
    """All placement decisions are made in the libraries."""
    for path in (ROOT / "platform").glob("src/**/*.py"):
        assert "teaseldyke.placement" not in path.read_text(), path
