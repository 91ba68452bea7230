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
from ..gateway.supervision import supervise
from ..node.logs import configure_logging
from ..node.signal_inbox import SignalInbox
from .dialect import PlatformDialect
from .settings import PlatformSettings, load_settings
from .source import PlatformSource

logger = logging.getLogger(__name__)

SETTINGS_POLL_S = 2.0
"""Interval between two checks of the settings file, which may change without a
signal."""

MS_PER_S = 1000

RELOADED_FIELDS = {
    "revoke_s",
    "grace_s",
    "retry_ratio",
    "retry_slack",
    "retry_window_s",
    "limits",
}
"""Settings that take effect in a running process."""


@attrs.define(eq=False, repr=False)
class SettingsWatcher:
    """Reloads the settings file when it changes.

    Bounds and limits take effect in the running process; a change of another field is
    logged and needs a restart.

    Parameters
    ----------
    settings : PlatformSettings
        Settings as last loaded.
    state : GatewayState
    gateway : Gateway or None
        Its grace period follows the settings.
    """

    settings: PlatformSettings
    state: GatewayState
    gateway: Gateway | None = None

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
        restart = sorted(set(changed) - RELOADED_FIELDS)
        logger.log(
            logging.WARNING if restart else logging.INFO,
            "settings changed; restart to apply some"
            if restart
            else "settings changed",
            extra={"event": "reload", "fields": changed, "need_restart": restart},
        )
        self.settings = loaded
        self._apply(loaded, time.monotonic())

    def _apply(self, loaded: PlatformSettings, now_s: float) -> None:
        self.state.contact.revoke_s = loaded.revoke_s
        self.state.shared_retries = shared_retries(loaded)
        self.state.retries.change_shared(self.state.shared_retries, now_s)
        self.state.limits = loaded.limits
        self.state.memory.set_limit(loaded.limits.memory_bytes)
        if self.gateway is not None:
            self.gateway.grace_s = loaded.grace_s

    async def run(self) -> None:
        """Poll the file until cancelled."""
        while True:
            await asyncio.sleep(SETTINGS_POLL_S)
            self.reload()


def shared_retries(settings: PlatformSettings) -> SharedRetryBudget:
    """Return the retry budget of all gateways together."""
    return SharedRetryBudget(
        ratio=settings.retry_ratio,
        slack=settings.retry_slack,
        window_s=settings.retry_window_s,
    )


def run(settings: PlatformSettings, sockets: Sockets, signals: SignalInbox) -> None:
    """Run the gateway until it receives a stop signal.

    Parameters
    ----------
    settings : PlatformSettings
    sockets : mapping of str to socket
        Listening sockets that are open already.
    signals : SignalInbox
    """
    configure_logging("INFO", settings.node_id, "gateway")
    state = GatewayState(
        node_id=settings.node_id,
        failure_domain=settings.failure_domain,
        contact=StoreContact(settings.revoke_s),
        shared_retries=shared_retries(settings),
        rng=random.Random(f"{settings.node_id} {time.time_ns()}"),
        limits=settings.limits,
        overload_parts=settings.overload_parts,
    )
    watch = SettingsWatcher(settings, state)

    async def follow(exchange: PeerExchange) -> None:
        async with asyncio.TaskGroup() as group:
            group.create_task(PlatformSource(settings, state, exchange).run())
            group.create_task(supervise("settings", watch.run, state.task_failures))

    addresses = Addresses(
        host=settings.address,
        front=settings.front_address,
        ready=settings.ready_address,
        peer_port=settings.peer_port,
        peer_port_count=settings.peer_port_count,
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
        signals=signals,
    )
    watch.gateway = process
    try:
        asyncio.run(process.run())
    except Exception:
        logger.critical("process failed", exc_info=True, extra={"event": "exit"})
        raise
    logger.info(
        "process ends",
        extra={"event": "exit", "stop_signal": signals.stop_s is not None},
    )
