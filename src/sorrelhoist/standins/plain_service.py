"""The stand-in plain service, which counts effects and never deduplicates them."""

import asyncio
import json
import secrets
from collections import Counter

import attrs
from tornado.web import Application

from .server import RestartableServer
from .web import JsonHandler, change

BOOT_ID_BYTES = 8


@attrs.frozen
class PlainServiceOptions:
    """Options of the stand-in plain service.

    Parameters
    ----------
    lookup : bool
        Whether answers can be looked up by idempotency key.
    restart_s : float
        Time from a crash to the next boot.
    cold_s : float
        Time after a boot during which the status is cold.
    """

    lookup: bool = False
    restart_s: float = 2.0
    cold_s: float = 0.0


@attrs.define
class PlainServiceFaults:
    """Active faults; each count or flag is used up when its fault is applied.

    Parameters
    ----------
    die_before_effect, die_after_effect : bool
        The next call crashes the service before or after its effect.
    lose_answer_count : int
        Number of calls to run without an answer.
    delay_s : float
        Delay of each call before its effect, even if its caller has disconnected.
    refuse_count : int
        Number of calls to answer 503 without an effect.
    """

    die_before_effect: bool = False
    die_after_effect: bool = False
    lose_answer_count: int = 0
    delay_s: float = 0.0
    refuse_count: int = 0


@attrs.frozen
class PlainServiceFaultChange:
    """Body of `POST /faults`; None leaves a fault unchanged.

    Parameters
    ----------
    die : bool, optional
        Crash the service now.
    """

    die: bool | None = None
    die_before_effect: bool | None = None
    die_after_effect: bool | None = None
    lose_answer_count: int | None = None
    delay_s: float | None = None
    refuse_count: int | None = None


@attrs.frozen
class Effect:
    """Effect of one call; `effect` numbers the effects of the service."""

    effect: int
    key: str
    workspace: str


class PlainService:
    """One plain service, whose effects survive its crashes.

    Parameters
    ----------
    options : PlainServiceOptions
        Options of the service.
    """

    def __init__(self, options: PlainServiceOptions) -> None:
        self.options = options
        self.faults = PlainServiceFaults()
        self.effects: Counter[str] = Counter()
        self.answers: dict[str, Effect] = {}
        self.waiting_calls = 0
        self._server: RestartableServer | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._boot()

    def start(self, server: RestartableServer) -> None:
        """Set the server, which goes down at each crash, and begin a boot."""
        self._server = server
        self._boot()

    async def stop(self) -> None:
        """Stop permanently."""
        if self._timer is not None:
            self._timer.cancel()
        if self._server is not None:
            await self._server.stop()

    @property
    def state(self) -> str:
        """``cold`` or ``serving``."""
        warm_at_s = self._booted_at_s + self.options.cold_s
        return "cold" if asyncio.get_running_loop().time() < warm_at_s else "serving"

    def run(self, key: str, workspace: str) -> Effect:
        """Run one effect."""
        self.effects[key] += 1
        self.answers[key] = Effect(self.effects.total(), key, workspace)
        return self.answers[key]

    def die(self) -> None:
        """Crash: close all connections and restart after `restart_s`."""
        if self._server is None or not self._server.alive:
            return
        self._server.die()
        # Delayed calls belong to the boot that ends here and must have no effect.
        self._boot()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self.options.restart_s, self._restart)

    def _restart(self) -> None:
        self._boot()
        if self._server is not None:
            self._server.restart()

    def _boot(self) -> None:
        self.boot_id = secrets.token_hex(BOOT_ID_BYTES)
        self._booted_at_s = asyncio.get_running_loop().time()


class _Handler(JsonHandler):
    def initialize(self, service: PlainService) -> None:
        """Set the service."""
        self.service = service


class _CallHandler(_Handler):
    """Calls: any path without a handler of its own."""

    async def _call(self, path: str) -> None:
        faults = self.service.faults
        boot_id = self.service.boot_id
        if faults.delay_s:
            self.service.waiting_calls += 1
            await asyncio.sleep(faults.delay_s)
            self.service.waiting_calls -= 1
        if boot_id != self.service.boot_id:
            return
        if faults.refuse_count > 0:
            faults.refuse_count -= 1
            self.refuse(503, "refused")
            return
        if faults.die_before_effect:
            faults.die_before_effect = False
            self.service.die()
            return
        key = self.request.headers.get("Idempotency-Key", "")
        workspace = self.request.headers.get("X-Workspace", "")
        answer = self.service.run(key, workspace)
        if faults.die_after_effect:
            faults.die_after_effect = False
            self.service.die()
            return
        if faults.lose_answer_count > 0:
            faults.lose_answer_count -= 1
            self.cut()
            return
        self.reply_with(answer)

    get = post = put = delete = patch = _call


class _EffectsHandler(_Handler):
    """``/effects``."""

    def get(self) -> None:
        """Return the number of effects per idempotency key."""
        self.finish(json.dumps(self.service.effects))


class _LookupHandler(_Handler):
    """``/lookup/KEY``."""

    def get(self, key: str) -> None:
        """Return the recorded answer of a call."""
        if not self.service.options.lookup or key not in self.service.answers:
            self.refuse(404, "unknown")
            return
        self.reply_with(self.service.answers[key])


class _StatusHandler(_Handler):
    """``/status``."""

    def get(self) -> None:
        """Return the boot id and the state."""
        self.reply(200, boot_id=self.service.boot_id, state=self.service.state)


class _FaultsHandler(_Handler):
    """``/faults``."""

    def post(self) -> None:
        """Apply a change of faults; ``die`` crashes the service now."""
        faults = self.body(PlainServiceFaultChange)
        change(self.service.faults, faults)
        self.reply(200)
        if faults.die:
            self.service.die()


def plain_service_application(service: PlainService) -> Application:
    """Return the web application of a plain service."""
    take = {"service": service}
    return Application(
        [
            (r"/effects", _EffectsHandler, take),
            (r"/lookup/([^/]+)", _LookupHandler, take),
            (r"/status", _StatusHandler, take),
            (r"/faults", _FaultsHandler, take),
            (r"(/.*)", _CallHandler, take),
        ],
        log_function=lambda handler: None,
    )
