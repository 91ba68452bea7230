"""HTTP route by which operators fetch the state dump of a process."""

import hashlib
import hmac
import json
from collections.abc import Callable, Sequence

from tornado.web import RequestHandler, URLSpec

from ..exceptions import AuthenticationError

DUMP_PATH = "/operator/v1/dump"


def is_operator_key(key: str, operator_key_sha256: Sequence[str]) -> bool:
    """Check whether an operator's key is valid, in constant time.

    Parameters
    ----------
    key : str
    operator_key_sha256 : sequence of str
        Hex SHA-256 hashes of all valid keys.
    """
    hashed = hashlib.sha256(key.encode()).hexdigest()
    matches = [hmac.compare_digest(hashed, known) for known in operator_key_sha256]
    return any(matches)


class DumpHandler(RequestHandler):
    """Serve the state dump as JSON to holders of an operator key."""

    def initialize(
        self, operator_key_sha256: Sequence[str], dump: Callable[[], dict]
    ) -> None:
        """Store the valid keys and the function that returns the state."""
        self._keys = operator_key_sha256
        self._dump = dump

    def get(self) -> None:
        """Return the state dump, or an authentication error for other keys."""
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
    """Return the URL route of the state dump."""
    return URLSpec(
        DUMP_PATH,
        DumpHandler,
        {"operator_key_sha256": operator_key_sha256, "dump": dump},
    )
