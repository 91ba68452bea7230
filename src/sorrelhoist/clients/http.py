"""Requests and answers of the clients."""

import json
from typing import Any, TypeVar

import attrs
import cattrs
from tornado.httpclient import HTTPRequest, HTTPResponse

from .exchange import Exchange

CONNECT_TIMEOUT_S = 2.0
REQUEST_TIMEOUT_S = 10.0
NO_TIMEOUT_S = 0.0

Answer = TypeVar("Answer")

_CONVERTER = cattrs.Converter(detailed_validation=False)


@attrs.frozen
class Refusal:
    """An answer that names why nothing was done."""

    kind: str


def plain_request(
    method: str, url: str, body: bytes | None, timeout_s: float
) -> HTTPRequest:
    """Build a request.

    Parameters
    ----------
    method, url : str
        What to call.
    body : bytes or None
        Sent as it is.
    timeout_s : float
        For the whole exchange; 0 for none.

    Returns
    -------
    tornado.httpclient.HTTPRequest
    """
    return HTTPRequest(
        url,
        method=method,
        body=body,
        connect_timeout=min(CONNECT_TIMEOUT_S, timeout_s or CONNECT_TIMEOUT_S),
        request_timeout=timeout_s,
        allow_nonstandard_methods=True,
        follow_redirects=False,
        decompress_response=False,
    )


def json_request(
    method: str, url: str, body: Any = None, timeout_s: float = REQUEST_TIMEOUT_S
) -> HTTPRequest:
    """Build a request with a JSON body, or none.

    Parameters
    ----------
    method, url : str
        What to call.
    body : object, optional
        Plain data or an `attrs` instance, encoded as JSON.
    timeout_s : float
        For the whole exchange; 0 for none.

    Returns
    -------
    tornado.httpclient.HTTPRequest
    """
    data = None
    if body is not None:
        data = json.dumps(_CONVERTER.unstructure(body), ensure_ascii=False).encode()
    request = plain_request(method, url, data, timeout_s)
    request.headers["Content-Type"] = "application/json"
    return request


async def fetch(request: HTTPRequest) -> HTTPResponse:
    """Make one exchange and read its whole answer, whatever its status.

    Raises
    ------
    NotSentError
        If no connection was made.
    NoAnswerError
        If the request may have been sent and there is no whole answer.
    """
    exchange = Exchange()
    try:
        return await exchange.fetch(request)
    finally:
        exchange.close()


def decode(data: bytes, kind: type[Answer]) -> Answer:
    """Read a JSON document as an instance of a class.

    Parameters
    ----------
    data : bytes
        The document; fields that the class doesn't have are passed over.
    kind : type
        An `attrs` class.

    Returns
    -------
    object
        An instance of `kind`.

    Raises
    ------
    ValueError
        If the document is not one of this kind.

    Examples
    --------
    >>> decode(b'{"kind": "cold", "other": 1}', Refusal)
    Refusal(kind='cold')
    """
    try:
        return _CONVERTER.structure(json.loads(data), kind)
    except (KeyError, TypeError, AttributeError, ValueError) as error:
        raise ValueError(f"not a {kind.__name__}: {error!r}") from error
