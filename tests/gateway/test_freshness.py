"""A few gateways poll the store; the others stay as fresh by freshness queries."""

import asyncio
import contextlib
import time
from contextlib import AsyncExitStack, asynccontextmanager

from sorrelhoist.decisions.store_contact import StoreContact
from sorrelhoist.decisions.store_readers import READER_COUNT
from sorrelhoist.messages.gen import ttypes
from tests.platform.fleet import configuration, running_gateway, until
from tests.platform.standins import Store, whole

GATEWAY_COUNT = 5


@asynccontextmanager
async def gateways(count=GATEWAY_COUNT, **settings):
    store = await Store().start()
    store.put("keyed.op", "config", configuration())
    async with AsyncExitStack() as stack:
        found = [
            await stack.enter_async_context(
                running_gateway(store, node_id=f"gateway-{number}", **settings)
            )
            for number in range(count)
        ]
        await until(lambda: all(one.state.table for one in found))
        now = asyncio.get_running_loop().time
        await until(
            lambda: all(len(one.state.loads.peers(now())) == count - 1 for one in found)
        )
        await asyncio.sleep(1.0)
        yield found
        await store.stop()


def run_with_fleet(main, **settings):
    async def run():
        async with asyncio.timeout(60.0), gateways(**settings) as found:
            await main(found, found[0].store)

    asyncio.run(run())


def reads_per_s(store, seconds):
    newest = [r for r in store.received if r.at_s > time.monotonic() - seconds]
    return len(newest) / seconds


def all_fresh(found):
    now_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    return all(one.state.contact.is_fresh(now_s) for one in found)


def test_store_read_rate_does_not_grow_with_the_fleet():
    async def main(found, store):
        await asyncio.sleep(5.5)
        assert all_fresh(found)
        assert reads_per_s(store, 5.0) <= READER_COUNT * 2.6
        # In 2.5 s a reader makes at most 4 long polls and 3 reads of the directory.
        assert reads_per_s(store, 2.5) <= READER_COUNT * (4 + 3) / 2.5

    run_with_fleet(main)


def test_revoked_key_is_refused_by_all_gateways():
    async def main(found, store):
        endpoint = await found[0].add(whole(), service="app")
        now = asyncio.get_running_loop().time
        await until(lambda: all(one.knows(endpoint, "app", now()) for one in found))
        assert {(await one.fetch()).status for one in found} == {200}
        store.put("keyed.op", "config", configuration(2, keys=["other"]))
        written_s = time.monotonic()
        await until(lambda: all(one.state.table.version == 2 for one in found))
        assert time.monotonic() - written_s < 1.5
        assert {(await one.fetch()).status for one in found} == {401}

    run_with_fleet(main)


def test_gateways_do_not_confirm_each_other_without_the_store():
    async def main(found, store):
        store.mode = "silent"
        lost_s = time.monotonic()
        await until(
            lambda: not any(one.state.contact.may_use_keys(_now_s()) for one in found)
        )
        assert time.monotonic() - lost_s < 2.6

    run_with_fleet(main, revoke_s=3.0)


def _now_s():
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def test_gateways_stay_fresh_when_the_readers_are_gone():
    async def main(found, store):
        now = asyncio.get_running_loop().time
        reading = [one for one in found if one.is_reader(now())]
        assert len(reading) == READER_COUNT
        for one in reading:
            one.main.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await one.main
        rest = [one for one in found if one not in reading]
        for _ in range(30):
            await asyncio.sleep(0.1)
            assert all_fresh(rest)

    run_with_fleet(main)


def test_an_answer_of_a_build_without_eras_confirms_nothing():
    async def main(found, store):
        now_s = asyncio.get_running_loop().time()
        asking = next(one for one in found if not one.is_reader(now_s))
        freshness = asking.exchange.freshness
        await until(lambda: freshness.configuration_s() is not None)
        own = freshness.own
        answer = {
            "node_id": "gateway-old",
            "configuration_offset": own.configuration.offset,
            "configuration_age_ms": 0,
            "directory_digest": asking.state.directory.digest,
            "directory_age_ms": 0,
        }

        def answer_now(**more):
            freshness._pending[-1] = _now_s()
            body = ttypes.FreshnessAnswer(ask_id=-1, **answer, **more)
            freshness.message_received(body)

        answer_now()
        assert freshness.configuration_s() is None
        assert freshness.directory_s() is None
        era = own.configuration.era
        answer_now(configuration_era=era, directory_era=era)
        assert freshness.configuration_s() is not None
        assert freshness.directory_s() is not None
        answer_now(configuration_era=era + 1, directory_era=era + 1)
        assert freshness.configuration_s() is None
        assert freshness.directory_s() is None

    run_with_fleet(main)


# Retry-After of refusals by gateways that have lost the store


class LostContact(StoreContact):
    """Contact of a gateway whose reads of the store never complete."""

    def read_completed(self, sent_s):
        pass


def test_a_gateway_alone_without_the_store_sends_callers_to_others_at_once():
    # Replays lumenvale-perth trouble-1, 4 to 12 s: one gateway is turned away by the
    # store, and callers that came back after 0.2 s missed an objective of 0.3 s.
    async def main(found, store):
        found[0].state.contact = LostContact(revoke_s=5.0)
        refused = await found[0].fetch()
        assert refused.status == 503
        assert float(refused.headers["retry-after"]) <= 0.1

    run_with_fleet(main)


def test_gateways_that_have_all_lost_the_store_ask_callers_to_wait():
    # A caller that came back at once was refused again, and lost.
    async def main(found, store):
        for one in found:
            one.state.contact = LostContact(revoke_s=5.0)
        await asyncio.sleep(1.5)
        for one in found:
            refused = await one.fetch()
            assert refused.status == 503
            assert 1.0 <= float(refused.headers["retry-after"]) <= 4.0

    run_with_fleet(main)


# An outage of the store for all gateways


def test_an_outage_costs_few_calls_and_ends_at_once_for_all():
    # Each gateway repeated each read every 0.1 s, a load that grew with the fleet.
    async def main(found, store):
        store.mode = "busy"
        await asyncio.sleep(6.0)
        # Two readers probe at most each 0.2 s, the others together four times a second,
        # and reads of the directory are rare.
        assert reads_per_s(store, 3.0) <= 2 * 5 + 2 * 4 + 1
        store.mode = "up"
        back_s = time.monotonic()
        await until(lambda: all_fresh(found))
        assert time.monotonic() - back_s < 1.2

    run_with_fleet(main)


def test_an_outage_costs_no_more_calls_than_usual():
    async def main(found, store):
        store.mode = "busy"
        await asyncio.sleep(6.0)
        assert reads_per_s(store, 3.0) <= READER_COUNT * 2.6

    run_with_fleet(main)


def test_a_configuration_that_changes_in_an_outage_is_in_force_soon_after_it():
    async def main(found, store):
        store.mode = "busy"
        await asyncio.sleep(5.0)
        store.put("keyed.op", "config", configuration(2, keys=["other"]))
        store.mode = "up"
        back_s = time.monotonic()
        await until(lambda: all(one.state.table.version == 2 for one in found))
        assert time.monotonic() - back_s < 1.5
        assert all_fresh(found)

    run_with_fleet(main)
