"""Rollouts by node processes over real sockets, against the stand-ins."""

import http.client
import json
import threading
import time
import unittest

from platform_fleet import PlatformFleet

from rattanstile.process.mesh.rollout.rollout_verdict import Verdict

NODES = 4
CALLERS = 6
CALL_PERIOD_S = 0.03
SHARE = 0.1
SLACK = 50
MAX_POLLS = 600
"""At 0.05 s each: more than the duration of each order."""
ORDER = {'service': 'claims', 'targetVersion': 'v2', 'duration': '24s'}


class RolloutNodesTest(unittest.TestCase):
    """Two targets of either version, under a steady load."""

    def start(self, **new_target):
        """Start the fleet and callers; no order is in force yet."""
        target = {'version': 'v2', **new_target}
        self.fleet = PlatformFleet(
            NODES, domains=('east', 'west'), targets={2: target, 3: target}
        )
        self.fleet.start()
        self.addCleanup(self.fleet.stop)
        self.answered = [0 for _ in range(CALLERS)]
        self.is_calling = True
        callers = [
            threading.Thread(target=self.call, args=(index,))
            for index in range(CALLERS)
        ]
        for caller in callers:
            caller.start()
            self.addCleanup(caller.join)
        self.addCleanup(self.stop_calling)

    def stop_calling(self):
        self.is_calling = False

    def call(self, index):
        while self.is_calling:
            try:
                self.fleet.call(index % NODES, path='/lookup/a?ms=3')
            except OSError:
                pass
            self.answered[index] += 1
            time.sleep(CALL_PERIOD_S)

    def order(self, order=ORDER):
        self.fleet.send_order('put/rollout/claims', json.dumps(order))

    def states(self):
        statuses = self.fleet.send_order('statuses/rollout/claims') or ()
        return [
            (status['targetVersion'], status['state'])
            for status in map(json.loads, statuses)
        ]

    def runs(self, *targets):
        runs = self.fleet.send_order('runs')
        return sum(sum(runs[target].values()) for target in targets)

    def wait_for_state(self, state):
        self.fleet.wait_until(
            lambda: ('v2', state) in self.states(), polls=MAX_POLLS
        )

    def knows_verdict(self, node_index, verdict):
        address = self.fleet.node_settings[node_index]['metrics_address']
        connection = http.client.HTTPConnection(address, timeout=5)
        try:
            connection.request('GET', '/metrics')
            lines = connection.getresponse().read().decode().splitlines()
        finally:
            connection.close()
        return any(
            line.startswith('rattanstile_rollout_verdict{')
            and line.endswith(f' {verdict:d}')
            for line in lines
        )

    def wait_until_known(self, verdict):
        """Wait until all nodes know the final status."""
        self.fleet.wait_until(
            lambda: all(
                self.knows_verdict(node_index, verdict)
                for node_index in range(NODES)
            )
        )

    def test_bad_version_is_rolled_back_within_its_exposure(self):
        """It got an even share of the calls, whatever it answered."""
        self.start(failing_percent=60)
        self.fleet.wait_until(lambda: self.runs('i-2', 'i-3') > 0)
        exposed = self.runs('i-2', 'i-3')
        calls = sum(self.answered)
        self.order()
        self.wait_for_state('rolled_back')
        calls = sum(self.answered) - calls
        exposed = self.runs('i-2', 'i-3') - exposed
        self.assertLessEqual(exposed, SHARE * calls + SLACK)
        self.assertEqual(
            self.states(), [('v2', 'running'), ('v2', 'rolled_back')]
        )
        self.wait_until_known(Verdict.ROLLED_BACK)
        before = self.runs('i-2', 'i-3')
        time.sleep(1)
        self.assertEqual(self.runs('i-2', 'i-3'), before)

    def test_good_version_takes_over_although_the_decider_is_killed(self):
        """The old targets get no call once the status says completed."""
        self.start()
        self.order()
        self.wait_for_state('running')
        self.fleet.node_processes[0].kill()
        self.fleet.node_processes[0].wait()
        self.fleet.start_node(0)
        self.wait_for_state('completed')
        before = self.runs('i-0', 'i-1')
        time.sleep(1)
        self.assertEqual(self.runs('i-0', 'i-1'), before)
        self.assertEqual(
            self.states(), [('v2', 'running'), ('v2', 'completed')]
        )


if __name__ == '__main__':
    unittest.main()
