"""Stateful test of replicas against an oracle, with log, network and process faults."""

import asyncio
import itertools
import json
import random

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from sorrelhoist.decisions.configuration import (
    Accepted,
    ConfigurationFold,
    Conflict,
)
from sorrelhoist.decisions.configuration_records import encode_record
from sorrelhoist.exceptions import SorrelhoistError
from sorrelhoist.node.configuration_apply import ConfigurationApplier, Proposal
from tests.node.configuration_fakes import RETENTION_S, FakeNetwork, domains

NODES = ("a-1", "a-2", "b-1", "b-2", "c-1")
STATES = st.sampled_from(["in", "out"])
FAULTS = st.sampled_from(["", "", "lost_before", "lost_after", "down_after"])
NODE = st.sampled_from(NODES)


class Oracle:
    """Reference fold: reads all records in order, compares revisions and offsets."""

    def __init__(self, history):
        self.accepted = {}
        self.by_id = {}
        revision = 0
        for offset, text in enumerate(history, start=1):
            data = json.loads(text)
            is_change = data.get("base_revision") == revision
            is_restart = data.get("expected_offset") == offset
            if not is_change and not is_restart:
                continue
            revision = offset if is_restart else revision + 1
            self.accepted[offset] = (revision, data["digest"])
            self.by_id[data["apply_id"]] = offset


