"""Write logs as JSON lines, one id following a request through the nodes."""

from __future__ import annotations

import logging
import sys
from typing import Any

import structlog

__all__ = ["configure", "get"]


def configure(*, level: str, node: str) -> None:
    """Log JSON lines to standard output from `level` up, naming this node."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(sort_keys=True),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.WriteLoggerFactory(file=sys.stdout),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(node=node)


def get() -> Any:
    """Return the project's logger."""
    return structlog.get_logger()
