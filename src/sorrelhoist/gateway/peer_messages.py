"""Checks of messages between gateways.

A datagram may come from another program, or from a faulty build: fields that a message
can't do without may be missing, and times may lie in the future.
"""

from collections.abc import Iterable

from ..exceptions import PeerError
from ..messages.gen import ttypes

MAX_ID_CHARS = 255
"""Longest key of a record in the store."""

_REQUIRED: dict[type, tuple[str, ...]] = {
    ttypes.LoadReport: ("node_id", "boot_ms", "sequence"),
    ttypes.LoadUpdate: ("node_id", "boot_ms", "sequence"),
    ttypes.Suspicion: ("fingerprint", "death_id", "running_requests", "lifetime_ms"),
    ttypes.EndpointFailures: ("endpoint_id", "score_percent"),
    ttypes.NamedLimit: ("endpoint_id",),
    ttypes.LeavingEndpoint: ("endpoint_id",),
    ttypes.DirectoryUpdate: ("node_id", "era", "digest_before", "digest_after"),
    ttypes.DirectoryRecord: ("endpoint_id",),
    ttypes.PermitAsk: ("node_id", "ask_id", "endpoint_id"),
    ttypes.PermitGrant: ("ask_id", "endpoint_id"),
    ttypes.MemoryAsk: ("node_id", "ask_id", "address"),
    ttypes.MemoryAnswer: ("ask_id",),
    ttypes.FreshnessAsk: ("node_id", "ask_id"),
    ttypes.FreshnessAnswer: (
        *("node_id", "ask_id", "configuration_offset", "configuration_age_ms"),
        *("directory_digest", "directory_age_ms"),
    ),
}
"""Fields without which a message, or an item of one, means nothing."""

_AGES: dict[type, tuple[str, ...]] = {
    ttypes.LoadReport: ("configuration_age_ms",),
    ttypes.NamedLimit: ("age_ms",),
    ttypes.DirectoryUpdate: ("age_ms",),
    ttypes.FreshnessAnswer: ("configuration_age_ms", "directory_age_ms"),
}
"""Fields that may be missing, but not negative."""

_IDS = ("node_id", "endpoint_id")


def check_message(message: object) -> None:
    """Check the fields that a message and its items can't do without.

    Loads of endpoints aren't checked: there are many, and each field has a default.

    Raises
    ------
    PeerError
        If such a field is missing, an id is empty or too long, or an age is negative.
    """
    _check(message)
    for item in _items(message):
        _check(item)


def _items(message: object) -> Iterable[object]:
    match message:
        case ttypes.LoadReport():
            return (
                *(message.suspicions or ()),
                *(message.part_suspicions or ()),
                *(message.failures or ()),
                *(message.named_limits or ()),
                *(message.leaving or ()),
            )
        case ttypes.DirectoryUpdate():
            return message.records or ()
        case _:
            return ()


def _check(part: object) -> None:
    for name in _REQUIRED.get(type(part), ()):
        value = getattr(part, name)
        is_id = name in _IDS
        if value is None or (is_id and not 0 < len(value) <= MAX_ID_CHARS):
            raise _refusal(part, name)
    for name in _AGES.get(type(part), ()):
        if (getattr(part, name) or 0) < 0:
            raise _refusal(part, name)


def _refusal(part: object, name: str) -> PeerError:
    return PeerError(
        f"{type(part).__name__} without a usable {name}.",
        "Run the same release on both sides.",
    )
