"""The store comes back from an older copy: nothing that was known since is undone.

The store gives out the offsets of the lost records again, and operators and endpoints
write again what they had written.
"""

import asyncio
import logging
import time
from contextlib import AsyncExitStack

from sorrelhoist.decisions.directory import REMOVAL_HOLD_S
from sorrelhoist.platform.source import PEER_TOPIC
from tests.gateway.test_freshness import run_with_fleet as run_with_gateways
from tests.platform.fleet import (
    KEY,
    configuration,
    run_with_fleet,
    running_gateway,
    until,
)
from tests.platform.standins import streams, whole

RETURN_TIME_LIMIT_S = 2.0
"""Time within which a live endpoint registers again, as the platform's pages say."""


def evacuate(store, domain, out=True):
    store.put("keyed.op", f"evacuate/{domain}", {} if out else None)


def now_s():
    return asyncio.get_running_loop().time()


async def restored(fleet, copy):
    """Restore the store from a copy and wait until the gateway has noticed."""
    before = fleet.state.store_restorations
    fleet.store.restore(copy)
    await until(lambda: fleet.state.store_restorations > before)
    await asyncio.sleep(0.3)


# Offsets


def test_a_record_at_an_offset_that_is_in_use_again_is_not_skipped():
    async def main(fleet):
        copy = fleet.store.copy()
        for domain in ("zone-x", "zone-y"):
            evacuate(fleet.store, domain)
        await until(lambda: len(fleet.state.directory.domains_out) == 2)
        fleet.store.restore(copy)
        # The gateway's offset is valid again at once, with other records before it.
        fleet.store.put("keyed.op", "config", configuration(2, keys=["other"]))
        evacuate(fleet.store, "zone-z")
        evacuate(fleet.store, "zone-z")
        await until(lambda: fleet.state.table.version == 2)
        await until(lambda: "zone-z" in fleet.state.directory.domains_out)
        assert (await fleet.fetch()).status == 401

    run_with_fleet(main)


def test_gateways_in_different_eras_do_not_confirm_each_other():
    async def main(found, store):
        copy = store.copy()
        evacuate(store, "zone-x")
        await until(lambda: all(one.state.directory.domains_out for one in found))
        store.restore(copy)
        store.put("keyed.op", "config", configuration(2, keys=["other"]))
        written_s = time.monotonic()
        await until(lambda: all(one.state.table.version == 2 for one in found))
        assert time.monotonic() - written_s < 1.5
        assert {(await one.fetch()).status for one in found} == {401}
        assert all(one.state.store_restorations == 1 for one in found)

    run_with_gateways(main)


# Configuration and keys


def test_a_removed_key_stays_removed_while_the_copy_has_it():
    async def main(fleet):
        await fleet.add(whole(), service="app")
        copy = fleet.store.copy()
        await fleet.configure(configuration(2, keys=["other"]))
        await restored(fleet, copy)
        for _ in range(10):
            assert (await fleet.fetch()).status == 401
            await asyncio.sleep(0.1)
        assert (await fleet.fetch(key="other")).status == 200
        assert fleet.state.table.version == 2

    run_with_fleet(main)


def test_a_gateway_that_starts_on_a_copy_does_not_use_the_keys_of_its_configuration():
    async def main(found, store):
        endpoint = await found[0].add(whole(), service="app")
        copy = store.copy()
        newer = configuration(2, keys=["other"])
        await found[0].configure(newer)
        await until(lambda: all(one.state.table.version == 2 for one in found))
        store.restore(copy)
        found[0].register(endpoint, backend="app")
        async with AsyncExitStack() as stack:
            late = await stack.enter_async_context(
                running_gateway(store, node_id="gateway-late")
            )
            await until(lambda: late.state.table is not None)
            for _ in range(30):
                assert (await late.fetch(wait_ms=500)).status == 503
                assert not await late.is_ready()
                await asyncio.sleep(0.05)
            store.put("keyed.op", "config", newer)
            await until(lambda: late.state.table.version == 2)
            await until(lambda: late.knows(endpoint, "app", now_s()))
            assert (await late.fetch()).status == 401
            assert (await late.fetch(key="other")).status == 200
            assert await late.is_ready()

    run_with_gateways(main)


def test_a_gateway_that_missed_a_version_does_not_take_the_copy_for_the_newest():
    async def main(found, store):
        await found[0].add(whole(), service="app")
        behind = found[0].state
        # It believes an older version, as if cut off while the newer one was written.
        newer = configuration(2, keys=["other"])
        copy = store.copy()
        await found[0].configure(newer)
        await until(lambda: all(one.state.table.version == 2 for one in found))
        older = behind.table
        store.restore(copy)
        behind.table = None
        behind.adopt(_with_version(older, 1))
        await until(lambda: not behind.contact.may_use_keys(_boot_time_s()))
        assert (await found[0].fetch(wait_ms=500)).status == 503
        store.put("keyed.op", "config", newer)
        await until(lambda: behind.contact.may_use_keys(_boot_time_s()))
        assert (await found[0].fetch()).status == 401

    run_with_gateways(main)


def _with_version(table, version):
    import attrs

    return attrs.evolve(table, version=version)


def _boot_time_s():
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def test_a_gateway_that_starts_alone_on_a_copy_serves():
    async def main(fleet):
        await fleet.add(whole(), service="app")
        fleet.store.era = 5
        async with running_gateway(fleet.store, node_id="gateway-2") as second:
            await until(lambda: second.state.contact.may_use_keys(_boot_time_s()))
            assert second.state.store_restorations == 0
            assert (await second.fetch(key=KEY)).status in (200, 503)

    run_with_fleet(main)


