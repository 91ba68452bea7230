"""Names of streams on the engine: grant and request, readable after a restart."""

import attrs

_SEPARATOR = "~"


@attrs.frozen
class StreamName:
    """Which grant and request a stream on the engine belongs to.

    Parameters
    ----------
    grant_id, request_id : str

    Examples
    --------
    >>> StreamName.parse(str(StreamName("a.1", "r"))) == StreamName("a.1", "r")
    True
    """

    grant_id: str
    request_id: str

    def __str__(self) -> str:
        return f"{self.grant_id}{_SEPARATOR}{self.request_id}"

    @classmethod
    def parse(cls, text: str) -> "StreamName":
        """Read a name; a foreign one is all grant, with no request."""
        grant_id, _, request_id = text.partition(_SEPARATOR)
        return cls(grant_id, request_id)
