"""Rate limiting on an entry node."""

import unittest
from random import Random

from rattanstile.process.control_messages import (
    ControlArrived,
    LogRecordRead,
    SendControl,
)
from rattanstile.process.messages import Ticked
from rattanstile.process.rates.rate_borrower import MAX_WAIT_S, Borrower
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


def make_borrower(burst=10):
    """Return a borrower that knows the owner of every shard."""
    borrower = Borrower(ProcessId(node_id='b', incarnation=7), Random(1))
    organisation = Organisation(name='o', rate_per_s=10.0, burst_calls=burst)
    borrower.configure(0.0, [organisation], 16, is_first_version=True)
    for shard in range(3):
        claim = OwnerClaimRecord(
            record_id=f'c{shard}',
            shard=shard,
            epoch=1,
            owner=ProcessId(node_id='w', incarnation=1),
            witnesses=(),
        )
        borrower.step(0.0, LogRecordRead('rates', claim))
    return borrower


def loan_request(outputs):
    """Return the only loan request among the outputs."""
    (request,) = [
        output.message
        for output in outputs
        if isinstance(output, SendControl)
        and isinstance(output.message, LoanRequest)
    ]
    return request


def grant(request, granted, extended=False, retry_after_ms=50):
    """Return the arrival of the owner's grant for a request."""
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
    """Only valid loans are spent; waiting calls are granted or denied."""

    def admit_waiting(self, borrower, now_s=10.0, number=1):
        """Admit one call that must wait, and return its loan request."""
        self.assertIsInstance(borrower.admit(now_s, 'o', number), Waiting)
        return loan_request(borrower.take_outputs())

    def test_loan_term_starts_at_the_request(self):
        borrower = make_borrower()
        request = self.admit_waiting(borrower)
        outputs = borrower.step(10.02, grant(request, 1))
        self.assertEqual(outputs[0], Granted(1, 10.0 + LOAN_TERM_S))

    def test_expired_loan_is_not_spent(self):
        borrower = make_borrower()
        request = self.admit_waiting(borrower)
        borrower.step(10.01, grant(request, 5))
        later_s = 10.0 + LOAN_TERM_S
        self.assertNotIsInstance(borrower.admit(later_s, 'o', 2), Admitted)

    def test_duplicate_grant_is_ignored(self):
        borrower = make_borrower()
        request = self.admit_waiting(borrower)
        borrower.step(10.01, grant(request, 2))
        borrower.step(10.01, grant(request, 2))
        self.assertEqual(borrower.loans(10.01), 1)

    def test_grant_for_an_earlier_request_is_ignored(self):
        borrower = make_borrower()
        first = self.admit_waiting(borrower)
        outputs = borrower.step(10.0 + MAX_WAIT_S, Ticked())
        self.assertTrue(any(isinstance(output, Denied) for output in outputs))
        self.admit_waiting(borrower, 11.0, 2)
        borrower.step(11.0, grant(first, 4))
        self.assertEqual(borrower.loans(11.0), 0)

    def test_waiting_call_is_denied_after_the_maximum_wait(self):
        borrower = make_borrower()
        self.admit_waiting(borrower)
        outputs = borrower.step(10.0 + MAX_WAIT_S, Ticked())
        self.assertTrue(any(isinstance(output, Denied) for output in outputs))

    def test_empty_owner_denies_waiting_and_refuses_new_calls(self):
        borrower = make_borrower()
        request = self.admit_waiting(borrower)
        outputs = borrower.step(10.01, grant(request, 0, retry_after_ms=500))
        self.assertTrue(any(isinstance(output, Denied) for output in outputs))
        self.assertIsInstance(borrower.admit(10.1, 'o', 2), OverRate)
        self.assertIsInstance(borrower.admit(10.6, 'o', 3), Waiting)

    def test_unspent_loan_is_returned_before_it_expires(self):
        borrower = make_borrower()
        request = self.admit_waiting(borrower)
        borrower.step(10.01, grant(request, 3))
        returned = loan_request(
            borrower.step(10.0 + LOAN_TERM_S - 0.05, Ticked())
        )
        self.assertEqual((returned.held, returned.spent), (0, 1))

    def test_removed_organisation_denies_its_waiting_calls(self):
        borrower = make_borrower()
        self.admit_waiting(borrower)
        borrower.configure(10.1, [], 16, is_first_version=False)
        (denied,) = borrower.take_outputs()
        self.assertIsInstance(denied, Denied)
        self.assertIsInstance(borrower.admit(10.1, 'o', 2), OverRate)

    def test_unknown_organisation_is_over_its_rate(self):
        self.assertIsInstance(make_borrower().admit(1.0, 'x', 1), OverRate)

    def test_static_share_needs_no_owner_and_starts_empty(self):
        borrower = Borrower(ProcessId(node_id='b', incarnation=7), Random(1))
        organisation = Organisation(name='o', rate_per_s=100.0, burst_calls=100)
        borrower.configure(0.0, [organisation], 16, is_first_version=True)
        borrower.step(0.0, StaticSlotChanged(0))
        self.assertNotIsInstance(borrower.admit(0.0, 'o', 1), Admitted)
        self.assertIsInstance(borrower.admit(60.0, 'o', 2), Admitted)
        borrower.step(60.0, StaticSlotChanged(1))
        self.assertNotIsInstance(borrower.admit(60.0, 'o', 3), Admitted)