class Replicas(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.network = FakeNetwork()
        self.highest = {}
        self.late = []
        self.durable_offsets = set()
        self.rejected = set()
        self.count = 0
        for node_id in NODES:
            self.network.add(node_id)

    def teardown(self):
        self.heal()
        self.network.loop.close()

    def live(self, node_id):
        return self.network.replicas[node_id]

    @rule(node=NODE, states=st.tuples(STATES, STATES, STATES), fault=FAULTS)
    def apply(self, node, states, fault):
        self.count += 1
        apply_id = f"apply-{self.count}"
        a, b, c = states
        documents = domains(a=a, b=b, c=c, extra=f"{'in' if self.count % 2 else 'out'}")
        self.network.log.faults = [fault]
        try:
            report = self.network.apply(node, documents, apply_id)
        except SorrelhoistError:
            assert apply_id not in Oracle(self.network.log.history).by_id
            return
        finally:
            self.network.log.faults = []
        self.record_report(report)

    def record_report(self, report):
        match report.verdict:
            case Conflict(apply_id=apply_id):
                self.rejected.add(apply_id)
            case Accepted(offset=offset) if report.is_final:
                self.durable_offsets.add(offset)
                self.check_quorum(offset)

    def check_quorum(self, offset):
        replicas = self.network.replicas.values()
        holders = [item for item in replicas if item.effective_offset >= offset]
        domain_names = holders[0].configuration.failure_domains.keys()
        held_in = {item.options.failure_domain for item in holders} & domain_names
        assert len(domain_names) == 1 or 2 * len(held_in) > len(domain_names)

    @rule(node=NODE)
    def restart(self, node):
        self.count += 1
        documents = domains(restarted="in")
        try:
            self.network.apply(node, documents, f"apply-{self.count}", is_restart=True)
        except SorrelhoistError:
            return

    @rule(node=NODE)
    def step(self, node):
        self.network.step(node)

    @rule(sender=NODE, receiver=NODE)
    def gossip(self, sender, receiver):
        if sender != receiver:
            self.network.gossip(sender, receiver)

    @rule(node=NODE)
    def pause_before_checkpoint(self, node):
        if self.live(node).is_ready:
            self.late.append(encode_record(self.live(node).state.fold.state))

    @precondition(lambda self: self.late and not self.network.log.is_down)
    @rule(data=st.data())
    def append_late_checkpoint(self, data):
        text = data.draw(st.sampled_from(self.late))
        self.network.log.put([text])

    @rule(node=NODE, receiver=NODE)
    def deliver_late_body(self, node, receiver):
        body = self.live(node).state.body()
        if self.live(node).effective_offset:
            self.network.gossip(node, receiver)
            self.live(receiver).handle(body)

    @rule(nodes=st.tuples(NODE, NODE))
    def race(self, nodes):
        """Apply two changes concurrently."""
        proposals = []
        for node in nodes:
            self.count += 1
            documents = domains(a="in", racer=str(self.count % 2 and "in" or "out"))
            proposals.append((node, Proposal(f"apply-{self.count}", documents)))

        async def apply_all():
            work = [
                ConfigurationApplier(self.live(node)).apply(proposal)
                for node, proposal in proposals
            ]
            return await asyncio.gather(*work, return_exceptions=True)

        for report in self.network.run(apply_all()):
            if isinstance(report, SorrelhoistError):
                continue
            if isinstance(report, Exception):
                raise report
            self.record_report(report)

    @rule()
    def repeat_old_record(self):
        texts = [t for t in self.network.log.history if '"record":"change"' in t]
        if texts and not self.network.log.is_down:
            data = json.loads(texts[-1])
            data["apply_id"] += "-copy"
            self.network.log.put([json.dumps(data)])

    @rule(text=st.sampled_from(["{}", '{"record": 1}', '{"record":"change"}']))
    def put_junk(self, text):
        if not self.network.log.is_down:
            self.network.log.put([json.dumps({"record": "junk", "text": text})])

    @rule()
    def toggle_outage(self):
        self.network.log.is_down = not self.network.log.is_down

    @rule(node=NODE)
    def toggle_cut(self, node):
        self.network.cut ^= {node}

    @rule(node=NODE)
    def replace_process(self, node):
        others = [item for name, item in self.network.replicas.items() if name != node]
        if max(item.effective_offset for item in others) >= max(
            self.durable_offsets, default=0
        ):
            self.network.add(node)
            self.highest.pop(node, None)

    @rule(part=st.sampled_from([0.1, 0.35]))
    def advance_time(self, part):
        self.network.advance_time(part * RETENTION_S)

    @rule(node=NODE)
    def pause_past_retention(self, node):
        """Pause one process beyond the log retention while the others continue."""
        for _ in range(4):
            self.network.advance_time(0.3 * RETENTION_S)
            self.network.step(*(name for name in NODES if name != node))

    @invariant()
    def replicas_agree_with_the_oracle(self):
        oracle = Oracle(self.network.log.history)
        for node_id, replica in self.network.replicas.items():
            offset = replica.effective_offset
            assert offset >= self.highest.get(node_id, 0)
            self.highest[node_id] = offset
            if offset:
                fold = replica.state.fold
                assert oracle.accepted[offset] == (fold.revision, fold.documents.digest)
            assert replica.state.fold.differing_checkpoints == 0
        assert self.durable_offsets <= oracle.accepted.keys()
        assert not self.rejected & oracle.by_id.keys()

    def heal(self):
        """Remove all faults; check that replicas converge on all accepted changes."""
        network = self.network
        network.cut.clear()
        newest = max(item.effective_offset for item in network.replicas.values())
        for _ in range(3):
            for sender, receiver in itertools.permutations(NODES, 2):
                network.gossip(sender, receiver)
        assert {item.effective_offset for item in network.replicas.values()} == {newest}
        network.log.is_down = False
        for _ in range(4):
            network.step()
        self.replicas_agree_with_the_oracle()
        offsets = {replica.effective_offset for replica in network.replicas.values()}
        assert len(offsets) == 1
        assert offsets.pop() >= max(self.durable_offsets, default=0)
        caught_up = {replica.is_caught_up for replica in network.replicas.values()}
        assert len(caught_up) == 1


TestReplicasFuzz = Replicas.TestCase


@pytest.mark.parametrize("seed", range(3))
def test_fold_does_not_depend_on_record_order_fuzz(seed):
    """A fold of shuffled and repeated records equals one that reads in order."""
    network = FakeNetwork()
    network.add("a-1")
    randomness = random.Random(seed)
    for number in range(30):
        state = randomness.choice(["in", "out"])
        network.apply(
            "a-1", domains(a=state, b=f"{'in' if number % 3 else 'out'}"), f"{number}"
        )
    history = list(enumerate(network.log.history, start=1))
    shuffled = ConfigurationFold()
    for offset, text in randomness.sample(history * 2, 2 * len(history)):
        shuffled.apply(offset, text)
    assert shuffled.state == network.replicas["a-1"].state.fold.state
    network.loop.close()
