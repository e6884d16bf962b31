"""Simulation of requests that one route instance delegates to another."""

from functools import singledispatch

from attrs import define, evolve

from briarrelay_core.outcomes import NotRun
from briarrelay_core.ports.route import (
    AbortResponse,
    DelegateRequest,
    RelayEnd,
    RelayEvent,
    RelayFullResponse,
    RelayHead,
    ResponseComplete,
    ResponseEvent,
    ResponseHead,
    ResponseKind,
    ResponseLost,
    RouteRequest,
    SendErrorResponse,
)

__all__ = ["DelegatedRequest", "delegate", "read_reply"]


@define(slots=True, eq=False)
class DelegatedRequest:
    """A request that an instance has delegated to a peer.

    :param request: the request as the peer gets it.
    :param origin: number of the instance that delegated it.
    :param attempt_id: id of the attempt there.
    :param peer: number of the peer.
    :param last_event: id of the last event that was passed back.
    """

    request: RouteRequest
    origin: int
    attempt_id: int
    peer: int
    last_event: int = 0


def delegate(
    effect: DelegateRequest,
    request: RouteRequest,
    origin: int,
    peer: int,
    request_id: int,
) -> DelegatedRequest:
    """Return a delegated request.

    :param request: the caller's request.
    :param request_id: its id at the peer.
    """
    at_peer = evolve(
        request,
        request_id=request_id,
        time_limit_s=effect.time_limit_s,
        resume_after=effect.resume_after,
        is_delegated=True,
        max_attempts=effect.max_attempts,
    )
    last_event = int(effect.resume_after or 0)
    return DelegatedRequest(at_peer, origin, effect.attempt_id, peer, last_event)


@singledispatch
def read_reply(effect, delegated: DelegatedRequest) -> list:
    """Return the messages that the instance gets after an effect of the peer."""
    return []


def _make_head(delegated: DelegatedRequest, is_stream: bool) -> ResponseHead:
    return ResponseHead(
        attempt_id=delegated.attempt_id,
        kind=ResponseKind.SUCCESS,
        status=200,
        is_stream=is_stream,
    )


@read_reply.register
def _(effect: RelayHead, delegated: DelegatedRequest) -> list:
    return [_make_head(delegated, is_stream=True)]


@read_reply.register
def _(effect: RelayEvent, delegated: DelegatedRequest) -> list:
    delegated.last_event += 1
    event_id = str(delegated.last_event)
    return [ResponseEvent(delegated.attempt_id, event_id, effect.data)]


@read_reply.register
def _(effect: RelayEnd, delegated: DelegatedRequest) -> list:
    return [ResponseComplete(delegated.attempt_id)]


@read_reply.register
def _(effect: RelayFullResponse, delegated: DelegatedRequest) -> list:
    head = _make_head(delegated, is_stream=False)
    return [head, ResponseComplete(delegated.attempt_id)]


@read_reply.register
def _(effect: AbortResponse, delegated: DelegatedRequest) -> list:
    return [ResponseLost(delegated.attempt_id, True, "closed", is_closed=True)]


@read_reply.register
def _(effect: SendErrorResponse, delegated: DelegatedRequest) -> list:
    is_not_run = isinstance(effect.outcome, NotRun)
    head = ResponseHead(
        attempt_id=delegated.attempt_id,
        kind=ResponseKind.NOT_RUN if is_not_run else ResponseKind.FAILURE,
        status=503 if is_not_run else 502,
        pause_s=effect.outcome.retry_after if is_not_run else 0.0,
    )
    return [head] if is_not_run else [head, ResponseComplete(delegated.attempt_id)]
