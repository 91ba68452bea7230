"""What the handlers of the stand-ins share."""

import json
from typing import Any, TypeVar

import attrs
import cattrs
from cattrs.errors import ForbiddenExtraKeysError
from tornado.web import HTTPError, RequestHandler

Body = TypeVar("Body")

# Unknown fields are refused, so that a test sees where a caller and the
# interface have drifted apart.
_CONVERTER = cattrs.Converter(detailed_validation=False, forbid_extra_keys=True)


class JsonHandler(RequestHandler):
    """Read and write JSON."""

    def body(self, kind: type[Body]) -> Body:
        """Return the request's body as an instance of a class.

        Raises
        ------
        tornado.web.HTTPError
            400 if it is none.
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

    def number(self, name: str, default: int) -> int:
        """Return an argument of the query."""
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
        """Answer with an error of a kind."""
        self.reply(status, kind=kind)

    def cut(self) -> None:
        """Cut the connection with no answer."""
        self.detach().close()

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer with a kind, as every other error does."""
        self.refuse(status_code, "invalid" if status_code < 500 else "internal")


def change(target: attrs.AttrsInstance, changes: attrs.AttrsInstance) -> None:
    """Set the fields of `target` for which `changes` has a value.

    Parameters
    ----------
    target : attrs instance
        Changed in place.
    changes : attrs instance
        Its fields are None where nothing changes.
    """
    names = attrs.fields_dict(type(target))
    for name, value in attrs.asdict(changes).items():
        if value is not None and name in names:
            setattr(target, name, value)
