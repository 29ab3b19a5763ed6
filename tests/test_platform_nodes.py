"""Node processes over real sockets, against the platform's stand-ins."""

import http.client
import threading
import time
import unittest

import msgspec
from platform_fleet import HOST, PlatformFleet, config_document

from rattanstile.connection.peer_messages import PeerMember


class ServingTest(unittest.TestCase):
    """Two nodes in normal operation."""

    @classmethod
    def setUpClass(cls):
        cls.fleet = PlatformFleet()
        cls.fleet.start()

    @classmethod
    def tearDownClass(cls):
        cls.fleet.stop()

    def test_response_is_complete_and_signed(self):
        """The target's body and signature arrive with the request's id."""
        response = self.fleet.call(path='/lookup/a', request_id='whole-1')
        self.assertEqual(response.status, 200)
        self.assertEqual(response.body, b'whole ')
        self.assertEqual(response.header('response-signature'), 's1')
        self.assertEqual(response.header('request-id'), 'whole-1')

    def test_target_receives_the_organisation_but_not_the_key(self):
        """It also receives the expected instance and the remaining time."""
        self.fleet.call(path='/lookup/b', request_id='headers-1')
        matching = [
            headers
            for received in self.fleet.send_order('seen').values()
            for headers in received
            if headers['request-id'] == 'headers-1'
        ]
        self.assertEqual(len(matching), 1)
        self.assertEqual(matching[0]['tenant'], 'north')
        self.assertEqual(matching[0]['caller-service'], 'claims')
        self.assertNotIn('authorization', matching[0])
        self.assertTrue(matching[0]['expect-instance'].startswith('i-'))
        self.assertLessEqual(int(matching[0]['request-deadline-ms']), 2000)

    def test_large_body_is_forwarded_both_ways(self):
        """A request body of 50,000 bytes is echoed in full."""
        body = b'x' * 50_000
        response = self.fleet.call(path='/claims/a', method='POST', body=body)
        self.assertEqual(response.body, b'whole ' + body)

    def test_inadmissible_request_gets_its_error_status(self):
        """Unknown route, unknown or missing key, oversized body."""
        self.assertEqual(self.fleet.call(path='/nowhere/').status, 404)
        self.assertEqual(self.fleet.call(key='other').status, 401)
        self.assertEqual(self.fleet.call(key=None).status, 401)
        oversized = self.fleet.call(method='POST', body=b'x' * 200_000)
        self.assertEqual(oversized.status, 413)

    def test_unsafe_request_is_not_retried_after_a_lost_response(self):
        """Its outcome is unknown: 502 does not say that it has not run."""
        response = self.fleet.call(
            path='/claims/a?fault=reset', method='POST', request_id='lost-1'
        )
        self.assertEqual(response.status, 502)
        self.assertEqual(self.fleet.run_count('lost-1'), 1)

    def test_safe_request_is_retried_after_a_lost_response(self):
        """It is attempted as often as its route allows."""
        self.fleet.call(path='/lookup/a?fault=reset', request_id='lost-2')
        self.assertEqual(self.fleet.run_count('lost-2'), 2)

    def test_unsigned_success_is_rejected(self):
        """Its body is not passed to the caller."""
        response = self.fleet.call(
            path='/claims/a?fault=unsigned', method='POST'
        )
        self.assertEqual(response.status, 502)
        self.assertNotIn(b'spoiled', response.body)

    def test_route_timeout_ends_the_wait(self):
        """504 does not say whether the request has run."""
        response = self.fleet.call(path='/lookup/a?ms=4000', deadline_ms=4000)
        self.assertEqual(response.status, 504)

    def test_calls_made_by_a_target_are_served(self):
        """They carry no API key."""
        response = self.fleet.call(path='/lookup/a?child=/inner/b')
        self.assertEqual(response.status, 200)

    def test_request_is_cancelled_when_its_caller_disconnects(self):
        """Its node closes the target connection; none remains in flight."""
        address = self.fleet.node_settings[0]['caller_address']
        connection = http.client.HTTPConnection(address, timeout=5)
        connection.request(
            'GET',
            '/lookup/a?ms=1500',
            headers={
                'Host': HOST,
                'Request-Id': 'gone-1',
                'Authorization': 'Token key-north',
            },
        )
        self.fleet.wait_until(lambda: self.fleet.run_count('gone-1') == 1)
        connection.close()
        self.fleet.wait_until(lambda: self._in_flight_requests() == 0)

    def test_metrics_contain_outcomes_and_latencies(self):
        """They are served as text on the metrics address."""
        self.fleet.call(path='/lookup/a')
        text = self._metrics()
        self.assertIn('rattanstile_requests_total{outcome="whole"}', text)
        self.assertIn('rattanstile_request_seconds_bucket', text)
        self.assertIn('rattanstile_version_in_force', text)

    def test_log_contains_the_failed_run_and_end_of_a_request(self):
        """Its lines share the request id and name the outcome."""
        self.fleet.call(path='/claims/a?fault=reset', request_id='told-1')
        lines = [
            line
            for node_index in range(2)
            for line in self.fleet.read_log(node_index).splitlines()
            if 'request=told-1' in line
        ]
        joined_lines = ' '.join(lines)
        self.assertIn('event=run_failed', joined_lines)
        self.assertIn('event=request_ended', joined_lines)
        self.assertIn('outcome=unknown_answer_lost', joined_lines)

    def _metrics(self):
        address = self.fleet.node_settings[0]['metrics_address']
        connection = http.client.HTTPConnection(address, timeout=5)
        connection.request('GET', '/metrics')
        text = connection.getresponse().read().decode()
        connection.close()
        return text

    def _in_flight_requests(self):
        values = [
            line.split()[1]
            for line in self._metrics().splitlines()
            if line.startswith('rattanstile_requests_in_hand')
        ]
        return float(values[0])


