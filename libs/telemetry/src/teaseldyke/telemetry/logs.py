"""Log lines for changes of state, as key=value pairs or JSON."""

from __future__ import annotations

import json
import logging as standard_logging
import time
from typing import Literal

from absl import flags, logging

LogForm = Literal["text", "json"]


def configure_logging(verbosity: int = 0, form: LogForm = "text") -> None:
    """Configure this process's log on standard error.

    Parameters
    ----------
    verbosity : int
        As in ``absl.logging``: -1 for warnings, 0 for changes of state, 1 and above
        for debugging.
    form : {"text", "json"}
        Format of the lines.
    """
    flags.FLAGS.mark_as_parsed()  # else absl warns with each line
    logging.use_absl_handler()
    logging.set_verbosity(verbosity)
    logging.set_stderrthreshold("debug")
    formatter = _JsonFormatter() if form == "json" else _TextFormatter()
    logging.get_absl_handler().setFormatter(formatter)


def log_change(event: str, **fields: object) -> None:
    """Log a change of state.

    Parameters
    ----------
    event : str
        Name of the event, in snake case.
    **fields
        What changed; names have their unit as a suffix.
    """
    logging.info(_text(event, fields), extra={"event": event, "event_fields": fields})


def log_fault(event: str, **fields: object) -> None:
    """Log a fault or a degradation as a warning; parameters as for `log_change`."""
    logging.warning(
        _text(event, fields), extra={"event": event, "event_fields": fields}
    )


class _TextFormatter(standard_logging.Formatter):
    def format(self, record: standard_logging.LogRecord) -> str:
        line = f"{_time(record)} {record.levelname} {record.getMessage()}"
        if record.exc_info:
            line += "\n" + self.formatException(record.exc_info)
        return line


class _JsonFormatter(standard_logging.Formatter):
    def format(self, record: standard_logging.LogRecord) -> str:
        value: dict[str, object] = {"time": _time(record), "level": record.levelname}
        event = getattr(record, "event", None)
        if event is None:
            value["message"] = record.getMessage()
        else:
            value["event"] = event
            value.update(getattr(record, "event_fields", {}))
        if record.exc_info:
            value["traceback"] = self.formatException(record.exc_info)
        return json.dumps(value, default=str)


def _text(event: str, fields: dict[str, object]) -> str:
    """Return one line; values that contain blanks, quotes or ``=`` are quoted.

    Examples
    --------
    >>> _text("domain_out", {"domain": "east 2", "version": 7})
    'event=domain_out domain="east 2" version=7'
    """
    parts = [f"event={event}"]
    for key, value in fields.items():
        parts.append(f"{key}={_quoted(str(value))}")
    return " ".join(parts)


def _quoted(value: str) -> str:
    plain = value.isprintable() and not any(character in value for character in ' "=')
    return value if plain and value else json.dumps(value)


def _time(record: standard_logging.LogRecord) -> str:
    seconds = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
    return f"{seconds}.{int(record.msecs):03d}Z"
