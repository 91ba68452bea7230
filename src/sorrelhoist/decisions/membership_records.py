"""Member records: precedence between versions, encoding and decoding."""

from enum import StrEnum

import attrs

from ..messages.gen import ttypes

MAX_TEXT_BYTES = 255
MAX_MODELS = 64
MAX_PORT = 65535
MAX_INCARNATION = 2**62
FIELD_OVERHEAD_BYTES = 3
PORT_FIELD_BYTES = 4
STRUCT_OVERHEAD_BYTES = 4
VARINT_BITS_PER_BYTE = 7


class MemberState(StrEnum):
    """Liveness state of a member as seen from this process."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


_RANKS = {state: rank for rank, state in enumerate(MemberState)}
_STATES = {state.value: state for state in MemberState}
_TEXT_FIELDS = (
    "node_id",
    "role",
    "address",
    "host",
    "failure_domain",
    "region",
    "endpoint",
    "boot_id",
    "service_name",
)


@attrs.frozen
class Address:
    """Network address of a process.

    Parameters
    ----------
    address : str
        IP address.
    port : int
    """

    address: str
    port: int


@attrs.frozen
class Member:
    """One process of the system.

    Parameters
    ----------
    node_id : str
        Identifies the process; kept across restarts.
    boot_id : str
        Identifies one run of the process; new at each start.
    incarnation : int
        Raised only by the process itself, to refute reports about it or to publish
        a change.
    state : MemberState
    role : str
        ``entry`` or ``agent``.
    address : str
        IP address; empty if only the state is known.
    peer_port, http_port : int
    host, failure_domain, region : str
    endpoint : str
        Empty for entries.
    models : tuple of str
    service_name : str
        Plain service behind an agent, or empty.
    """

    node_id: str
    boot_id: str = ""
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE
    role: str = ""
    address: str = ""
    peer_port: int = 0
    http_port: int = 0
    host: str = ""
    failure_domain: str = ""
    region: str = ""
    endpoint: str = ""
    models: tuple[str, ...] = ()
    service_name: str = ""

    @property
    def peer_address(self) -> Address:
        """Address for gossip datagrams and peer connections."""
        return Address(self.address, self.peer_port)

    @property
    def is_up(self) -> bool:
        """Whether the member is alive or suspected."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)

    @property
    def precedence(self) -> tuple[int, int, str]:
        """Sort key for merging; the record with the highest one wins in every table."""
        return (self.incarnation, _RANKS[self.state], self.boot_id)


def to_wire(member: Member) -> ttypes.Member:
    """Encode the complete record."""
    values = attrs.asdict(member, recurse=False)
    values["models"] = list(member.models)
    values["state"] = member.state.value
    return ttypes.Member(**values)


def to_wire_state(member: Member) -> ttypes.Member:
    """Encode only the state, with the incarnation and boot id."""
    return ttypes.Member(
        node_id=member.node_id,
        incarnation=member.incarnation,
        boot_id=member.boot_id,
        state=member.state.value,
    )


def to_wire_update(member: Member) -> ttypes.Member:
    """Encode the complete record of an alive member, else only its state."""
    if member.state is MemberState.ALIVE:
        return to_wire(member)
    return to_wire_state(member)


def wire_bytes(member: ttypes.Member) -> int:
    """Return an upper bound on the encoded size of a record in bytes."""
    texts = [getattr(member, name) for name in _TEXT_FIELDS]
    texts.append(member.state)
    texts.extend(member.models or ())
    size = sum(len(text.encode()) + FIELD_OVERHEAD_BYTES for text in texts if text)
    size += PORT_FIELD_BYTES * sum(map(bool, (member.peer_port, member.http_port)))
    incarnation_bytes = 1 + member.incarnation.bit_length() // VARINT_BITS_PER_BYTE
    return size + FIELD_OVERHEAD_BYTES + incarnation_bytes + STRUCT_OVERHEAD_BYTES


def from_wire(wire: ttypes.Member) -> Member | None:
    """Decode and validate a record.

    Parameters
    ----------
    wire : ttypes.Member
        Untrusted: the sender may run another release.

    Returns
    -------
    Member or None
        None if the record is invalid.
    """
    texts = {name: getattr(wire, name) or "" for name in _TEXT_FIELDS}
    state = _STATES.get(wire.state)
    models = tuple(wire.models or ())
    incarnation = wire.incarnation or 0
    ports = (wire.peer_port or 0, wire.http_port or 0)
    usable = (
        state is not None
        and texts["node_id"] != ""
        and all(_is_text(text) for text in texts.values())
        and len(models) <= MAX_MODELS
        and all(_is_text(model) for model in models)
        and 0 <= incarnation <= MAX_INCARNATION
        and all(0 <= port <= MAX_PORT for port in ports)
    )
    if not usable or state is None:
        return None
    return Member(
        incarnation=incarnation,
        state=state,
        peer_port=ports[0],
        http_port=ports[1],
        models=models,
        **texts,
    )


def _is_text(value: object) -> bool:
    return isinstance(value, str) and len(value.encode()) <= MAX_TEXT_BYTES
