"""Order of what the platform's store has said."""

from __future__ import annotations

import attrs


@attrs.frozen(order=True)
class StoreVersion:
    """A version of the platform's store.

    The store may be restored from an older copy and then gives version numbers out
    again, so numbers are comparable only within an era.

    Parameters
    ----------
    era : int
        Rises by one with each restore.
    number : int
        Rises with each write of an era.

    Examples
    --------
    >>> StoreVersion(2, 95) > StoreVersion(1, 100)
    True
    """

    era: int
    number: int

    def __str__(self) -> str:
        return f"{self.era}.{self.number}"


NO_VERSION = StoreVersion(-1, -1)  # older than anything that the store says
