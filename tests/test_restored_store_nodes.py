"""Node processes over a store that is restored from an older copy."""

import math
import time
import unittest

from platform_fleet import PlatformFleet, config_document

from rattanstile.process.mesh.store.store_poll import FIRST_READER_POLL_S

IN_FORCE_POLLS = 80
"""Four seconds, within which a change must be in force."""
OUTAGE_S = 0.5
DOMAINS = ('east', 'west')
MAX_REPEATS = 15
"""Store calls of three nodes in four seconds, from a second after a restore,
beside the polls of the first readers."""
MAX_CALLS = MAX_REPEATS + len(DOMAINS) * math.ceil(4.0 / FIRST_READER_POLL_S)
NODES = 3


class RestoredStoreTest(unittest.TestCase):
    """The copy has version 1; versions 2 and 3 were in force at all nodes."""

    def setUp(self):
        self.fleet = PlatformFleet(NODES, domains=DOMAINS)
        self.addCleanup(self.fleet.stop)
        self.fleet.start()
        self.fleet.send_order('copy')

    def publish(self, version, key):
        self.fleet.publish(config_document(version=version, keys=(key,)))

    def publish_lost_versions(self):
        for version in (2, 3):
            self.publish(version, f'key-{version}')
            self.wait_in_force(f'key-{version}')

    def restore(self):
        self.fleet.send_order('trouble/down')
        self.fleet.send_order('restore')
        time.sleep(OUTAGE_S)
        self.fleet.send_order('trouble/none')

    def append_others(self):
        """Let the new log become longer than the lost one was."""
        for number in range(6):
            self.fleet.send_order(f'put/other-{number}', 'x')

    def is_in_force(self, node_index, key):
        try:
            return self.fleet.call(node_index, key=key).status == 200
        except OSError:
            return False

    def wait_in_force(self, key):
        for node_index in range(NODES):
            self.fleet.wait_until(
                lambda node_index=node_index: self.is_in_force(node_index, key),
                IN_FORCE_POLLS,
            )

    def restart(self, node_index):
        self.fleet.node_processes[node_index].kill()
        self.fleet.node_processes[node_index].wait()
        self.fleet.start_node(node_index)

    def run_count(self, target_id):
        return sum(self.fleet.send_order('runs')[target_id].values())

    def test_version_published_after_the_restore_is_in_force(self):
        """It was in no node's force, as its offset had been read before."""
        self.publish_lost_versions()
        self.restore()
        self.publish(4, 'key-4')
        self.wait_in_force('key-4')

    def test_lost_version_is_kept_until_it_is_published_again(self):
        """Whether the operator does so at once or late."""
        self.publish_lost_versions()
        self.restore()
        for _ in range(10):
            for node_index in range(NODES):
                self.assertTrue(self.is_in_force(node_index, 'key-3'))
            time.sleep(0.1)
        self.fleet.send_order('append-lost')
        self.publish(4, 'key-4')
        self.wait_in_force('key-4')

    def test_readers_don_t_repeat_reads_that_are_refused(self):
        """Each began again at once: 308 calls of 14 nodes."""
        self.publish_lost_versions()
        self.restore()
        time.sleep(1.0)
        calls = self.fleet.send_order('calls')
        time.sleep(4.0)
        self.assertLess(self.fleet.send_order('calls') - calls, MAX_CALLS)

    def test_restarted_node_has_the_version_of_its_peers(self):
        """The copy's was in force there: it comes from the longer log."""
        self.publish_lost_versions()
        self.restore()
        self.append_others()
        self.restart(0)
        self.fleet.wait_until(
            lambda: self.is_in_force(0, 'key-3'), IN_FORCE_POLLS
        )

    def test_all_nodes_but_one_restart(self):
        """The one that knows the lost version may not be a reader."""
        self.publish_lost_versions()
        self.restore()
        self.append_others()
        self.restart(0)
        self.restart(2)
        self.wait_in_force('key-3')

    def test_evacuation_that_the_copy_lacks_stays(self):
        """Its domain got work again."""
        self.fleet.send_order('put/evacuate/west', '{}')
        for node_index in range(NODES):
            self.fleet.wait_until(
                lambda node_index=node_index: (
                    'evacuated=west' in self.fleet.read_log(node_index)
                ),
                IN_FORCE_POLLS,
            )
        self.restore()
        self.append_others()
        runs_before = self.run_count('i-1')
        for _ in range(20):
            for node_index in range(NODES):
                self.fleet.call(node_index)
            time.sleep(0.1)
        self.assertEqual(self.run_count('i-1'), runs_before)

    def test_evacuation_withdrawn_after_the_restore_ends(self):
        """A record of the new log decides, though the copy lacks the first."""
        self.fleet.send_order('put/evacuate/west', '{}')
        self.fleet.wait_until(
            lambda: 'evacuated=west' in self.fleet.read_log(0), IN_FORCE_POLLS
        )
        self.restore()
        time.sleep(2.0)
        self.fleet.send_order('append-lost')
        self.fleet.send_order('put/evacuate/west', '')
        runs_before = self.run_count('i-1')
        self.fleet.wait_until(
            lambda: (
                self.fleet.call(1).status == 200
                and self.run_count('i-1') > runs_before
            ),
            IN_FORCE_POLLS,
        )


class RestoredMembersTest(unittest.TestCase):
    """The copy was made before any node had stored its entry."""

    def setUp(self):
        self.fleet = PlatformFleet(NODES, domains=DOMAINS)
        self.addCleanup(self.fleet.stop)
        self.fleet.start()

    def restore(self):
        self.fleet.send_order('trouble/down')
        self.fleet.send_order('restore')
        time.sleep(OUTAGE_S)
        self.fleet.send_order('trouble/none')

    def wait_members(self):
        self.fleet.wait_until(
            lambda: len(self.fleet.send_order('members')) == NODES,
            IN_FORCE_POLLS,
        )

    def test_entries_of_members_are_back(self):
        """A node that started later found no other node."""
        self.wait_members()
        self.restore()
        self.assertEqual(self.fleet.send_order('members'), [])
        self.wait_members()

    def test_departure_that_was_acknowledged_is_back(self):
        """A later run of the node believed a probe of the target."""
        self.fleet.send_order('deregister/i-0')
        self.fleet.wait_until(
            lambda: 'i-0' in self.fleet.send_order('acknowledged')
        )
        self.restore()
        self.fleet.publish(config_document())
        self.wait_members()
        self.fleet.node_processes[0].kill()
        self.fleet.node_processes[0].wait()
        runs_before = sum(self.fleet.send_order('runs')['i-0'].values())
        self.fleet.start_node(0)
        self.fleet.wait_until_served(0)
        time.sleep(1.0)
        for _ in range(10):
            self.assertEqual(self.fleet.call(0).status, 200)
        runs_after = sum(self.fleet.send_order('runs')['i-0'].values())
        self.assertEqual(runs_after, runs_before)
