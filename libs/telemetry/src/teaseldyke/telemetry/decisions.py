"""Decision log: rate-limited JSON lines, written without blocking."""

from __future__ import annotations

import os
import time

import msgspec
import structlog

from .metrics import counter

PENDING_MAX_BYTES = 64 * 1024  # limit of output buffered for a slow reader
BURST_S = 2.0  # size of the token bucket, in seconds of the rate
# Fraction of the bucket that is reserved for lines that are not about one request.
STATE_CHANGE_RESERVE = 0.1

_DROPPED_LINES_TOTAL = counter(
    "teaseldyke_log_lines_left_out_total",
    "Lines over the rate.",
)


class NonBlockingOutput:
    """Writes lines to a non-blocking file descriptor, limited by a token bucket.

    Parameters
    ----------
    descriptor : int
        Is made non-blocking; once its reader lags by more than `PENDING_MAX_BYTES`,
        lines are dropped and counted.
    lines_per_s : float
        Rate limit; lines above it are dropped and counted.
    """

    def __init__(self, descriptor: int, lines_per_s: float) -> None:
        os.set_blocking(descriptor, False)
        self.dropped_lines = 0
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._tokens = lines_per_s * BURST_S
        self._filled_at_s = time.monotonic()
        self._unwritten = b""
        self._dropped_counter = _DROPPED_LINES_TOTAL.bind()

    def msg(self, line: bytes, of_request: bool = False) -> None:
        """Write one line, or drop and count it.

        Parameters
        ----------
        line : bytes
            Without the line feed.
        of_request : bool
            Whether the line is about one request. Such lines leave the reserve to
            changes of state, which are fewer and explain more.
        """
        now_s = time.monotonic()
        self._tokens += (now_s - self._filled_at_s) * self._lines_per_s
        self._tokens = min(self._tokens, self._lines_per_s * BURST_S)
        self._filled_at_s = now_s
        tokens_needed = 1.0
        if of_request:
            tokens_needed += STATE_CHANGE_RESERVE * BURST_S * self._lines_per_s
        if self._tokens < tokens_needed or len(self._unwritten) > PENDING_MAX_BYTES:
            self.dropped_lines += 1
            self._dropped_counter.add()
            return
        self._tokens -= 1.0
        data = self._unwritten + line + b"\n"
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader is gone, so this can't be logged; the metric counts it.
            self.dropped_lines += 1
            self._dropped_counter.add()
            self._unwritten = b""
            return
        self._unwritten = data[written:]

    debug = info = warning = error = critical = msg


def configure_decision_log(name: str, lines_per_s: float, descriptor: int = 1) -> None:
    """Configure the decision log of this process.

    Parameters
    ----------
    name : str
        Name of this instance, written into each line.
    lines_per_s : float
        Rate limit; lines above it are dropped and counted.
    descriptor : int
        File descriptor to write to; standard output by default.
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
    """Log a decision or a change of this process's view of the fleet.

    Parameters
    ----------
    event : str
        Name of the event, in snake case.
    **fields
        Inputs of the decision; names have their unit as a suffix. With a field ``id``
        the line counts as being about one request.
    """
    _LOGGER.info(event, **fields)
