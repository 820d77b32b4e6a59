"""Loading of settings files in YAML."""

from __future__ import annotations

import os
import sys
from pathlib import Path
from typing import TypeVar

import yaml

from teaseldyke.types import SettingsError

from .conversion import Fault, convert_mapping

EXIT_SETTINGS = 2  # exit status of a process with invalid settings

T = TypeVar("T")


def load_settings(path: str | os.PathLike[str], cls: type[T]) -> T:
    """Read a settings file into an attrs class.

    Parameters
    ----------
    path : path-like
        YAML file with one mapping.
    cls : type
        attrs class; the file must contain each field without a default.

    Returns
    -------
    object
        An instance of ``cls``.

    Raises
    ------
    SettingsError
        If the file cannot be read, or has unknown keys, missing keys or values that
        are not allowed; the detail lists all of these with their paths.

    Examples
    --------
    >>> import attrs, tempfile
    >>> @attrs.frozen
    ... class Limits:
    ...     lease_s: float = 2.0
    >>> with tempfile.NamedTemporaryFile("w", suffix=".yaml") as file:
    ...     _ = file.write("lease_s: 1.5")
    ...     file.flush()
    ...     load_settings(file.name, Limits)
    Limits(lease_s=1.5)
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(f"settings file {os.fspath(path)}: {exc}") from exc
    return parse_settings(text, cls, source=os.fspath(path))


def parse_settings(text: str, cls: type[T], *, source: str = "settings") -> T:
    """Read settings from YAML text; otherwise as `load_settings`."""
    try:
        value = yaml.safe_load(text)
    except yaml.YAMLError as exc:
        raise SettingsError(f"{source}: invalid YAML: {exc}") from exc
    faults: list[Fault] = []
    settings = convert_mapping({} if value is None else value, cls, "", faults)
    if faults:
        lines = "\n".join(f"  {fault}" for fault in faults)
        raise SettingsError(f"{source}: {len(faults)} fault(s)\n{lines}")
    assert isinstance(settings, cls)
    return settings


def settings_or_exit(path: str | os.PathLike[str], cls: type[T]) -> T:
    """Read a settings file; if it is invalid, print why and exit with status 2."""
    try:
        return load_settings(path, cls)
    except SettingsError as exc:
        print(exc.detail, file=sys.stderr)
        raise SystemExit(EXIT_SETTINGS) from exc
