"""Gateways find the end of an outage of the store also when those that probe end."""

import asyncio
import time

from tests.gateway.test_freshness import all_fresh, run_with_fleet
from tests.gateway.test_restarts import stopped
from tests.platform.fleet import until


def test_the_next_gateways_probe_when_the_readers_end_in_an_outage():
    # The others' backoff is 10 to 20 s: without the takeover nobody would find the end.
    async def main(found, store):
        now = asyncio.get_running_loop().time
        store.mode = "busy"
        await asyncio.sleep(5.0)
        reading = [one for one in found if one.is_reader(now())]
        rest = [one for one in found if one not in reading]
        await stopped(reading)
        await until(lambda: any(one.is_reader(now()) for one in rest))
        await asyncio.sleep(0.3)
        store.mode = "up"
        back_s = time.monotonic()
        await until(lambda: all_fresh(rest))
        assert time.monotonic() - back_s < 1.5

    run_with_fleet(main)
