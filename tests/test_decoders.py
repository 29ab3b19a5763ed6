"""Decoders of bytes from outside: whatever arrives, only their own errors.

Longer runs by hand: DECODER_EXAMPLES=200000 python -m unittest test_decoders.
"""

import contextlib
import json
import os
import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from mesh_samples import USABLE, served_call
from result import Err, Ok

from rattanstile.connection.http_messages import HttpRequest, HttpResponse
from rattanstile.connection.peer_messages import (
    MAX_FRAME_BYTES,
    CallRequest,
    CallResponse,
    ConfigNotice,
    ConfigRequest,
    ConfigResponse,
    DemandReport,
    DomainDigest,
    DomainReport,
    KeptEvacuation,
    PeerFrameError,
    PeerFrameReader,
    PeerHello,
    PeerMember,
    RateSharesResponse,
    ServiceDigest,
    StatusReport,
    TargetLoad,
    encode_peer_frame,
)
from rattanstile.errors import SettingsError
from rattanstile.platform import (
    PlatformAnnouncementCodec,
    PlatformCallerCodec,
    PlatformStore,
    PlatformTargetCodec,
)
from rattanstile.platform.operators import decode_fleet_config
from rattanstile.platform.store import (
    _decode_member,
    _decode_newest,
    _decode_records,
    _decode_response,
)
from rattanstile.process.mesh.serving.past_incarnations import TargetDeparture
from rattanstile.process.mesh.serving.target_gate import TargetQueue
from rattanstile.process.mesh.serving.target_watch import (
    Announcement,
    TargetWatch,
)
from rattanstile.process.mesh.settings import parse_mesh_settings

thorough = settings(
    max_examples=int(os.environ.get('DECODER_EXAMPLES', '150')),
    deadline=None,
    derandomize=True,
    database=None,
)

DIGEST = DomainDigest(
    'east', 20, 39, (ServiceDigest('fees', 2, 2, 10, 20, 5, 0, 0),)
)
MESSAGES = (
    PeerHello('n1', '10.0.0.1:1', 'fees', 'east', 5, 3, USABLE),
    CallRequest(1, served_call()),
    CallResponse(1, None, 3, 0, USABLE),
    StatusReport('fees', USABLE),
    ConfigNotice(7, False, 2, 13, ('west',)),
    ConfigRequest(7, 2, 13),
    ConfigResponse(
        7, b'x', ('west',), 2, (KeptEvacuation('west', 900),), ('east',)
    ),
    DemandReport(4, {'north': 6.5}, {'fees': 2.0}, USABLE),
    DomainReport(5, 39, {'north': 60.0}, {'fees': 7.0}, DIGEST),
    RateSharesResponse(5, {'north': 0.5}, {'fees': 7.0}, 195, 4000, (DIGEST,)),
)
HEARTBEAT = {
    'address': '10.0.0.1:2',
    'born': 7,
    'info': {'service': 'fees', 'version': 'v1', 'zone': 'east', 'slots': 9},
    'status': {'state': 'ready', 'sequence': 4, 'coldRemaining': '0ms'},
}
CONFIG = {
    'version': 3,
    'routes': [
        {
            'name': 'r',
            'host': 'a.example',
            'pathPrefix': '/r/',
            'routeType': 'safe',
            'timeout': '2s',
            'targetLatency': '500ms',
            'priority': 1,
            'service': 'fees',
            'maxAttempts': 2,
        }
    ],
    'tenants': [{'name': 'north', 'apiKeys': ['k'], 'ratePerS': 5, 'burst': 5}],
}
NODE = {
    'node_id': 'n1',
    'service': 'fees',
    'failure_domain': 'east',
    'target_address': '10.0.0.1:2',
    'caller_address': '10.0.0.1:3',
    'peer_address': '10.0.0.1:4',
    'ready_address': '10.0.0.1:5',
    'announcement_address': '10.0.0.1:6',
    'metrics_address': '10.0.0.1:7',
    'store_address': '10.0.0.9:1',
    'grace': '6s',
    'rerun_ratio': 0.2,
    'rerun_slack': 49,
}

json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False)
    | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=6,
)


