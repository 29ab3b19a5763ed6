"""Nodes on the platform's stand-ins, as processes over real sockets."""

import http.client
import threading
import time
import unittest

from platform_fleet import HOST, PlatformFleet, document


class ServedTest(unittest.TestCase):
    """Two nodes that serve."""

    @classmethod
    def setUpClass(cls):
        cls.fleet = PlatformFleet()
        cls.fleet.start()

    @classmethod
    def tearDownClass(cls):
        cls.fleet.stop()

    def test_an_answer_is_whole_and_signed(self):
        """The target's bytes, its signature and the request's id."""
        answer = self.fleet.call(path='/lookup/a', request_id='whole-1')
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.body, b'whole ')
        self.assertEqual(answer.header('response-signature'), 's1')
        self.assertEqual(answer.header('request-id'), 'whole-1')

    def test_the_target_sees_the_organisation_and_not_the_key(self):
        """And which incarnation is meant, and what time is left."""
        self.fleet.call(path='/lookup/b', request_id='headers-1')
        seen = [
            headers
            for found in self.fleet.order('seen').values()
            for headers in found
            if headers['request-id'] == 'headers-1'
        ]
        self.assertEqual(len(seen), 1)
        self.assertEqual(seen[0]['tenant'], 'north')
        self.assertEqual(seen[0]['caller-service'], 'claims')
        self.assertNotIn('authorization', seen[0])
        self.assertTrue(seen[0]['expect-instance'].startswith('i-'))
        self.assertLessEqual(int(seen[0]['request-deadline-ms']), 2000)

    def test_a_body_goes_through(self):
        """Both ways, whatever its length."""
        body = b'x' * 50_000
        answer = self.fleet.call(path='/claims/a', method='POST', body=body)
        self.assertEqual(answer.body, b'whole ' + body)

    def test_what_may_not_run_is_told_so(self):
        """Unknown route, unknown key, too long a body."""
        self.assertEqual(self.fleet.call(path='/nowhere/').status, 404)
        self.assertEqual(self.fleet.call(key='other').status, 401)
        self.assertEqual(self.fleet.call(key=None).status, 401)
        long = self.fleet.call(method='POST', body=b'x' * 200_000)
        self.assertEqual(long.status, 413)

    def test_a_lost_answer_of_an_unsafe_request_is_unknown(self):
        """It isn't sent again, and no promise is made."""
        answer = self.fleet.call(
            path='/claims/a?fault=reset', method='POST', request_id='lost-1'
        )
        self.assertEqual(answer.status, 502)
        self.assertEqual(self.fleet.runs('lost-1'), 1)

    def test_a_lost_answer_of_a_safe_one_is_asked_for_again(self):
        """As often as its route allows."""
        self.fleet.call(path='/lookup/a?fault=reset', request_id='lost-2')
        self.assertEqual(self.fleet.runs('lost-2'), 2)

    def test_an_unsigned_success_is_none(self):
        """Whatever its body."""
        answer = self.fleet.call(path='/claims/a?fault=unsigned', method='POST')
        self.assertEqual(answer.status, 502)
        self.assertNotIn(b'spoiled', answer.body)

    def test_the_route_s_time_ends_the_wait(self):
        """With an answer that promises nothing."""
        answer = self.fleet.call(path='/lookup/a?ms=4000', deadline_ms=4000)
        self.assertEqual(answer.status, 504)

    def test_a_target_s_own_calls_are_served(self):
        """They carry no key."""
        answer = self.fleet.call(path='/lookup/a?child=/inner/b')
        self.assertEqual(answer.status, 200)

    def test_a_caller_that_leaves_takes_its_request_with_it(self):
        """The target's connection is closed."""
        address = self.fleet.nodes[0]['caller_address']
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
        self.fleet.until(lambda: self.fleet.runs('gone-1') == 1)
        connection.close()
        self.fleet.until(lambda: self._in_hand() == 0)

    def test_metrics_tell_outcomes_and_latencies(self):
        """As text on the metrics address."""
        self.fleet.call(path='/lookup/a')
        text = self._metrics()
        self.assertIn('rattanstile_requests_total{outcome="whole"}', text)
        self.assertIn('rattanstile_request_seconds_bucket', text)
        self.assertIn('rattanstile_version_in_force', text)

    def test_the_log_tells_the_way_of_a_request(self):
        """From its arrival to its end."""
        self.fleet.call(path='/claims/a?fault=reset', request_id='told-1')
        lines = [
            line
            for number in range(2)
            for line in self.fleet.log(number).splitlines()
            if 'request=told-1' in line
        ]
        events = ' '.join(lines)
        self.assertIn('event=run_failed', events)
        self.assertIn('event=request_ended', events)
        self.assertIn('outcome=unknown_answer_lost', events)

    def _metrics(self):
        address = self.fleet.nodes[0]['metrics_address']
        connection = http.client.HTTPConnection(address, timeout=5)
        connection.request('GET', '/metrics')
        text = connection.getresponse().read().decode()
        connection.close()
        return text

    def _in_hand(self):
        found = [
            line.split()[1]
            for line in self._metrics().splitlines()
            if line.startswith('rattanstile_requests_in_hand')
        ]
        return float(found[0])


