"""Cost of control messages between routers: codec, frames and links."""

from __future__ import annotations

import time
from collections.abc import Callable
from functools import partial

import trio

from benchmarks.slopes import Slope, fit
from teaseldyke.dispatch import dispatch_codec
from teaseldyke.dispatch.messages import Demand, Grant, GrantBatch, Holding, Report
from teaseldyke.peers import Links, LinkState, PeerAddress
from tests.processes.fleet import HOST, free_port

CODEC_ROUNDS = 2000
CODEC_REPEATS = 7  # the fastest is reported; others include interference
LINK_FRAMES = 400
LINK_REPEATS = 5
ENTRIES = (0, 16, 64)
MESSAGES_PER_FRAME = (1, 8, 32)
NS_PER_US = 1000


def report(demands: int, holdings: int) -> Report:
    """Return a report whose fields have typical encoded lengths."""
    return Report(
        shard="language-model/0",
        incarnation=1_234_567_890,
        seq=123_456,
        sent_at_s=123_456.789012,
        echo_incarnation=1_234_567_891,
        echo_seq=123_455,
        echo_sent_at_s=123_456.523456,
        seen_seq=123_455,
        members=420,
        promise_changes=3,
        held_for_s=0.0,
        predecessors_gone=True,
        joined=True,
        wants_release=False,
        term=17,
        demand=tuple(
            Demand(f"organisation-{i:05d}", 7, 1.234567, 321.5, 1234567.8, 0.0, 3456.7)
            for i in range(demands)
        ),
        holdings=tuple(
            Holding(123_456_789 + i, f"organisation-{i:05d}", "engine-123", 321.5, True)
            for i in range(holdings)
        ),
    )


def grant_batch(grants: int) -> GrantBatch:
    """Return a batch of grants whose fields have typical encoded lengths."""
    return GrantBatch(
        shard="language-model/0",
        incarnation=1_234_567_890,
        seq=123_456,
        sent_at_s=123_456.789012,
        echo_incarnation=1_234_567_891,
        echo_seq=123_455,
        echo_sent_at_s=123_456.523456,
        term=17,
        members=420,
        active=True,
        grants=tuple(
            Grant(123_456 + i, f"organisation-{i:05d}", "engine-123", 321.5, 345.6, 2.0)
            for i in range(grants)
        ),
    )


async def codec_slopes() -> list[Slope]:
    """Measure encoding and decoding for different numbers of entries."""
    await trio.lowlevel.checkpoint()
    slopes = []
    message_kinds: tuple[tuple[str, Callable[[int], object]], ...] = (
        ("demand_entry", lambda n: report(n, 0)),
        ("holding_entry", lambda n: report(0, n)),
        ("grant_entry", grant_batch),
    )
    for name, make_message in message_kinds:
        slopes += _entry_slopes(name, make_message)
    return slopes


def _entry_slopes(name: str, make_message: Callable[[int], object]) -> list[Slope]:
    codec = dispatch_codec()
    encode_us, decode_us, sizes_bytes = [], [], []
    for count in ENTRIES:
        message = make_message(count)
        data = codec.encode(message)
        encode_us.append((count, _fastest_us(partial(codec.encode, message))))
        decode_us.append((count, _fastest_us(partial(codec.decode, data))))
        sizes_bytes.append((count, len(data)))
    return [
        Slope(f"{name}_encode_cpu", "us an entry", fit(encode_us)[0]),
        Slope(f"{name}_decode_cpu", "us an entry", fit(decode_us)[0]),
        Slope(f"{name}_size", "bytes an entry", fit(sizes_bytes)[0]),
        Slope(f"{name}_message_size", "bytes a message", fit(sizes_bytes)[1]),
    ]


def _fastest_us(action: Callable[[], object]) -> float:
    best_ns = None
    for _ in range(CODEC_REPEATS):
        started_ns = time.process_time_ns()
        for _ in range(CODEC_ROUNDS):
            action()
        elapsed_ns = time.process_time_ns() - started_ns
        best_ns = elapsed_ns if best_ns is None else min(best_ns, elapsed_ns)
    assert best_ns is not None
    return best_ns / CODEC_ROUNDS / NS_PER_US


async def link_slopes() -> list[Slope]:
    """Measure frames between two links in this process, including their threads."""
    codec = dispatch_codec()
    names = ("a", "b")
    addresses = {name: PeerAddress(HOST, free_port()) for name in names}
    links = {
        name: Links(name, address.host, address.port, codec)
        for name, address in addresses.items()
    }
    async with trio.open_nursery() as nursery:
        for name in names:
            links[name].set_peers(addresses)
            await nursery.start(links[name].run)
        while links["a"].state("b") is not LinkState.UP:
            await trio.sleep(0.01)
        costs = [await _frame_cost(links, count) for count in MESSAGES_PER_FRAME]
        nursery.cancel_scope.cancel()
    cpu_slope, cpu_frame = fit([(count, cpu_us) for count, cpu_us, _ in costs])
    size_slope, size_frame = fit([(count, size) for count, _, size in costs])
    return [
        Slope("control_frame_cpu", "us a frame and side", cpu_frame / 2),
        Slope("control_message_cpu", "us a message and side", cpu_slope / 2),
        Slope("control_frame_size", "bytes a frame", size_frame),
        Slope("control_message_size", "bytes a message with 1 demand", size_slope),
    ]


async def _frame_cost(
    links: dict[str, Links], messages: int
) -> tuple[int, float, float]:
    """Return messages per frame, processor time of both sides (us) and frame size."""
    message = report(1, 0)
    arrived = trio.Event()

    async def on_report(sender: str, _: object) -> None:
        arrived.set()

    links["b"].subscribe(Report, on_report)
    costs_us = []
    sent_bytes = links["a"].counters.bytes_sent
    for _ in range(LINK_REPEATS):
        started_ns = time.process_time_ns()
        for _ in range(LINK_FRAMES):
            arrived = trio.Event()
            for _ in range(messages):
                links["a"].send("b", message)
            await arrived.wait()
        elapsed_ns = time.process_time_ns() - started_ns
        costs_us.append(elapsed_ns / LINK_FRAMES / NS_PER_US)
    sent_bytes = links["a"].counters.bytes_sent - sent_bytes
    return messages, min(costs_us), sent_bytes / LINK_FRAMES / LINK_REPEATS
