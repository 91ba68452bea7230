"""HTTP API for operators, under ``/operator/v1/``."""

import json
import math
import uuid
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import attrs
from returns.result import Failure, Success
from tornado.web import RequestHandler, URLSpec

from ..decisions.configuration import Accepted, Conflict, DigestMismatch
from ..decisions.configuration_parsing import number_documents, parse_documents
from ..decisions.configuration_problems import Problems
from ..decisions.configuration_set import Configuration
from ..exceptions import (
    AuthenticationError,
    ConfigurationConflictError,
    InvalidRequestError,
    NotReadyError,
    SorrelhoistError,
)
from ..node.configuration import ConfigurationReplica
from ..node.configuration_apply import ApplyReport, ConfigurationApplier, Proposal
from ..node.dump import is_operator_key

BEARER = "Bearer "
MAX_APPLY_ID_LENGTH = 128
STATUS_OK = 200
STATUS_ACCEPTED_LATER = 202


class DocumentsRejectedError(SorrelhoistError):
    """Documents of an apply are invalid; all problems are listed.

    Parameters
    ----------
    problems : Problems
        All problems found in the documents.
    """

    kind = "invalid_document"
    http_status = 400
    default_remedy = "Correct the documents and apply again."

    def __init__(self, problems: Problems) -> None:
        super().__init__(problems.headline, not_run=True)
        self.problems = problems


@attrs.frozen
class OperatorServices:
    """Collaborators of the operator API handlers.

    Parameters
    ----------
    replica : ConfigurationReplica
        Configuration replica of this entry.
    applier : ConfigurationApplier
        Applies document sets through the replica.
    key_sha256 : sequence of str
        SHA-256 of the operators' keys, in hexadecimal.
    status : callable
        Returns the status of the system as plain data.
    dump : callable
        Returns the state of this process as plain data.
    """

    replica: ConfigurationReplica
    applier: ConfigurationApplier
    key_sha256: Sequence[str]
    status: Callable[[], Mapping[str, Any]]
    dump: Callable[[], Mapping[str, Any]]


@attrs.frozen
class ApplyRequest:
    """The body of an apply, before its documents are parsed."""

    documents: list[object]
    apply_id: str
    base_revision: int | None
    is_restart: bool


def operator_handlers(services: OperatorServices) -> list[URLSpec]:
    """Return the operator API routes for a tornado application."""
    arguments = {"services": services}
    routes: list[tuple[str, type[OperatorHandler]]] = [
        (r"/operator/v1/apply", ApplyHandler),
        (r"/operator/v1/apply/([^/]+)", ApplyStatusHandler),
        (r"/operator/v1/configuration", ConfigurationHandler),
        (r"/operator/v1/status", StatusHandler),
        (r"/operator/v1/dump", DumpHandler),
    ]
    return [URLSpec(pattern, handler, arguments) for pattern, handler in routes]


class OperatorHandler(RequestHandler):
    """Base handler: checks the operator's key and writes errors as JSON."""

    def initialize(self, services: OperatorServices) -> None:
        """Store the services that the handlers use."""
        self.services = services

    def prepare(self) -> None:
        """Reject a call without a valid operator key."""
        header = self.request.headers.get("Authorization", "")
        key = header.removeprefix(BEARER)
        has_scheme = header.startswith(BEARER)
        if not has_scheme or not is_operator_key(key, self.services.key_sha256):
            raise AuthenticationError("The operator's key is missing or unknown.")

    def reply(self, data: Mapping[str, Any], status: int = STATUS_OK) -> None:
        """Finish the response with a JSON body."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json; charset=UTF-8")
        self.set_header("Cache-Control", "no-store")
        self.finish(json.dumps(data))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Write an uncaught exception as a JSON error."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        if not isinstance(error, SorrelhoistError):
            error = _http_error(status_code, self._reason)
        else:
            self.set_status(error.http_status)
        if error.retry_after_s is not None:
            self.set_header("Retry-After", str(math.ceil(error.retry_after_s)))
        self.set_header("Content-Type", "application/json; charset=UTF-8")
        self.finish(json.dumps({"error": error_body(error)}))

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Log only exceptions other than `SorrelhoistError`."""
        if not isinstance(value, SorrelhoistError):
            super().log_exception(typ, value, tb)


class ApplyHandler(OperatorHandler):
    """``POST /operator/v1/apply``."""

    async def post(self) -> None:
        """Apply a complete set of documents."""
        request = _parse_apply_request(self.request.body)
        numbered = number_documents("request", request.documents)
        match parse_documents(numbered):
            case Success(configuration):
                report = await self._apply(request, configuration)
            case Failure(problems):
                raise DocumentsRejectedError(problems)
        _reply_report(self, report)

    async def _apply(
        self, request: ApplyRequest, configuration: Configuration
    ) -> ApplyReport:
        proposal = Proposal(
            apply_id=request.apply_id,
            documents=configuration.plain,
            base_revision=request.base_revision,
            is_restart=request.is_restart,
        )
        return await self.services.applier.apply(proposal)


