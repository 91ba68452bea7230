"""Malformed answers of the store raise `PlatformError`."""

import asyncio

import pytest

from sorrelhoist.exceptions import PlatformError
from sorrelhoist.platform.store import StoreClient
from tests.platform.standins import Store


def call(store, method, *values):
    async def main():
        await store.start()
        client = StoreClient(store.address)
        try:
            return await getattr(client, method)(*values)
        finally:
            client.close()
            await store.stop()

    return asyncio.run(main())


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"no json",
        b"[]",
        b"{}",
        b'{"items": 3, "end_offset": 1}',
        b'{"items": [{"key": "a"}], "end_offset": 1}',
        b'{"items": [{"key": "a", "val": 3}], "end_offset": 1}',
        b'{"items": [], "end_offset": null}',
        b'{"items": [], "end_offset": 1, "has_more": true}',
    ],
)
def test_a_malformed_page_raises_platform_error(body):
    with pytest.raises(PlatformError):
        call(Store(mode="odd", malformed_body=body), "newest", "keyed.op")


@pytest.mark.parametrize("body", [b"", b"\0" * 15, b"\0" * 16 + b"\0\0\0\7ab"])
def test_truncated_records_raise_platform_error(body):
    with pytest.raises(PlatformError):
        call(Store(mode="odd", malformed_body=body), "read", "keyed.op", 0)
