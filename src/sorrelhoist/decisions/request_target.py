"""Host and path of a request, from the forms of a target that HTTP allows."""

import re

import attrs

_ABSOLUTE = re.compile(r"https?://([^/?#]*)([^#]*)", re.IGNORECASE)
_AUTHORITY = re.compile(
    r"(?:\[[0-9A-Fa-f:.]+\]|[A-Za-z0-9\-._~!$&'()*+,;=%]*)(?::[0-9]*)?"
)

ASTERISK = "*"
"""Target of OPTIONS requests for the gateway as a whole."""


@attrs.frozen
class Target:
    """Host, with its port if there is one, and path with the query."""

    host: str
    path: str


def parse_target(method: str, target: str, host: str) -> Target:
    """Parse the target of a request.

    Parameters
    ----------
    method, target : str
        As in the request line.
    host : str
        The Host header; the target's own host takes precedence.

    Raises
    ------
    ValueError
        If the target has none of the forms, or the host is invalid; the message is
        meant for the caller.

    Examples
    --------
    >>> parse_target("GET", "/a?b=1", "example.test")
    Target(host='example.test', path='/a?b=1')
    >>> parse_target("GET", "http://example.test:80/a", "other.test")
    Target(host='example.test:80', path='/a')
    >>> parse_target("GET", "http://example.test?b=1", "").path
    '/?b=1'
    >>> parse_target("CONNECT", "example.test:80", "example.test")
    Traceback (most recent call last):
    ...
    ValueError: CONNECT is not supported
    """
    if method == "CONNECT":
        raise ValueError("CONNECT is not supported")
    path = target
    if not target.startswith("/"):
        absolute = _ABSOLUTE.fullmatch(target)
        if absolute is not None and absolute[1]:
            host, path = absolute.groups()
            if not path.startswith("/"):
                path = ASTERISK if method == "OPTIONS" and not path else f"/{path}"
        elif target != ASTERISK or method != "OPTIONS":
            raise ValueError("the request target must be a path or an http URL")
    if _AUTHORITY.fullmatch(host) is None:
        raise ValueError("the host is not valid")
    return Target(host, path)
