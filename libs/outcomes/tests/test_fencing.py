from __future__ import annotations

import pytest

from teaseldyke.outcomes import FencedOff, raise_if_fenced_off

REFUSAL = b'{"code": "old_fencing_number"}'


def test_refusal_raises() -> None:
    with pytest.raises(FencedOff):
        raise_if_fenced_off(409, REFUSAL)


@pytest.mark.parametrize(
    ("status", "body"),
    [
        (200, REFUSAL),
        (409, b'{"code": "sold_out"}'),
        (409, b"[]"),
        (409, b"no json"),
        (409, REFUSAL + b" " * 5000),
    ],
)
def test_other_answers_pass(status: int, body: bytes) -> None:
    raise_if_fenced_off(status, body)
