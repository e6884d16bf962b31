"""Messages between the core, callers of routes and backend servers."""

from collections.abc import Callable
from enum import StrEnum

from attrs import field, frozen

from briarrelay_core.outcomes import Failed, NotRun

__all__ = [
    "MAX_PAUSE_S",
    "AbortAttempt",
    "AbortResponse",
    "CallerDisconnected",
    "DelegateRequest",
    "ForwardRequest",
    "HelperAddress",
    "InvalidRequest",
    "PromptPart",
    "RateLimit",
    "ReadingPaused",
    "RelayEnd",
    "RelayEvent",
    "RelayFullResponse",
    "RelayHead",
    "ResponseComplete",
    "ResponseEvent",
    "ResponseHead",
    "ResponseKind",
    "ResponseLost",
    "RouteRequest",
    "SendErrorResponse",
    "ServerAnnouncement",
]

MAX_PAUSE_S = 300.0
"""Longest pause in seconds that a backend server may ask for."""


@frozen(slots=True)
class PromptPart:
    """A part of a prompt, which other prompts may share.

    :param tokens: number of its tokens.
    """

    name: str
    tokens: int


@frozen(slots=True, kw_only=True)
class RouteRequest:
    """A caller's request, without the headers and body, which the adapter keeps.

    :param request_id: unique among the requests of this process.
    :param caller_request_id: id that the caller assigned to this attempt.
    :param key: bearer key, empty if there is none.
    :param time_limit_s: seconds that the caller waits for a response, None if the
        request does not specify it.
    :param prompt_tokens: 0 for requests other than prompts.
    :param resume_after: id of the last event that the caller received, empty for none.
    :param prompt_parts: ids of the parts that its prompt shares with others, in order.
    :param read_layout: returns all parts of its prompt with their tokens, in order, or
        none if they are not known; called only for services that keep prompts.
    :param fingerprint: hash of what a backend server is asked to do, the same for each
        repeat of a request; empty if it is not known.
    :param is_delegated: it comes from a peer that can not reach the backend servers, or
        is overloaded.
    :param max_attempts: most attempts after which it may have run, None for as many as
        its route allows.
    :param body_bytes: size of its body.
    """

    request_id: int
    caller_request_id: str
    host: str
    path: str
    key: str = field(default="", repr=False)
    time_limit_s: float | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    resume_after: str = ""
    prompt_parts: tuple[str, ...] = ()
    read_layout: Callable[[], tuple[PromptPart, ...]] = field(default=tuple, eq=False)
    fingerprint: str = ""
    is_delegated: bool = False
    max_attempts: int | None = None
    body_bytes: int = 0


@frozen(slots=True, kw_only=True)
class InvalidRequest:
    """The adapter rejected a request that it could not parse or that was invalid.

    :param caller_request_id: id that the caller assigned, empty if it could not be
        read.
    """

    reason: str
    problem: str
    caller_request_id: str = ""


@frozen(slots=True)
class CallerDisconnected:
    """The caller closed its connection before the response was complete."""

    request_id: int


@frozen(slots=True)
class ReadingPaused:
    """Reading from a request's server has stopped, or goes on.

    Its caller reads too slowly.
    """

    request_id: int
    is_paused: bool


@frozen(slots=True)
class HelperAddress:
    """Address of an engine that processes a part of a prompt for another engine.

    :param address: ``host:port``.
    :param reservation_id: reservation of memory for that part, empty for none.
    """

    address: str
    reservation_id: str = ""


@frozen(slots=True, kw_only=True)
class ForwardRequest:
    """Effect: forward a request to a backend server.

    :param attempt_id: id of this attempt to forward the request.
    :param server: name of the backend server; a server of another name at the address
        must refuse the request.
    :param time_limit_s: seconds after which the response is no longer needed.
    :param helpers: engines that process parts of the prompt; those that also hold a
        part of its memory come first.
    :param resume_after: id of the event after which the response resumes.
    :param needs_new_connection: open a new connection instead of reusing one.
    """

    request_id: int
    attempt_id: int
    server: str
    host: str
    port: int
    time_limit_s: float
    workspace: str = ""
    helpers: tuple[HelperAddress, ...] = ()
    resume_after: str = ""
    needs_new_connection: bool = False


