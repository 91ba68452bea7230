"""Ordinary HTTP clients, each with several requests on a connection it keeps."""

import asyncio
import http.client
import json
import urllib.request

import openai
import pytest
from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from tests.platform.real_gateway import run_in_world
from tests.platform.standins import whole

pytestmark = pytest.mark.process

COUNT = 4
BODY = b"x" * 100_000
COMPLETION = {
    "id": "c-1",
    "object": "chat.completion",
    "created": 1,
    "model": "m",
    "choices": [
        {
            "index": 0,
            "finish_reason": "stop",
            "message": {"role": "assistant", "content": "hello"},
        }
    ],
}


def headers(number):
    return {
        "Host": "example.test",
        "X-Attempt-Id": f"c-{number}",
        "Authorization": "Token key-1",
        "X-Deadline-Ms": "3000",
    }


def from_http_client(ip, port):
    connection = http.client.HTTPConnection(ip, port, timeout=4)
    statuses = []
    for number in range(COUNT):
        body = BODY if number % 2 else iter([BODY, BODY])
        connection.request(
            "POST",
            "/once/1",
            body,
            headers(number),
            encode_chunked=number % 2 == 0,
        )
        answer = connection.getresponse()
        answer.read()
        statuses.append(answer.status)
    return statuses


def from_urllib(ip, port):
    statuses = []
    for number in range(COUNT):
        data = BODY if number % 2 else None
        request = urllib.request.Request(
            f"http://{ip}:{port}/look/1?a=b", data, headers(number)
        )
        with urllib.request.urlopen(request, timeout=4) as answer:
            answer.read()
            statuses.append(answer.status)
    return statuses


def from_openai(ip, port):
    client = openai.OpenAI(base_url=f"http://{ip}:{port}/once", api_key="-")
    statuses = []
    for number in range(COUNT):
        answer = client.chat.completions.with_raw_response.create(
            model="m",
            messages=[{"role": "user", "content": "Kašpárek"}],
            extra_headers=headers(number),
        )
        assert answer.parse().choices[0].message.content == "hello"
        statuses.append(answer.status_code)
    return statuses


@pytest.mark.parametrize("client", [from_http_client, from_urllib, from_openai])
def test_requests_of_an_ordinary_client_are_served(tmp_path, client):
    async def main(world):
        completion = json.dumps(COMPLETION).encode()
        content_type = [("Content-Type", "application/json")]
        world.scripts("app", whole(body=completion, extra=content_type))
        gateway = await world.start()
        statuses = await asyncio.to_thread(client, gateway.ip, gateway.front)
        assert statuses == [200] * COUNT

    run_in_world(tmp_path, main)


def test_requests_of_the_client_of_tornado_are_served(tmp_path):
    async def main(world):
        gateway = await world.start()
        client = SimpleAsyncHTTPClient(force_instance=True)
        url = f"http://{gateway.ip}:{gateway.front}/once/1"
        for number in range(COUNT):
            request = HTTPRequest(
                url,
                method="POST",
                headers=headers(number),
                body=BODY,
                expect_100_continue=number % 2 == 0,
            )
            answer = await client.fetch(request)
            assert answer.body == b"whole answer"
        client.close()

    run_in_world(tmp_path, main)
