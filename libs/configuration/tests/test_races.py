from __future__ import annotations

from typing import Any

import pytest

from benchmarks.configuration_races import run_races
from teaseldyke.configuration import AcceptedChange, ConfigurationStore, preparation
from teaseldyke.configuration.records import TABLE, encode_row
from teaseldyke.platform import Write
from teaseldyke.types import PlatformUnavailable


@pytest.mark.promise("configuration")
@pytest.mark.parametrize("first_seed", range(0, 200, 50))
def test_racing_operators_do_no_harm(first_seed: int) -> None:
    result = run_races("teaseldyke", range(first_seed, first_seed + 50))
    assert result.harms == 0, result
    assert result.accepted > 0
    assert result.refused > 0


@pytest.mark.promise("configuration")
def test_the_naive_version_shows_each_harm() -> None:
    result = run_races("naive", range(25))
    assert result.lost_changes > 0
    assert result.reversions > 0
    assert result.half_applied > 0
    assert result.both_won > 0


_write_once = ConfigurationStore._write_once


async def _treat_lost_reply_as_refusal(
    self: ConfigurationStore, attempt: Any
) -> AcceptedChange | None:
    accepted = await _write_once(self, attempt)
    if attempt.unconfirmed_row_version is not None:
        attempt.unconfirmed_row_version = None
        raise PlatformUnavailable("no answer")
    return accepted


async def _never_changed_since_base(
    self: ConfigurationStore, change: object, snapshot: object
) -> int:
    return 0


def _write_unconditionally(key: str, row: object, expected_version: int = 0) -> Write:
    return Write(TABLE, key, encode_row(row))


@pytest.mark.promise("configuration")
@pytest.mark.parametrize(
    ("owner", "name", "defect", "harm"),
    [
        (preparation, "_write", _write_unconditionally, "unreadable"),
        (
            ConfigurationStore,
            "_last_changed_version",
            _never_changed_since_base,
            "both_won",
        ),
        (
            ConfigurationStore,
            "_write_once",
            _treat_lost_reply_as_refusal,
            "false_refusals",
        ),
    ],
    ids=["unconditional-writes", "base-ignored", "lost-answers-not-settled"],
)
def test_a_defect_is_caught(
    monkeypatch: pytest.MonkeyPatch,
    owner: object,
    name: str,
    defect: object,
    harm: str,
) -> None:
    monkeypatch.setattr(owner, name, defect)
    result = run_races("teaseldyke", range(10))
    assert getattr(result, harm) > 0, result
