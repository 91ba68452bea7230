"""Base of the callers' HTTP handlers.

Authenticates by API key, limits the size of request bodies and turns errors of the
package into JSON responses.
"""

import asyncio
import hashlib
import logging
import math
import uuid
from collections.abc import Awaitable, Callable
from typing import Any

from tornado.web import RequestHandler, stream_request_body

from ..exceptions import (
    AuthenticationError,
    InvalidRequestError,
    MethodNotAllowedError,
    NotFoundError,
    NotReadyError,
    SorrelhoistError,
)
from .port import EntryPort
from .requests import MAX_BODY_BYTES
from .response_format import error_body

logger = logging.getLogger(__name__)

REQUEST_ID_HEADER = "X-Request-Id"


def hash_caller_key(key: str) -> str:
    """Return the SHA-256 hex digest under which the configuration lists a key.

    Examples
    --------
    >>> hash_caller_key("a")[:8]
    'ca978112'
    """
    return hashlib.sha256(key.encode()).hexdigest()


@stream_request_body
class CallerHandler(RequestHandler):
    """Base class of the callers' HTTP handlers.

    Checks the key and the declared size before the body is read, and answers errors
    of the package with JSON bodies.
    """

    def initialize(self, entry: EntryPort) -> None:
        """Set the entry to use and reset the state of this request."""
        self.entry = entry
        self.request_id = uuid.uuid4().hex
        self._chunks: list[bytes] = []
        self._received_bytes = 0
        self._running: asyncio.Task | None = None

    def set_default_headers(self) -> None:
        """Remove tornado's Server header, which names the server software."""
        self.clear_header("Server")

    async def prepare(self) -> None:
        """Authenticate and check the declared size, before the body is read."""
        self.set_header(REQUEST_ID_HEADER, self.request_id)
        try:
            self.workspace = self._authenticate()
            declared = self.request.headers.get("Content-Length", "0")
            self._check_size(int(declared) if declared.isdigit() else 0)
        except SorrelhoistError as error:
            self.refuse(error, close=True)

    def _authenticate(self) -> Any:
        if not self.entry.is_accepting:
            raise NotReadyError(
                "This entry is not ready.", not_run=True, retry_after_s=1.0
            )
        scheme, _, key = self.request.headers.get("Authorization", "").partition(" ")
        if scheme.lower() != "bearer" or not key:
            raise AuthenticationError("The request carries no key.", not_run=True)
        workspace = self.entry.workspace_for_key(hash_caller_key(key.strip()))
        if workspace is None:
            raise AuthenticationError("The key is not known.", not_run=True)
        return workspace

    def _check_size(self, size_bytes: int) -> None:
        if size_bytes > MAX_BODY_BYTES:
            raise InvalidRequestError(
                f"The body is over the limit of {MAX_BODY_BYTES} bytes.",
                "Send a shorter prompt.",
                not_run=True,
            )

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer errors that tornado raises itself, such as an unsupported method."""
        if status_code != MethodNotAllowedError.http_status:
            self.refuse(SorrelhoistError("The entry failed."), close=True)
            return
        error = MethodNotAllowedError(
            f"{self.request.path} takes no {self.request.method}.", not_run=True
        )
        self.refuse(error, close=True)

    def data_received(self, chunk: bytes) -> None:
        """Buffer a chunk of the body; refuse a body over the size limit."""
        if self._finished:
            return
        self._received_bytes += len(chunk)
        try:
            self._check_size(self._received_bytes)
        except SorrelhoistError as error:
            self._chunks.clear()
            self.refuse(error, close=True)
            return
        self._chunks.append(chunk)

    def on_connection_close(self) -> None:
        """Cancel the running handler when the caller disconnects."""
        super().on_connection_close()
        if self._running is not None:
            self._running.cancel()

    def body(self) -> bytes:
        """Return the complete request body."""
        return b"".join(self._chunks)

    def refuse(self, error: SorrelhoistError, close: bool = False) -> None:
        """Send an error response.

        Parameters
        ----------
        error : SorrelhoistError
        close : bool, optional
            Whether to close the connection, as when the body was not read to its end.
        """
        self.set_status(error.http_status)
        self.set_header("Content-Type", "application/json")
        if error.retry_after_s is not None:
            self.set_header("Retry-After", str(max(1, math.ceil(error.retry_after_s))))
        if close:
            self.set_header("Connection", "close")
        self.entry.count_refusal(error.kind)
        self.finish(error_body(error, self.request_id))

    async def guard(self, run: Callable[[], Awaitable[None]]) -> None:
        """Run a handler and turn its errors into responses.

        Parameters
        ----------
        run : callable
            Coroutine function that writes the response.
        """
        if self._finished:
            return
        self._running = asyncio.current_task()
        try:
            await run()
        except asyncio.CancelledError:
            logger.info(
                "caller disconnected; request cancelled",
                extra={"request_id": self.request_id},
            )
        except SorrelhoistError as error:
            self._answer_error(error)
        except Exception:
            logger.exception("request failed", extra={"request_id": self.request_id})
            self._answer_error(SorrelhoistError("The entry failed."))

    def _answer_error(self, error: SorrelhoistError) -> None:
        if self._finished:
            return
        logger.info(
            "request refused",
            extra={
                "request_id": self.request_id,
                "workspace": self.workspace.name,
                "kind": error.kind,
                "error": error.message,
            },
        )
        if not self._headers_written:
            self.refuse(error)
            return
        self.entry.count_refusal(error.kind)
        self.finish(f"event: error\ndata: {error_body(error, self.request_id)}\n\n")


class UnknownPathHandler(CallerHandler):
    """Answer 404 on every path without a handler."""

    async def prepare(self) -> None:
        """Answer 404 before the body is read."""
        self.set_header(REQUEST_ID_HEADER, self.request_id)
        self.refuse(
            NotFoundError(f"There is no {self.request.path}.", not_run=True), close=True
        )
