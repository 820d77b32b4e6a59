from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from teaseldyke.http import MalformedRequest
from teaseldyke.http.target import parse_query, split_target

BOUNDED = settings(derandomize=True, max_examples=300, deadline=None)
TARGETS = st.lists(
    st.sampled_from([b"/", b".", b"%2e", b"%2F", b"%67", b"a", b"?", b"=", b"%", b"\\"])
    | st.binary(min_size=1, max_size=2),
    max_size=12,
).map(b"".join)


@BOUNDED
@given(TARGETS)
def test_a_path_has_one_spelling_and_no_dot_segments(target: bytes) -> None:
    try:
        path, query = split_target(b"/" + target)
    except MalformedRequest:
        return
    assert not {".", ".."} & set(path.split("/"))
    assert "//" not in path
    assert split_target(path.encode()) == (path, "")
    assert "?" not in path
    assert query in target.decode("ascii")


@BOUNDED
@given(TARGETS)
def test_any_target_is_taken_or_refused(target: bytes) -> None:
    try:
        _, query = split_target(target)
        parse_query(query)
    except MalformedRequest:
        return


@pytest.mark.parametrize(
    ("target", "path"),
    [
        (b"/a%2Fb", "/a%2Fb"),
        (b"/a%2fb", "/a%2Fb"),
        (b"/%67rants", "/grants"),
        (b"http://host/a?b", "/a"),
        (b"http://host", "/"),
        (b"*", "*"),
        (b"/.well-known", "/.well-known"),
    ],
)
def test_paths(target: bytes, path: str) -> None:
    assert split_target(target)[0] == path


def test_query_fields_are_bounded() -> None:
    with pytest.raises(MalformedRequest, match="256"):
        parse_query("a=1&" * 300)
