"""Start a gateway on the users' platform."""

import asyncio
import random
import time

from ..decisions.retries import RetryBudget
from ..decisions.store_contact import StoreContact
from ..gateway.app import Addresses, run_gateway
from ..gateway.load_exchange import LoadExchange
from ..gateway.state import GatewayState
from ..node.logs import configure_logging
from .dialect import PlatformDialect
from .settings import PlatformSettings, load_settings
from .source import PlatformSource

ASSUMED_GATEWAYS = 5
"""Processes that share the retry budget; the sites of the milestone have 4 and 5."""

BUDGET_SHARE = 0.5
"""Part of the shared budget that is used, since load is uneven over gateways."""

MS_PER_S = 1000


def retry_budget(settings: PlatformSettings) -> RetryBudget:
    """Return this process's share of the budget of all."""
    share = BUDGET_SHARE / ASSUMED_GATEWAYS
    return RetryBudget(
        ratio=settings.retry_ratio * BUDGET_SHARE,
        floor_per_s=settings.retry_slack * share / settings.retry_window_s,
        max_balance=settings.retry_slack * share,
    )


def run() -> None:
    """Serve until a signal asks to stop."""
    settings = load_settings()
    configure_logging("INFO", settings.node_id, "gateway")
    state = GatewayState(
        node_id=settings.node_id,
        failure_domain=settings.failure_domain,
        contact=StoreContact(settings.revoke_s),
        retries=retry_budget(settings),
        rng=random.Random(f"{settings.node_id} {time.time_ns()}"),
    )

    async def follow(exchange: LoadExchange) -> None:
        await PlatformSource(settings, state, exchange).run()

    addresses = Addresses(
        host=settings.address,
        front=settings.front_address,
        ready=settings.ready_address,
        peer_port=settings.peer_port,
        metrics_port=settings.metrics_port,
    )
    asyncio.run(
        run_gateway(
            state=state,
            dialect=PlatformDialect(),
            addresses=addresses,
            grace_s=settings.grace_s,
            boot_ms=int(time.time() * MS_PER_S),
            follow=follow,
            metrics_text=lambda: "",
        )
    )
