from __future__ import annotations

import os

from teaseldyke.telemetry import NonBlockingOutput


def test_a_line_reaches_its_reader() -> None:
    reader, writer = os.pipe()
    NonBlockingOutput(writer, 10.0).msg(b'{"event":"a"}')
    assert os.read(reader, 100) == b'{"event":"a"}\n'


def test_lines_over_the_rate_are_counted() -> None:
    reader, writer = os.pipe()
    output = NonBlockingOutput(writer, 5.0)
    for _ in range(100):
        output.msg(b"line")
    assert 85 <= output.dropped_lines <= 90
    assert os.read(reader, 10_000).count(b"line") == 100 - output.dropped_lines


def test_a_reader_that_does_not_read_blocks_nothing() -> None:
    _, writer = os.pipe()
    output = NonBlockingOutput(writer, 1e6)
    for _ in range(3000):
        output.msg(b"x" * 100)
    assert output.dropped_lines > 0


def test_a_closed_reader_is_no_error() -> None:
    reader, writer = os.pipe()
    os.close(reader)
    output = NonBlockingOutput(writer, 100.0)
    output.msg(b"line")
    assert output.dropped_lines == 1


def test_a_flood_of_requests_leaves_room_for_changes_of_state() -> None:
    reader, writer = os.pipe()
    output = NonBlockingOutput(writer, 50.0)
    for _ in range(200):
        output.msg(b"request", of_request=True)
    output.msg(b"state")
    assert os.read(reader, 10_000).endswith(b"state\n")
