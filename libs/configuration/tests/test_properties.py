from __future__ import annotations

import tempfile
from pathlib import Path

from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from teaseldyke.configuration import Sheet, check, diff, read_sheet, write_sheet
from teaseldyke.configuration.difference import apply_difference, difference
from teaseldyke.configuration.encoding import decode_sheet, encode_sheet
from teaseldyke.types import BackendServer, Organisation, RequestRule, Service

PHASES = [Phase.explicit, Phase.generate, Phase.shrink]
NAMES = st.from_regex(r"[a-z0-9]([a-z0-9-]{0,6}[a-z0-9])?", fullmatch=True)
HASHES = st.text("0123456789abcdef", min_size=64, max_size=64)
SHARES = st.floats(0.001, 1e6)
RULES = st.lists(
    st.builds(
        RequestRule,
        st.sampled_from(["*", "GET", "POST"]),
        st.from_regex(r"/[!-~]{0,8}", fullmatch=True),
        st.booleans(),
    ),
    max_size=3,
    unique_by=lambda rule: (rule.method, rule.path_prefix),
)


@st.composite
def sheets(draw: st.DrawFn) -> Sheet:
    domains = draw(st.lists(NAMES, max_size=3, unique=True))
    services = {}
    for name in draw(st.lists(NAMES, max_size=3, unique=True)):
        limit = draw(st.integers(1, 10000))
        services[name] = Service(
            name,
            draw(st.sampled_from(["engine", "plain"])),
            limit,
            cold_limit=draw(st.integers(1, limit)),
            queue_timeout_s=draw(st.floats(0.1, 86400)),
            checks_fencing=draw(st.booleans()),
            rules=tuple(draw(RULES)),
        )
    organisations = {}
    hashes = iter(draw(st.lists(HASHES, min_size=6, max_size=6, unique=True)))
    for name in draw(st.lists(NAMES, max_size=3, unique=True)):
        reach = [service for service in sorted(services) if draw(st.booleans())]
        keys = tuple(next(hashes) for _ in range(draw(st.integers(0, 2))))
        share = draw(SHARES)
        disabled = draw(st.booleans())
        organisations[name] = Organisation(name, share, keys, tuple(reach), disabled)
    servers = {}
    if domains and services:
        for port, name in enumerate(draw(st.lists(NAMES, max_size=3, unique=True)), 1):
            service = draw(st.sampled_from(sorted(services)))
            domain = draw(st.sampled_from(domains))
            servers[name] = BackendServer(name, service, "10.0.0.1", port, domain)
    return Sheet(organisations, services, servers, tuple(domains))


@settings(derandomize=True, max_examples=20, deadline=None, phases=PHASES)
@given(sheets())
def test_a_good_sheet_survives_checks_files_and_encoding(sheet: Sheet) -> None:
    check(sheet)
    encoded = encode_sheet(sheet)
    assert decode_sheet(encoded.data, encoded.sha256) == sheet
    with tempfile.TemporaryDirectory() as directory:
        for name in ("sheet", "sheet.xlsx"):
            path = Path(directory) / name
            write_sheet(sheet, path)
            assert read_sheet(path) == sheet


@settings(derandomize=True, max_examples=40, deadline=None, phases=PHASES)
@given(sheets(), sheets())
def test_a_difference_makes_the_new_sheet_of_the_old(old: Sheet, new: Sheet) -> None:
    made = apply_difference(old, difference(old, new))
    assert made == new
    assert encode_sheet(made).sha256 == encode_sheet(new).sha256
    assert bool(diff(old, new)) or set(old.failure_domains) == set(new.failure_domains)
    assert bool(diff(old, new)) or old.organisations == new.organisations
