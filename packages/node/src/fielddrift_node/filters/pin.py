"""Pin the configuration under which a request runs.

A request keeps the revision, and so the version of the weights, that was in
force when it was accepted; later changes do not affect it.
"""

from __future__ import annotations

from fielddrift_core.errors import ErrorKind, Ran, Refusal
from fielddrift_core.model import TargetRole
from result import Err, Ok, Result

from ..exchange import Exchange

__all__ = ["pin_completion", "pin_service"]

_RETRY_AFTER_SECONDS = 0.5


def pin_completion(exchange: Exchange) -> Result[Exchange, Refusal]:
    """Pin the deployment of the model and its targets; refuse an unknown model."""
    assert exchange.completion is not None
    if refusal := _pin_configuration(exchange):
        return Err(refusal)
    model = exchange.completion.model
    deployment = exchange.configuration.deployments.get(model)
    if deployment is None:
        return Err(Refusal(ErrorKind.NOT_FOUND, f"model: {model!r} is not known"))
    exchange.deployment = deployment
    exchange.targets = exchange.runtime.config.serving(TargetRole.ENGINE, model)
    exchange.runtime.board.touch(model)
    return Ok(exchange)


def pin_service(exchange: Exchange) -> Result[Exchange, Refusal]:
    """Pin the targets of the service and set whether the call may be repeated.

    Refuse an unknown service.
    """
    assert exchange.call is not None
    if refusal := _pin_configuration(exchange):
        return Err(refusal)
    name = exchange.call.service
    exchange.targets = exchange.runtime.config.serving(TargetRole.SERVICE, name)
    if not exchange.targets:
        return Err(Refusal(ErrorKind.NOT_FOUND, f"service: {name!r} is not known"))
    if any(exchange.call.method in target.not_repeatable for target in exchange.targets):
        exchange.repeatable = False
    return Ok(exchange)


def _pin_configuration(exchange: Exchange) -> Refusal | None:
    watch = exchange.runtime.watch
    if watch.refusing:
        detail = "this node is stopping; ask GET /v1/entry for another"
        return Refusal(ErrorKind.STOPPING, detail, Ran.NO, _RETRY_AFTER_SECONDS)
    exchange.configuration = exchange.runtime.config.current
    return None
