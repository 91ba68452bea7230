"""Client of the platform's store: reads its log and the newest record of each key."""

import base64
import json
import struct
from collections.abc import Callable
from urllib.parse import urlencode

import attrs
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from ..clients.exchange import NumericResolver
from ..clients.fair_stream import FairTCPClient
from ..decisions.store_readers import StorePosition
from ..exceptions import PlatformError
from .decode_errors import DECODE_ERRORS

CONNECT_TIMEOUT_S = 0.35
"""Many round-trip times to the store. If the SYN packet is lost, a retransmission
takes a second; a new connection is faster."""

RESPONSE_TIMEOUT_S = 1.0
"""Timeout of a response, in addition to the time of a long poll."""

EXPIRED_STATUS = 410

ERA_HEADER = "Store-Era"
"""Rises by one each time that the store comes back from an older copy."""

NO_ERA = 0
"""Era of a store that sends no such header, and so was never restored."""

_COUNT = struct.Struct(">Q")
_LENGTH = struct.Struct(">I")


class RecordsExpiredError(PlatformError):
    """The store doesn't have the records at an offset; read the newest of each key."""

    kind = "records_expired"


class StoreRestoredError(PlatformError):
    """The store came back from an older copy, so that earlier offsets are void."""

    kind = "store_restored"


@attrs.frozen
class KeyedRecord:
    """A key and its value; None if the key was deleted."""

    key: str
    value: bytes | None


@attrs.frozen
class Records:
    """A batch of records and the position of the next read.

    Parameters
    ----------
    records : tuple of KeyedRecord
    end : StorePosition
    is_complete : bool
        Whether these are all that the store had; an answer holds 1 MB at most.
    """

    records: tuple[KeyedRecord, ...]
    end: StorePosition
    is_complete: bool = True


@attrs.define(eq=False, repr=False)
class PartialRead:
    """The pages of a topic that were read before a call failed.

    With 300 gateways that read a large directory at once, some calls of each are over
    the store's rate. A read that began again would add to them.

    Parameters
    ----------
    records : list of KeyedRecord
    end : StorePosition or None
        End of the topic when the first page was read.
    """

    records: list[KeyedRecord] = attrs.field(factory=list)
    end: StorePosition | None = None

    def clear(self) -> None:
        """Forget the pages."""
        self.records.clear()
        self.end = None


