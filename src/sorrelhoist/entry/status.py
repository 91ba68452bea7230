"""System status for operators: health, members, domains, and alarms with remedies."""

from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence

import attrs

from ..decisions.configuration_set import Configuration
from ..decisions.membership_records import Member
from ..decisions.routing import Router
from ..decisions.suspicion import SuspicionTable
from ..node.process import NodeProcess
from .refusals import RecentRefusals
from .status_alarms import (
    configuration_alarms,
    endpoint_alarms,
    model_alarms,
    phase_alarms,
    refusal_alarms,
    suspicion_alarms,
)


def system_status(
    process: NodeProcess,
    router: Router,
    suspicions: SuspicionTable,
    refusals: RecentRefusals,
) -> dict:
    """Return the status of the system as seen by this entry.

    Parameters
    ----------
    process : NodeProcess
    router : Router
    suspicions : SuspicionTable
    refusals : RecentRefusals

    Returns
    -------
    dict
        Plain data: ``is_healthy``, ``seen_by``, ``configuration``, ``members``,
        ``domains``, ``alarms``.
    """
    replica = process.replica
    members = process.gossip.table.members()
    now_s = process.clock()
    configuration = replica.configuration
    alarms = [
        *replica.alarms(),
        *configuration_alarms(replica.is_ready, replica.state.revision),
        *endpoint_alarms(configuration, members),
        *phase_alarms(configuration, members, router, now_s),
        *model_alarms(configuration, members),
        *suspicion_alarms(suspicions, now_s),
        *refusal_alarms(refusals, now_s),
    ]
    offsets = {
        **replica.peer_offsets(),
        process.settings.node_id: replica.effective_offset,
    }
    return {
        "is_healthy": not alarms,
        "seen_by": process.settings.node_id,
        "configuration": {
            "revision": replica.state.revision,
            "effective_offset": replica.effective_offset,
            "is_stale": replica.is_stale(now_s),
        },
        "members": [_member_line(member, offsets) for member in members],
        "domains": _domains(configuration, members),
        "alarms": [attrs.asdict(alarm) for alarm in alarms],
    }


def _member_line(member: Member, offsets: Mapping[str, int]) -> dict:
    return {
        "node_id": member.node_id,
        "role": member.role,
        "failure_domain": member.failure_domain,
        "state": member.state.value,
        "endpoint": member.endpoint,
        "configuration_offset": offsets.get(member.node_id),
    }


def _domains(configuration: Configuration, members: Sequence[Member]) -> list[dict]:
    counts: dict[str, Counter[str]] = defaultdict(Counter)
    for member in members:
        counts[member.failure_domain][member.state.value] += 1
    return [
        {
            "failure_domain": name,
            "state": domain.state,
            "members": dict(counts[name]),
        }
        for name, domain in sorted(configuration.failure_domains.items())
    ]
