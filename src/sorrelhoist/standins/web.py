"""What the handlers of the stand-ins share."""

import json
from typing import Any

from tornado.web import RequestHandler


class JsonHandler(RequestHandler):
    """Read and write JSON."""

    def body(self) -> dict[str, Any]:
        """Return the request's JSON object; an empty body is an empty one."""
        data = json.loads(self.request.body or b"{}")
        return data if isinstance(data, dict) else {}

    def reply(self, status: int, **fields: Any) -> None:
        """Answer with a JSON object."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(fields))

    def refuse(self, status: int, kind: str) -> None:
        """Answer with an error of a kind."""
        self.reply(status, kind=kind)

    def cut(self) -> None:
        """Cut the connection with no answer."""
        self.detach().close()
