import asyncio
import json
import string

import openai
import pytest
from hypothesis import given
from hypothesis import strategies as st

from sorrelhoist.bench.fleet import ADDRESS, fetch
from sorrelhoist.entry.requests import MAX_BODY_BYTES
from sorrelhoist.standins.engine_model import answer_text
from tests.entry.in_process import (
    CALLER_KEY,
    MODEL,
    caller_headers,
    error_of,
    running_system,
)

VALID_BODY = {"model": MODEL, "prompt": "a party", "max_tokens": 3}
CHAT = "/v1/chat/completions"
TEXT = "/v1/completions"
TIMEOUT = "X-Request-Timeout-S"


def without(*names):
    return {name: value for name, value in VALID_BODY.items() if name not in names}


# path, body, headers, status, kind
INVALID_REQUESTS = [
    (TEXT, b"", {}, 400, "invalid_request"),
    (TEXT, b"{", {}, 400, "invalid_request"),
    (TEXT, b"[]", {}, 400, "invalid_request"),
    (TEXT, b"[" * 100_000, {}, 400, "invalid_request"),
    (TEXT, b"\xff\xfe", {}, 400, "invalid_request"),
    (TEXT, without("model"), {}, 400, "invalid_request"),
    (TEXT, without("prompt"), {}, 400, "invalid_request"),
    (TEXT, VALID_BODY | {"prompt": ""}, {}, 400, "invalid_request"),
    (TEXT, VALID_BODY | {"prompt": ["a"]}, {}, 400, "invalid_request"),
    (TEXT, VALID_BODY | {"prompt": "\ud800"}, {}, 400, "invalid_request"),
    (TEXT, VALID_BODY | {"model": "no-such"}, {}, 400, "unknown_model"),
    (TEXT, VALID_BODY | {"max_tokens": 0}, {}, 400, "invalid_request"),
    (TEXT, VALID_BODY | {"max_tokens": 10**9}, {}, 400, "invalid_request"),
    (TEXT, VALID_BODY | {"max_tokens": 1.5}, {}, 400, "invalid_request"),
    (TEXT, VALID_BODY | {"max_tokens": True}, {}, 400, "invalid_request"),
    (TEXT, VALID_BODY | {"stream": "yes"}, {}, 400, "invalid_request"),
    (TEXT, VALID_BODY | {"n": 2}, {}, 400, "invalid_request"),
    (TEXT, VALID_BODY | {"prompt": "x" * 240_000}, {}, 400, "invalid_request"),
    (TEXT, VALID_BODY, {TIMEOUT: "soon"}, 400, "invalid_request"),
    (TEXT, VALID_BODY, {TIMEOUT: "nan"}, 400, "invalid_request"),
    (TEXT, VALID_BODY, {TIMEOUT: "-1"}, 400, "invalid_request"),
    (TEXT, VALID_BODY, {TIMEOUT: "1e99"}, 400, "invalid_request"),
    (TEXT, VALID_BODY, {"Idempotency-Key": "k" * 257}, 400, "invalid_request"),
    (TEXT, VALID_BODY, {"Authorization": ""}, 401, "authentication"),
    (TEXT, VALID_BODY, {"Authorization": "Basic abc"}, 401, "authentication"),
    (TEXT, VALID_BODY, {"Authorization": "Bearer nobody"}, 401, "authentication"),
    (CHAT, VALID_BODY, {}, 400, "invalid_request"),
    (CHAT, VALID_BODY | {"messages": []}, {}, 400, "invalid_request"),
    (CHAT, VALID_BODY | {"messages": [3]}, {}, 400, "invalid_request"),
    (CHAT, VALID_BODY | {"messages": [{"content": "a"}]}, {}, 400, "invalid_request"),
    (CHAT, VALID_BODY | {"messages": [{"role": "user"}]}, {}, 400, "invalid_request"),
    ("/v1/nothing", VALID_BODY, {}, 404, "not_found"),
    ("/v1/models", VALID_BODY, {}, 405, "method_not_allowed"),
    ("/v1/services/no-such/x", VALID_BODY, {}, 403, "permission"),
]


def test_invalid_requests_are_refused_with_kind_and_remedy():
    async def main():
        async with running_system() as system:
            for path, body, headers, status, kind in INVALID_REQUESTS:
                response = await system.post(body, path, **headers)
                error = error_of(response)
                found = (response.code, error["kind"], error.get("not_run"))
                assert found == (status, kind, True), (path, body, response.body)
                assert error["remedy"] and error["request_id"]
            await still_answers(system)

    asyncio.run(main())


async def still_answers(system):
    response = await system.post(VALID_BODY)
    assert response.code == 200, response.body
    text = json.loads(response.body)["choices"][0]["text"]
    assert text == answer_text(VALID_BODY["prompt"], VALID_BODY["max_tokens"])


INVALID_LAST_EVENT_IDS = [
    "x",
    "-1",
    "\xb2",
    "9" * 5000,
    str(10**10),
    "1.\xb9",
    "1.5e3",
    ".",
]


