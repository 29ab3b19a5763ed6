"""Queue in front of a target."""

import unittest
from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from rattanstile.process.serving.admission import AdmissionQueue, QueuedCall
from rattanstile.request.envelope import Call
from rattanstile.request.outcome import Reason
from rattanstile.request.priority import Priority

CAPACITY = 6


def queued(name, organisation='a', priority=Priority.LOOKUP, **fields):
    call = Call(
        call_id=name,
        attempt=1,
        organisation=organisation,
        key_digest='',
        service='claims',
        method='GET',
        path='/',
        priority=priority,
        remaining_ms=1000,
        home='',
    )
    values = {'deadline_s': 9.0, 'arrived_s': 0.0} | fields
    return QueuedCall(call, 'entry', **values)


def drain(queue):
    taken = []
    while len(queue):
        taken.append(queue.take().call)
    return taken


class AdmissionQueueTest(unittest.TestCase):
    """Priority first, then organisations in turn."""

    def setUp(self):
        self.queue = AdmissionQueue()

    def offer(self, *args, capacity=100, **fields):
        return self.queue.offer(queued(*args, **fields), capacity)

    def test_higher_priority_is_taken_first(self):
        self.offer('lookup')
        self.offer('payment', priority=Priority.TRANSACTION)
        self.assertEqual(
            [one.call_id for one in drain(self.queue)], ['payment', 'lookup']
        )

    def test_organisations_take_turns_whatever_they_send(self):
        for number in range(30):
            self.offer(f'greedy-{number}', organisation='greedy')
        for number in range(3):
            self.offer(f'small-{number}', organisation='small')
        first = [one.organisation for one in drain(self.queue)[:6]]
        self.assertEqual(Counter(first), {'greedy': 3, 'small': 3})

    def test_turns_are_of_slot_time_not_of_calls(self):
        for number in range(40):
            self.offer(f'slow-{number}', organisation='slow', cost=4.0)
            self.offer(f'quick-{number}', organisation='quick', cost=1.0)
        first = [one.organisation for one in drain(self.queue)[:25]]
        self.assertEqual(Counter(first), {'slow': 5, 'quick': 20})

    def test_full_queue_drops_from_the_organisation_that_has_most(self):
        for number in range(5):
            self.offer(f'greedy-{number}', organisation='greedy')
        self.offer('small', organisation='small', capacity=6)
        dropped = self.offer('late', organisation='small', capacity=6)
        self.assertEqual(dropped.queued.call.call_id, 'greedy-4')

    def test_full_queue_never_drops_a_higher_priority(self):
        for number in range(4):
            self.offer(f'payment-{number}', priority=Priority.TRANSACTION)
        dropped = self.offer('lookup', capacity=4)
        self.assertEqual(dropped.queued.call.call_id, 'lookup')
        self.assertIsNone(
            self.offer('payment', capacity=4, priority=Priority.TRANSACTION)
        )
        dropped = self.offer('lookup', capacity=4)
        self.assertEqual(dropped.queued.call.call_id, 'lookup')
        self.assertEqual(dropped.reason, Reason.SHED)

    def test_call_that_cannot_meet_its_deadline_leaves(self):
        self.offer('late', deadline_s=1.0)
        self.offer('fine', deadline_s=2.0)
        dropped = self.queue.expire(0.9, 0.2)
        self.assertEqual([one.queued.call.call_id for one in dropped], ['late'])
        self.assertEqual(len(self.queue), 1)


class QueueMachine(RuleBasedStateMachine):
    """The queue against a plain list of what waits."""

    def __init__(self):
        super().__init__()
        self.queue = AdmissionQueue()
        self.waiting = {}
        self.sequence = 0
        self.now_s = 0.0

    @rule(
        organisation=st.sampled_from('abc'),
        priority=st.sampled_from(Priority),
        wait_s=st.floats(0.1, 3.0),
        cost=st.floats(0.25, 8.0),
    )
    def offer(self, organisation, priority, wait_s, cost):
        self.sequence += 1
        one = queued(
            str(self.sequence),
            organisation,
            priority,
            deadline_s=self.now_s + wait_s,
            cost=cost,
        )
        self.waiting[one.call.call_id] = one
        dropped = self.queue.offer(one, CAPACITY)
        if dropped:
            gone = self.waiting.pop(dropped.queued.call.call_id)
            priorities = [kept.call.priority for kept in self.waiting.values()]
            assert gone.call.priority <= min(priorities)
            assert len(self.waiting) >= CAPACITY

    @rule()
    def take(self):
        taken = self.queue.take()
        if taken is None:
            assert not self.waiting
            return
        self.waiting.pop(taken.call.call_id)
        assert all(
            one.call.priority <= taken.call.priority
            for one in self.waiting.values()
        )
        assert not any(
            one.call.organisation == taken.call.organisation
            and one.call.priority == taken.call.priority
            and int(one.call.call_id) < int(taken.call.call_id)
            for one in self.waiting.values()
        )

    @rule(step_s=st.floats(0.0, 1.0))
    def expire(self, step_s):
        self.now_s += step_s
        for dropped in self.queue.expire(self.now_s, 0.1):
            one = self.waiting.pop(dropped.queued.call.call_id)
            assert self.now_s + 0.1 > one.deadline_s
        assert all(
            self.now_s + 0.1 <= one.deadline_s for one in self.waiting.values()
        )

    @rule(back=st.integers(0, 8))
    def cancel(self, back):
        name = str(self.sequence - back)
        cancelled = self.queue.cancel(name, 1)
        expected = self.waiting.pop(name, None)
        assert cancelled == expected

    @invariant()
    def length_is_bounded_and_right(self):
        assert len(self.queue) == len(self.waiting)
        lower = any(
            one.call.priority < Priority.TRANSACTION
            for one in self.waiting.values()
        )
        assert len(self.queue) <= (CAPACITY if lower else 2 * CAPACITY)


QueueMachine.TestCase.settings = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=60,
    stateful_step_count=40,
)


class QueueStateTest(QueueMachine.TestCase):
    """No call is lost, doubled or passed over by its own organisation."""
