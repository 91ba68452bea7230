"""JSON request handling that the stand-ins share."""

import json
from typing import Any, TypeVar

import attrs
import cattrs
from cattrs.errors import ForbiddenExtraKeysError
from tornado.web import HTTPError, RequestHandler

Body = TypeVar("Body")

# Unknown fields are refused, so that a test fails when a caller and the
# interface have drifted apart.
_CONVERTER = cattrs.Converter(detailed_validation=False, forbid_extra_keys=True)


class JsonHandler(RequestHandler):
    """Request handler that reads and writes JSON."""

    def body(self, kind: type[Body]) -> Body:
        """Return the request body as an instance of `kind`.

        Raises
        ------
        tornado.web.HTTPError
            400 if the body does not have the fields of `kind`.
        """
        try:
            return _CONVERTER.structure(json.loads(self.request.body or b"{}"), kind)
        except (
            KeyError,
            TypeError,
            AttributeError,
            ValueError,
            ForbiddenExtraKeysError,
        ) as error:
            raise HTTPError(400, f"not a {kind.__name__}: {error!r}") from error

    def query_int(self, name: str, default: int) -> int:
        """Return a query parameter as an integer.

        Raises
        ------
        tornado.web.HTTPError
            400 if it is no integer.
        """
        try:
            return int(self.get_query_argument(name, str(default)))
        except ValueError as error:
            raise HTTPError(400, f"{name} is no number") from error

    def reply(self, status: int, **fields: Any) -> None:
        """Answer with a JSON object."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(fields))

    def reply_with(self, answer: Any) -> None:
        """Answer with the fields of an `attrs` instance."""
        self.reply(200, **attrs.asdict(answer))

    def refuse(self, status: int, kind: str) -> None:
        """Answer with a status and an error kind."""
        self.reply(status, kind=kind)

    def cut(self) -> None:
        """Close the connection without an answer."""
        self.detach().close()

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer an uncaught error in the form of `refuse`."""
        self.refuse(status_code, "invalid" if status_code < 500 else "internal")


def change(target: attrs.AttrsInstance, changes: attrs.AttrsInstance) -> None:
    """Set the fields of `target` for which `changes` has a value.

    Parameters
    ----------
    target : attrs instance
        Instance to modify in place.
    changes : attrs instance
        New values; None leaves a field unchanged.
    """
    names = attrs.fields_dict(type(target))
    for name, value in attrs.asdict(changes).items():
        if value is not None and name in names:
            setattr(target, name, value)
