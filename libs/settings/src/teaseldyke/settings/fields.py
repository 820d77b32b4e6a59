"""Constraints and descriptions of the fields of settings classes."""

from __future__ import annotations

from typing import Any

import attrs

_KEY = "teaseldyke.settings"


@attrs.frozen
class FieldSpec:
    """Description of a settings field and its constraints beyond the type.

    Parameters
    ----------
    doc : str
        Description for the settings page, one sentence.
    low, high : float, optional
        Inclusive lower and upper bound of a number.
    pattern : str, optional
        Regular expression that the whole string must match.
    """

    doc: str = ""
    low: float | None = None
    high: float | None = None
    pattern: str | None = None


def spec(
    doc: str,
    *,
    low: float | None = None,
    high: float | None = None,
    pattern: str | None = None,
) -> dict[str, Any]:
    """Return the ``metadata`` argument for a field of a settings class.

    Parameters
    ----------
    doc : str
        Description for the settings page, one sentence.
    low, high : float, optional
        Inclusive lower and upper bound of a number.
    pattern : str, optional
        Regular expression that the whole string must match.

    Examples
    --------
    >>> @attrs.frozen
    ... class Limits:
    ...     lease_s: float = attrs.field(
    ...         default=2.0, metadata=spec("Time a lease lasts.", low=0.1, high=60)
    ...     )
    >>> Limits().lease_s
    2.0
    """
    return {_KEY: FieldSpec(doc=doc, low=low, high=high, pattern=pattern)}


def spec_of(field: attrs.Attribute[Any]) -> FieldSpec:
    """Return the spec of a field; one without constraints if it has no metadata."""
    found = field.metadata.get(_KEY)
    return found if isinstance(found, FieldSpec) else FieldSpec()
