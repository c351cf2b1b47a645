"""WSGI application that serves the HTTP API of callers and operators."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from typing import Any

import structlog
from fielddrift_core.claims import ClaimState
from fielddrift_core.entry import EntryAnswer
from fielddrift_core.errors import ERROR_RESPONSES, ErrorKind, Ran, Refusal
from fielddrift_core.interfaces import ExternalSystemError
from result import Result
from werkzeug.exceptions import HTTPException, MethodNotAllowed, NotFound
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

from .exchange import Answer, Exchange, Filter, run_filters
from .filters import COMPLETION, SERVICE
from .filters.identify import identify
from .log import get
from .operators import Operators
from .runtime import Runtime
from .settle import qualify_not_run
from .tickets import TICKET_HEADER

__all__ = ["CallersApp"]

SERVICE_METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE")
_MAX_STATEMENT_BYTES = 65_536
_TICKET_KINDS = (ErrorKind.OVERLOADED, ErrorKind.OVER_SHARE, ErrorKind.DEADLINE)


class CallersApp:
    """A WSGI application; each response except a streamed one is sent with its complete body.

    `entry` returns the entry answer for a model and `next_id` a new request id.
    `find_state` takes the id of a request and the name of its customer, and
    returns the state of the request, whichever node accepted it, or None if the
    id is not that of a request.
    """

    def __init__(
        self,
        *,
        runtime: Runtime,
        operators: Operators,
        entry: Callable[[str], EntryAnswer],
        next_id: Callable[[], str],
        find_state: Callable[[str, str], str | None],
    ) -> None:
        self._runtime = runtime
        self._operators = operators
        self._entry = entry
        self._next_id = next_id
        self._find_state = find_state
        self._map = Map(
            [
                Rule("/v1/entry", methods=["GET"], endpoint=self._get_entry),
                Rule("/v1/completions", methods=["POST"], endpoint=self._completions),
                Rule("/v1/services/<name>/", methods=SERVICE_METHODS, endpoint=self._service),
                Rule(
                    "/v1/services/<name>/<path:path>",
                    methods=SERVICE_METHODS,
                    endpoint=self._service,
                ),
                Rule("/v1/requests/<path:wanted>", methods=["GET"], endpoint=self._get_request),
                Rule("/v1/operators/statements", methods=["POST"], endpoint=self._statement),
            ],
            merge_slashes=False,
        )

    def __call__(self, environ: Any, start_response: Any) -> Iterable[bytes]:
        request = Request(environ)
        request_id = self._next_id()
        structlog.contextvars.bind_contextvars(request=request_id)
        try:
            response = self._answer(request, request_id, environ)
        except Exception:
            get().exception("request failed", path=request.path)
            refusal = Refusal(
                ErrorKind.INTERNAL, "internal error in the node; see its log", Ran.UNKNOWN
            )
            response = self._refuse(refusal, request_id)
        response.headers["Fielddrift-Request"] = request_id
        return response(environ, start_response)

    def _answer(self, request: Request, request_id: str, environ: Any) -> Response:
        try:
            endpoint, values = self._map.bind_to_environ(environ).match()
        except NotFound:
            return self._refuse(Refusal(ErrorKind.NOT_FOUND, f"path: {request.path!r}"), request_id)
        except MethodNotAllowed as error:
            expected = ", ".join(sorted(error.valid_methods or ()))
            detail = f"method: {request.method}, expected one of {expected}"
            return self._refuse(Refusal(ErrorKind.BAD_REQUEST, detail), request_id)
        except HTTPException as error:
            return self._refuse(Refusal(ErrorKind.BAD_REQUEST, str(error)), request_id)
        response: Response = endpoint(request, request_id, **values)
        return response

    # --- entry and request state -------------------------------------------

    def _get_entry(self, request: Request, request_id: str) -> Response:
        answer = self._entry(request.args.get("model", ""))
        body = {"addresses": list(answer.addresses), "keep_seconds": answer.ttl}
        return _json(body, **{"Cache-Control": f"max-age={int(answer.ttl)}"})

    def _get_request(self, request: Request, request_id: str, wanted: str) -> Response:
        exchange = self._exchange(request, request_id, {})
        outcome = identify(exchange)
        if outcome.is_err():
            return self._refuse(outcome.unwrap_err(), request_id)
        customer = exchange.customer.name
        state = self._find_state(wanted, customer)
        if state is not None:
            return _json({"id": wanted, "state": state})
        return self._claimed_state(customer, wanted, request_id)

    def _claimed_state(self, customer: str, key: str, request_id: str) -> Response:
        try:
            row = self._runtime.claims.find(customer, key)
        except ExternalSystemError as error:
            detail = f"cannot read the state of {key!r}: {error}"
            return self._refuse(
                Refusal(ErrorKind.PLATFORM_DOWN, detail, Ran.UNKNOWN, 2.0), request_id
            )
        if row is None:
            return _json({"id": key, "state": "unknown"})
        if row.state is ClaimState.RAN:
            answer = {"status": row.status, "content_type": row.content_type, "base64": row.body}
            return _json({"id": key, "state": "ran", "answer": answer})
        if row.state is ClaimState.NOT_RUN:
            return _json({"id": key, "state": "not-run"})
        word = self._runtime.claims.state_of(row)
        return _json({"id": key, "state": word})

    # --- requests ----------------------------------------------------------

    def _completions(self, request: Request, request_id: str) -> Response:
        self._runtime.metrics.add("requests.completions")
        return self._run(request, request_id, {}, COMPLETION)

    def _service(self, request: Request, request_id: str, name: str, path: str = "") -> Response:
        self._runtime.metrics.add("requests.services")
        return self._run(request, request_id, {"name": name, "path": path}, SERVICE)

    def _run(
        self, request: Request, request_id: str, path: dict[str, str], filters: tuple[Filter, ...]
    ) -> Response:
        slots = self._runtime.request_slots
        if not slots.acquire():
            detail = "this node has reached its limit of concurrent requests"
            refusal = Refusal(ErrorKind.OVERLOADED, detail, Ran.NO, 0.5)
            return self._refuse(qualify_not_run(refusal, dict(request.headers)), request_id)
        try:
            response = self._run_filters(request, request_id, path, filters)
        except BaseException:
            slots.release()
            raise
        response.call_on_close(slots.release)
        return response

    def _run_filters(
        self, request: Request, request_id: str, path: dict[str, str], filters: tuple[Filter, ...]
    ) -> Response:
        exchange = self._exchange(request, request_id, path)
        outcome: Result[Exchange, Refusal] = run_filters(exchange, filters)
        if outcome.is_err():
            refusal = outcome.unwrap_err()
            if exchange.claim is None:
                refusal = qualify_not_run(refusal, dict(request.headers))
            response = self._refuse(refusal, request_id)
            if refusal.kind in _TICKET_KINDS and refusal.retry_after is not None:
                ticket = self._runtime.tickets.issue(exchange.customer.name, refusal.retry_after)
                response.headers[TICKET_HEADER] = ticket
            return response
        assert exchange.answer is not None
        return _respond(exchange.answer)

    def _exchange(self, request: Request, request_id: str, path: dict[str, str]) -> Exchange:
        return Exchange(runtime=self._runtime, request=request, request_id=request_id, path=path)

    def _refuse(self, refusal: Refusal, request_id: str) -> Response:
        self._runtime.metrics.refused(refusal)
        get().info("refused", kind=refusal.kind.value, detail=refusal.detail, ran=refusal.ran.value)
        body = json.dumps(refusal.problem(request_id=request_id))
        status = ERROR_RESPONSES[refusal.kind].status
        response = Response(body, status, mimetype="application/problem+json")
        if refusal.retry_after is not None:
            response.headers["Retry-After"] = str(max(1, round(refusal.retry_after)))
        return response

    # --- operators ---------------------------------------------------------

    def _statement(self, request: Request, request_id: str) -> Response:
        request.max_content_length = _MAX_STATEMENT_BYTES
        try:
            raw = request.get_data()
        except HTTPException as error:
            return self._refuse(Refusal(ErrorKind.TOO_LARGE, f"body: {error}"), request_id)
        outcome = self._operators.run(request.headers.get("Authorization", ""), raw)
        if isinstance(outcome, Refusal):
            return self._refuse(outcome, request_id)
        return _json(outcome)


def _json(body: Any, **headers: str) -> Response:
    return Response(json.dumps(body), 200, headers, mimetype="application/json")


def _respond(answer: Answer) -> Response:
    response = Response(answer.body, answer.status, dict(answer.headers))
    response.headers["Content-Type"] = answer.content_type
    return response