class ApplyStatusHandler(OperatorHandler):
    """``GET /operator/v1/apply/ID``."""

    async def get(self, apply_id: str) -> None:
        """Return the outcome of an apply."""
        _reply_report(self, await self.services.applier.status(apply_id))


class ConfigurationHandler(OperatorHandler):
    """``GET /operator/v1/configuration``."""

    def get(self) -> None:
        """Return the configuration in force."""
        replica = self.services.replica
        if not replica.is_ready:
            raise NotReadyError("This process has no configuration yet.", not_run=True)
        fold = replica.state.fold
        data = {
            "revision": fold.revision,
            "effective_offset": fold.effective_offset,
            "digest": fold.documents.digest,
            "documents": fold.documents.to_plain(),
        }
        self.reply(data)


class StatusHandler(OperatorHandler):
    """``GET /operator/v1/status``."""

    def get(self) -> None:
        """Return the status of the system, as this process sees it."""
        self.reply(self.services.status())


class DumpHandler(OperatorHandler):
    """``GET /operator/v1/dump``."""

    def get(self) -> None:
        """Return the state of this process."""
        self.reply(self.services.dump())


def error_body(error: SorrelhoistError) -> dict[str, Any]:
    """Return an error as plain data."""
    data: dict[str, Any] = {
        "kind": error.kind,
        "message": error.message,
        "remedy": error.remedy,
        "not_run": error.not_run,
    }
    if error.retry_after_s is not None:
        data["retry_after_s"] = error.retry_after_s
    if isinstance(error, DocumentsRejectedError):
        data["problems"] = error.problems.to_plain()
    return data


def _http_error(status_code: int, reason: str) -> SorrelhoistError:
    if status_code < 500:
        return InvalidRequestError(f"{reason}.", "Check the path and the method.")
    return SorrelhoistError("The request failed.")


def _parse_apply_request(body: bytes) -> ApplyRequest:
    try:
        data = json.loads(body)
    except ValueError as error:
        raise InvalidRequestError(f"The body is not JSON: {error}.") from error
    if not isinstance(data, dict) or not isinstance(data.get("documents"), list):
        raise InvalidRequestError(
            "The body has no list 'documents'.", "Send {'documents': [...]}."
        )
    apply_id = data.get("apply_id") or str(uuid.uuid4())
    is_text = isinstance(apply_id, str) and apply_id.isprintable()
    if not is_text or len(apply_id) > MAX_APPLY_ID_LENGTH or "/" in apply_id:
        raise InvalidRequestError("The apply_id is not a short text without '/'.")
    base_revision = data.get("base_revision")
    if base_revision is not None and type(base_revision) is not int:
        raise InvalidRequestError("The base_revision is not a whole number.")
    is_restart = data.get("restart") is True
    return ApplyRequest(data["documents"], apply_id, base_revision, is_restart)


def _reply_report(handler: OperatorHandler, report: ApplyReport) -> None:
    match report.verdict:
        case Conflict() as conflict:
            raise _conflict_error(conflict)
        case DigestMismatch():
            raise SorrelhoistError(
                "The change did not give the set that its digest names.",
                "Run one release on all entries and apply again.",
                not_run=True,
            )
    data = _report_body(report)
    is_final = report.is_final
    handler.reply(data, STATUS_OK if is_final else STATUS_ACCEPTED_LATER)


def _conflict_error(conflict: Conflict) -> ConfigurationConflictError:
    winner = conflict.winning_apply_id or "unknown"
    return ConfigurationConflictError(
        f"Revision {conflict.winning_revision} (apply id {winner}) was accepted "
        f"first; this apply started from revision {conflict.base_revision}.",
        "Look at the difference to the configuration in force, and apply again "
        "with a new apply id.",
        not_run=True,
    )


def _report_body(report: ApplyReport) -> dict[str, Any]:
    verdict = report.verdict
    data: dict[str, Any] = {
        "outcome": "accepted" if report.is_final else "unknown",
        "apply_id": verdict.apply_id,
        "is_unchanged": report.is_unchanged,
    }
    if isinstance(verdict, Accepted):
        data["revision"] = verdict.revision
        data["effective_offset"] = verdict.offset
        data["digest"] = verdict.digest
    confirmations = report.confirmations
    if confirmations is not None:
        data["confirmed"] = sorted(confirmations.confirmed)
        data["unconfirmed"] = sorted(confirmations.missing)
    if not report.is_final:
        data["message"] = _pending_message(report)
        data["remedy"] = f"Ask again with GET /operator/v1/apply/{verdict.apply_id}."
    return data


def _pending_message(report: ApplyReport) -> str:
    if isinstance(report.verdict, Accepted):
        return "The change is in the log, but not yet with most failure domains."
    return "The log has not said yet whether the change is accepted."