class ConfigurationTest(unittest.TestCase):
    """Configuration changes, and store failures."""

    def setUp(self):
        self.fleet = PlatformFleet()
        self.addCleanup(self.fleet.stop)

    def test_requests_are_refused_without_a_configuration(self):
        """Callers get 503 with a `Retry-After` header."""
        self.fleet.start(with_config=False)
        self.fleet.wait_until(lambda: self._status(0) == 503)
        response = self.fleet.call(0)
        self.assertGreater(float(response.header('retry-after')), 0)

    def test_withdrawn_key_is_refused(self):
        """Both nodes apply the change."""
        self.fleet.start()
        self.fleet.publish(config_document(version=2, keys=('key-new',)))
        self.fleet.wait_until(lambda: self._status(0) == 401)
        self.fleet.wait_until(lambda: self._status(1) == 401)

    def test_older_version_is_ignored(self):
        """Even when it is written after the newer one."""
        self.fleet.start()
        self.fleet.publish(config_document(version=3, keys=('key-new',)))
        self.fleet.wait_until(lambda: self._status(0) == 401)
        self.fleet.publish(config_document(version=2))
        time.sleep(1.0)
        self.assertEqual(self._status(0), 401)

    def test_calls_are_served_during_a_store_outage(self):
        """A change written during the outage is applied after it."""
        self.fleet.start()
        self.fleet.send_order('trouble/down')
        self.assertEqual(self._status(0), 200)
        self.fleet.publish(config_document(version=2, keys=('key-new',)))
        self.fleet.send_order('trouble/none')
        self.fleet.wait_until(lambda: self._status(0) == 401)

    def test_node_catches_up_after_the_store_drops_its_history(self):
        """It reads the newest record of each key instead."""
        self.fleet.start()
        self.fleet.send_order('trouble/down')
        self.fleet.publish(config_document(version=2, keys=('key-new',)))
        self.fleet.send_order('forget')
        self.fleet.send_order('trouble/none')
        self.fleet.wait_until(lambda: self._status(0) == 401)

    def test_node_without_a_store_gets_its_state_from_a_peer(self):
        """It starts with a store address at which no store responds."""
        self.fleet.start()
        self.fleet.signal_node(1)
        self.fleet.node_processes[1].wait(10)
        self.fleet.node_settings[1]['store_address'] = self.fleet.node_settings[
            1
        ]['target_address']
        self.fleet.start_node(1)
        self.fleet.wait_until_served(1)

    def _status(self, node_index):
        try:
            return self.fleet.call(node_index).status
        except OSError:
            return 0


