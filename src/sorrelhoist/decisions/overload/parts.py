"""Parts of overload control that a deployment can switch off by themselves."""

from collections.abc import Iterable
from enum import Enum


class OverloadPart(Enum):
    """One decision that is made while more is offered than fits."""

    REFUSAL = "refusal"
    """Refuse at once what can't start in time, with a Retry-After by the estimate."""

    WORKSPACES = "workspaces"
    """Place workspaces below their fair share first."""

    KINDS = "kinds"
    """Place kinds and sizes of requests that get too little before others."""

    WITHDRAWAL = "withdrawal"
    """Report a gateway that is short of resources as not ready."""


OverloadParts = frozenset[OverloadPart]

ALL_PARTS: OverloadParts = frozenset(OverloadPart)


def parse_parts(names: Iterable[str]) -> OverloadParts:
    """Return the parts with these names.

    Raises
    ------
    ValueError
        If a name is unknown; it lists the known ones.

    Examples
    --------
    >>> parse_parts(["kinds"])
    frozenset({<OverloadPart.KINDS: 'kinds'>})
    """
    known = {part.value: part for part in OverloadPart}
    parts = set()
    for name in names:
        if name not in known:
            raise ValueError(
                f"{name!r} is no part of overload control; use {', '.join(known)}"
            )
        parts.add(known[name])
    return frozenset(parts)
