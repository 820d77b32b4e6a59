from __future__ import annotations

import os

from teaseldyke.telemetry import NonBlockingOutput


def test_a_line_is_written() -> None:
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


def test_a_stalled_reader_does_not_block() -> None:
    _, writer = os.pipe()
    output = NonBlockingOutput(writer, 1e6)
    for _ in range(3000):
        output.msg(b"x" * 100)
    assert output.dropped_lines > 0


def test_a_closed_reader_drops_lines_without_error() -> None:
    reader, writer = os.pipe()
    os.close(reader)
    output = NonBlockingOutput(writer, 100.0)
    output.msg(b"line")
    assert output.dropped_lines == 1


def test_request_lines_leave_a_reserve_for_state_changes() -> None:
    reader, writer = os.pipe()
    output = NonBlockingOutput(writer, 50.0)
    for _ in range(200):
        output.msg(b"request", of_request=True)
    output.msg(b"state")
    assert os.read(reader, 10_000).endswith(b"state\n")
