"""Stream names on the engine; they identify grant and request after a restart."""

import attrs

_SEPARATOR = "~"


@attrs.frozen
class StreamName:
    """Name of a stream on the engine, made of its grant id and request id.

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
        """Parse a name; one without a separator becomes a grant id only."""
        grant_id, _, request_id = text.partition(_SEPARATOR)
        return cls(grant_id, request_id)
