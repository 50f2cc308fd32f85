"""Placement of requests that are suspected of crashing endpoints."""

from guavacleat.forwarding.refusals import RefusalError, RefusalReason
from guavacleat.forwarding.request import ForwardedRequest
from guavacleat.membership.entries import EndpointEntry
from guavacleat.quarantine import QuarantineState, QuarantineStatus

__all__ = [
    "check_quarantine",
    "may_resume_at",
    "place_isolated",
    "quarantine_refusal",
]

# Delay until a lightly loaded endpoint may be available for a trial.
RETRY_AFTER_NOT_LIGHTLY_LOADED_SECONDS = 1.0


def quarantine_refusal(context, request: ForwardedRequest) -> RefusalError | None:
    """The refusal of a request that must not run; None if it may."""
    return _refusal_of(context.quarantine.status(request))


def check_quarantine(context, request: ForwardedRequest) -> QuarantineStatus:
    """Return the request's quarantine status; raise :class:`RefusalError` if it must not run."""
    status = context.quarantine.status(request)
    refusal = _refusal_of(status)
    if refusal is not None:
        raise refusal
    return status


def place_isolated(context, request: ForwardedRequest, tried: set[str]) -> EndpointEntry | None:
    """Return the least loaded endpoint for a suspect request; None if none is available."""
    status = check_quarantine(context, request)
    entry = context.placement.least_loaded(request, tried)
    must_be_alone = status.quarantined and not status.contested
    if entry is not None and must_be_alone and not context.placement.is_lightly_loaded(entry):
        raise _refusal(status, RETRY_AFTER_NOT_LIGHTLY_LOADED_SECONDS)
    return entry


def may_resume_at(context, request: ForwardedRequest, entry: EndpointEntry) -> bool:
    """Whether an interrupted run may resume on ``entry``."""
    quarantine_state = context.quarantine.status(request).state
    if quarantine_state is QuarantineState.ISOLATED:
        return context.placement.is_lightly_loaded(entry)
    return quarantine_state is QuarantineState.FREE


def _refusal_of(status: QuarantineStatus) -> RefusalError | None:
    if status.state is not QuarantineState.REFUSED:
        return None
    return _refusal(status, status.retry_after)


def _refusal(status: QuarantineStatus, retry_after: float) -> RefusalError:
    detail = f"{status.crashes:g} endpoints ended under it"
    return RefusalError(RefusalReason.QUARANTINED, retry_after, detail)