def _paths(document, prefix=()):
    if isinstance(document, dict):
        for key, each in document.items():
            yield (*prefix, key)
            yield from _paths(each, (*prefix, key))
    elif isinstance(document, list):
        for index, each in enumerate(document):
            yield from _paths(each, (*prefix, index))


@st.composite
def changed_documents(draw, document):
    """Return a valid document with one field replaced or left out."""
    changed = json.loads(json.dumps(document))
    path = draw(st.sampled_from(list(_paths(document))))
    parent = changed
    for key in path[:-1]:
        parent = parent[key]
    if draw(st.booleans()) and isinstance(parent, dict):
        parent.pop(path[-1])
    else:
        parent[path[-1]] = draw(json_values)
    return json.dumps(changed).encode()


DEPTH = 3000
"""More levels than Python's limit on nested calls."""
ODD_JSON = (
    '[' * DEPTH + ']' * DEPTH,
    '{"a":' * DEPTH + '0' + '}' * DEPTH,
    '9' * 25,
    '9' * 400,
    '9' * 5000,
    '1e400',
    '"' + '9' * 400 + 's"',
    '"' + '9' * 25 + 's"',
    '"' + '9' * 5000 + 'ms"',
    '"\\ud800"',
)
"""Values that decoders raise more than their own errors for."""
DEEP_MSGPACK = b'\x91' * DEPTH + b'\xc0'


def with_odd_value(document, path, odd):
    """Return a valid document with one field of any JSON, kept or added."""
    changed = json.loads(json.dumps(document))
    parent = changed
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = '@odd@'
    return json.dumps(changed).replace('"@odd@"', odd).encode()


def odd_documents(document):
    """Return all valid documents with one odd value, for `sampled_from`."""
    paths = [*_paths(document), ('unknown',)]
    return [
        with_odd_value(document, path, odd)
        for path in paths
        for odd in ODD_JSON
    ]


@st.composite
def changed_bytes(draw, samples):
    """Return valid bytes that were cut, or some of which were replaced."""
    sample = bytearray(draw(st.sampled_from(samples)))
    for _ in range(draw(st.integers(0, 3))):
        position = draw(st.integers(0, max(0, len(sample) - 1)))
        sample[position : position + 1] = draw(st.binary(max_size=3))
    return bytes(sample[: draw(st.integers(0, len(sample)))])


def record(content):
    """Return a record as the store sends it."""
    return len(content).to_bytes(4, 'big') + content


NEWEST = {'items': [{'key': 'a', 'value': 'AA==', 'offset': 1}], 'end': 2}
MEMBER = msgspec.msgpack.encode(
    PeerMember('n1', '10.0.0.1:4', 'fees', 'east', 'i-1', 5)
)
READ_HEADER = (9).to_bytes(8, 'big') + (0).to_bytes(8, 'big')
READS = (
    READ_HEADER,
    READ_HEADER + record(b'\x06config' + b'{}') + record(b''),
    READ_HEADER + record(b'\x0devacuate/east' + b'{}'),
)


class StoreTest(unittest.TestCase):
    """Responses of the platform's store."""

    def test_truncated_length_of_a_record_is_an_error(self):
        """One to three bytes after the last record raised a struct error."""
        for size in (1, 2, 3):
            with self.assertRaises(ValueError):
                _decode_records(READS[1] + b'\x00' * size, 0)

    def test_records_up_to_a_size_have_more(self):
        """The log ends at 9; a read returns records up to a size."""
        self.assertTrue(_decode_records(READS[1], 0).has_more)
        self.assertFalse(_decode_records(READS[1], 7).has_more)
        self.assertFalse(_decode_records(READS[0], 9).has_more)

    @thorough
    @given(st.binary(max_size=60) | changed_bytes(READS))
    def test_reads(self, body):
        """A truncated or invalid response is an unavailable store."""
        response = type('Response', (), {'body': body})
        outcome = _decode_response(_decode_records, response, 0)
        self.assertIsInstance(outcome, (Ok, Err))

    @thorough
    @given(st.binary(max_size=60) | changed_documents(NEWEST))
    def test_newest_records(self, body):
        """Also without a field, or with one of another type."""
        response = type('Response', (), {'body': body})
        outcome = _decode_response(_decode_newest, response, 0)
        self.assertIsInstance(outcome, (Ok, Err))

    def test_odd_newest_records(self):
        """Nested too deeply, it ended what reads the store."""
        for body in odd_documents(NEWEST):
            response = type('Response', (), {'body': body})
            outcome = _decode_response(_decode_newest, response, 0)
            self.assertIsInstance(outcome, (Ok, Err), body[:60])

    def test_entry_that_is_nested_too_deeply_names_no_node(self):
        """It ended the join of each node that read the list."""
        longer = b'\x97' + MEMBER[1:] + DEEP_MSGPACK
        for content in (longer, DEEP_MSGPACK, b'\x96' + DEEP_MSGPACK):
            self.assertIsNone(_decode_member(content))

    @thorough
    @given(changed_bytes([MEMBER]))
    def test_members(self, content):
        """Entries of other writers name no node that can't be connected to."""
        member = _decode_member(content)
        if member is not None:
            host, _, port = member.address.rpartition(':')
            self.assertTrue(host)
            self.assertLess(int(port), 65536)


