from __future__ import annotations

from teaseldyke.gateway import caller_organisations as module
from teaseldyke.gateway.caller_organisations import UNKNOWN, CallerOrganisations


def test_refusals_are_told_by_organisation() -> None:
    organisations = CallerOrganisations()
    organisations.record("address-1", "large")
    organisations.record("address-2", "large")
    organisations.record("address-3", "small")
    refused = {"address-1": 5, "address-2": 4, "address-3": 1, "address-4": 2}
    assert organisations.most(refused) == {"large": 9, UNKNOWN: 2, "small": 1}


def test_line_and_memory_are_bounded() -> None:
    organisations = CallerOrganisations()
    for number in range(module.CALLERS_MAX + 1):
        organisations.record(f"address-{number}", f"organisation-{number}")
    assert organisations.most({"address-0": 1}) == {UNKNOWN: 1}
    refused = {f"address-{number}": number for number in range(1, 20)}
    assert len(organisations.most(refused)) == module.ORGANISATIONS_MAX
