"""What a field of a settings class allows beyond its type."""

from __future__ import annotations

from typing import Any

import attrs

_KEY = "teaseldyke.settings"


@attrs.frozen
class FieldSpec:
    """What a field allows beyond its type.

    Parameters
    ----------
    doc : str
        One sentence for the settings page.
    low, high : float, optional
        Smallest and largest number allowed, both included.
    pattern : str, optional
        Regular expression that a whole string must match.
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
    """Return the metadata of a field of a settings class.

    Parameters
    ----------
    doc : str
        One sentence for the settings page.
    low, high : float, optional
        Smallest and largest number allowed, both included.
    pattern : str, optional
        Regular expression that a whole string must match.

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
    """Return what a field allows beyond its type; a plain field allows all."""
    found = field.metadata.get(_KEY)
    return found if isinstance(found, FieldSpec) else FieldSpec()