class ChangedTest(unittest.TestCase):
    """Configurations, and a store that has troubles."""

    def setUp(self):
        self.fleet = PlatformFleet()
        self.addCleanup(self.fleet.stop)

    def test_nothing_is_served_before_there_is_a_configuration(self):
        """Callers are told when to come back."""
        self.fleet.start(published=False)
        self.fleet.until(lambda: self._status(0) == 503)
        answer = self.fleet.call(0)
        self.assertGreater(float(answer.header('retry-after')), 0)

    def test_a_withdrawn_key_stops_working(self):
        """On both nodes."""
        self.fleet.start()
        self.fleet.publish(document(version=2, keys=('key-new',)))
        self.fleet.until(lambda: self._status(0) == 401)
        self.fleet.until(lambda: self._status(1) == 401)

    def test_an_older_version_never_comes_back(self):
        """Though it is written later."""
        self.fleet.start()
        self.fleet.publish(document(version=3, keys=('key-new',)))
        self.fleet.until(lambda: self._status(0) == 401)
        self.fleet.publish(document(version=2))
        time.sleep(1.0)
        self.assertEqual(self._status(0), 401)

    def test_calls_go_on_while_the_store_is_away(self):
        """And a change written meanwhile is read when it is back."""
        self.fleet.start()
        self.fleet.order('trouble/down')
        self.assertEqual(self._status(0), 200)
        self.fleet.publish(document(version=2, keys=('key-new',)))
        self.fleet.order('trouble/none')
        self.fleet.until(lambda: self._status(0) == 401)

    def test_a_forgotten_history_is_read_anew(self):
        """From the newest records."""
        self.fleet.start()
        self.fleet.order('trouble/down')
        self.fleet.publish(document(version=2, keys=('key-new',)))
        self.fleet.order('forget')
        self.fleet.order('trouble/none')
        self.fleet.until(lambda: self._status(0) == 401)

    def test_a_node_that_the_store_refuses_hears_from_its_peer(self):
        """It starts while nobody answers at its store's address."""
        self.fleet.start()
        self.fleet.signal(1)
        self.fleet.running[1].wait(10)
        self.fleet.nodes[1]['store_address'] = self.fleet.nodes[1][
            'target_address'
        ]
        self.fleet.start_node(1)
        self.fleet.until_served(1)

    def _status(self, number):
        try:
            return self.fleet.call(number).status
        except OSError:
            return 0


class LeavingTest(unittest.TestCase):
    """Restarts under load, and targets that go."""

    def setUp(self):
        self.fleet = PlatformFleet()
        self.addCleanup(self.fleet.stop)
        self.fleet.start()

    def test_sigterm_cuts_no_request(self):
        """Neither those in hand nor those that still come."""
        statuses = []
        callers = [
            threading.Thread(target=self._call_often, args=(statuses,))
            for _ in range(4)
        ]
        for caller in callers:
            caller.start()
        time.sleep(0.2)
        self.fleet.signal(0)
        for caller in callers:
            caller.join()
        self.assertEqual(set(statuses), {200})
        self.assertEqual(self.fleet.running[0].wait(10), 0)

    def test_a_drained_target_gets_nothing_more(self):
        """Its node sends its own callers to the other one."""
        self.fleet.order('leave/i-0')
        self.fleet.until(lambda: 'event=target_leaving' in self.fleet.log(0))
        before = sum(self.fleet.order('runs')['i-0'].values())
        for _ in range(10):
            self.assertEqual(self.fleet.call(0).status, 200)
        after = sum(self.fleet.order('runs')['i-0'].values())
        self.assertEqual(after, before)

    def test_nor_after_its_node_has_restarted(self):
        """It answers probes as healthy until it ends."""
        self.fleet.order('deregister/i-0')
        self.fleet.until(lambda: 'i-0' in self.fleet.order('acknowledged'))
        self.fleet.running[0].kill()
        self.fleet.running[0].wait()
        before = sum(self.fleet.order('runs')['i-0'].values())
        self.fleet.start_node(0)
        self.fleet.until_served(0)
        for _ in range(10):
            self.assertEqual(self.fleet.call(0).status, 200)
        after = sum(self.fleet.order('runs')['i-0'].values())
        self.assertEqual(after, before)

    def _call_often(self, statuses):
        for _ in range(8):
            answer = self.fleet.call(0, '/claims/a?ms=150', method='POST')
            statuses.append(answer.status)
