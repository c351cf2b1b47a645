"""The filters that process a request from its arrival to its answer, one a module.

`COMPLETION` and `SERVICE` list them in the order in which they run.
"""

from __future__ import annotations

from ..exchange import Filter
from .admit import admit
from .call import call_service
from .claim import claim
from .hold_back import hold_back
from .identify import identify
from .locate import locate
from .parse import parse_completion, parse_service
from .pin import pin_completion, pin_service
from .run import run_completion

__all__ = ["COMPLETION", "SERVICE"]

COMPLETION: tuple[Filter, ...] = (
    identify,
    parse_completion,
    pin_completion,
    hold_back,
    locate,
    admit,
    claim,
    run_completion,
)

SERVICE: tuple[Filter, ...] = (
    identify,
    parse_service,
    pin_service,
    hold_back,
    claim,
    call_service,
)
