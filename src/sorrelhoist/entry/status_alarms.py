"""Alarms that an entry derives from its view of the system."""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence

from ..decisions.configuration_alarms import Alarm
from ..decisions.configuration_set import Configuration
from ..decisions.membership_records import Member
from ..decisions.orders_placement import desired_for
from ..decisions.routing import Router
from ..decisions.suspicion import SuspicionTable
from .refusals import RecentRefusals

REFUSAL_WINDOW_S = 60.0
REFUSAL_FRACTION = 0.05
MIN_REFUSALS = 10
UNKNOWN_OUTCOME_WINDOW_S = 600.0
OUTCOME_UNKNOWN = "outcome_unknown"
# Refusal kinds caused by the system; all others are caused by the caller.
SYSTEM_KINDS = frozenset(
    {
        "deadline_exceeded",
        "endpoint_failed",
        "internal",
        "log_unavailable",
        "not_ready",
        "overloaded",
        "peer_unreachable",
        "platform_unavailable",
    }
)


def configuration_alarms(is_ready: bool, revision: int) -> Iterator[Alarm]:
    """Yield an alarm if the log was read and holds no configuration."""
    if is_ready and not revision:
        yield Alarm(
            "configuration_empty",
            "No configuration was ever applied; callers are refused.",
            "Apply one: sorrelhoist apply FOLDER.",
        )


def endpoint_alarms(
    configuration: Configuration, members: Iterable[Member]
) -> Iterator[Alarm]:
    """Yield an alarm for each endpoint with no agent, several, or a misplaced one.

    A missing agent counts only if the endpoint's failure domain is in service.

    Parameters
    ----------
    configuration : Configuration
        The configuration in force.
    members : iterable of Member
        All known members, in any state.

    Yields
    ------
    Alarm
    """
    agents: dict[str, list[Member]] = defaultdict(list)
    for member in members:
        if member.is_up and member.endpoint:
            agents[member.endpoint].append(member)
    for name, endpoint in sorted(configuration.endpoints.items()):
        domain = endpoint.failure_domain
        if not agents[name] and configuration.is_domain_in(domain):
            yield _missing_agent_alarm(name, domain)
        if len(agents[name]) > 1:
            yield _contested_alarm(name, agents[name])
        for agent in agents[name]:
            if agent.failure_domain != domain:
                yield _misplaced_alarm(name, domain, agent)


def _missing_agent_alarm(name: str, domain: str) -> Alarm:
    return Alarm(
        "endpoint_missing",
        f"No agent of the endpoint {name} is up.",
        f"Start the agent on its host in {domain}, or take the endpoint out of the "
        "configuration.",
    )


def _contested_alarm(name: str, agents: Sequence[Member]) -> Alarm:
    names = ", ".join(sorted(agent.node_id for agent in agents))
    return Alarm(
        "endpoint_contested",
        f"The endpoint {name} has {len(agents)} agents: {names}.",
        "Stop all but one; an endpoint has one gatekeeper.",
    )


def _misplaced_alarm(name: str, domain: str, agent: Member) -> Alarm:
    return Alarm(
        "endpoint_misplaced",
        f"The agent {agent.node_id} runs in {agent.failure_domain}, but the endpoint "
        f"{name} is configured in {domain}; it is not closed with {domain}.",
        "Correct failure_domain in the agent's settings or in the Endpoint document.",
    )


def phase_alarms(
    configuration: Configuration,
    members: Iterable[Member],
    router: Router,
    now_s: float,
) -> Iterator[Alarm]:
    """Yield an alarm for each endpoint in service last reported as cold or unknown."""
    served = {member.endpoint for member in members if member.is_up}
    for name, load in sorted(router.dump()["loads"].items()):
        endpoint = configuration.endpoints.get(name)
        if endpoint is None or name not in served:
            continue
        if not configuration.is_domain_in(endpoint.failure_domain):
            continue
        if load["phase"] in {"cold", "unknown"}:
            age_s = max(now_s - load["seen_s"], 0.0)
            yield Alarm(
                "endpoint_cold",
                f"The endpoint {name} was {load['phase']} when last heard of, "
                f"{age_s:.0f} s ago.",
                "Nothing, if it was started lately; else look at the engine's logs, "
                "and at sorrelhoist_endpoint_deaths_total of its agent.",
            )


