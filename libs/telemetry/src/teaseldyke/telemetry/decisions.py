"""One JSON line on standard output for each decision, bounded and never blocking."""

from __future__ import annotations

import os
import time

import msgspec
import structlog

from .metrics import counter

PENDING_MAX_BYTES = 64 * 1024  # of a line that the reader has not taken yet
BURST_S = 2.0  # of the stated rate that may come at once
STATE_PART = 0.1  # of a burst, kept for lines that are not about one request

_DROPPED_LINES = counter("teaseldyke_log_lines_left_out_total", "Lines over the rate.")


class NonBlockingOutput:
    """Writes lines to a file descriptor that may refuse them.

    Parameters
    ----------
    descriptor : int
        Made non-blocking; lines that it doesn't take are counted and left out.
    lines_per_s : float
        Lines in a second; more are counted and left out.
    """

    def __init__(self, descriptor: int, lines_per_s: float) -> None:
        os.set_blocking(descriptor, False)
        self.dropped_lines = 0
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._tokens = lines_per_s * BURST_S
        self._filled_at_s = time.monotonic()
        self._rest = b""
        self._bound = _DROPPED_LINES.bind()

    def msg(self, line: bytes, of_request: bool = False) -> None:
        """Write one line, or leave it out.

        Parameters
        ----------
        line : bytes
            Without its end.
        of_request : bool
            Whether it is about one request; changes of state are fewer and explain
            more, so a flood of requests leaves room for them.
        """
        now_s = time.monotonic()
        self._tokens += (now_s - self._filled_at_s) * self._lines_per_s
        self._tokens = min(self._tokens, self._lines_per_s * BURST_S)
        self._filled_at_s = now_s
        needed = 1.0
        if of_request:
            needed += STATE_PART * BURST_S * self._lines_per_s
        if self._tokens < needed or len(self._rest) > PENDING_MAX_BYTES:
            self.dropped_lines += 1
            self._bound.add()
            return
        self._tokens -= 1.0
        data = self._rest + line + b"\n"
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # Without a reader there is nobody to tell; the count is in the metrics.
            self.dropped_lines += 1
            self._bound.add()
            self._rest = b""
            return
        self._rest = data[written:]

    debug = info = warning = error = critical = msg


def configure_decision_log(name: str, lines_per_s: float, descriptor: int = 1) -> None:
    """Send decisions as JSON lines to a file descriptor.

    Parameters
    ----------
    name : str
        Instance that stands in each line.
    lines_per_s : float
        Lines in a second; more are counted and left out.
    descriptor : int
        Standard output by default.
    """
    output = NonBlockingOutput(descriptor, lines_per_s)

    def render(
        _logger: object, _method: str, fields: structlog.typing.EventDict
    ) -> tuple[tuple[bytes], dict[str, bool]]:
        line = {"time_s": round(time.time(), 3), "instance": name, **fields}
        if output.dropped_lines:
            line["left_out"] = output.dropped_lines
        return (msgspec.json.encode(line, enc_hook=str),), {
            "of_request": "id" in fields
        }

    structlog.configure(
        processors=[render],
        wrapper_class=structlog.BoundLogger,
        logger_factory=lambda *_: output,
        cache_logger_on_first_use=True,
    )


_LOGGER = structlog.get_logger()


def log_decision(event: str, **fields: object) -> None:
    """Log a decision, or a change of what the process believes.

    Parameters
    ----------
    event : str
        Name of the decision, in snake case.
    **fields
        Inputs that decided it; names carry their unit as a suffix.
    """
    _LOGGER.info(event, **fields)
