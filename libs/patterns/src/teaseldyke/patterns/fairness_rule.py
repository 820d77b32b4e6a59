"""The users' rule of fairness, on what a simulation records second by second."""

from __future__ import annotations

from collections.abc import Container, Mapping, Sequence

import attrs

WINDOW_S = 6  # window in which shares must be fair
FAIR_SHARE_MIN = 0.5  # of the lesser of demand and best service in a window
REQUESTS_NOT_COUNTED = 3  # requests of the largest size by which a share may fall short


@attrs.frozen
class Shortfall:
    """Window in which an organisation got less than half of its due, in tokens."""

    organisation: str
    starts_at_s: int
    requested: float
    due: float
    got: float


def shortfalls(
    requested: Mapping[str, Sequence[float]],
    served: Mapping[str, Sequence[float]],
    unserved: Mapping[str, Container[int]],
    not_counted_tokens: float,
) -> list[Shortfall]:
    """Return the windows in which an organisation that always lacked got little.

    Its due is the lesser of what it requested and what the best served one got, second
    by second.

    Parameters
    ----------
    requested, served : mapping of str to sequence of float
        Tokens by organisation and second; all sequences are of one length.
    unserved : mapping of str to container of int
        Seconds in which a request of an organisation was refused or late.
    not_counted_tokens : float
        By which a share may fall short.
    """
    found = []
    seconds = len(next(iter(requested.values()), ()))
    for start in range(seconds - WINDOW_S + 1):
        window = range(start, start + WINDOW_S)
        got = {
            name: sum(tokens[start : start + WINDOW_S])
            for name, tokens in served.items()
        }
        best = served[max(got, key=got.__getitem__)]
        for name, tokens in requested.items():
            if not all(second in unserved[name] for second in window):
                continue
            due = sum(min(tokens[second], best[second]) for second in window)
            due -= not_counted_tokens
            if got[name] < FAIR_SHARE_MIN * due:
                asked = sum(tokens[start : start + WINDOW_S])
                found.append(Shortfall(name, start, asked, due, got[name]))
    return found
