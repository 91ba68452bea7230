"""Requests of a gateway that stops: each ends with an answer that is true."""

import asyncio
import contextlib
import os
import signal
import time

import pytest

from sorrelhoist.gateway import app, drain
from sorrelhoist.gateway.memory import MemoryKeeper
from tests.platform.fleet import (
    configuration,
    read_answer,
    route,
    run_with_fleet,
    until,
)
from tests.platform.standins import (
    answer_bytes,
    declines,
    echo_headers,
    hangs,
    in_sequence,
    streams,
    whole,
)

GRACE_S = 3.0
ROUTES = [
    route("once", "non_idempotent", "app", timeout_ms=30_000),
    route("look", "idempotent", "app", timeout_ms=30_000),
    route("stream", "streaming", "llm", timeout_ms=30_000, gap_target_ms=250),
]


def run_stopping(main, grace_s=GRACE_S):
    """Run a test with a gateway whose routes have long timeouts."""
    run_with_fleet(main, first=configuration(routes=ROUTES), grace_s=grace_s)


async def stop(fleet):
    os.kill(os.getpid(), signal.SIGTERM)
    await until(lambda: fleet.state.is_stopping)


def takes(work_s):
    async def script(received, writer):
        await asyncio.sleep(work_s)
        writer.write(answer_bytes(200, echo_headers(received), b"whole answer"))
        await writer.drain()

    return script


@pytest.mark.parametrize("path", ("/once/1", "/look/1"))
def test_what_still_runs_near_the_end_is_answered_as_unknown(path):
    async def main(fleet):
        await fleet.add(hangs(), service="app")
        asking = asyncio.ensure_future(fleet.fetch(path, "POST", wait_ms=20_000))
        await until(lambda: fleet.endpoints[0].requests)
        await stop(fleet)
        late = asyncio.ensure_future(fleet.fetch(path, "POST", wait_ms=20_000))
        for answer in await asyncio.gather(asking, late):
            assert (answer.status, answer.is_complete) == (504, True)
            assert b"isn't known" in answer.body
            assert answer.headers["connection"] == "close"
        assert not fleet.main.done()
        sent = fleet.endpoints[0].requests[1].headers
        assert int(sent["x-deadline-ms"]) <= (GRACE_S - 1.0) * 1000
        await fleet.main
        assert fleet.state.stop.cut == 2

    run_stopping(main)


def test_a_request_that_waits_for_a_place_is_refused_while_others_can_serve_it():
    async def main(fleet):
        await fleet.add(hangs(), service="app", capacity=1)
        running = asyncio.ensure_future(fleet.fetch("/once/1", wait_ms=20_000))
        await until(lambda: fleet.endpoints[0].requests)
        await fleet.configure(
            configuration(
                version=2,
                routes=[
                    route(
                        "look", "idempotent", "app", goal_ms=20_000, timeout_ms=30_000
                    )
                ],
            )
        )
        waiting = asyncio.ensure_future(fleet.fetch("/look/1", wait_ms=20_000))
        await until(lambda: fleet.state.own_work.waiting("app"))
        await stop(fleet)
        answer = await asyncio.wait_for(waiting, 0.5)
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) < 1.0
        assert answer.headers["connection"] == "close"
        assert len(fleet.endpoints[0].requests) == 1
        assert (await running).status == 504

    run_stopping(main)


def test_a_retry_that_does_not_fit_any_more_is_refused_as_not_run():
    async def late_decline(received, writer):
        await asyncio.sleep(1.2)
        await declines()(received, writer)

    async def main(fleet):
        await fleet.add(
            in_sequence(*[takes(1.0)] * 2, late_decline), service="app", name="i-1"
        )
        for _ in range(2):
            assert (await fleet.fetch("/look/1", wait_ms=20_000)).status == 200
        await stop(fleet)
        asking = asyncio.ensure_future(fleet.fetch("/once/1", wait_ms=20_000))
        await until(lambda: len(fleet.endpoints[0].requests) == 3)
        spare = await fleet.add(takes(1.0), service="app", name="i-2")
        # The route "once" has taken 1.2 s of 2 s so far.
        answer = await asking
        assert answer.status == 503
        assert not spare.requests

    run_stopping(main)


def test_a_stream_that_is_cut_does_not_look_complete():
    async def main(fleet):
        await fleet.add(streams(100, pause_s=0.1))
        answer = await fleet.stream(wait_ms=20_000)
        assert (answer.status, answer.is_complete) == (200, False)
        assert b"piece 10\n" in answer.body
        await fleet.main

    async def stopped(fleet):
        reading = asyncio.ensure_future(main(fleet))
        await until(lambda: fleet.endpoints and fleet.endpoints[0].requests)
        await stop(fleet)
        await reading
        assert fleet.state.stop.cut == 1

    run_stopping(stopped)


