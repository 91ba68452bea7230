"""Waiters of queued requests, among them two of the same request."""

import asyncio

import attrs

from sorrelhoist.agent.admission_waiters import AdmissionWaiters
from sorrelhoist.decisions.grants import Granted, Queued


@attrs.define
class QueueingLedger:
    """A ledger stub that queues each request until it is told to decide."""

    decisions: list = attrs.field(factory=list)
    withdrawn: list = attrs.field(factory=list)

    def request(self, request, now_s):
        return Queued(request_id=request.request_id, position=1, expected_wait_s=1.0)

    def pump(self, now_s):
        decided, self.decisions = self.decisions, []
        return decided

    def withdraw(self, request_id):
        self.withdrawn.append(request_id)


@attrs.frozen
class Request:
    request_id: str = "r"


async def answers(waiters):
    return [answer async for answer in waiters.decide(Request())]


def run(steps):
    async def main():
        ledger = QueueingLedger()
        waiters = AdmissionWaiters(ledger, lambda: 0.0)
        first = asyncio.ensure_future(answers(waiters))
        second = asyncio.ensure_future(answers(waiters))
        await asyncio.sleep(0)
        return await steps(ledger, waiters, first, second)

    return asyncio.run(main())


async def leave(waiter):
    waiter.cancel()
    await asyncio.gather(waiter, return_exceptions=True)
    await asyncio.sleep(0.01)


def test_a_waiter_that_leaves_does_not_withdraw_the_request_of_another():
    async def steps(ledger, waiters, first, second):
        await leave(first)
        assert ledger.withdrawn == []
        granted = granted_reply()
        ledger.decisions = [granted]
        waiters.pump()
        assert (await second)[-1] == granted

    run(steps)


def test_the_last_waiter_that_leaves_withdraws_the_request():
    async def steps(ledger, waiters, first, second):
        await leave(first)
        await leave(second)
        assert ledger.withdrawn == ["r"]

    run(steps)


def granted_reply():
    fields = {field.name: None for field in attrs.fields(Granted)}
    return Granted(**fields | {"request_id": "r"})
