from __future__ import annotations

from pathlib import Path

import pytest

from teaseldyke.configuration import PAGES, Column, describe_column
from teaseldyke.settings import RouterSettings, SettingDescription, describe

PAGE = Path(__file__).parents[3] / "docs" / "configuration.md"


def _escape(text: str) -> str:
    return text.replace("|", "\\|")


@pytest.fixture(scope="module")
def lines() -> list[str]:
    return PAGE.read_text(encoding="utf-8").splitlines()


@pytest.mark.parametrize("setting", describe(RouterSettings), ids=lambda s: s.path)
def test_every_setting_is_documented(
    lines: list[str], setting: SettingDescription
) -> None:
    allowed = _escape(setting.allowed)
    line = f"| `{setting.path}` | {allowed} | `{setting.default}` | {setting.doc} |"
    assert line in lines


@pytest.mark.parametrize(
    ("page", "column"),
    [(page.name, column) for page in PAGES.values() for column in page.columns],
    ids=lambda value: value if isinstance(value, str) else value.name,
)
def test_every_column_is_documented(
    lines: list[str], page: str, column: Column
) -> None:
    section = lines[lines.index(f"### {page}") :]
    end = next(i for i, line in enumerate(section[1:], 1) if line.startswith("##"))
    default = f"`{column.default}`" if column.default else "empty"
    if column.default is None:
        default = "required"
    allowed = _escape(describe_column(column))
    line = f"| `{column.name}` | {allowed} | {default} | {column.doc} |"
    assert line in section[:end]


def test_nothing_else_is_documented(lines: list[str]) -> None:
    documented = [line for line in lines if line.startswith("| `")]
    columns = sum(len(page.columns) for page in PAGES.values())
    assert len(documented) == len(describe(RouterSettings)) + columns
