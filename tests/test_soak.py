"""Short runs of the soak with seeds that failed in the past."""

import socket
import unittest

from platform_fleet import free_addresses
from soak.run import run_soak
from soak.wire import Proxies

SEEDS = (
    # 332 of 2,600 requests were refused as over rate: a paused node requested
    # tokens from a node that allocated no rates.
    (1, 8, 5),
    # 451 requests were refused as over rate: the node that allocates rates
    # was restarted four times and had no rate pool after each restart.
    (5, 6, 5),
    # Two nodes in each of three failure domains: each one is a delegate.
    (21, 8, 6),
)


class ProxiesTest(unittest.TestCase):
    """Proxies of a fleet whose start is repeated."""

    def test_second_start_uses_the_new_ports(self):
        """Another process had taken a port: threads start only once."""
        proxies = Proxies()
        self.addCleanup(proxies.stop)
        for _ in range(2):
            first, second = free_addresses(2)
            proxies.add('store-0', first, second)
            proxies.start()
            host, _, port = first.rpartition(':')
            socket.create_connection((host, int(port)), 5).close()


class SoakTest(unittest.TestCase):
    """Real processes under externally injected faults."""

    def test_no_guarantee_is_violated(self):
        """Kills, pauses, disconnections and key changes break no guarantee."""
        for seed, steps, node_count in SEEDS:
            with self.subTest(seed=seed):
                violations, summary = run_soak(seed, steps, node_count)
                self.assertEqual(violations, [], summary)