class OperatorTest(unittest.TestCase):
    """Documents of operators and settings."""

    @thorough
    @given(st.binary(max_size=40) | changed_documents(CONFIG))
    def test_configurations(self, document):
        """The node keeps the one in force when it can't read a new one."""
        try:
            decode_fleet_config(document)
        except (msgspec.MsgspecError, ValueError):
            return

    def test_odd_configurations(self):
        """Nested too deeply, it ended what follows the operators' log."""
        store = PlatformStore(None)
        for document in odd_documents(CONFIG):
            outcome = store.decode_config(document)
            self.assertIsInstance(outcome, (Ok, Err), document[:60])

    def test_odd_settings(self):
        """The error names the file."""
        for document in odd_documents(NODE):
            with contextlib.suppress(SettingsError):
                parse_mesh_settings('node.json', document.decode())

    @thorough
    @given(changed_documents(NODE))
    def test_settings(self, document):
        """The error names the file; the process exits with it."""
        try:
            parse_mesh_settings('node.json', document.decode())
        except SettingsError as error:
            self.assertIn('node.json', error.message)

    def test_missing_field_is_named(self):
        """An operator can mend it."""
        for name in NODE:
            lacking = {key: each for key, each in NODE.items() if key != name}
            with self.assertRaises(SettingsError) as caught:
                parse_mesh_settings('node.json', json.dumps(lacking))
            self.assertIn(name, caught.exception.message)


class TargetTest(unittest.TestCase):
    """Announcements of the target, and requests of callers."""

    def request(self, path, body):
        return HttpRequest('POST', path, (), body)

    @thorough
    @given(st.binary(max_size=40) | changed_documents(HEARTBEAT))
    def test_heartbeats(self, body):
        """An unreadable one names no target."""
        codec = PlatformAnnouncementCodec('10.0.0.1:2')
        path = '/v1/instances/i-1/heartbeat'
        self.assertIsNotNone(codec.decode(self.request(path, body)))

    def test_odd_heartbeats_and_deregistrations(self):
        """The target got no response to it."""
        codec = PlatformAnnouncementCodec('10.0.0.1:2')
        for kind in ('heartbeat', 'deregister'):
            path = f'/v1/instances/i-1/{kind}'
            for body in odd_documents(HEARTBEAT):
                decoded = codec.decode(self.request(path, body))
                self.assertIsNotNone(decoded, body[:60])

    def test_numbers_of_a_heartbeat_can_be_reckoned_with(self):
        """Too large, they made each report of the load fail."""
        codec = PlatformAnnouncementCodec('10.0.0.1:2')
        path = '/v1/instances/i-1/heartbeat'
        for body in odd_documents(HEARTBEAT):
            decoded = codec.decode(self.request(path, body))
            if isinstance(decoded, Announcement):
                self.assert_reportable(decoded)
        path = '/v1/instances/i-1/deregister'
        for body in odd_documents(HEARTBEAT):
            decoded = codec.decode(self.request(path, body))
            if isinstance(decoded, TargetDeparture):
                msgspec.msgpack.encode(decoded.born_ms)

    def assert_reportable(self, announcement):
        """Check that a node can tell others of the target."""
        watch = TargetWatch('fees')
        watch.announced(1.0, announcement)
        queue = TargetQueue()
        queue.slots = watch.slots
        load = TargetLoad(
            limit=queue.limit,
            capacity_deci_per_s=int(queue.capacity_per_s(is_cold=False) * 10),
            cold_ms=int((watch.cold_until_s - 1.0) * 1000),
        )
        departure = (announcement.target_id, announcement.born_ms)
        encode_peer_frame(StatusReport('fees', load))
        msgspec.msgpack.encode(PeerMember('n1', 'a', 'b', 'c', *departure))

    def test_cold_time_of_a_probe_can_be_reckoned_with(self):
        """Too large, it made each report of the load fail."""
        for digits in (25, 400, 5000):
            response = HttpResponse(
                200,
                b'OK',
                ((b'instance-id', b'i-1'), (b'cold-ms', b'9' * digits)),
                b'',
            )
            cold_s = PlatformTargetCodec().decode_probe(response).cold_s
            self.assertIsNone(cold_s, digits)

    @thorough
    @given(st.binary(max_size=40))
    def test_deregistrations(self, body):
        """The path names the target that leaves."""
        codec = PlatformAnnouncementCodec('10.0.0.1:2')
        path = '/v1/instances/i-1/deregister'
        decoded = codec.decode(self.request(path, body))
        if not body:
            self.assertIsInstance(decoded, TargetDeparture)

    @thorough
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(
                    [b'request-id', b'host', b'request-deadline-ms', b'x']
                ),
                st.binary(max_size=12),
            ),
            max_size=5,
        ),
        st.text(max_size=12),
    )
    def test_requests(self, headers, path):
        """A malformed one is refused as not run."""
        request = HttpRequest('GET', path, tuple(headers), b'')
        outcome = PlatformCallerCodec().decode(request)
        self.assertIsInstance(outcome, (Ok, Err))


