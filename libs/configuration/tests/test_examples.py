from __future__ import annotations

from hashlib import sha256
from pathlib import Path

import pytest

from teaseldyke.configuration import read_sheet
from teaseldyke.settings import RouterSettings, load_settings

EXAMPLES = Path(__file__).parents[3] / "examples"

DEPLOYMENTS = [
    ("forth-valley", {"language-model": 10, "licensing": 3}),
    ("khurdan", {"language-model": 5, "ledger": 3}),
]


@pytest.mark.parametrize(("name", "servers"), DEPLOYMENTS)
def test_both_formats_match_the_deployment_sizes(
    name: str, servers: dict[str, int]
) -> None:
    sheet = read_sheet(EXAMPLES / name)
    assert sheet == read_sheet(EXAMPLES / name / "sheet.xlsx")
    counts = dict.fromkeys(sheet.services, 0)
    for server in sheet.backend_servers.values():
        counts[server.service] += 1
    assert counts == servers
    assert len(sheet.organisations) == 16
    assert len(sheet.failure_domains) == 3


@pytest.mark.parametrize(("name", "servers"), DEPLOYMENTS)
def test_only_idempotent_requests_are_marked_so(
    name: str, servers: dict[str, int]
) -> None:
    sheet = read_sheet(EXAMPLES / name)
    plain = next(s for s in sheet.services.values() if s.kind == "plain")
    assert [plain.is_idempotent(r.method, r.path_prefix) for r in plain.rules] == [
        True,
        False,
    ]


@pytest.mark.parametrize(("name", "servers"), DEPLOYMENTS)
def test_router_settings_load(name: str, servers: dict[str, int]) -> None:
    settings = load_settings(EXAMPLES / name / "router.yaml", RouterSettings)
    tokens = [token.hash for token in settings.operator_tokens]
    assert tokens[0] == sha256(b"example-token-morning").hexdigest()
