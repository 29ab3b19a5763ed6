"""The entry node's side of the rates."""

import unittest
from random import Random

from rattanstile.process.control_messages import (
    ControlArrived,
    LogRecordRead,
    SendControl,
)
from rattanstile.process.messages import Ticked
from rattanstile.process.rates.rate_borrower import HOLD_S, Borrower
from rattanstile.process.rates.rate_bucket import LOAN_TERM_S
from rattanstile.process.rates.rate_messages import (
    Admitted,
    Denied,
    Granted,
    LoanGrant,
    LoanRequest,
    OverRate,
    StaticSlotChanged,
    Waiting,
)
from rattanstile.version.declaration import Organisation
from rattanstile.version.rate_records import OwnerClaimRecord, ProcessId


def borrower(burst=10):
    """Return a borrower that knows the owner of every shard."""
    machine = Borrower(ProcessId(node_id='b', incarnation=7), Random(1))
    organisation = Organisation(name='o', rate_per_s=10.0, burst_calls=burst)
    machine.configure(0.0, [organisation], 16, is_first_version=True)
    for shard in range(3):
        claim = OwnerClaimRecord(
            record_id=f'c{shard}',
            shard=shard,
            epoch=1,
            owner=ProcessId(node_id='w', incarnation=1),
            witnesses=(),
        )
        machine.step(0.0, LogRecordRead('rates', claim))
    return machine


def asked(outputs):
    """Return the one loan request among outputs."""
    (request,) = [
        output.message
        for output in outputs
        if isinstance(output, SendControl)
        and isinstance(output.message, LoanRequest)
    ]
    return request


def grant(request, granted, extended=False, retry_after_ms=50):
    """Return the owner's answer."""
    return ControlArrived(
        'w',
        LoanGrant(
            shard=request.shard,
            epoch=request.epoch,
            organisation='o',
            sequence=request.sequence,
            extended=extended,
            granted=granted,
            left=0,
            retry_after_ms=retry_after_ms,
        ),
    )


class BorrowerTest(unittest.TestCase):
    """Spends loans only while they are valid."""

    def waiting(self, machine, now_s=10.0, number=1):
        """Ask for one call, and return the request that it made."""
        self.assertIsInstance(machine.admit(now_s, 'o', number), Waiting)
        return asked(machine.take_outputs())

    def test_loan_counts_from_the_request(self):
        machine = borrower()
        request = self.waiting(machine)
        outputs = machine.step(10.02, grant(request, 1))
        self.assertEqual(outputs[0], Granted(1, 10.0 + LOAN_TERM_S))

    def test_expired_loan_is_not_spent(self):
        machine = borrower()
        request = self.waiting(machine)
        machine.step(10.01, grant(request, 5))
        later_s = 10.0 + LOAN_TERM_S
        self.assertNotIsInstance(machine.admit(later_s, 'o', 2), Admitted)

    def test_grant_is_taken_once(self):
        machine = borrower()
        request = self.waiting(machine)
        machine.step(10.01, grant(request, 2))
        machine.step(10.01, grant(request, 2))
        self.assertEqual(machine.loans(10.01), 1)

    def test_grant_for_an_earlier_request_is_ignored(self):
        machine = borrower()
        first = self.waiting(machine)
        outputs = machine.step(10.0 + HOLD_S, Ticked())
        self.assertTrue(any(isinstance(one, Denied) for one in outputs))
        self.waiting(machine, 11.0, 2)
        machine.step(11.0, grant(first, 4))
        self.assertEqual(machine.loans(11.0), 0)

    def test_waiting_call_is_denied_after_the_hold(self):
        machine = borrower()
        self.waiting(machine)
        outputs = machine.step(10.0 + HOLD_S, Ticked())
        self.assertTrue(any(isinstance(one, Denied) for one in outputs))

    def test_owner_without_tokens_ends_the_wait_and_closes(self):
        machine = borrower()
        request = self.waiting(machine)
        outputs = machine.step(10.01, grant(request, 0, retry_after_ms=500))
        self.assertTrue(any(isinstance(one, Denied) for one in outputs))
        self.assertIsInstance(machine.admit(10.1, 'o', 2), OverRate)
        self.assertIsInstance(machine.admit(10.6, 'o', 3), Waiting)

    def test_unused_loan_is_given_back_before_it_ends(self):
        machine = borrower()
        request = self.waiting(machine)
        machine.step(10.01, grant(request, 3))
        returned = asked(machine.step(10.0 + LOAN_TERM_S - 0.05, Ticked()))
        self.assertEqual((returned.held, returned.spent), (0, 1))

    def test_removed_organisation_ends_its_waits(self):
        machine = borrower()
        self.waiting(machine)
        machine.configure(10.1, [], 16, is_first_version=False)
        (denied,) = machine.take_outputs()
        self.assertIsInstance(denied, Denied)
        self.assertIsInstance(machine.admit(10.1, 'o', 2), OverRate)

    def test_unknown_organisation_is_over_its_rate(self):
        self.assertIsInstance(borrower().admit(1.0, 'x', 1), OverRate)

    def test_static_part_needs_nobody_and_starts_empty(self):
        machine = Borrower(ProcessId(node_id='b', incarnation=7), Random(1))
        organisation = Organisation(name='o', rate_per_s=100.0, burst_calls=100)
        machine.configure(0.0, [organisation], 16, is_first_version=True)
        machine.step(0.0, StaticSlotChanged(0))
        self.assertNotIsInstance(machine.admit(0.0, 'o', 1), Admitted)
        self.assertIsInstance(machine.admit(60.0, 'o', 2), Admitted)
        machine.step(60.0, StaticSlotChanged(1))
        self.assertNotIsInstance(machine.admit(60.0, 'o', 3), Admitted)
