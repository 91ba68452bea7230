"""A gateway process on the users' platform, from its settings."""

import asyncio
import logging
import random
import time

import attrs

from ..decisions.retries import SharedRetryBudget
from ..decisions.store_contact import StoreContact
from ..exceptions import SettingsError
from ..gateway.app import Addresses, Gateway
from ..gateway.peer_exchange import PeerExchange
from ..gateway.sockets import Sockets
from ..gateway.state import GatewayState
from ..node.logs import configure_logging
from .dialect import PlatformDialect
from .settings import PlatformSettings, load_settings
from .source import PlatformSource

logger = logging.getLogger(__name__)

SETTINGS_POLL_S = 2.0
"""Interval between two checks of the settings file, which may change without a
signal."""

MS_PER_S = 1000


@attrs.define(eq=False, repr=False)
class SettingsWatcher:
    """Reloads the settings file when it changes.

    Only `PlatformSettings.revoke_s` takes effect in the running process; other changes
    are logged and need a restart.

    Parameters
    ----------
    settings : PlatformSettings
        Settings as last loaded.
    state : GatewayState
    """

    settings: PlatformSettings
    state: GatewayState

    def reload(self) -> None:
        """Reload the file; if it is invalid, log that and keep the settings."""
        try:
            loaded = load_settings()
        except SettingsError as error:
            logger.error(
                "settings refused", extra={"event": "reload", "reason": str(error)}
            )
            return
        if loaded == self.settings:
            return
        before, after = attrs.asdict(self.settings), attrs.asdict(loaded)
        changed = sorted(name for name in after if after[name] != before[name])
        logger.info("settings changed", extra={"event": "reload", "fields": changed})
        self.settings = loaded
        self.state.contact.revoke_s = loaded.revoke_s

    async def run(self) -> None:
        """Poll the file until cancelled."""
        while True:
            await asyncio.sleep(SETTINGS_POLL_S)
            self.reload()


def run(settings: PlatformSettings, sockets: Sockets) -> None:
    """Run the gateway until it receives a stop signal.

    Parameters
    ----------
    settings : PlatformSettings
    sockets : mapping of str to socket
        Listening sockets that are open already.
    """
    configure_logging("INFO", settings.node_id, "gateway")
    state = GatewayState(
        node_id=settings.node_id,
        failure_domain=settings.failure_domain,
        contact=StoreContact(settings.revoke_s),
        shared_retries=SharedRetryBudget(
            ratio=settings.retry_ratio,
            slack=settings.retry_slack,
            window_s=settings.retry_window_s,
        ),
        rng=random.Random(f"{settings.node_id} {time.time_ns()}"),
        limits=settings.limits,
        overload_parts=settings.overload_parts,
    )
    watch = SettingsWatcher(settings, state)

    async def follow(exchange: PeerExchange) -> None:
        async with asyncio.TaskGroup() as group:
            group.create_task(PlatformSource(settings, state, exchange).run())
            group.create_task(watch.run())

    addresses = Addresses(
        host=settings.address,
        front=settings.front_address,
        ready=settings.ready_address,
        peer_port=settings.peer_port,
        metrics_port=settings.metrics_port,
    )
    process = Gateway(
        state=state,
        dialect=PlatformDialect(),
        addresses=addresses,
        grace_s=settings.grace_s,
        boot_ms=int(time.time() * MS_PER_S),
        follow=follow,
        reload=watch.reload,
        sockets=sockets,
    )
    asyncio.run(process.run())