def model_alarms(
    configuration: Configuration, members: Sequence[Member]
) -> Iterator[Alarm]:
    """Yield an alarm for each endpoint without the model version configured for it."""
    agents = [member for member in members if member.is_up and member.endpoint]
    live = {agent.endpoint for agent in agents}
    for agent in agents:
        desired = desired_for(configuration, agent.endpoint, live)
        if desired is None or not agent.models:
            continue
        wanted = f"{desired.model}@{desired.version}"
        if wanted not in agent.models:
            yield Alarm(
                "endpoint_model",
                f"The endpoint {agent.endpoint} has loaded {', '.join(agent.models)}; "
                f"the configuration asks for {wanted}.",
                "Nothing while versions change, a quarter of a group at a time; if it "
                "lasts, look at orders.state in the dump of its agent.",
            )


def suspicion_alarms(suspicions: SuspicionTable, now_s: float) -> Iterator[Alarm]:
    """Yield an alarm for each suspected poison request that never completed.

    Parameters
    ----------
    suspicions : SuspicionTable
        Suspicions of this process, including those received by gossip.
    now_s : float
        Monotonic seconds.

    Yields
    ------
    Alarm
        Those of condemned requests first.
    """
    deaths: dict[int, int] = defaultdict(int)
    for item in suspicions.dump(now_s):
        fingerprint = item["fingerprint"]
        assert isinstance(fingerprint, int)
        if suspicions.is_suspected(fingerprint, now_s) and not item["cleared"]:
            deaths[fingerprint] += 1
    condemned = {name for name in deaths if suspicions.is_condemned(name, now_s)}
    for fingerprint in sorted(deaths, key=lambda name: (name not in condemned, name)):
        yield _suspicion_alarm(
            fingerprint, deaths[fingerprint], fingerprint in condemned
        )


def _suspicion_alarm(fingerprint: int, deaths: int, is_condemned: bool) -> Alarm:
    if is_condemned:
        return Alarm(
            "request_condemned",
            f"The request {fingerprint} ran alone on endpoints that died; it ran on "
            f"{deaths} in the last hour and is refused.",
            "Find its workspace by the log line 'request refused' with the kind "
            "request_kills_endpoints, and ask it to stop sending it.",
        )
    return Alarm(
        "request_suspected",
        f"The request {fingerprint} ran on {deaths} endpoints that died in the last "
        "hour; it runs alone until it completes.",
        "Nothing, if endpoints died for another reason; else look at the engines' "
        "logs of the time.",
    )


def refusal_alarms(refusals: RecentRefusals, now_s: float) -> Iterator[Alarm]:
    """Yield alarms for calls with an unknown outcome and for a high refusal rate.

    Parameters
    ----------
    refusals : RecentRefusals
        Refusals of this entry only.
    now_s : float
        Monotonic seconds.

    Yields
    ------
    Alarm
    """
    unknown = refusals.refusals(UNKNOWN_OUTCOME_WINDOW_S, now_s)[OUTCOME_UNKNOWN]
    if unknown:
        yield Alarm(
            "claims_without_outcome",
            f"{unknown} calls in the last {UNKNOWN_OUTCOME_WINDOW_S:.0f} s may have "
            "run, and nothing tells whether they did.",
            "Look each key up at the service; the log line 'request refused' with "
            "the kind outcome_unknown names workspace and request. Do not repeat.",
        )
    yield from _refusal_rate_alarms(refusals, now_s)


def _refusal_rate_alarms(refusals: RecentRefusals, now_s: float) -> Iterator[Alarm]:
    by_kind = refusals.refusals(REFUSAL_WINDOW_S, now_s)
    kinds = [(kind, by_kind[kind]) for kind in sorted(SYSTEM_KINDS) if by_kind[kind]]
    refused = sum(count for _, count in kinds)
    asked = max(refusals.requests(REFUSAL_WINDOW_S, now_s), refused)
    if refused < MIN_REFUSALS or refused < REFUSAL_FRACTION * asked:
        return
    listed = ", ".join(f"{count} {kind}" for kind, count in kinds)
    yield Alarm(
        "refusals_high",
        f"This entry refused {refused} of {asked} requests in the last "
        f"{REFUSAL_WINDOW_S:.0f} s: {listed}.",
        "Mend what the other alarms name; if there is none and the kind is "
        "overloaded, add endpoints or lower the workspaces' limits.",
    )
