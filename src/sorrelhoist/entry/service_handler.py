"""HTTP handler for calls of plain services."""

from ..messages.gen import ttypes
from .completions import IDEMPOTENCY_KEY_HEADER, TIMEOUT_HEADER
from .http import CallerHandler
from .requests import parse_timeout_s

DEFAULT_CONTENT_TYPE = "application/json"


class ServiceHandler(CallerHandler):
    """``/v1/services/SERVICE/PATH``, with GET, POST, PUT, PATCH and DELETE."""

    async def _run(self, service: str, path: str | None) -> None:
        repeatable = self.entry.check_service(service, self.workspace)
        headers = self.request.headers
        timeout_s = parse_timeout_s(
            headers.get(TIMEOUT_HEADER), self.entry.settings.default_deadline_s
        )
        query = f"?{self.request.query}" if self.request.query else ""
        call = ttypes.ServiceCall(
            request_id=self.request_id,
            workspace=self.workspace.name,
            service_name=service,
            method=self.request.method,
            path=(path or "/") + query,
            idempotency_key=headers.get(IDEMPOTENCY_KEY_HEADER, ""),
            body=self.body(),
            content_type=headers.get("Content-Type", DEFAULT_CONTENT_TYPE),
        )
        admitted = self.entry.limits.admitted(self.workspace.name, tokens=0)
        with admitted, self.entry.track_request(self.workspace):
            deadline_s = self.entry.clock() + timeout_s
            reply = await self.entry.services.call(call, repeatable, deadline_s)
        self._write_reply(reply)

    def _write_reply(self, reply: ttypes.ServiceReply) -> None:
        self.set_status(reply.status)
        self.set_header("Content-Type", reply.content_type or DEFAULT_CONTENT_TYPE)
        if reply.replayed:
            self.set_header("Idempotency-Replayed", "true")
        self.finish(reply.body)

    async def _call(self, service: str, path: str | None) -> None:
        async def run() -> None:
            await self._run(service, path)

        await self.guard(run)

    get = post = put = patch = delete = _call
