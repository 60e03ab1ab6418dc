"""Structured logs: one JSON object a line, on standard error by default."""

from __future__ import annotations

import logging
import sys
from typing import TYPE_CHECKING, Any, Protocol, TextIO, cast

import structlog

if TYPE_CHECKING:
    from mastickeel.events import Event

LEVELS_BY_NAME = {"debug": 10, "info": 20, "warning": 30, "error": 40}


class LogStream(Protocol):
    """A destination of log records."""

    def write(self, text: str, /) -> int:
        """Accepts a line."""

    def flush(self) -> None:
        """Writes out the accepted lines."""


def configure(level: str = "info", instance_id: str = "", stream: LogStream | None = None) -> None:
    """Configures the logs of the process.

    Args:
        level: The lowest level that is written.
        instance_id: The id of this instance, added to each record; empty for none.
        stream: The destination of records; None for standard error.
    """
    number = LEVELS_BY_NAME[level]
    logging.basicConfig(level=logging.WARNING, stream=sys.stderr, format="%(message)s")
    logging.getLogger("tornado.access").setLevel(logging.ERROR)
    logging.getLogger("tornado.general").setLevel(logging.ERROR)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(number),
        logger_factory=structlog.WriteLoggerFactory(file=cast("TextIO", stream or sys.stderr)),
        cache_logger_on_first_use=True,
    )
    if instance_id:
        structlog.contextvars.bind_contextvars(instance=instance_id)


def log(event: Event, **fields: Any) -> None:
    """Writes a log record of an event.

    Args:
        event: The event.
        **fields: The details of this occurrence; never a secret.
    """
    logger = structlog.get_logger()
    getattr(logger, event.level)(event.name, number=event.number, **fields)
