"""Building HTTP requests, fetching responses and decoding JSON bodies."""

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
    """An error response that names the kind of the refusal."""

    kind: str


def plain_request(
    method: str, url: str, body: bytes | None, timeout_s: float
) -> HTTPRequest:
    """Build a request with a raw body, or none.

    Parameters
    ----------
    method, url : str
        HTTP method and URL.
    body : bytes or None
        Sent unchanged.
    timeout_s : float
        Timeout of the whole exchange; 0 for none.

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
        HTTP method and URL.
    body : object, optional
        Plain data or an `attrs` instance, encoded as JSON.
    timeout_s : float
        Timeout of the whole exchange; 0 for none.

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
    """Send a request and read the complete response, whatever its status.

    Raises
    ------
    NotSentError
        If no connection was established.
    NoAnswerError
        If the request may have been sent and no complete response arrived.
    """
    exchange = Exchange()
    try:
        return await exchange.fetch(request)
    finally:
        exchange.close()


def decode(data: bytes, kind: type[Answer]) -> Answer:
    """Decode a JSON document into an instance of a class.

    Parameters
    ----------
    data : bytes
        JSON text; fields that the class doesn't have are ignored.
    kind : type
        An `attrs` class.

    Returns
    -------
    object
        An instance of `kind`.

    Raises
    ------
    ValueError
        If the document is not valid JSON or doesn't fit the class.

    Examples
    --------
    >>> decode(b'{"kind": "cold", "other": 1}', Refusal)
    Refusal(kind='cold')
    """
    try:
        return _CONVERTER.structure(json.loads(data), kind)
    except (KeyError, TypeError, AttributeError, ValueError) as error:
        raise ValueError(f"not a {kind.__name__}: {error!r}") from error
