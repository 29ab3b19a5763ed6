"""What a node knows of the load in other failure domains."""

import unittest

import msgspec
from mesh_samples import USABLE

from rattanstile.connection.peer_messages import DomainDigest, ServiceDigest
from rattanstile.process.mesh.fleet.fleet_digests import (
    MAX_DIGEST_AGE_S,
    FleetDigests,
    service_digest,
)
from rattanstile.process.mesh.fleet.fleet_view import FleetKnowledge
from rattanstile.process.mesh.fleet.load_reports import LoadReports
from rattanstile.process.mesh.placement.placement import Candidate


def node(name, domain='east', received_s=0.0, **changes):
    load = msgspec.structs.replace(USABLE, **changes)
    return Candidate(name, 'registry', domain, load, load_received_s=received_s)


def digest(domain='west', age_ms=0, **changes):
    fields = {
        'service': 'registry',
        'targets': 10,
        'usable': 10,
        'offered_deci_per_s': 1000,
        'capacity_deci_per_s': 50_000,
        'wait_us': 0,
        'failing_percent': 0,
        'cold_ms': 0,
    }
    service = ServiceDigest(**{**fields, **changes})
    return DomainDigest(domain, age_ms, 39, (service,))


class DigestTest(unittest.TestCase):
    """Digests of failure domains, passed on from node to node."""

    def setUp(self):
        self.digests = FleetDigests()

    def test_later_digest_replaces_an_earlier_one(self):
        """They may come on different ways."""
        self.digests.record(10.0, digest(age_ms=500, usable=7))
        self.digests.record(10.1, digest(age_ms=900, usable=3))
        found = self.digests.of_service(10.1, 'west', 'registry')
        self.assertEqual(found.usable, 7)

    def test_age_grows_on_the_way(self):
        """A digest that was passed on is not taken for a new one."""
        self.digests.record(10.0, digest(age_ms=500))
        passed_on = self.digests.to_send(11.0, without='east')
        self.assertEqual(passed_on[0].age_ms, 1500)
        other = FleetDigests()
        other.record(11.0, passed_on[0])
        late_s = 11.0 + MAX_DIGEST_AGE_S - 1.4
        self.assertIsNone(other.of_service(late_s, 'west', 'registry'))

    def test_receiver_gets_what_it_uses(self):
        """Neither its own domain nor services that it doesn't call."""
        self.digests.record(0.0, digest('east'))
        self.digests.record(0.0, digest('west'))
        sent = self.digests.to_send(0.0, without='east', services={'fees'})
        self.assertEqual([each.domain for each in sent], ['west'])
        self.assertEqual(sent[0].services, ())

    def test_room_is_known_from_offered_calls(self):
        """Unknown domains are neither free nor full."""
        self.assertIsNone(self.digests.has_room(0.0, 'west', 'registry'))
        self.digests.record(0.0, digest('west'))
        self.digests.record(0.0, digest('south', offered_deci_per_s=49_000))
        self.assertTrue(self.digests.has_room(0.0, 'west', 'registry'))
        self.assertFalse(self.digests.has_room(0.0, 'south', 'registry'))

    def test_digest_sums_usable_targets(self):
        """A target that leaves has no capacity."""
        made = service_digest(
            5.0,
            'registry',
            (
                node('a', offered_deci_per_s=100, wait_us=9000),
                node('b', offered_deci_per_s=300, failing_percent=20),
                node('c', is_usable=False),
                node('d', received_s=4.0, cold_ms=3000),
            ),
        )
        self.assertEqual((made.targets, made.usable), (4, 3))
        self.assertEqual(made.capacity_deci_per_s, 15_000)
        self.assertEqual(made.offered_deci_per_s, 400)
        self.assertEqual(made.wait_us, 3000)
        self.assertEqual(made.cold_ms, 2000)


class ViewTest(unittest.TestCase):
    """A node of the east with two targets there; ten are in the west."""

    def setUp(self):
        self.digests = FleetDigests()
        self.connected = [node('a'), node('b')]
        self.nodes = {'registry': {'east': 1, 'west': 10}}

    def view(self, now_s=0.0):
        knowledge = FleetKnowledge(
            'east', {'registry': self.connected}, self.nodes, self.digests
        )
        return knowledge.views(now_s)['registry']

    def test_digest_counts_for_nodes_that_are_not_connected(self):
        """Connected ones of that domain are included in it."""
        self.connected.append(node('w1', 'west'))
        self.digests.record(0.0, digest())
        view = self.view()
        self.assertEqual(view.capacity_per_s, 2 * 500 + 5000)
        self.assertEqual(view.offered_per_s, 100)

    def test_connected_nodes_count_if_they_are_all(self):
        """Their own reports are newer than a digest."""
        self.nodes['registry']['west'] = 1
        self.connected.append(node('w1', 'west'))
        self.digests.record(0.0, digest())
        self.assertEqual(self.view().capacity_per_s, 3 * 500)

    def test_unknown_domain_is_taken_to_be_like_the_known(self):
        """After a power loss all targets are cold, here and there."""
        cold = msgspec.structs.replace(USABLE, capacity_deci_per_s=50)
        for each in self.connected:
            each.update_load(cold, 0.0)
        self.assertEqual(self.view().capacity_per_s, 12 * 5)

    def test_lost_domain_has_no_capacity(self):
        """Its delegate's digests have ended."""
        self.digests.record(0.0, digest())
        self.assertEqual(self.view(2.0).capacity_per_s, 6000)
        late_s = MAX_DIGEST_AGE_S + 0.1
        self.assertEqual(self.view(late_s).capacity_per_s, 1000)

    def test_service_of_which_nothing_is_known_has_no_view(self):
        """It is not unavailable: no request is refused for it yet."""
        self.connected.clear()
        self.nodes = {'registry': {'west': 10}}
        self.assertIsNone(self.view())
        self.digests.record(0.0, digest(usable=0, capacity_deci_per_s=0))
        self.assertEqual(self.view().capacity_per_s, 0)


class LoadReportTest(unittest.TestCase):
    """Reports of the local target's load."""

    def busy_reports(self, receivers):
        reports = LoadReports()
        load = msgspec.structs.replace(USABLE, offered_deci_per_s=4900)
        return sum(
            reports.is_due(tick / 4, load, receivers) for tick in range(40)
        )

    def test_busy_target_is_reported_each_tick(self):
        """Its load changes within a fraction of a second."""
        self.assertEqual(self.busy_reports(30), 40)

    def test_reports_do_not_grow_with_their_receivers(self):
        """Frames a second stay the same at four times as many receivers."""
        self.assertLessEqual(self.busy_reports(160) * 160, 40 * 45)

    def test_idle_target_is_reported_when_its_capacity_changes(self):
        """As when it becomes warm."""
        reports = LoadReports()
        idle = msgspec.structs.replace(USABLE, capacity_deci_per_s=100)
        self.assertTrue(reports.is_due(0.0, idle, 10))
        self.assertFalse(reports.is_due(1.0, idle, 10))
        self.assertTrue(reports.is_due(1.1, USABLE, 10))
