"""Organisations of callers, for requests that are refused before they are read."""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Mapping

CALLERS_MAX = 2048  # addresses that are remembered
ORGANISATIONS_MAX = 5  # per log line; those with most refusals
UNKNOWN = "unknown"


class CallerOrganisations:
    """Remembers the organisation that each address sent its last request for."""

    def __init__(self) -> None:
        self._by_caller: OrderedDict[str, str] = OrderedDict()

    def record(self, caller: str, organisation: str) -> None:
        """Record the organisation of a request that was read."""
        self._by_caller[caller] = organisation
        self._by_caller.move_to_end(caller)
        if len(self._by_caller) > CALLERS_MAX:
            self._by_caller.popitem(last=False)

    def most(self, requests_by_caller: Mapping[str, int]) -> dict[str, int]:
        """Return the organisations with most of the requests, and their number.

        Requests of addresses that sent none that was read count as `UNKNOWN`.
        """
        total: Counter[str] = Counter()
        for caller, requests in requests_by_caller.items():
            total[self._by_caller.get(caller, UNKNOWN)] += requests
        return dict(total.most_common(ORGANISATIONS_MAX))