# Failure domains


def test_a_domain_taken_out_since_the_copy_stays_out_until_its_record_says_otherwise():
    async def main(fleet):
        endpoint = await fleet.add(streams(2), zone="zone-b")
        copy = fleet.store.copy()
        evacuate(fleet.store, "zone-b")
        await until(lambda: fleet.state.directory.domains_out)
        await restored(fleet, copy)
        for _ in range(10):
            fleet.register(endpoint, zone="zone-b")
            assert (await fleet.stream(wait_ms=300)).status == 503
        evacuate(fleet.store, "zone-b")
        await asyncio.sleep(0.2)
        assert fleet.state.directory.domains_out == {"zone-b"}
        evacuate(fleet.store, "zone-b", out=False)
        await until(lambda: not fleet.state.directory.domains_out)
        assert (await fleet.stream()).status == 200

    run_with_fleet(main)


def test_a_domain_put_back_since_the_copy_is_back_with_its_record():
    async def main(fleet):
        evacuate(fleet.store, "zone-b")
        await until(lambda: fleet.state.directory.domains_out)
        copy = fleet.store.copy()
        evacuate(fleet.store, "zone-b", out=False)
        await until(lambda: not fleet.state.directory.domains_out)
        await restored(fleet, copy)
        evacuate(fleet.store, "zone-b", out=False)
        await until(lambda: not fleet.state.directory.domains_out)

    run_with_fleet(main)


# Endpoints


def test_an_endpoint_that_is_leaving_does_not_become_ready_by_an_old_record():
    async def main(fleet):
        leaving = await fleet.add(whole(), service="app")
        copy = fleet.store.copy()
        fleet.register(leaving, backend="app", state="draining")
        await until(lambda: not fleet.knows(leaving, "app", now_s()))
        await restored(fleet, copy)
        for _ in range(10):
            assert not fleet.knows(leaving, "app", now_s())
            await asyncio.sleep(0.05)

    run_with_fleet(main)


def test_an_endpoint_that_has_gone_does_not_become_ready_by_an_old_record():
    async def main(fleet):
        gone = await fleet.add(whole(), service="app")
        copy = fleet.store.copy()
        fleet.store.put("keyed.servers", gone.endpoint_id, None)
        await until(lambda: not fleet.knows(gone, "app", now_s()))
        await restored(fleet, copy)
        assert not fleet.knows(gone, "app", now_s())
        await asyncio.sleep(REMOVAL_HOLD_S)
        assert not fleet.knows(gone, "app", now_s())
        # A registration that is written now is a new one.
        fleet.register(gone, backend="app")
        await until(lambda: fleet.knows(gone, "app", now_s()))

    run_with_fleet(main)


def test_a_live_endpoint_that_the_copy_lacks_keeps_serving():
    async def main(fleet):
        copy = fleet.store.copy()
        lost = await fleet.add(whole(), service="app")
        await restored(fleet, copy)
        assert (await fleet.fetch()).status == 200
        await asyncio.sleep(1.2)
        assert (await fleet.fetch()).status == 200
        fleet.register(lost, backend="app")
        await asyncio.sleep(REMOVAL_HOLD_S)
        assert (await fleet.fetch()).status == 200

    run_with_fleet(main)


def test_an_endpoint_that_does_not_register_again_is_taken_as_gone():
    async def main(fleet):
        copy = fleet.store.copy()
        lost = await fleet.add(whole(), service="app")
        restored_s = time.monotonic()
        await restored(fleet, copy)
        await until(lambda: not fleet.knows(lost, "app", now_s()))
        assert time.monotonic() - restored_s < RETURN_TIME_LIMIT_S + 1.5
        assert (await fleet.fetch(wait_ms=500)).status == 503

    run_with_fleet(main)


# The list of gateways


def test_gateways_that_the_copy_lacks_write_themselves_again_at_once():
    async def main(found, store):
        names = {one.state.node_id for one in found}
        assert {key for key, _ in store.topics[PEER_TOPIC]} == names
        store.restore({**store.copy(), PEER_TOPIC: []})
        started_s = time.monotonic()
        await until(lambda: {key for key, _ in store.topics[PEER_TOPIC]} == names)
        assert time.monotonic() - started_s < RETURN_TIME_LIMIT_S
        await asyncio.sleep(1.0)
        assert len(store.topics[PEER_TOPIC]) == len(names)

    run_with_gateways(main)


# Logs and metrics


def test_a_restoration_is_logged_with_what_was_kept(caplog):
    async def main(fleet):
        # A gateway may serve before its own entry is written.
        await until(lambda: fleet.store.topics.get(PEER_TOPIC))
        copy = fleet.store.copy()
        leaving = await fleet.add(whole(), service="app")
        evacuate(fleet.store, "zone-b")
        await until(lambda: fleet.state.directory.domains_out)
        await restored(fleet, copy)
        events = {one.event: one for one in caplog.records if hasattr(one, "event")}
        assert (events["store_era"].former_era, events["store_era"].era) == (1, 2)
        assert events["restored_operator"].domains_missing == ["zone-b"]
        assert events["restored_directory"].missing == (leaving.endpoint_id,)
        assert events["restored_gateways"].own_entry == "kept"

    caplog.set_level(logging.INFO)
    run_with_fleet(main)
