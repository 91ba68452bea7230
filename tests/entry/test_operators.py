"""Operator API: authentication, verdicts, and errors with a remedy."""

import asyncio
import json

import pytest
from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from sorrelhoist.exceptions import LogUnavailableError
from tests.entry.operators_fakes import KEY, running_operators

DOMAIN = {"kind": "FailureDomain", "name": "praha-a"}
OTHER = {"kind": "FailureDomain", "name": "praha-b"}


async def call(fake, path, body=None, key=KEY, method=None):
    request = HTTPRequest(
        f"http://{fake.address}/operator/v1/{path}",
        method=method or ("GET" if body is None else "POST"),
        body=body if body is None or isinstance(body, str) else json.dumps(body),
        headers={"Authorization": f"Bearer {key}"} if key else {},
    )
    client = SimpleAsyncHTTPClient(force_instance=True)
    try:
        response = await client.fetch(request, raise_error=False)
    finally:
        client.close()
    return response.code, json.loads(response.body)


def exchange(*calls, prepare=None, **timeouts):
    """Make calls in sequence; return the status code and body of each."""

    async def run():
        async with running_operators(**timeouts) as fake:
            await fake.replica.refresh()
            if prepare:
                prepare(fake)
            return [await call(fake, *arguments) for arguments in calls]

    return asyncio.run(run())


def test_applied_configuration_can_be_read_back():
    first = {"apply_id": "one", "documents": [DOMAIN]}
    applied, status, read, dumped = exchange(
        ("apply", first), ("apply/one",), ("configuration",), ("dump",)
    )
    assert applied[0] == 200
    assert applied[1]["outcome"] == "accepted"
    assert status[1]["digest"] == read[1]["digest"] == applied[1]["digest"]
    assert read[1]["revision"] == 1
    assert read[1]["documents"][0]["name"] == "praha-a"
    assert dumped[1]["effective_offset"] == 1


@pytest.mark.parametrize("key", ["", "wrong", "ö"])
@pytest.mark.parametrize("path", ["configuration", "status", "dump", "apply/x"])
def test_calls_without_a_valid_operator_key_are_rejected(path, key):
    ((code, body),) = exchange((path, None, key))
    assert code == 401
    assert body["error"]["kind"] == "authentication"
    assert body["error"]["remedy"]


@pytest.mark.parametrize(
    ("body", "kind"),
    [
        ("{", "invalid_request"),
        ("[]", "invalid_request"),
        ({"documents": {}}, "invalid_request"),
        ({"documents": [DOMAIN], "apply_id": "a/b"}, "invalid_request"),
        ({"documents": [DOMAIN], "apply_id": 7}, "invalid_request"),
        ({"documents": [DOMAIN], "base_revision": "1"}, "invalid_request"),
        ({"documents": []}, "invalid_document"),
        ({"documents": [DOMAIN, DOMAIN]}, "invalid_document"),
        ({"documents": [7]}, "invalid_document"),
        ({"documents": [{**DOMAIN, "name": ["x"]}]}, "invalid_document"),
        ({"documents": [{**DOMAIN, "name": "\ud800"}]}, "invalid_document"),
    ],
)
def test_invalid_body_is_rejected_and_nothing_is_applied(body, kind):
    (code, answer), (_, read) = exchange(("apply", body), ("configuration",))
    assert code == 400
    assert answer["error"]["kind"] == kind
    assert read["revision"] == 0


def test_conflict_names_the_winning_apply():
    first = {"apply_id": "one", "documents": [DOMAIN]}
    second = {"apply_id": "two", "documents": [OTHER], "base_revision": 0}
    _, (code, body) = exchange(("apply", first), ("apply", second))
    assert code == 409
    assert body["error"]["kind"] == "configuration_conflict"
    assert "Revision 1 (apply id one)" in body["error"]["message"]
    assert body["error"]["not_run"]


def test_unknown_verdict_is_reported_as_unknown():
    def lose(fake):
        fake.log.faults = ["lost_before"]

    body = {"apply_id": "one", "documents": [DOMAIN]}
    calls = [("apply", body), ("apply/one",)]
    (code, first), again = exchange(*calls, prepare=lose, verdict_timeout_s=0.0)
    assert (code, first["outcome"]) == (202, "unknown")
    assert "apply/one" in first["remedy"]
    assert again[1]["outcome"] == "unknown"


def test_log_outage_is_reported_with_a_retry_time():
    def fail(fake):
        async def append(values):
            raise LogUnavailableError("down", not_run=True, retry_after_s=2.0)

        fake.replica.log = type("Down", (), {"read": fake.log.read, "append": append})
        fake.replica.log.append = append

    ((code, body),) = exchange(("apply", {"documents": [DOMAIN]}), prepare=fail)
    assert code == 503
    assert body["error"]["not_run"]
    assert body["error"]["retry_after_s"] == 2.0


def test_unsupported_method_gives_an_error_with_a_remedy():
    ((code, body),) = exchange(("status", "{}", KEY, "POST"))
    assert code == 405
    assert body["error"]["remedy"]
