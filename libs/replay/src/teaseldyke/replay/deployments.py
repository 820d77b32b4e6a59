"""Generators of the example traces of both deployments."""

from __future__ import annotations

from collections.abc import Callable

from teaseldyke.configuration import Sheet

from .trace import Entry, SwitchOrder
from .workload import Kind, PlainCalls, Workload

PLAIN_CALL_RATE_HZ = 10.0  # total over all organisations
TOKENS_PER_S = 50.0  # rate of one running request at the stand-in engines

STORM_KINDS = (
    Kind(prompt_tokens=400, output_tokens=250, stream=True, weight=1),  # narrative
    Kind(prompt_tokens=120, output_tokens=60, stream=True, weight=4),  # query
    Kind(prompt_tokens=60, output_tokens=12, stream=False, weight=3),  # tag job
)
CLOSING_KINDS = (
    Kind(prompt_tokens=600, output_tokens=200, stream=True, weight=1),  # dossier
    Kind(prompt_tokens=100, output_tokens=50, stream=True, weight=3),  # question
    Kind(prompt_tokens=60, output_tokens=12, stream=False, weight=3),  # tagging
)


def write_storm_night(
    sheet: Sheet, *, seed: int, duration_s: float, routers: int
) -> list[Entry]:
    """Generate the trace of Forth Valley's storm night.

    All organisations together load half of the engine pool throughout. From 0.3 to 0.6
    of the duration three large ones add a load of 0.8 of the pool. One failure domain
    is switched out from 0.4 to 0.7 of the duration.
    """
    workload = Workload(
        sheet, seed, routers, STORM_KINDS, PlainCalls("/grants", "/stations")
    )
    entries: list[Entry] = []
    base_rate_hz = workload.engine_rate_hz(0.5, TOKENS_PER_S)
    for at_s in workload.times(base_rate_hz, 0, duration_s):
        organisation = workload.draw_organisation(workload.organisations)
        entries.append(workload.engine_arrival(at_s, organisation))
    storm_rate_hz = workload.engine_rate_hz(0.8, TOKENS_PER_S)
    analysts = workload.organisations[1:6:2]
    for at_s in workload.times(storm_rate_hz, 0.3 * duration_s, 0.6 * duration_s):
        organisation = workload.draw_organisation(analysts)
        entries.append(workload.engine_arrival(at_s, organisation))
    entries.extend(_plain_calls(workload, duration_s))
    domain = sheet.failure_domains[0]
    entries.append(SwitchOrder(0.4 * duration_s, "failure-domain", domain, True))
    entries.append(SwitchOrder(0.7 * duration_s, "failure-domain", domain, False))
    return entries


def write_book_closing(
    sheet: Sheet, *, seed: int, duration_s: float, routers: int
) -> list[Entry]:
    """Generate the trace of Khurdan's book-closing evening.

    All organisations but the largest load half of the engine pool throughout. From 0.3
    to 0.8 of the duration the largest one sends twice the capacity of the pool, all of
    it to the first router.
    """
    workload = Workload(
        sheet, seed, routers, CLOSING_KINDS, PlainCalls("/payments", "/balances")
    )
    entries: list[Entry] = []
    flooding, *others = workload.organisations
    for at_s in workload.times(
        workload.engine_rate_hz(0.5, TOKENS_PER_S), 0, duration_s
    ):
        organisation = workload.draw_organisation(others)
        entries.append(workload.engine_arrival(at_s, organisation))
    flood_rate_hz = workload.engine_rate_hz(2.0, TOKENS_PER_S)
    for at_s in workload.times(flood_rate_hz, 0.3 * duration_s, 0.8 * duration_s):
        entries.append(workload.engine_arrival(at_s, flooding.name, router=0))
    entries.extend(_plain_calls(workload, duration_s))
    return entries


def _plain_calls(workload: Workload, duration_s: float) -> list[Entry]:
    entries: list[Entry] = []
    for at_s in workload.times(PLAIN_CALL_RATE_HZ, 0, duration_s):
        organisation = workload.draw_organisation(workload.organisations)
        entries.append(workload.plain_arrival(at_s, organisation))
    return entries


DEPLOYMENTS: dict[str, Callable[..., list[Entry]]] = {
    "forth-valley": write_storm_night,
    "khurdan": write_book_closing,
}