class OddEntryTest(unittest.TestCase):
    """Entries of another writer in the member list."""

    def test_node_joins_and_is_connected(self):
        """A node that read such a list was never announced nor connected."""
        fleet = PlatformFleet(domains=('east', 'west'))
        self.addCleanup(fleet.stop)
        fleet.start()
        peer_address = fleet.node_settings[0]['peer_address']
        deep = b'\x91' * 100_000 + b'\xc0'
        entries = {
            'deep': b'\x97' + self.entry('deep', '127.0.0.1:1')[1:] + deep,
            'large': self.entry('large', '127.0.0.1:' + '9' * 5000),
            'range': self.entry('range', '127.0.0.1:70000'),
            'name': self.entry('name', 'node-1.invalid:80'),
            'scope': self.entry('scope', 'fe80::1%nope:80'),
            'forged': self.entry('node-0', '127.0.0.1:1'),
            'nobody': self.entry('nobody', '127.0.0.1:1'),
            'zz-same': self.entry('zz-same', peer_address),
        }
        for key, content in entries.items():
            fleet.send_order(f'entry/{key}', content)
        lines_before = fleet.read_log(1).count('event=members_read')
        fleet.node_processes[1].kill()
        fleet.node_processes[1].wait()
        fleet.start_node(1)
        fleet.wait_until(
            lambda: fleet.read_log(1).count('event=members_read') > lines_before
        )
        self.assertIn('unreadable=6', fleet.read_log(1))
        fleet.wait_until_served(1)
        started = fleet.read_log(1).rpartition('event=node_started')[2]
        self.assertNotIn('event=store_task_failed', started)
        fleet.wait_until(
            lambda: (
                'event=peer_ready peer=node-0'
                in fleet.read_log(1).rpartition('event=node_started')[2]
            )
        )

    def entry(self, node_id, address):
        """Return an entry of a node in the failure domain of the reader."""
        return msgspec.msgpack.encode(
            PeerMember(node_id, address, 'claims', 'west')
        )


class DrainTest(unittest.TestCase):
    """Node restarts under load, and targets that drain or deregister."""

    def setUp(self):
        self.fleet = PlatformFleet()
        self.addCleanup(self.fleet.stop)
        self.fleet.start()

    def test_sigterm_fails_no_request(self):
        """Neither requests in flight nor those sent during the drain."""
        statuses = []
        callers = [
            threading.Thread(target=self._send_calls, args=(statuses,))
            for _ in range(4)
        ]
        for caller in callers:
            caller.start()
        time.sleep(0.2)
        self.fleet.signal_node(0)
        for caller in callers:
            caller.join()
        self.assertEqual(set(statuses), {200})
        self.assertEqual(self.fleet.node_processes[0].wait(10), 0)

    def test_draining_target_receives_no_more_requests(self):
        """Its node routes its callers to the other target."""
        self.fleet.send_order('leave/i-0')
        self.fleet.wait_until(
            lambda: 'event=target_leaving' in self.fleet.read_log(0)
        )
        runs_before = sum(self.fleet.send_order('runs')['i-0'].values())
        for _ in range(10):
            self.assertEqual(self.fleet.call(0).status, 200)
        runs_after = sum(self.fleet.send_order('runs')['i-0'].values())
        self.assertEqual(runs_after, runs_before)

    def test_deregistered_target_stays_out_after_a_node_restart(self):
        """The target passes health probes until it exits."""
        self.fleet.send_order('deregister/i-0')
        self.fleet.wait_until(
            lambda: 'i-0' in self.fleet.send_order('acknowledged')
        )
        self.fleet.node_processes[0].kill()
        self.fleet.node_processes[0].wait()
        runs_before = sum(self.fleet.send_order('runs')['i-0'].values())
        self.fleet.start_node(0)
        self.fleet.wait_until_served(0)
        for _ in range(10):
            self.assertEqual(self.fleet.call(0).status, 200)
        runs_after = sum(self.fleet.send_order('runs')['i-0'].values())
        self.assertEqual(runs_after, runs_before)

    def _send_calls(self, statuses):
        for _ in range(8):
            response = self.fleet.call(0, '/claims/a?ms=150', method='POST')
            statuses.append(response.status)
