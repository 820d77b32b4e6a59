from __future__ import annotations

import pytest

from teaseldyke.outcomes import fingerprint_of

BASE = ("POST", "/grants", [(b"Content-Type", b"application/json")], b"{}")


@pytest.mark.parametrize(
    ("request_parts", "same"),
    [
        (BASE, True),
        (("POST", "/grants", [(b"content-type", b"application/json")], b"{}"), True),
        (("POST", "/grants", [*BASE[2], (b"traceparent", b"00-1")], b"{}"), True),
        (("PUT", "/grants", BASE[2], b"{}"), False),
        (("POST", "/grants?x=1", BASE[2], b"{}"), False),
        (("POST", "/grants", [(b"content-type", b"text/plain")], b"{}"), False),
        (("POST", "/grants", BASE[2], b"[]"), False),
        (("POST", "/grants{", BASE[2], b"}"), False),
    ],
)
def test_fingerprint_differs_when_the_request_does(
    request_parts: tuple[str, str, list[tuple[bytes, bytes]], bytes], same: bool
) -> None:
    assert (fingerprint_of(*request_parts) == fingerprint_of(*BASE)) is same
