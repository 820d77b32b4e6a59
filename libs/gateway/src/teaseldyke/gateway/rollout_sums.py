"""What instances tell each other of roll-outs."""

from __future__ import annotations

from collections.abc import Iterable

# Stage, age of the order in ms, whether the stage is written, and answers by route:
# good and bad ones of the new and of the old version.
RolloutSums = tuple[int, int, bool, dict[str, tuple[int, int, int, int]]]


def add_up_rollouts(parts: Iterable[dict[str, RolloutSums]]) -> dict[str, RolloutSums]:
    """Return the sums of several instances: answers added, the latest stage kept."""
    total: dict[str, RolloutSums] = {}
    for part in parts:
        for service, (stage, age_ms, is_written, answers) in part.items():
            known = total.get(service)
            if known is None:
                total[service] = stage, age_ms, is_written, dict(answers)
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
            total[service] = latest, max(known[1], age_ms), written, merged
    return total