def test_an_answer_after_the_signal_closes_a_connection_that_was_kept():
    async def main(fleet):
        await fleet.add(takes(0.3), service="app")
        reader, writer = await fleet.send("/look/1")
        await until(lambda: fleet.endpoints[0].requests)
        await stop(fleet)
        answer = await read_answer(reader, writer)
        assert (answer.status, answer.headers["connection"]) == (200, "close")

    run_stopping(main)


def test_a_request_that_crosses_the_close_is_not_passed_on(monkeypatch):
    monkeypatch.setattr(drain, "READINESS_DETECTION_S", 0.1)
    closing = drain._close_connections

    async def close_late(servers):
        await asyncio.sleep(0.3)
        await closing(servers)

    monkeypatch.setattr(drain, "_close_connections", close_late)

    async def main(fleet):
        endpoint = await fleet.add(whole(), service="app")
        kept = [await fleet.send("/look/1") for _ in range(2)]
        for reader, writer in kept:
            await read_answer(reader, writer, keep_open=True)
        await stop(fleet)
        await until(lambda: fleet.state.stop.is_closing)
        _, writer = kept[0]
        writer.write(
            b"GET /look/1 HTTP/1.1\r\nHost: example.test\r\nX-Attempt-Id: x\r\n"
            b"Authorization: Token key-1\r\n\r\n"
        )
        await fleet.main
        assert len(endpoint.requests) == 2
        for _, writer in kept:
            with contextlib.suppress(ConnectionError):
                writer.close()

    run_stopping(main)


@pytest.mark.parametrize(("path", "late_s"), [("/look/1", 0.15), ("/once/1", 0.3)])
def test_work_that_takes_longer_than_ever_before_is_not_cut(path, late_s):
    async def main(fleet):
        work_s = 0.5
        await fleet.add(
            in_sequence(*[takes(work_s)] * 8, takes(work_s + late_s)), service="app"
        )
        for _ in range(8):
            assert (await fleet.fetch(path, "POST", wait_ms=20_000)).status == 200
        await stop(fleet)
        # The last moment at which a request of the usual length would still end.
        left_s = fleet.state.stop.left_s(asyncio.get_running_loop().time())
        await asyncio.sleep(left_s - 1.1 * work_s - 0.08)
        answer = await fleet.fetch(path, "POST", wait_ms=20_000)
        assert answer.status in (200, 503)
        assert (answer.status == 200) == (len(fleet.endpoints[0].requests) == 9)

    run_stopping(main)


def events_of(caplog, name):
    return [one for one in caplog.records if getattr(one, "event", "") == name]


@pytest.mark.parametrize("is_sent", (True, False))
def test_a_request_that_ends_with_its_connection_is_logged_as_cut(
    monkeypatch, caplog, is_sent
):
    # It was logged as one whose caller had gone, and wasn't counted.
    async def close_at_once(front, servers, stop):
        await drain._close_connections(servers)
        await drain._requests_ended(front)

    monkeypatch.setattr(app, "drain", close_at_once)
    caplog.set_level("INFO")

    async def main(fleet):
        await fleet.add(hangs(), service="app", capacity=1)
        kept = [await fleet.send("/look/1", wait_ms=20_000)]
        await until(lambda: fleet.endpoints[0].requests)
        if not is_sent:
            kept.append(await fleet.send("/look/2", wait_ms=20_000))
            await until(lambda: fleet.state.own_work.waiting("app"))
        await stop(fleet)
        await fleet.main
        cut = events_of(caplog, "cut_by_stop")
        assert [one.outcome for one in cut] == ["closed"] * (1 if is_sent else 2)
        # Other lines are dropped where there are too many.
        assert {one.levelname for one in cut} == {"WARNING"}
        assert {one.is_sent for one in cut} == ({True} if is_sent else {True, False})
        assert not events_of(caplog, "caller_gone")
        (stopped,) = events_of(caplog, "stopped")
        assert (stopped.running, stopped.cut) == (0, len(cut))
        for _, writer in kept:
            writer.close()

    run_stopping(main)


def test_the_line_of_a_stream_that_a_stop_cuts_says_what_was_expected(caplog):
    # It had neither, once the stream had begun.
    caplog.set_level("INFO")

    async def main(fleet):
        await fleet.add(streams(100, pause_s=0.1))
        reading = asyncio.ensure_future(fleet.stream(wait_ms=20_000))
        await until(lambda: events_of(caplog, "first_event"))
        await stop(fleet)
        assert not (await reading).is_complete
        await fleet.main
        (cut,) = events_of(caplog, "cut_by_stop")
        (sent,) = events_of(caplog, "sent")
        assert cut.request_id == sent.request_id
        for name in ("expected_ms", "likely_ms", "longest_ms", "running", "kv_tokens"):
            assert getattr(cut, name) == getattr(sent, name)
        assert (cut.prompt_tokens, cut.declared_tokens) == (5000, 200)
        assert cut.head_s <= cut.complete_s <= 0.0
        assert cut.sent_ms > cut.stream_ms > cut.longest_pause_ms >= 100
        assert cut.first_event_ms < cut.sent_ms - cut.stream_ms + 1
        assert (cut.others_now, cut.others_kv_tokens_now) == (0, 0)
        assert cut.placed_since_ms == 0

    run_stopping(main)


