"""Decides whether a request is admitted, and resolves its route and service."""

from attrs import define, field, frozen

from briarrelay_core.membership.rendezvous import unit_hash
from briarrelay_core.outcomes import NotRun
from briarrelay_core.ports.route import RouteRequest
from briarrelay_core.reasons import RefusalReason
from briarrelay_core.routes.model import (
    EngineProfile,
    PromptRetention,
    Route,
    RouteConfiguration,
)
from briarrelay_core.routes.presets import PresetCollection
from briarrelay_core.routing.lengths import LengthClass, length_class_of

__all__ = [
    "NO_SERVER_RETRY_S",
    "OTHER_INSTANCE_RETRY_S",
    "AdmittedRoute",
    "RouteAdmission",
]

OTHER_INSTANCE_RETRY_S = 0.02
"""Retry-After in seconds when another instance can accept the request at once."""

NO_SERVER_RETRY_S = 1.0
"""Retry-After in seconds while no server is registered, or the configuration is missing
or may be out of date; after an outage of the store, entries are back within two
seconds."""

MAINTENANCE_RETRY_S = 60.0
"""Retry-After in seconds for requests that a preset refuses; operators switch presets
manually."""


@frozen(slots=True)
class AdmittedRoute:
    """Configuration that applies to an admitted request.

    :param service: name of the service that the route selected for the request.
    :param profile: None for plain services.
    :param workspace: empty for callers without a key.
    :param retention: None if the engines of the service keep nothing.
    """

    route: Route
    service: str
    profile: EngineProfile | None
    workspace: str
    retention: PromptRetention | None = None


@define(slots=True, eq=False)
class RouteAdmission:
    """Checks requests against the configuration and the preset in force.

    :param may_be_stale: a newer configuration may exist that this instance has not
        read.
    :param is_closing: new requests are refused, since the process is about to end.
    :param ends_at: time by which responses have to be complete, since the process ends
        then.
    """

    configuration: RouteConfiguration | None = None
    preset_collection: PresetCollection = field(factory=PresetCollection)
    may_be_stale: bool = False
    is_closing: bool = False
    ends_at: float = float("inf")

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 if there is none yet."""
        return self.configuration.version if self.configuration else 0

    def check(self, request: RouteRequest) -> AdmittedRoute | NotRun:
        """Return the configuration that applies to a request, or its refusal."""
        configuration = self.configuration
        if configuration is None:
            return NotRun(RefusalReason.NOT_READY, retry_after=NO_SERVER_RETRY_S)
        if self.is_closing:
            return NotRun(RefusalReason.DRAINING, retry_after=OTHER_INSTANCE_RETRY_S)
        route = configuration.match(request.host, request.path)
        if route is None:
            return self._refuse_unknown(RefusalReason.UNKNOWN_ROUTE)
        workspace = configuration.workspace_of(request.key)
        if workspace is None and configuration.holders and not route.is_anonymous:
            return self._refuse_unknown(RefusalReason.UNAUTHORIZED)
        service = route.service_for(unit_hash(request.caller_request_id, "share"))
        known = configuration.services.get(service)
        admitted = AdmittedRoute(
            route,
            service,
            known.profile if known else None,
            workspace or "",
            known.retention if known else None,
        )
        if self._is_refused_by_preset(request, admitted):
            return NotRun(RefusalReason.MAINTENANCE, retry_after=MAINTENANCE_RETRY_S)
        return admitted

    def _refuse_unknown(self, reason: RefusalReason) -> NotRun:
        """Refuse for a reason, or temporarily if the configuration may be stale."""
        if self.may_be_stale:
            return NotRun(RefusalReason.NOT_READY, retry_after=NO_SERVER_RETRY_S)
        return NotRun(reason)

    def _is_refused_by_preset(
        self, request: RouteRequest, admitted: AdmittedRoute
    ) -> bool:
        """Return whether the preset in force refuses this kind of request."""
        preset = self.preset_collection.in_force
        if admitted.profile is None:
            return not preset.accept_calls
        is_long = length_class_of(request.prompt_tokens) is LengthClass.LONG
        return is_long and not preset.accept_long
