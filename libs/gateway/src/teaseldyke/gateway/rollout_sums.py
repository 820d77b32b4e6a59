"""What instances tell each other of roll-outs."""

from __future__ import annotations

from collections.abc import Iterable

from teaseldyke.types import RolloutOrder

# Stage, age of the order in ms, whether the stage is written, and answers by route:
# good and bad ones of the new and of the old version.
RolloutSums = tuple[int, int, bool, dict[str, tuple[int, int, int, int]]]


def order_key(order: RolloutOrder) -> str:
    """Return the key of an order in sums.

    Instances learn of a new order at different times, so the service alone would mix
    the sums of two orders.

    Examples
    --------
    >>> order_key(RolloutOrder("app", "v2", 16.0))
    'app/v2/16'
    """
    return f"{order.service}/{order.version}/{order.duration_s:g}"


def add_up_rollouts(parts: Iterable[dict[str, RolloutSums]]) -> dict[str, RolloutSums]:
    """Return the sums of several instances: answers added, the latest stage kept."""
    total: dict[str, RolloutSums] = {}
    for part in parts:
        for key, (stage, age_ms, is_written, answers) in part.items():
            known = total.get(key)
            if known is None:
                total[key] = stage, age_ms, is_written, dict(answers)
                continue
            merged = known[3]
            for route, counts in answers.items():
                before = merged.get(route, (0, 0, 0, 0))
                merged[route] = (
                    before[0] + counts[0],
                    before[1] + counts[1],
                    before[2] + counts[2],
                    before[3] + counts[3],
                )
            latest = max(known[0], stage)
            written = (known[2] and known[0] == latest) or (
                is_written and stage == latest
            )
            total[key] = latest, max(known[1], age_ms), written, merged
    return total
