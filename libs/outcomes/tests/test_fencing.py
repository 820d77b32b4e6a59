from __future__ import annotations

import pytest

from teaseldyke.outcomes import FencedOff, raise_if_fenced_off

REFUSAL = b'{"code": "old_fencing_number"}'


def test_refusal_is_told_from_an_answer() -> None:
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
def test_answer_of_the_service_is_let_through(status: int, body: bytes) -> None:
    raise_if_fenced_off(status, body)
