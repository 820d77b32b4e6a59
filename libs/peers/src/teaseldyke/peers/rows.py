"""Messages as rows, which are arrays of field values without the field names."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, get_args, get_origin, get_type_hints

import attrs
import msgspec


@attrs.define(eq=False)
class RowType:
    """Converts instances of one attrs class to rows and back.

    Parameters
    ----------
    cls : type
        The attrs class. Fields of type ``tuple[X, ...]``, where ``X`` is an attrs
        class, become arrays of rows; other fields are unchanged. Last fields with the
        default ``None`` may be missing in a row, as an earlier version sends it.

    Examples
    --------
    >>> @attrs.frozen
    ... class Point:
    ...     x: int
    ...     y: int
    >>> RowType(Point).to_row(Point(1, 2))
    [1, 2]
    """

    cls: type
    struct: type[msgspec.Struct] = attrs.field(init=False)
    _names: tuple[str, ...] = attrs.field(init=False)
    _nested: dict[str, RowType] = attrs.field(factory=dict, init=False)
    _build: Callable[..., Any] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        hints = get_type_hints(self.cls)
        fields: list[tuple[str, Any] | tuple[str, Any, None]] = []
        for field in attrs.fields(self.cls):
            hint = hints[field.name]
            inner = _row_class(hint)
            if inner is not None:
                nested = RowType(inner)
                self._nested[field.name] = nested
                hint = tuple[nested.struct, ...]  # type: ignore[name-defined]
            if field.default is None:
                fields.append((field.name, hint, None))
                continue
            fields.append((field.name, hint))
        self._names = tuple(field.name for field in attrs.fields(self.cls))
        self._build = self.cls
        self.struct = msgspec.defstruct(
            f"{self.cls.__name__}Row", fields, array_like=True
        )

    def to_row(self, message: object) -> list[Any]:
        """Return the field values of an instance."""
        row = [getattr(message, name) for name in self._names]
        for i, name in enumerate(self._names):
            nested = self._nested.get(name)
            if nested is not None:
                row[i] = [nested.to_row(item) for item in row[i]]
        return row

    def from_struct(self, struct: msgspec.Struct) -> Any:
        """Return the instance of a decoded row."""
        values = [getattr(struct, name) for name in self._names]
        for i, name in enumerate(self._names):
            nested = self._nested.get(name)
            if nested is not None:
                values[i] = tuple(nested.from_struct(item) for item in values[i])
        return self._build(*values)


def _row_class(hint: Any) -> type | None:
    if get_origin(hint) is not tuple:
        return None
    arguments = get_args(hint)
    if len(arguments) != 2 or arguments[1] is not Ellipsis:
        return None
    inner = arguments[0]
    return inner if isinstance(inner, type) and attrs.has(inner) else None