def test_invalid_last_event_ids_are_refused():
    async def main():
        async with running_system() as system:
            answer = await system.post(VALID_BODY | {"stream": True})
            event_id = answer.body.decode().splitlines()[0].removeprefix("id: ")
            stream_id = event_id.rpartition(".")[0]
            url = f"{system.url}/v1/streams/{stream_id}"
            for text in INVALID_LAST_EVENT_IDS:
                headers = caller_headers(**{"Last-Event-ID": text})
                response = await fetch(url, headers=headers)
                assert response.code == 400, (text, response.body)
                assert error_of(response)["kind"] == "invalid_request"
            foreign = await fetch(f"{url}x", headers=caller_headers())
            assert foreign.code == 400
            again = await fetch(url, headers=caller_headers())
            assert again.code == 200 and again.body.count(b"data: ") >= 2

    asyncio.run(main())


def test_a_refusal_for_lack_of_capacity_has_retry_after():
    async def main():
        async with running_system() as system:
            system.agents["e-1"].is_leaving = True
            system.agents["e-1"].guard.ledger.set_leaving(True, system.entry.clock())
            response = await system.post(VALID_BODY)
            error = error_of(response)
            assert (response.code, error["kind"]) == (503, "overloaded")
            assert error["not_run"] is True
            assert int(response.headers["Retry-After"]) >= 1
            system.entry.is_leaving = True
            response = await system.post(VALID_BODY)
            assert (response.code, error_of(response)["kind"]) == (503, "not_ready")
            assert int(response.headers["Retry-After"]) >= 1

    asyncio.run(main())


@pytest.mark.parametrize("chunked", [False, True])
def test_an_oversized_body_is_refused_before_it_is_read_to_the_end(chunked):
    async def main():
        async with running_system() as system:
            port = system.entry.settings.http_port
            reader, writer = await asyncio.open_connection(ADDRESS, port)
            head = f"POST {TEXT} HTTP/1.1\r\nHost: a\r\n"
            head += f"Authorization: Bearer {CALLER_KEY}\r\n"
            part = b"x" * 65536
            if chunked:
                head += "Transfer-Encoding: chunked\r\n\r\n"
                part = b"10000\r\n" + part + b"\r\n"
            else:
                head += f"Content-Length: {1 << 39}\r\n\r\n"
            writer.write(head.encode())
            answer = asyncio.ensure_future(reader.read(65536))
            sent_bytes = 0
            # If the entry kept reading, it would never close and this loop not end.
            while not writer.is_closing() and not reader.at_eof():
                try:
                    writer.write(part)
                    await writer.drain()
                except ConnectionError:
                    break
                sent_bytes += len(part)
                await asyncio.sleep(0)
            assert sent_bytes < 2 * MAX_BODY_BYTES
            try:
                text = await answer
            except ConnectionError:
                text = b"HTTP/1.1 400"  # the reset overtook the answer
            assert text.startswith(b"HTTP/1.1 400")
            await still_answers(system)

    asyncio.run(main())


def test_an_openai_client_streams_an_answer():
    async def main():
        async with running_system() as system:
            client = openai.AsyncOpenAI(
                api_key=CALLER_KEY, base_url=f"{system.url}/v1", max_retries=0
            )
            async with client:
                stream = await client.chat.completions.create(
                    model=MODEL,
                    messages=[{"role": "user", "content": "hello"}],
                    max_tokens=7,
                    stream=True,
                )
                chunks = [chunk async for chunk in stream]
                with pytest.raises(openai.BadRequestError) as refused:
                    await client.completions.create(model="none", prompt="a")
            text = "".join(chunk.choices[0].delta.content or "" for chunk in chunks)
            assert text == answer_text("user: hello\n", 7)
            assert chunks[-1].choices[0].finish_reason == "stop"
            assert refused.value.code == "unknown_model"

    asyncio.run(main())


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["role", "content", "text"]) | st.text(max_size=3), inner
        )
    ),
    max_leaves=6,
)
FIELDS = ["model", "prompt", "messages", "max_tokens", "stream", "n"]
BODIES = st.binary(max_size=40) | st.dictionaries(
    st.sampled_from(FIELDS), JSON_VALUES
).map(lambda changed: json.dumps(VALID_BODY | changed).encode())
HEADER_NAMES = st.sampled_from([TIMEOUT, "Idempotency-Key", "Last-Event-ID", "Accept"])
HEADERS = st.dictionaries(
    HEADER_NAMES, st.text(string.printable[:95], max_size=12).map(str.strip)
)
PATHS = st.sampled_from([TEXT, CHAT, "/v1/services/a/b", "/v1/streams/abc", "/x?y"])


def test_fuzzed_input_does_not_crash_the_entry():
    async def send(system, path, body, headers):
        method = "GET" if path.startswith("/v1/streams") else "POST"
        url = system.url + path
        more = caller_headers(**{"X-Request-Timeout-S": "5"} | headers)
        response = await fetch(url, method, body if method == "POST" else None, more)
        assert response.code in {200, 400, 403, 404, 422, 503, 504}, response.body
        if response.code != 200:
            error = error_of(response)
            assert error["kind"] != "internal" and error["remedy"]

    with asyncio.Runner() as runner:
        context = running_system()
        system = runner.run(context.__aenter__())

        @given(PATHS, BODIES, HEADERS)
        def fuzz(path, body, headers):
            runner.run(send(system, path, body, headers))

        try:
            fuzz()
            runner.run(still_answers(system))
        finally:
            runner.run(context.__aexit__(None, None, None))
