"""Is the system healthy, and if not, what is the remedy."""

from collections import Counter
from collections.abc import Iterable

import attrs

from ..decisions.configuration_alarms import Alarm
from ..decisions.configuration_set import Configuration
from ..decisions.membership_records import Member
from ..decisions.routing import Router
from ..node.process import NodeProcess


def system_status(process: NodeProcess, router: Router) -> dict:
    """Return the state of the system as one entry sees it.

    Parameters
    ----------
    process : NodeProcess
    router : Router

    Returns
    -------
    dict
        Plain data: ``is_healthy``, ``configuration``, ``members``, ``alarms``.
    """
    replica = process.replica
    members = process.gossip.table.members()
    alarms = list(_alarms(process, members, router))
    return {
        "is_healthy": not alarms,
        "seen_by": process.settings.node_id,
        "configuration": {
            "revision": replica.state.revision,
            "effective_offset": replica.effective_offset,
            "is_stale": replica.is_stale(process.clock()),
        },
        "members": [_member_line(member) for member in members],
        "domains": _domains(replica.configuration, members),
        "alarms": [attrs.asdict(alarm) for alarm in alarms],
    }


def _member_line(member: Member) -> dict:
    return {
        "node_id": member.node_id,
        "role": member.role,
        "failure_domain": member.failure_domain,
        "state": member.state.value,
        "endpoint": member.endpoint,
    }


def _domains(configuration: Configuration, members: Iterable[Member]) -> list[dict]:
    counts = Counter((m.failure_domain, m.state.value) for m in members)
    return [
        {
            "failure_domain": name,
            "state": domain.state,
            "members": {
                state: count
                for (where, state), count in counts.items()
                if where == name
            },
        }
        for name, domain in sorted(configuration.failure_domains.items())
    ]


def _alarms(
    process: NodeProcess, members: Iterable[Member], router: Router
) -> Iterable[Alarm]:
    replica = process.replica
    yield from replica.alarms()
    yield from _missing_endpoints(replica.configuration, members)
    yield from _phases(router)


def _missing_endpoints(
    configuration: Configuration, members: Iterable[Member]
) -> Iterable[Alarm]:
    served = {member.endpoint for member in members if member.is_up}
    for name, endpoint in sorted(configuration.endpoints.items()):
        if name not in served and configuration.is_domain_in(endpoint.failure_domain):
            yield Alarm(
                "endpoint_missing",
                f"No agent of the endpoint {name} is up.",
                f"Start the agent on its host in {endpoint.failure_domain}, or take "
                "the endpoint out of the configuration.",
            )


def _phases(router: Router) -> Iterable[Alarm]:
    for name, load in router.dump()["loads"].items():
        if load["phase"] in {"cold", "unknown"}:
            yield Alarm(
                "endpoint_cold",
                f"The endpoint {name} was {load['phase']} when last heard of.",
                "Nothing, if it was started lately; else look at the engine's logs.",
            )
