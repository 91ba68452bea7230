"""Components that all exchanges of a gateway share."""

import attrs

from .admission_hold import AdmissionHold
from .dispatch import Dispatcher
from .memory import MemoryKeeper
from .metrics import GatewayMetrics
from .ports import Dialect
from .reservations import Reserver
from .state import GatewayState


@attrs.frozen(kw_only=True)
class GatewayParts:
    """The shared components of one gateway.

    Parameters
    ----------
    state : GatewayState
    dispatcher : Dispatcher
    reserver : Reserver
    dialect : Dialect
    metrics : GatewayMetrics
    memory : MemoryKeeper
    hold : AdmissionHold
    """

    state: GatewayState
    dispatcher: Dispatcher
    reserver: Reserver
    dialect: Dialect
    metrics: GatewayMetrics
    memory: MemoryKeeper
    hold: AdmissionHold = attrs.field(
        default=attrs.Factory(lambda self: AdmissionHold(self.state), takes_self=True)
    )
