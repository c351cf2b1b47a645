"""Handle callers' requests: validate and route them, and send the responses."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

import structlog
from fielddrift_core.catalog import Catalog, Route, Service
from fielddrift_core.errors import ERROR_RESPONSES, ErrorKind, Ran, Refusal
from fielddrift_core.request_ends import EndCause

from ..web.server import Request, Responder
from .call import Call, Refused, ServingContext, Trace, short_id
from .caller_returns import has_free_capacity
from .generation import Generation
from .plain_requests import PlainRequests
from .ports import InvalidRequest, ParsedRequest

__all__ = ["Gateway"]

_STATUS_IF_MAY_HAVE_RUN: Mapping[int, int] = {503: 502, 429: 502}
"""Statuses for requests that may have run, in place of those that promise it has not run."""
_CUT_CAUSES: Mapping[ErrorKind, EndCause] = {
    ErrorKind.DEADLINE: EndCause.DEADLINE,
    ErrorKind.INTERNAL: EndCause.FAULT,
}
"""Causes of responses that are cut off; all other kinds of failure begin at a target."""
_DEFAULT_RETRY_SECONDS = 0.25
"""Default for `Retry-After`: a tenth of the shortest deadline."""
_OTHER_NODE_RETRY_SECONDS = 0.05
"""`Retry-After` of a stopping node: other nodes can be used at once, this is the time for a new
connection."""
_DEFAULT_TIMEOUT_SECONDS = 30.0
_MAX_READY_WAIT_SECONDS = 0.25
"""Maximum time that a request waits for the first reading of a node that has just started.  It
takes some milliseconds, and a caller that is refused may have no other attempt."""
_REFRESH_TIMEOUT_SECONDS = 0.4
"""After a pause of this process, the maximum time that a request which seems not allowed waits
for a newer catalog."""

_log = structlog.get_logger()


class Gateway:
    """Validates each request and passes it to the handler for prompts or for plain requests."""

    def __init__(self, *, context: ServingContext) -> None:
        self._context = context
        self._generation = Generation(context=context)
        self._plain = PlainRequests(context=context)

    async def handle(self, request: Request, responder: Responder) -> None:
        """Respond to one request."""
        trace, request_id = Trace(), ""
        responder.describe(lambda: {"targets": trace.targets, "software": trace.software})
        loop = asyncio.get_running_loop()
        try:
            request_id = self._context.callers.request_id(request.head)
            parsed = self._read(request)
            self._context.views.detect_pause(loop.time())
            self._context.views.load.add(loop.time())
            call = await self._resolve(parsed, trace)
            async with asyncio.timeout_at(call.deadline):
                call = await self._context.streams.resolve(call)
                await self._serve(call, responder)
            self._record_complete(call)
            self._log_response(call, "answered", loop.time())
        except Refused as refused:
            self._refuse(responder, request_id, refused.refusal, trace)
        except TimeoutError:
            refusal = Refusal(ErrorKind.DEADLINE, "no answer in time", _ran(trace))
            self._refuse(responder, request_id, refusal, trace)
        except asyncio.CancelledError:
            if responder.is_open and not responder.started:
                detail = "this node stops before the response"
                self._refuse(
                    responder,
                    request_id,
                    Refusal(ErrorKind.STOPPING, detail, _ran(trace), _OTHER_NODE_RETRY_SECONDS),
                    trace,
                )
            raise
        except Exception:
            if responder.ended:
                _log.exception("request not recorded", request=request_id)
                return
            _log.exception("request failed", request=request_id)
            refusal = Refusal(ErrorKind.INTERNAL, "the node failed", _ran(trace))
            self._refuse(responder, request_id, refusal, trace)

    async def _serve(self, call: Call, responder: Responder) -> None:
        self._check_leaving(call)
        self._context.crashes.check(call)
        if call.service.engine is not None and call.parsed.prompt is not None:
            self._context.views.prompts.add(asyncio.get_running_loop().time())
            await self._generation.serve(call, responder)
        else:
            await self._plain.serve(call, responder)

    def _record_complete(self, call: Call) -> None:
        """Record that a target sent a complete response: this request did not crash it."""
        send = call.trace.delivered
        if send is None or call.trace.status >= 500:
            return
        if send.framed or send.is_confirmed:
            self._context.crashes.answered(call, send)
        else:
            self._context.crashes.confirm_later(call, send)

    def _check_leaving(self, call: Call) -> None:
        """Raise `Refused` if this node may stop before the response is complete."""
        leaving = self._context.views.leaving
        if leaving is None:
            return
        now = asyncio.get_running_loop().time()
        longest = call.deadline - now
        if not leaving.accepts(now, longest):
            detail = (
                f"this node stops in {leaving.closes_at - now:.2f} s, "
                f"the response may take {longest:.2f} s"
            )
            raise Refused(Refusal(ErrorKind.STOPPING, detail, Ran.NO, _OTHER_NODE_RETRY_SECONDS))

    # --- validation and routing ---------------------------------------------

    def _read(self, request: Request) -> ParsedRequest:
        """Return the parsed request; raise `Refused` if it is invalid."""
        parsed = self._context.callers.read(request)
        if isinstance(parsed, InvalidRequest):
            raise Refused(Refusal(ErrorKind.BAD_REQUEST, parsed.detail, Ran.NO))
        return parsed

    async def _resolve(self, parsed: ParsedRequest, trace: Trace) -> Call:
        await self._context.views.wait_until_ready(_MAX_READY_WAIT_SECONDS)
        try:
            return self._build_call(parsed, trace)
        except Refused:
            if not self._context.views.stale.is_set():
                raise
        # This process was paused, so its views may be outdated.
        await self._context.views.wait_until_refreshed(_REFRESH_TIMEOUT_SECONDS)
        return self._build_call(parsed, trace)

    def _build_call(self, parsed: ParsedRequest, trace: Trace) -> Call:
        views = self._context.views
        catalog = views.catalog
        if catalog is None:
            detail = "no configuration is known yet"
            raise Refused(Refusal(ErrorKind.PLATFORM_DOWN, detail, Ran.NO, 1.0, "no-catalog"))
        route = catalog.route(parsed.host, parsed.path)
        if route is None:
            if views.stale.is_set():
                raise self._unknown_after_pause("route")
            detail = f"host {parsed.host!r}, path {parsed.path!r}: no route"
            raise Refused(Refusal(ErrorKind.NOT_FOUND, detail, Ran.NO))
        customer = catalog.customer(parsed.key) if parsed.key else None
        if customer is None and not route.anonymous:
            self._check_anonymous(catalog)
        service = catalog.services.get(self._choose_service(route, parsed))
        if service is None:
            raise Refused(
                Refusal(ErrorKind.NO_TARGET, f"route {route.name}: no service", Ran.NO, 1.0)
            )
        timeout_seconds = (
            parsed.timeout_seconds
            if parsed.timeout_seconds is not None
            else _DEFAULT_TIMEOUT_SECONDS
        )
        arrived_at = parsed.request.arrived
        deadline = arrived_at + min(timeout_seconds, route.timeout)
        waited_seconds = (
            views.waits.waited(route.name, timeout_seconds)
            if parsed.timeout_seconds is not None
            else 0.0
        )
        return Call(
            parsed=parsed,
            catalog=catalog,
            route=route,
            service=service,
            customer=customer,
            arrived_at=arrived_at,
            deadline=deadline,
            trace=trace,
            waited_seconds=waited_seconds,
            returned=self._is_return(parsed, route, service),
            ranks=views.ranks(catalog, service.name),
        )

    def _check_anonymous(self, catalog: Catalog) -> None:
        """Raise `Refused` unless requests without a customer's key may run under `catalog`."""
        if catalog.needs_key is None:
            detail = f"configuration {catalog.version}: it is not known whether keys are needed"
            raise Refused(
                Refusal(ErrorKind.PLATFORM_DOWN, detail, Ran.NO, 1.0, "key-policy-unknown")
            )
        if not catalog.needs_key:
            return
        if self._context.views.stale.is_set():
            raise self._unknown_after_pause("key")
        raise Refused(Refusal(ErrorKind.UNAUTHORIZED, "the key is missing or unknown", Ran.NO))

    def _is_return(self, parsed: ParsedRequest, route: Route, service: Service) -> bool:
        """Return whether the caller surely sent the prompt before, and has read nothing of it.

        In a lasting overload nobody counts as such: late prompts would never run after the others.
        """
        if parsed.prompt is None or parsed.timeout_seconds is None or parsed.resume_after:
            return False
        views = self._context.views
        expected = views.expects_returns(service.name, parsed.request.arrived)
        found = views.waits.is_return(route.name, parsed.timeout_seconds, expected=expected)
        return found and has_free_capacity(views, service)

    def _unknown_after_pause(self, what: str) -> Refused:
        detail = f"this node was paused and does not know whether the {what} exists"
        return Refused(
            Refusal(ErrorKind.PLATFORM_DOWN, detail, Ran.NO, _DEFAULT_RETRY_SECONDS, "stale")
        )

    def _choose_service(self, route: Route, parsed: ParsedRequest) -> str:
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [share.weight for share in route.shares]
        return self._context.rng.choices(route.shares, weights)[0].service

    # --- responses ----------------------------------------------------------

    def _refuse(
        self, responder: Responder, request_id: str, refusal: Refusal, trace: Trace
    ) -> None:
        if responder.ended:
            # The caller has a whole response, which must not be aborted.
            _log.warning("request not recorded", request=request_id, detail=refusal.detail)
            return
        if responder.started:
            responder.describe(
                lambda: {
                    "detail": refusal.detail,
                    "targets": trace.targets,
                    "software": trace.software,
                    "reasons": trace.reasons,
                    **trace.relay_progress(),
                }
            )
            responder.cut(_CUT_CAUSES.get(refusal.kind, EndCause.TARGET))
            return
        status = ERROR_RESPONSES[refusal.kind].status
        if refusal.kind is ErrorKind.DEADLINE and refusal.ran is not Ran.NO:
            status = 504
        elif refusal.ran is not Ran.NO:
            status = _STATUS_IF_MAY_HAVE_RUN.get(status, status)
        elif refusal.kind is ErrorKind.INTERNAL:
            status = 503
        retry_after = refusal.retry_after
        if status == 503 and retry_after is None:
            retry_after = _DEFAULT_RETRY_SECONDS
        reason = refusal.reason or refusal.kind.value
        self._context.metrics.refusals.inc(label_value=reason)
        headers = self._context.callers.refusal_headers(request_id, retry_after)
        _log.info(
            "request refused",
            request=request_id,
            kind=refusal.kind.value,
            status=status,
            detail=refusal.detail,
            retry_after=retry_after,
            unproved=trace.unproved,
            targets=trace.targets,
            reasons=trace.reasons,
        )
        responder.refuse(status, headers, refusal.detail.encode("utf-8", "replace"))

    def _log_response(self, call: Call, outcome: str, now: float) -> None:
        trace = call.trace
        first, send = trace.first_event, trace.delivered
        assert send is not None
        metrics = self._context.metrics
        metrics.answers.inc(label_value=str(trace.status))
        metrics.whole.observe(now - call.arrived_at)
        if first is not None:
            metrics.first_event.observe(first - call.arrived_at)
            metrics.estimate.observe(send.estimate)
            metrics.held.observe(trace.held)
        _log.info(
            "request answered",
            request=call.parsed.request_id,
            fingerprint=call.fingerprint,
            route=call.route.name,
            customer=call.customer_name,
            rank=call.rank,
            status=trace.status,
            outcome=outcome,
            targets=trace.targets,
            reasons=trace.reasons,
            through=send.through,
            catalog=call.catalog.version,
            software=send.instance.software,
            resumes=short_id(call.parsed.resumes),
            weights=send.weights,
            outdated_ms=round(send.outdated_seconds * 1000),
            outdated_by=send.outdated_by,
            parts=send.parts,
            waited_ms=round(call.waited_seconds * 1000),
            ahead=list(send.ahead),
            held_ms=round(trace.held * 1000),
            estimate_ms=round(send.estimate * 1000),
            first_ms=None if first is None else round((first - call.arrived_at) * 1000),
            ms=round((now - call.arrived_at) * 1000),
            **trace.relay_progress(),
        )


def _ran(trace: Trace) -> Ran:
    return Ran.UNKNOWN if trace.unproved else Ran.NO
