from __future__ import annotations

from datetime import UTC, datetime
from pathlib import Path

import pytest

from teaseldyke.settings import (
    Address,
    RouterSettings,
    load_settings,
    parse_settings,
    settings_or_exit,
)
from teaseldyke.types import SettingsError

MINIMAL = "name: router-1\nfailure_domain: zone-a\n"


class TestAccepted:
    def test_missing_settings_get_their_defaults(self) -> None:
        settings = parse_settings(MINIMAL, RouterSettings)
        assert settings.callers == Address("127.0.0.1", 8080)
        assert settings.lease_s == 1.0

    def test_nested_values_are_converted(self) -> None:
        text = MINIMAL + (
            "lease_s: 3\n"
            "peers: [{name: router-2, control: '10.0.0.2:1',"
            " administration: '10.0.0.2:2'}]\n"
            "operator_tokens: [{hash: '" + "a" * 64 + "', name: morning,"
            " role: own, expires_at: 2027-01-31T06:00:00Z}]\n"
        )
        settings = parse_settings(text, RouterSettings)
        assert settings.lease_s == 3.0
        assert settings.peers[0].control == Address("10.0.0.2", 1)
        expires_at = settings.operator_tokens[0].expires_at
        assert expires_at == datetime(2027, 1, 31, 6, tzinfo=UTC)


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("leese_s: 1", "leese_s: found an unknown key; allowed: administration"),
        ("lease_s: fast", "lease_s: found 'fast'; allowed: a number from 0.1 to 60"),
        ("lease_s: .nan", "lease_s: found nan"),
        ("lease_s: true", "lease_s: found True"),
        ("lease_s: 61", "lease_s: found 61"),
        ("limits: {connections: 0}", "limits.connections: found 0; allowed: an int"),
        ("limits: {header_bytes: 1}", "allowed: an integer from 1024 to 1048576"),
        ("limits: {connections: 1.5}", "limits.connections: found 1.5"),
        ("limits: 7", "limits: found 7; allowed: a mapping"),
        ("callers: localhost:80", "callers: found 'localhost:80'; allowed: IP"),
        ("callers: 127.0.0.1:70000", "callers: found '127.0.0.1:70000'"),
        ("peers: {}", "peers: found {}; allowed: a list"),
        (
            "peers: [{name: b, administration: '10.0.0.2:1'}]",
            "peers[0].control: found nothing; allowed: IP",
        ),
        ("log_format: xml", "log_format: found 'xml'; allowed: one of 'text', 'json'"),
        ("operator_tokens: [{hash: A, name: b}]", "operator_tokens[0].hash: found"),
    ],
)
def test_a_fault_names_path_value_and_allowed_values(text: str, message: str) -> None:
    with pytest.raises(SettingsError) as caught:
        parse_settings(MINIMAL + text, RouterSettings, source="router.yaml")
    assert caught.value.detail.startswith("router.yaml: 1 fault(s)")
    assert message in caught.value.detail


class TestFiles:
    def test_every_fault_is_listed(self, tmp_path: Path) -> None:
        path = tmp_path / "router.yaml"
        path.write_text("lease_s: 0\npoll_interval_s: 0\n")
        with pytest.raises(SettingsError, match="4 fault") as caught:
            load_settings(path, RouterSettings)
        for field_path in ("name", "failure_domain", "lease_s", "poll_interval_s"):
            assert f"  {field_path}: found" in caught.value.detail

    @pytest.mark.parametrize("content", [b"a: [", b"\xff", b"- 1"])
    def test_a_file_without_a_mapping_is_refused(
        self, tmp_path: Path, content: bytes
    ) -> None:
        path = tmp_path / "router.yaml"
        path.write_bytes(content)
        with pytest.raises(SettingsError, match=r"router\.yaml"):
            load_settings(path, RouterSettings)

    def test_a_fault_ends_the_process_with_status_2(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        with pytest.raises(SystemExit) as caught:
            settings_or_exit(tmp_path / "absent.yaml", RouterSettings)
        assert caught.value.code == 2
        assert "absent.yaml" in capsys.readouterr().err
