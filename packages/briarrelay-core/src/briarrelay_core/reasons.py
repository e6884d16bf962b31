"""Reasons for refusals, retries and failures; refusals include a remedy for callers."""

from enum import StrEnum

__all__ = ["FailureReason", "RefusalReason", "RetryReason"]


class RefusalReason(StrEnum):
    """Why a request was refused before any part of it was executed."""

    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_ROUTE = "unknown_route"
    UNAUTHORIZED = "unauthorized"
    DEADLINE_INVALID = "deadline_invalid"
    PROMPT_TOO_LONG = "prompt_too_long"
    CANNOT_FINISH = "cannot_finish"
    OVERLOADED = "overloaded"
    WORKSPACE_LIMIT = "workspace_limit"
    MAINTENANCE = "maintenance"
    DRAINING = "draining"
    NOT_READY = "not_ready"
    NO_ENGINE = "no_engine"
    SERVERS_FULL = "servers_full"
    SERVERS_REFUSED = "servers_refused"
    SERVERS_LIMITED = "servers_limited"
    SERVERS_EVACUATED = "servers_evacuated"
    NO_SERVICE = "no_service"
    KEY_INVALID = "key_invalid"
    KEY_EXPIRED = "key_expired"
    LOG_UNAVAILABLE = "log_unavailable"
    CLAIM_VOIDED = "claim_voided"
    DUPLICATE_REQUEST = "duplicate_request"
    PROMPT_QUARANTINED = "prompt_quarantined"
    REQUEST_QUARANTINED = "request_quarantined"
    INSTANCE_FULL = "instance_full"

    @property
    def status(self) -> int:
        """HTTP status of the refusal."""
        return _STATUS.get(self, 503)

    @property
    def remedy(self) -> str:
        """What the caller can do about the refusal, as one sentence."""
        return _REMEDY[self]


class RetryReason(StrEnum):
    """Why a request was sent to another backend server."""

    ENGINE_REFUSED = "engine_refused"
    ENGINE_LOST = "engine_lost"
    STREAM_SILENT = "stream_silent"
    ENGINE_LEAVING = "engine_leaving"
    SEGMENT_LOST = "segment_lost"
    SERVICE_NOT_SENT = "service_not_sent"
    SERVICE_LOST = "service_lost"
    SERVER_REFUSED = "server_refused"
    SERVER_REPLACED = "server_replaced"
    SERVER_LOST = "server_lost"
    SERVER_FAILED = "server_failed"
    SERVER_SILENT = "server_silent"


class FailureReason(StrEnum):
    """Why an admitted request ended without a complete response."""

    DEADLINE = "deadline"
    NO_ENGINE_LEFT = "no_engine_left"
    RETRY_BUDGET = "retry_budget"
    CALLER_GONE = "caller_gone"
    CALLER_SLOW = "caller_slow"
    PEER_LOST = "peer_lost"
    ENGINE_ERROR = "engine_error"
    SERVER_LOST = "server_lost"
    ANSWER_UNPROVEN = "answer_unproven"


_STATUS = {
    RefusalReason.BAD_REQUEST: 400,
    RefusalReason.TOO_LARGE: 413,
    RefusalReason.UNKNOWN_MODEL: 404,
    RefusalReason.UNKNOWN_SERVICE: 404,
    RefusalReason.UNKNOWN_ROUTE: 404,
    RefusalReason.UNAUTHORIZED: 401,
    RefusalReason.DEADLINE_INVALID: 400,
    RefusalReason.PROMPT_TOO_LONG: 413,
    RefusalReason.OVERLOADED: 429,
    RefusalReason.WORKSPACE_LIMIT: 429,
    RefusalReason.KEY_INVALID: 400,
    RefusalReason.KEY_EXPIRED: 409,
    RefusalReason.DUPLICATE_REQUEST: 409,
}

_REMEDY = {
    RefusalReason.BAD_REQUEST: "Correct the field named in the detail and send again.",
    RefusalReason.TOO_LARGE: "Send a body within the limit named in the detail.",
    RefusalReason.UNKNOWN_MODEL: "Name a model that the configuration lists.",
    RefusalReason.UNKNOWN_SERVICE: "Name a plain service that the configuration lists.",
    RefusalReason.UNKNOWN_ROUTE: "Use a host and path that the configuration routes.",
    RefusalReason.SERVERS_FULL: (
        "Send again after Retry-After seconds; every backend server is busy."
    ),
    RefusalReason.SERVERS_REFUSED: (
        "Send again after Retry-After seconds; the backend servers did not take it."
    ),
    RefusalReason.SERVERS_LIMITED: (
        "Send again after Retry-After seconds; the backend servers limit their rate."
    ),
    RefusalReason.SERVERS_EVACUATED: (
        "Send again after Retry-After seconds; operators evacuate all data centres."
    ),
    RefusalReason.UNAUTHORIZED: "Send 'Authorization: Bearer KEY' of a workspace.",
    RefusalReason.DEADLINE_INVALID: (
        "Send Request-Deadline as Unix seconds, in the future and within the limit."
    ),
    RefusalReason.PROMPT_TOO_LONG: (
        "Shorten the prompt; no group of live engines can hold it."
    ),
    RefusalReason.CANNOT_FINISH: (
        "Allow a later deadline or send again after Retry-After seconds."
    ),
    RefusalReason.OVERLOADED: (
        "Send again after Retry-After seconds; the workspace is beyond its share."
    ),
    RefusalReason.WORKSPACE_LIMIT: (
        "Send again after Retry-After seconds or have the workspace's limit raised."
    ),
    RefusalReason.MAINTENANCE: (
        "Send again when the maintenance preset is no longer in force."
    ),
    RefusalReason.DRAINING: "Send again; the balancer will pick another instance.",
    RefusalReason.NOT_READY: (
        "Send again shortly; this instance has not learnt a configuration yet."
    ),
    RefusalReason.NO_ENGINE: "Send again after Retry-After seconds; no engine is live.",
    RefusalReason.NO_SERVICE: (
        "Send again after Retry-After seconds; no instance of the service is live."
    ),
    RefusalReason.KEY_INVALID: "Send Idempotency-Key as a UUIDv7 made for this call.",
    RefusalReason.KEY_EXPIRED: (
        "Look the outcome up with the service; the key is older than the key window."
    ),
    RefusalReason.LOG_UNAVAILABLE: (
        "Send again with the same key after Retry-After seconds."
    ),
    RefusalReason.CLAIM_VOIDED: "Send again with a new key; this one never ran.",
    RefusalReason.PROMPT_QUARANTINED: (
        "Send without the part named in the detail, which crashed engines, or again "
        "after Retry-After seconds."
    ),
    RefusalReason.REQUEST_QUARANTINED: (
        "Change the request; backend servers crashed when they ran it."
    ),
    RefusalReason.INSTANCE_FULL: (
        "Send again after Retry-After seconds; this instance holds as much for callers "
        "as its memory or descriptors allow."
    ),
    RefusalReason.DUPLICATE_REQUEST: "Use a request id that is not in progress.",
}
