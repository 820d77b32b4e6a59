"""At-most-once records, retry budgets and circuits."""

from __future__ import annotations

__all__: list[str] = []