class StoreClient:
    """Reads and writes topics of keyed records.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    era_changed : callable
        Called with the former and the new era when an answer shows that the store was
        restored from a copy.
    """

    def __init__(
        self, address: str, era_changed: Callable[[int, int], None] = lambda *eras: None
    ) -> None:
        self._base = f"http://{address}"
        # In a busy process a thread that resolves names may be late.
        self._client = SimpleAsyncHTTPClient(force_instance=True, max_clients=8)
        self._client.tcp_client = FairTCPClient(resolver=NumericResolver())
        self._era: int | None = None
        self._era_changed = era_changed

    async def newest(self, topic: str, partial: "PartialRead | None" = None) -> Records:
        """Read the newest record of each key.

        Parameters
        ----------
        topic : str
        partial : PartialRead or None
            Pages that an earlier call had read when it failed. Those read now are
            added, so that a further call goes on after them.

        Returns
        -------
        Records
            With the end offset of the first page, so that changes during the read
            are returned again by the next `read`.

        Raises
        ------
        StoreRestoredError
            If the store was restored between two pages; `partial` is empty then.
        PlatformError
            If the store does not answer, or with an error or malformed data.
        """
        partial = PartialRead() if partial is None else partial
        has_more = True
        while has_more:
            query = {"stream": topic, "part": 0}
            if partial.records:
                query["after"] = partial.records[-1].key
            response = await self._call("GET", "/log-newest", query)
            page = _decode_page(response.body)
            era = _era(response)
            end = partial.end or StorePosition(page.end_offset, era)
            if end.era != era:
                partial.clear()
                raise StoreRestoredError(f"{topic}: restored between two pages.")
            partial.end = end
            partial.records += page.records
            has_more = page.has_more
        found = Records(tuple(partial.records), end)
        partial.clear()
        return found

    async def read(
        self, topic: str, position: StorePosition, wait_s: float = 0.0
    ) -> Records:
        """Read records from a position.

        Parameters
        ----------
        topic : str
        position : StorePosition
        wait_s : float
            Longest time that the store holds the request open until a record
            arrives (long poll).

        Raises
        ------
        RecordsExpiredError
            If the store has no records at this offset, or deleted them.
        StoreRestoredError
            If the position belongs to another era: the offset may be in use again for
            another record.
        PlatformError
            If the store does not answer, or with an error or malformed data.
        """
        query = {"stream": topic, "part": 0, "from": position.offset}
        if wait_s:
            query["wait_max_ms"] = int(wait_s * 1000)
        response = await self._call("GET", "/log-read", query, wait_s=wait_s)
        era = _era(response)
        if era != position.era:
            raise StoreRestoredError(f"{topic}: era {position.era}, now {era}.")
        records, end_offset, is_complete = _decode_records(
            response.body, position.offset
        )
        return Records(records, StorePosition(end_offset, era), is_complete)

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a record; after a failed call it may have been written or not."""
        name = key.encode()
        content = bytes([len(name)]) + name + value
        body = _LENGTH.pack(len(content)) + content
        await self._call("POST", "/log-append", {"stream": topic, "part": 0}, body)

    def close(self) -> None:
        """Close the HTTP client and its connections."""
        self._client.close()

    async def _call(
        self,
        method: str,
        path: str,
        query: dict,
        body: bytes | None = None,
        wait_s: float = 0.0,
    ) -> HTTPResponse:
        request = HTTPRequest(
            f"{self._base}{path}?{urlencode(query, errors='surrogatepass')}",
            method=method,
            body=body,
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=wait_s + RESPONSE_TIMEOUT_S,
            decompress_response=False,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (OSError, HTTPClientError) as error:
            raise PlatformError(f"{path}: {error!r}.") from error
        self._note_era(path, response)
        if response.code == EXPIRED_STATUS:
            raise RecordsExpiredError(f"{path}: no records at this offset.")
        if response.code != 200:
            raise PlatformError(f"{path}: status {response.code}: {response.error}.")
        return response

    def _note_era(self, path: str, response: HTTPResponse) -> None:
        """Keep the newest era; an answer from an earlier one is out of date."""
        if response.code != 200 and ERA_HEADER not in response.headers:
            return  # a proxy's answer, for example
        era, former = _era(response), self._era
        if former is not None and era < former:
            raise PlatformError(f"{path}: an answer of era {era}, after {former}.")
        self._era = era
        if former is not None and era != former:
            self._era_changed(former, era)


@attrs.frozen
class _Page:
    records: tuple[KeyedRecord, ...]
    end_offset: int
    has_more: bool


def _era(response: HTTPResponse) -> int:
    """Return the era that an answer names.

    Raises
    ------
    PlatformError
        If it is no number.
    """
    text = response.headers.get(ERA_HEADER)
    if text is None:
        return NO_ERA
    try:
        return int(text)
    except ValueError as error:
        raise PlatformError(f"The store's era is no number: {text!r}.") from error


def _decode_page(body: bytes) -> _Page:
    """Decode a page of newest records.

    Raises
    ------
    PlatformError
        If the body is malformed.
    """
    try:
        page = json.loads(body)
        records = tuple(
            KeyedRecord(str(item["key"]), base64.b64decode(item["val"]))
            for item in page["items"]
        )
        has_more = bool(page.get("has_more"))
        if has_more and not records:
            raise ValueError("an empty page, and more to come")
        return _Page(records, int(page["end_offset"]), has_more)
    except DECODE_ERRORS as error:
        raise PlatformError(f"The store's answer is no page: {error!r}.") from error


def _decode_records(
    data: bytes, offset: int
) -> tuple[tuple[KeyedRecord, ...], int, bool]:
    r"""Decode the body of a ``/log-read`` response.

    Returns
    -------
    records : tuple of KeyedRecord
    next_offset : int
    is_complete : bool
        False if the topic goes on after these records.

    Examples
    --------
    >>> head = (5).to_bytes(8, "big") + (0).to_bytes(8, "big")
    >>> _decode_records(head + b"\0\0\0\5\3keyv", 4)
    ((KeyedRecord(key='key', value=b'v'),), 5, True)
    """
    position = 2 * _COUNT.size
    if len(data) < position:
        raise PlatformError("The store's answer is too short.")
    (topic_end,) = _COUNT.unpack_from(data)
    records: list[KeyedRecord] = []
    first_offset = offset
    while position + _LENGTH.size <= len(data):
        (length,) = _LENGTH.unpack_from(data, position)
        position += _LENGTH.size
        content = data[position : position + length]
        if len(content) < length:
            raise PlatformError("The store's answer breaks off in a record.")
        position += length
        offset += 1
        if content:
            key_length = content[0]
            key = content[1 : 1 + key_length].decode("utf-8", "replace")
            value = content[1 + key_length :]
            records.append(KeyedRecord(key, value or None))
    # An answer without records would be the same again.
    is_complete = offset >= topic_end or offset == first_offset
    return tuple(records), offset, is_complete