class PeerTest(unittest.TestCase):
    """Frames of other nodes."""

    def read(self, *chunks):
        reader = PeerFrameReader()
        return [each for chunk in chunks for each in reader.feed(chunk)]

    @thorough
    @given(st.integers(1, 40))
    def test_frames_in_pieces(self, size):
        """Wherever the pieces end."""
        stream = b''.join(encode_peer_frame(each) for each in MESSAGES)
        pieces = [
            stream[start : start + size]
            for start in range(0, len(stream), size)
        ]
        self.assertEqual(self.read(*pieces), list(MESSAGES))

    @thorough
    @given(
        st.binary(max_size=40)
        | changed_bytes([encode_peer_frame(each) for each in MESSAGES])
    )
    def test_invalid_frames(self, stream):
        """The connection is closed, and the node goes on."""
        try:
            self.read(stream)
        except PeerFrameError:
            return

    def test_message_that_is_nested_too_deeply(self):
        """The connection is closed with a line that says why."""
        payload = b'\x92\x0c' + DEEP_MSGPACK
        with self.assertRaises(PeerFrameError):
            self.read(len(payload).to_bytes(4, 'big') + payload)

    def test_addresses(self):
        """A node can't be connected to at these; entries may be foreign."""
        for invalid in ('', ':1', '10.0.0.1', '10.0.0.1:x', '10.0.0.1:70000'):
            member = PeerMember('n1', invalid, 'fees', 'east')
            self.assertFalse(member.has_address, invalid)

    def test_port_with_too_many_digits(self):
        """Python refuses to convert more than 4,300 of them."""
        for digits in ('9' * 5000, '0' * 5000 + '80', '000080'):
            member = PeerMember('n1', f'10.0.0.1:{digits}', 'fees', 'east')
            self.assertFalse(member.has_address, digits[:9])

    def test_host_that_is_not_an_ip_address(self):
        """Looking names up takes threads that outlast the drain."""
        for host in (
            'node-1.example',
            'a b',
            '\x00',
            'x' * 300,
            '..',
            'fe80::1%nope',
            '1.2.3',
            '010.0.0.1',
        ):
            member = PeerMember('n1', f'{host}:80', 'fees', 'east')
            self.assertFalse(member.has_address, host)

    def test_frame_without_end_is_refused_at_its_length(self):
        """Nothing of it is kept."""
        length = (MAX_FRAME_BYTES + 1).to_bytes(4, 'big')
        with self.assertRaises(PeerFrameError):
            self.read(length)
