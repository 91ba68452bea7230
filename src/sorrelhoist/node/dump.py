"""The state dump of a process, for operators."""

import hashlib
import hmac
import json
from collections.abc import Callable, Sequence

from tornado.web import RequestHandler, URLSpec

from ..exceptions import AuthenticationError

DUMP_PATH = "/operator/v1/dump"


def is_operator_key(key: str, operator_key_sha256: Sequence[str]) -> bool:
    """Check an operator's key in constant time.

    Parameters
    ----------
    key : str
    operator_key_sha256 : sequence of str
        Hashes of all keys that are valid.
    """
    hashed = hashlib.sha256(key.encode()).hexdigest()
    matches = [hmac.compare_digest(hashed, known) for known in operator_key_sha256]
    return any(matches)


class DumpHandler(RequestHandler):
    """Return the whole state as JSON."""

    def initialize(
        self, operator_key_sha256: Sequence[str], dump: Callable[[], dict]
    ) -> None:
        """Keep the keys and the question."""
        self._keys = operator_key_sha256
        self._dump = dump

    def get(self) -> None:
        """Answer an operator."""
        _, _, key = self.request.headers.get("Authorization", "").partition(" ")
        self.set_header("Content-Type", "application/json")
        if not is_operator_key(key.strip(), self._keys):
            error = AuthenticationError("This needs an operator's key.")
            self.set_status(error.http_status)
            self.finish(
                json.dumps({"error": {"kind": error.kind, "message": str(error)}})
            )
            return
        self.finish(json.dumps(self._dump(), default=str))


def dump_route(operator_key_sha256: Sequence[str], dump: Callable[[], dict]) -> URLSpec:
    """Return the route of the dump."""
    return URLSpec(
        DUMP_PATH,
        DumpHandler,
        {"operator_key_sha256": operator_key_sha256, "dump": dump},
    )