@frozen(slots=True, kw_only=True)
class DelegateRequest:
    """Effect: let a peer send a request to a backend server.

    :param peer: name of the entry instance.
    :param port: port on which it takes requests of peers.
    :param time_limit_s: seconds after which the response is no longer needed.
    :param max_attempts: attempts that are left.
    :param resume_after: id of the event after which the response resumes.
    :param needs_new_connection: open a new connection instead of reusing one.
    """

    request_id: int
    attempt_id: int
    peer: str
    host: str
    port: int
    time_limit_s: float
    max_attempts: int
    resume_after: str = ""
    needs_new_connection: bool = False


@frozen(slots=True)
class AbortAttempt:
    """Effect: abort an attempt by closing its connection."""

    attempt_id: int


class ResponseKind(StrEnum):
    """Meaning of the status line and headers of a backend server's response.

    ``NOT_RUN``: the server refused the request and did not execute any of it.
    ``OTHER_SERVER``: a server of another name listens at the address.
    ``UNPROVEN``: the response claims success, or that the request did not run, without
    the headers that prove it.
    """

    SUCCESS = "success"
    FAILURE = "failure"
    NOT_RUN = "not_run"
    OTHER_SERVER = "other_server"
    UNPROVEN = "unproven"


@frozen(slots=True)
class RateLimit:
    """Limit that a backend server names for requests of all instances together.

    :param per_s: requests per second.
    """

    per_s: float


@frozen(slots=True, kw_only=True)
class ResponseHead:
    """Status and headers of a response arrived.

    :param refused_by: address of the engine that caused a refusal, empty if the
        response does not name it.
    :param is_stream: the body is an event stream.
    :param is_leaving: the server announces that it is shutting down.
    :param pause_s: seconds for which the server asks for no further requests.
    :param limit: the limit on requests that the server names, None if it names none.
    :param problem: why a header has been ignored or bounded, empty if none was.
    """

    attempt_id: int
    kind: ResponseKind
    status: int
    refused_by: str = ""
    is_stream: bool = False
    is_leaving: bool = False
    pause_s: float = 0.0
    limit: RateLimit | None = None
    problem: str = ""


@frozen(slots=True)
class ServerAnnouncement:
    """What a backend server says of itself in a response to an order.

    :param address: ``host:port`` of the backend server.
    :param is_leaving: it is shutting down.
    :param limit: the limit on requests that it names, None if it names none.
    """

    address: str
    is_leaving: bool = False
    limit: RateLimit | None = None


@frozen(slots=True)
class ResponseEvent:
    """A complete event of a response stream, as bytes to relay."""

    attempt_id: int
    event_id: str
    data: bytes = field(repr=False)


@frozen(slots=True)
class ResponseComplete:
    """The response is complete.

    :param is_closed: only the end of its connection shows that it is.
    """

    attempt_id: int
    is_closed: bool = False


@frozen(slots=True)
class ResponseLost:
    """An attempt ended without a complete response.

    :param is_sent: False if the server cannot have received the request.
    :param is_closed: the server closed or reset the connection; it did not time out.
    :param is_ended_here: the instance ended it, since it holds too many bytes.
    """

    attempt_id: int
    is_sent: bool
    problem: str = ""
    is_closed: bool = False
    is_ended_here: bool = False


@frozen(slots=True)
class RelayHead:
    """Effect: send the status and headers of an attempt's response to the caller."""

    request_id: int
    attempt_id: int


@frozen(slots=True)
class RelayEvent:
    """Effect: send an event to the caller."""

    request_id: int
    data: bytes = field(repr=False)


@frozen(slots=True)
class RelayEnd:
    """Effect: end a streamed response to the caller as complete."""

    request_id: int


@frozen(slots=True)
class RelayFullResponse:
    """Effect: send the complete response of an attempt to the caller."""

    request_id: int
    attempt_id: int


@frozen(slots=True)
class AbortResponse:
    """Effect: abort a streamed response by closing the caller's connection."""

    request_id: int


@frozen(slots=True)
class SendErrorResponse:
    """Effect: send an error response that this instance generates."""

    request_id: int
    outcome: NotRun | Failed
