"""The member list in the store, with entries of other writers."""

import base64
import json
import unittest

import msgspec
from result import Err, Ok
from twisted.internet.defer import Deferred, succeed

from rattanstile.connection.http_messages import HttpResponse
from rattanstile.connection.peer_messages import PeerMember
from rattanstile.platform import PlatformStore

N1 = PeerMember('n1', '10.0.0.1:1', 'registry', 'east')
N2 = PeerMember('n2', '10.0.0.2:1', 'registry', 'east')


def entry(member, offset, key=None):
    """Return the entry of a node as the store sends it."""
    return {
        'key': key or member.node_id,
        'value': base64.b64encode(msgspec.msgpack.encode(member)).decode(),
        'offset': offset,
    }


def page(items, has_more=False):
    """Return a page; items that are bytes are sent as they are."""
    texts = [
        each if isinstance(each, bytes) else json.dumps(each).encode()
        for each in items
    ]
    more = b'true' if has_more else b'false'
    return b'{"items":[%s],"hasMore":%s,"end":9}' % (b','.join(texts), more)


class PagesExchanger:
    """Answers the calls with pages, one after another."""

    def __init__(self, pages):
        self.pages = list(pages)
        self.requests = []

    def send(self, encoded_request, timeout_s):
        self.requests.append(encoded_request)
        return succeed(HttpResponse(200, b'OK', (), self.pages.pop(0)))


class MemberEntriesTest(unittest.TestCase):
    """One odd entry must not hide the others."""

    def outcome(self, call, *pages):
        self.exchanger = PagesExchanger(pages)
        read = Deferred.fromCoroutine(
            getattr(PlatformStore(self.exchanger), call)()
        )
        outcomes = []
        read.addCallback(outcomes.append)
        return outcomes[0]

    def members(self, *items):
        outcome = self.outcome('members', page(items))
        self.assertIsInstance(outcome, Ok)
        return outcome.ok_value

    def test_entry_under_the_key_of_another_writer(self):
        """It took the place of the node whose ID it contains."""
        forged = PeerMember('n1', '10.0.0.9:1', 'registry', 'east', 'i-1', 7)
        members = self.members(entry(N1, 1), entry(forged, 2, key='odd'))
        self.assertEqual(members.by_id, {'n1': N1})
        self.assertEqual(members.unreadable, 1)

    def test_entries_that_are_none(self):
        """The whole list was unreadable, so that no node joined."""
        for odd in (
            b'{"key":"\xff","value":"AA==","offset":1}',
            b'{"key":"odd","value":"?","offset":1}',
            b'{"key":"odd","value":null,"offset":1}',
            b'{"key":"odd","value":"AA=="}',
            b'{"key":"odd","value":"AA==","offset":%s}' % (b'9' * 400),
            b'7',
        ):
            members = self.members(entry(N1, 1), odd, entry(N2, 2))
            self.assertEqual(members.by_id, {'n1': N1, 'n2': N2}, odd[:40])
            self.assertEqual(members.unreadable, 1, odd[:40])

    def test_newest_entry_of_an_address_comes_last(self):
        """The node that had the address before was taken for the present."""
        new = PeerMember('a-new', N1.address, 'registry', 'east')
        members = self.members(entry(new, 8), entry(N1, 1))
        self.assertEqual(list(members.by_id), ['n1', 'a-new'])

    def test_next_page_begins_after_the_last_entry_that_has_a_key(self):
        """An odd one at its end must not end the list, nor repeat it."""
        outcome = self.outcome(
            'members', page([entry(N1, 1), b'7'], True), page([entry(N2, 2)])
        )
        self.assertEqual(set(outcome.ok_value.by_id), {'n1', 'n2'})
        self.assertIn(b'after=n1 ', self.exchanger.requests[1])

    def test_page_that_does_not_lead_on(self):
        """The list isn't read for ever."""
        again = page([entry(N1, 1)], True)
        for pages in ((page([b'7'], True),), (again, again)):
            self.assertIsInstance(self.outcome('members', *pages), Err)

    def test_odd_operators_record_is_read_again(self):
        """Passed over, it could be the configuration."""
        outcome = self.outcome('newest_records', page([b'7']))
        self.assertIsInstance(outcome, Err)
