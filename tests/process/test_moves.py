"""Migration of streams out of a failure domain when its notice period ends."""

import pytest

from tests.process.support import (
    Caller,
    apply,
    busy_endpoint,
    engines,
    inventory,
    wait_until,
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


def test_stream_migrates_when_the_domain_notice_ends(run):
    async def main(fleet):
        caller = Caller(fleet.entries()[0], "notice", OUTPUT_TOKENS).start()
        await caller.wait_first_tokens()
        endpoint = await wait_until(lambda: busy_endpoint(fleet))
        domain = endpoint.rpartition("-")[0]
        documents = out_with_notice(fleet.documents, domain)
        assert (await apply(fleet.entries()[0], documents)).code == 200
        await wait_until(lambda: is_empty(engines(fleet)[endpoint]))
        assert not caller.task.done()
        await caller.assert_complete()

    run(main)
