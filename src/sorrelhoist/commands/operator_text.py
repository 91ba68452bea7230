"""Format the answers of the operator API as text."""

import json
from collections import Counter, defaultdict
from collections.abc import Iterator, Mapping, Sequence
from typing import Any

from ..decisions.documents import DocumentKey, DocumentsDiff, DocumentSet

MAX_LISTED = 20


def diff_lines(
    old: DocumentSet, new: DocumentSet, difference: DocumentsDiff
) -> Iterator[str]:
    """Describe a difference, one line per document and per changed key.

    Parameters
    ----------
    old, new : DocumentSet
        The documents in force, and those to compare with them.
    difference : DocumentsDiff
        Difference between `old` and `new`.

    Yields
    ------
    str
    """
    for key in sorted(difference.changed.texts):
        if key in old.texts:
            yield f"~ {key}"
            yield from _changed_keys(key, old, new)
        else:
            yield f"+ {key}"
    for key in difference.removed:
        yield f"- {key}"


def _changed_keys(
    key: DocumentKey, old: DocumentSet, new: DocumentSet
) -> Iterator[str]:
    before = json.loads(old.texts[key])
    after = json.loads(new.texts[key])
    for name in sorted({*before, *after}):
        if before.get(name) != after.get(name):
            yield f"    {name}: {before.get(name)!r} -> {after.get(name)!r}"


def apply_lines(report: Mapping[str, Any]) -> Iterator[str]:
    """Describe the result of an apply: its verdict and the confirmations."""
    apply_id = report.get("apply_id", "")
    if report.get("outcome") != "accepted":
        yield f"unknown yet: {report.get('message', '')} (apply id {apply_id})"
        yield f"  remedy: {report.get('remedy', '')}"
    else:
        verdict = "already in force" if report.get("is_unchanged") else "accepted"
        offset = report.get("effective_offset")
        yield f"{verdict}: revision {report.get('revision')} at offset {offset}"
    if "confirmed" in report:
        unconfirmed = report.get("unconfirmed", [])
        count = len(report["confirmed"])
        yield f"  in force on this entry and {count} other processes"
        if unconfirmed:
            yield f"  not confirmed by {len(unconfirmed)}: {_truncated(unconfirmed)}"


def status_lines(status: Mapping[str, Any]) -> Iterator[str]:
    """Describe the status: healthy or not, then alarms, configuration and members.

    Parameters
    ----------
    status : mapping
        The body of ``GET /operator/v1/status``.

    Yields
    ------
    str
    """
    alarms = status.get("alarms", [])
    yield (
        "healthy" if is_healthy(status) else f"NOT healthy: {_alarm_count_text(alarms)}"
    )
    yield from _alarm_lines(alarms)
    yield from _configuration_lines(status.get("configuration", {}))
    yield from _domain_lines(status)
    yield from _outdated_member_lines(status)


def is_healthy(status: Mapping[str, Any]) -> bool:
    """Return whether the system reports itself healthy and has no active alarm."""
    return bool(status.get("is_healthy")) and not status.get("alarms")


def _alarm_count_text(alarms: Sequence[Mapping[str, Any]]) -> str:
    return "1 alarm" if len(alarms) == 1 else f"{len(alarms)} alarms"


def _alarm_lines(alarms: Sequence[Mapping[str, Any]]) -> Iterator[str]:
    """List at most `MAX_LISTED` alarms of each kind, so that no kind hides another."""
    by_kind: dict[str, list[Mapping[str, Any]]] = defaultdict(list)
    for alarm in alarms:
        by_kind[str(alarm.get("kind"))].append(alarm)
    for kind, alarms_of_kind in by_kind.items():
        for alarm in alarms_of_kind[:MAX_LISTED]:
            yield f"  {kind}: {alarm.get('message')}"
            yield f"    remedy: {alarm.get('remedy')}"
        if len(alarms_of_kind) > MAX_LISTED:
            yield f"  {kind}: ... and {len(alarms_of_kind) - MAX_LISTED} more"


def _configuration_lines(configuration: Mapping[str, Any]) -> Iterator[str]:
    revision = configuration.get("revision")
    offset = configuration.get("effective_offset")
    suffix = " (stale)" if configuration.get("is_stale") else ""
    yield f"configuration: revision {revision} at offset {offset}{suffix}"


def _domain_lines(status: Mapping[str, Any]) -> Iterator[str]:
    members: dict[str, Counter[tuple[str, str]]] = defaultdict(Counter)
    for member in status.get("members", []):
        role_and_state = (str(member.get("role")), str(member.get("state")))
        members[str(member.get("failure_domain"))][role_and_state] += 1
    states = {
        domain.get("failure_domain"): domain.get("state")
        for domain in status.get("domains", [])
    }
    for name in sorted({*members, *states}):
        counts = [
            f"{count} {role} {state}"
            for (role, state), count in sorted(members[name].items())
        ]
        state = states.get(name, "not configured")
        yield f"{name} ({state}): {', '.join(counts) or 'no process'}"


def _outdated_member_lines(status: Mapping[str, Any]) -> Iterator[str]:
    current = status.get("configuration", {}).get("effective_offset", 0) or 0
    behind = [
        str(member.get("node_id"))
        for member in status.get("members", [])
        if member.get("configuration_offset") is not None
        and member["configuration_offset"] < current
    ]
    if behind:
        yield f"  older configuration on {len(behind)}: {_truncated(behind)}"


def _truncated(names: Sequence[str]) -> str:
    shown = ", ".join(names[:MAX_LISTED])
    omitted = len(names) - MAX_LISTED
    return f"{shown} and {omitted} more" if omitted > 0 else shown
