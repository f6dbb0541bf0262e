"""Problem details (RFC 9457) for callers and operators."""

from datetime import timedelta
from http import HTTPStatus
from typing import Any

from sanic import HTTPResponse
from sanic import json as json_response
from sanic.exceptions import PayloadTooLarge, SanicException

from hornbeamramp.jobs import NotRun, Unknown
from hornbeamramp.states import RefusalReason

__all__ = ["http_problem", "not_run_response", "problem", "unknown_response"]

CONTENT_TYPE = "application/problem+json"

STATUS_BY_REASON = {
    RefusalReason.MALFORMED: HTTPStatus.BAD_REQUEST,
    RefusalReason.UNKNOWN_ROUTE: HTTPStatus.NOT_FOUND,
    RefusalReason.NEVER_RUNS: HTTPStatus.UNPROCESSABLE_ENTITY,
    RefusalReason.KEY_REUSED: HTTPStatus.UNPROCESSABLE_ENTITY,
    RefusalReason.QUOTA: HTTPStatus.TOO_MANY_REQUESTS,
    RefusalReason.OVERLOAD: HTTPStatus.TOO_MANY_REQUESTS,
    RefusalReason.DEADLINE: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.NO_OWNER: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.HOME_UNREACHABLE: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.STORE_UNAVAILABLE: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.SHUTTING_DOWN: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.RESOLVED_ABSENT: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.EXPIRED: HTTPStatus.GATEWAY_TIMEOUT,
    RefusalReason.CANCELLED: HTTPStatus.CONFLICT,
}


def problem(
    status: HTTPStatus,
    detail: str,
    headers: dict[str, str] | None = None,
    **extra: Any,
) -> HTTPResponse:
    """Returns a response with a problem document; ``extra`` holds its additional members."""
    body = {"type": "about:blank", "title": status.phrase, "status": status, "detail": detail}
    body.update(extra)
    return json_response(body, status=status, headers=headers, content_type=CONTENT_TYPE)


def http_problem(error: SanicException, outcome: str) -> HTTPResponse:
    """Returns the response for an error of the HTTP layer and closes the connection after it.

    Part of the rejected request may still be unread on the connection.
    """
    headers = {**(error.headers or {}), "Connection": "close"}
    status = HTTPStatus(error.status_code)
    if isinstance(error, PayloadTooLarge) and "header" in str(error):
        status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
    return problem(status, str(error), headers, outcome=outcome)


def not_run_response(outcome: NotRun) -> HTTPResponse:
    """Returns the response for a job that did not run."""
    headers = _retry_after_headers(outcome.retry_after)
    return problem(
        STATUS_BY_REASON[outcome.reason],
        outcome.detail,
        headers,
        outcome="not_run",
        reason=outcome.reason.value,
        job=outcome.job_id,
    )


def unknown_response(outcome: Unknown) -> HTTPResponse:
    """Returns the response for a job that may or may not have run."""
    return problem(HTTPStatus.BAD_GATEWAY, outcome.detail, outcome="unknown", job=outcome.job_id)


def _retry_after_headers(wait: timedelta | None) -> dict[str, str] | None:
    if wait is None:
        return None
    return {"Retry-After": str(max(1, round(wait.total_seconds())))}
