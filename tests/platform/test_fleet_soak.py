from __future__ import annotations

import pytest

from tests.platform.fleet_soak import run_round


@pytest.mark.parametrize("seed", [3, 5])
async def test_releases_beside_disruptions_join_no_streams(seed: int) -> None:
    """Nor is a request left without an answer by an instance that runs on."""
    await run_round(seed)
