"""Messages between the core, callers of routes and backend servers."""

from enum import StrEnum

from attrs import field, frozen

from briarrelay_core.outcomes import Failed, NotRun

__all__ = [
    "AbortSend",
    "CallerLeft",
    "CutAnswer",
    "Forward",
    "HeadKind",
    "HelperAddress",
    "RelayEnd",
    "RelayEvent",
    "RelayHead",
    "RelayWhole",
    "RequestImproper",
    "RouteRequest",
    "RouteRefused",
    "SendDone",
    "SendEvent",
    "SendHead",
    "SendLost",
]


@frozen(slots=True, kw_only=True)
class RouteRequest:
    """A caller's request; its headers and body stay with the adapter.

    :param request_id: unique among the requests of this process.
    :param caller_id: the id that the caller gave this attempt.
    :param key: bearer key, empty if there was none.
    :param patience_s: seconds that the caller waits, None if it did not say.
    :param prompt_tokens: 0 for requests that are no prompts.
    :param resume_after: id of the last event that the caller has, empty for none.
    """

    request_id: int
    caller_id: str
    host: str
    path: str
    key: str = field(default="", repr=False)
    patience_s: float | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    resume_after: str = ""


@frozen(slots=True, kw_only=True)
class RequestImproper:
    """Something of a caller was refused before it was a request.

    :param caller_id: the id that the caller gave, empty if none was read.
    """

    reason: str
    problem: str
    caller_id: str = ""


@frozen(slots=True)
class CallerLeft:
    """The caller closed its connection before the answer was whole."""

    request_id: int


@frozen(slots=True)
class HelperAddress:
    """An engine that reads a part of a prompt.

    :param address: ``host:port``.
    :param reservation_id: memory set aside there for the part, empty for none.
    """

    address: str
    reservation_id: str = ""


@frozen(slots=True, kw_only=True)
class Forward:
    """Effect: send a request to a backend server.

    :param server: name that the backend server must have to run the request.
    :param helpers: engines that read parts of the prompt, those that keep a part of
        its memory first.
    :param patience_s: seconds after which the answer is of no use.
    :param is_fresh: use a new connection.
    """

    request_id: int
    send_id: int
    server: str
    host: str
    port: int
    patience_s: float
    workspace: str = ""
    helpers: tuple[HelperAddress, ...] = ()
    resume_after: str = ""
    is_fresh: bool = False


@frozen(slots=True)
class AbortSend:
    """Effect: close the connection that carries a send."""

    send_id: int


class HeadKind(StrEnum):
    """What the head of a backend server's answer says."""

    SUCCESS = "success"
    FAILURE = "failure"
    NOT_RUN = "not_run"
    OTHER_SERVER = "other_server"
    UNPROVEN = "unproven"


@frozen(slots=True, kw_only=True)
class SendHead:
    """The head of an answer.

    :param at_fault: address of the engine that caused a refusal, if told.
    :param is_stream: the body is a series of events.
    """

    send_id: int
    kind: HeadKind
    status: int
    at_fault: str = ""
    is_stream: bool = False


@frozen(slots=True)
class SendEvent:
    """A whole event of a stream, as bytes to pass on."""

    send_id: int
    event_id: str
    data: bytes = field(repr=False)


@frozen(slots=True)
class SendDone:
    """The answer is whole."""

    send_id: int


@frozen(slots=True)
class SendLost:
    """There will be no whole answer.

    :param is_sent: False if the server cannot have received the request.
    """

    send_id: int
    is_sent: bool
    problem: str = ""


@frozen(slots=True)
class RelayHead:
    """Effect: begin the caller's answer with the head of a send's answer."""

    request_id: int
    send_id: int


@frozen(slots=True)
class RelayEvent:
    """Effect: pass an event on."""

    request_id: int
    data: bytes = field(repr=False)


@frozen(slots=True)
class RelayEnd:
    """Effect: end an answer that was begun, as complete."""

    request_id: int


@frozen(slots=True)
class RelayWhole:
    """Effect: pass a send's whole answer on."""

    request_id: int
    send_id: int


@frozen(slots=True)
class CutAnswer:
    """Effect: close the caller's connection, so that the answer is not complete."""

    request_id: int


@frozen(slots=True)
class RouteRefused:
    """Effect: answer with a failure of our own."""

    request_id: int
    outcome: NotRun | Failed