def test_a_caller_that_leaves_during_a_stop_is_logged_as_gone(caplog):
    caplog.set_level("INFO")

    async def main(fleet):
        await fleet.add(hangs(), service="app")
        _, writer = await fleet.send("/look/1", wait_ms=20_000)
        await until(lambda: fleet.endpoints[0].requests)
        await stop(fleet)
        await asyncio.sleep(0.2)
        writer.close()
        await until(lambda: events_of(caplog, "caller_gone"))
        assert not events_of(caplog, "cut_by_stop")
        assert not fleet.state.stop.cut

    run_stopping(main)


def test_a_stream_that_is_cut_for_memory_is_not_logged_as_left(monkeypatch, caplog):
    # "caller cut" was followed by "caller gone", though its caller was there.
    keepers = []
    monkeypatch.setattr(
        app,
        "MemoryKeeper",
        lambda *args: keepers.append(MemoryKeeper(*args)) or keepers[0],
    )
    caplog.set_level("INFO")

    async def main(fleet):
        await fleet.add(streams(100, pause_s=0.1))
        reading = asyncio.ensure_future(fleet.stream(wait_ms=20_000))
        await until(lambda: events_of(caplog, "first_event"))
        await stop(fleet)
        (caller,) = keepers[0]._callers.values()
        keepers[0].cut(caller, "over its share of the memory")
        answer = await reading
        assert (answer.status, answer.is_complete) == (200, False)
        await fleet.main
        assert len(events_of(caplog, "caller_cut")) == 1
        assert not events_of(caplog, "caller_gone")
        assert not events_of(caplog, "cut_by_stop")

    run_stopping(main)


def test_a_request_that_is_read_as_connections_close_gets_its_refusal(monkeypatch):
    # It was logged as refused, while its connection was closed without the answer.
    monkeypatch.setattr(drain, "READINESS_DETECTION_S", 0.1)
    request = (
        b"GET /look/1 HTTP/1.1\r\nHost: example.test\r\nX-Attempt-Id: x\r\n"
        b"Authorization: Token key-1\r\n\r\n"
    )
    writers = []

    async def read_last(front, servers, stop):
        for writer in writers:
            writer.write(request)
        for connection in list(servers[0]._connections):
            connection.stream._on_readable()
        assert len(front.running) == len(writers)

    monkeypatch.setattr(drain, "_quiet", read_last)

    async def main(fleet):
        endpoint = await fleet.add(whole(), service="app")
        kept = [await fleet.send("/look/1") for _ in range(3)]
        for reader, writer in kept:
            await read_answer(reader, writer, keep_open=True)
            writers.append(writer)
        await stop(fleet)
        await fleet.main
        for reader, writer in kept:
            answer = await read_answer(reader, writer)
            assert (answer.status, answer.is_complete) == (503, True)
        assert len(endpoint.requests) == len(kept)
        assert fleet.state.stop.refused == len(kept)

    run_stopping(main)


def test_the_log_says_how_late_a_signal_and_the_loop_were_handled(caplog):
    caplog.set_level("INFO")

    async def main(fleet):
        os.kill(os.getpid(), signal.SIGTERM)
        time.sleep(0.3)  # The handler has run, the loop hasn't.
        await until(lambda: fleet.state.is_stopping)
        await fleet.main
        for name in ("stop", "stopped"):
            (event,) = events_of(caplog, name)
            assert event.late_ms >= 290

    run_stopping(main)


def test_the_refusal_of_an_awaited_body_names_the_work_that_did_not_fit(caplog):
    # It was logged with 0 s of work, which fits into any stop.
    caplog.set_level("INFO")

    async def main(fleet):
        work_s = 1.5
        await fleet.add(takes(work_s), service="app")
        assert (await fleet.fetch("/look/1", "POST", wait_ms=20_000)).status == 200
        await stop(fleet)
        await asyncio.sleep(1.0)
        reader, writer = await asyncio.open_connection("127.0.0.1", fleet.front_port)
        writer.write(
            b"POST /look/2 HTTP/1.1\r\nHost: example.test\r\nX-Attempt-Id: a-1\r\n"
            b"X-Deadline-Ms: 9000\r\nAuthorization: Token key-1\r\n"
            b"Content-Length: 4\r\n\r\nab"
        )
        assert (await read_answer(reader, writer)).status == 503
        (refused,) = events_of(caplog, "refused_by_stop")
        assert refused.request_id == "a-1"
        assert refused.expected_s >= work_s > refused.left_s

    run_stopping(main)
