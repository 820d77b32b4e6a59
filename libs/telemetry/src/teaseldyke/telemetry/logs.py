"""Log lines for changes of state, as key=value or JSON."""

from __future__ import annotations

import json
import logging as standard_logging
import time
from typing import Literal

from absl import flags, logging

LogForm = Literal["text", "json"]


def configure_logging(verbosity: int = 0, form: LogForm = "text") -> None:
    """Set up this process's log on standard error.

    Parameters
    ----------
    verbosity : int
        As in ``absl.logging``: -1 warnings, 0 changes of state, 1 and up debugging.
    form : {"text", "json"}
        Form of a line.
    """
    flags.FLAGS.mark_as_parsed()  # absl warns on each line until its flags are read
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
        Name of the change, in snake case.
    **fields
        What changed; names carry their unit as a suffix.
    """
    logging.info(_text(event, fields), extra={"event": event, "event_fields": fields})


def log_fault(event: str, **fields: object) -> None:
    """Log a change of state for the worse, as a warning."""
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
    """Return one line; values that hold blanks or quotes are quoted.

    Examples
    --------
    >>> _text("domain_out", {"domain": "east 2", "version": 7})
    'event=domain_out domain="east 2" version=7'
    """
    words = [f"event={event}"]
    for key, value in fields.items():
        words.append(f"{key}={_quoted(str(value))}")
    return " ".join(words)


def _quoted(value: str) -> str:
    plain = value.isprintable() and not any(mark in value for mark in ' "=')
    return value if plain and value else json.dumps(value)


def _time(record: standard_logging.LogRecord) -> str:
    whole = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
    return f"{whole}.{int(record.msecs):03d}Z"
