"""Announcements that other writers send to the address of the target's own."""

import json
import unittest
from types import SimpleNamespace

from mesh_samples import config, context, route

from rattanstile.connection.http_messages import HttpRequest
from rattanstile.platform import PlatformAnnouncementCodec
from rattanstile.process.mesh.node_addresses import AnnouncementService
from rattanstile.process.mesh.serving.serving_handler import ServingHandler
from rattanstile.process.mesh.serving.target_watch import (
    ProbeResult,
    TargetWatch,
)
from rattanstile.version.fleet_config import FleetState

ADDRESS = '10.0.0.1:2'
NOW_S = 1_700_000_000.0
DAY_S = 86_400


class AnnouncementCase(unittest.TestCase):
    """A node whose target announces itself over HTTP."""

    def setUp(self):
        self.statuses = []
        self.now_s = NOW_S
        node_context, _, self.holder = context(
            FleetState(1, config(routes=(route(),)))
        )
        self.log = node_context.log
        self.serving = ServingHandler(
            node_context,
            TargetWatch('fees'),
            SimpleNamespace(connection_limit=8),
            None,
            lambda: None,
        )
        self.service = AnnouncementService(
            PlatformAnnouncementCodec(ADDRESS, lambda: self.now_s),
            SimpleNamespace(
                serving=self.serving,
                context=node_context,
                persist_departure=self.persist,
            ),
        )

    async def persist(self):
        """Store nothing."""

    def deregister(self, target_id='i-1', body=b''):
        path = f'/v1/instances/{target_id}/deregister'
        connection = SimpleNamespace(
            closes_after_response=False, respond=self.respond
        )
        self.service.request_received(
            connection, HttpRequest('POST', path, (), body)
        )

    def announce(self, target_id='i-1', service='registry', **changes):
        born_ms = changes.pop('born', int(NOW_S * 1000) - 5000)
        heartbeat = {
            'address': ADDRESS,
            'born': born_ms,
            'info': {'service': service, 'slots': 9},
            'status': {'state': 'ready', 'sequence': 1, **changes},
        }
        path = f'/v1/instances/{target_id}/heartbeat'
        body = json.dumps(heartbeat).encode()
        connection = SimpleNamespace(
            closes_after_response=False, respond=self.respond
        )
        self.service.request_received(
            connection, HttpRequest('POST', path, (), body)
        )
        return self.statuses[-1]

    def respond(self, encoded, closes):
        self.statuses.append(int(encoded.split()[1]))


class AnnouncementServiceTest(AnnouncementCase):
    """An odd announcement names no target; the one in use stays."""

    def test_service_that_is_not_named_here(self):
        """The target was out until its next heartbeat."""
        self.assertEqual(self.announce(), 200)
        odd_status = self.announce('i-2', 'nobody', sequence=2)
        self.assertEqual(self.serving.watch.service, 'registry')
        self.assertEqual(self.serving.watch.target_id, 'i-1')
        self.assertEqual(odd_status, 400)
        self.assertIn('announcement_rejected', self.log.events())

    def test_service_of_the_settings_needs_no_configuration(self):
        """A target announces itself before the node has read one."""
        self.holder.state = FleetState()
        self.assertEqual(self.announce(service='fees'), 200)
        self.assertTrue(self.serving.watch.is_usable)

    def test_target_that_starts_in_the_future(self):
        """All later heartbeats of the target itself seemed out of date."""
        future_ms = int((NOW_S + 2 * DAY_S) * 1000)
        odd_status = self.announce('i-2', state='draining', born=future_ms)
        self.assertEqual(self.announce(sequence=2), 200)
        self.assertTrue(self.serving.watch.is_usable)
        self.assertEqual(odd_status, 400)

    def test_clock_that_was_set_back(self):
        """The target seems to have started an hour from now."""
        ahead_ms = int((NOW_S + DAY_S / 24) * 1000)
        self.assertEqual(self.announce(born=ahead_ms), 200)
        self.assertTrue(self.serving.watch.is_usable)


class LateHeartbeatTest(AnnouncementCase):
    """DRAIN: a target that deregistered was in use again by a late heartbeat.

    It left without a body, as the pages show it, soon after its node's start.
    """

    HOUR_MS = 3_600_000

    def found_by_probe(self):
        """Have a restarted node find its target."""
        self.serving.watch.probed(0.5, ProbeResult('i-1', True, None))
        self.assertTrue(self.serving.watch.is_usable)

    def test_target_known_by_a_probe(self):
        """Review case 5: 45 calls later than 2 s after the acknowledgement."""
        self.found_by_probe()
        self.deregister()
        self.announce(sequence=7)
        self.assertFalse(self.serving.watch.is_usable)

    def test_target_not_known_yet(self):
        """It deregisters before it is probed."""
        self.deregister()
        self.announce(sequence=7)
        self.assertFalse(self.serving.watch.is_usable)

    def test_target_that_seems_to_start_in_the_future(self):
        """The clock of its VM was set back before the node started."""
        self.found_by_probe()
        self.deregister()
        ahead_ms = int(NOW_S * 1000) + self.HOUR_MS
        self.announce(sequence=7, born=ahead_ms)
        self.assertFalse(self.serving.watch.is_usable)

    def test_all_heartbeats_that_were_on_their_way(self):
        """They arrive in any order."""
        self.found_by_probe()
        self.deregister()
        for sequence in (5, 7, 6, 8):
            self.announce(sequence=sequence)
        self.assertFalse(self.serving.watch.is_usable)

    def test_earlier_run_with_the_same_id_is_known(self):
        """Its start is not that of the run which deregisters."""
        self.announce(sequence=9, born=int(NOW_S * 1000) - self.HOUR_MS)
        self.deregister()
        self.announce(sequence=2)
        self.assertFalse(self.serving.watch.is_usable)

    def test_departures_of_others_do_not_hide_it(self):
        """A later deregistration of another ID came before the heartbeat."""
        self.found_by_probe()
        self.deregister()
        self.deregister('i-0')
        self.deregister('odd')
        self.announce(sequence=7)
        self.assertFalse(self.serving.watch.is_usable)

    def test_target_that_starts_again_with_its_id_is_used(self):
        """It was born after the departure."""
        self.deregister()
        self.now_s += 5
        self.announce(born=int(NOW_S * 1000) + 3000)
        self.assertTrue(self.serving.watch.is_usable)
