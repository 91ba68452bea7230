"""Streams move out of a failure domain when its notice ends."""

import pytest

from tests.process.support import (
    Caller,
    apply,
    busy_endpoint,
    engines,
    inventory,
    until,
)

pytestmark = pytest.mark.process

OUTPUT_TOKENS = 400
NOTICE_S = 0.5


async def is_empty(child):
    found = await inventory(child)
    return found is not None and not any(s["kv_tokens"] for s in found["streams"])


def out_with_notice(documents, name):
    out = {"state": "out", "notice_s": NOTICE_S}
    return [
        document | out if document["name"] == name else document
        for document in documents
    ]


def test_a_stream_moves_when_the_notice_ends(run):
    async def main(fleet):
        caller = Caller(fleet.entries()[0], "notice", OUTPUT_TOKENS).start()
        await caller.has_some()
        endpoint = await until(lambda: busy_endpoint(fleet))
        domain = endpoint.rpartition("-")[0]
        documents = out_with_notice(fleet.documents, domain)
        assert (await apply(fleet.entries()[0], documents)).code == 200
        await until(lambda: is_empty(engines(fleet)[endpoint]))
        assert not caller.work.done()
        await caller.must_be_whole()

    run(main)
