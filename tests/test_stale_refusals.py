"""Refusals of a node that has not heard of the operators' log for some time."""

import json
import time
import unittest

from platform_fleet import API_KEY, PlatformFleet, config_document

SILENCE_S = 4.0
"""Longer than what a node knows counts as the newest."""
NEW_KEY = 'key-new'


class StaleRefusalTest(unittest.TestCase):
    """The store answers the operator, but none of the nodes."""

    @classmethod
    def setUpClass(cls):
        cls.fleet = PlatformFleet()
        cls.fleet.start()

    @classmethod
    def tearDownClass(cls):
        cls.fleet.stop()

    def is_served(self):
        return self.fleet.call(key=NEW_KEY).status == 200

    def test_key_added_while_the_store_is_silent_is_not_refused_for_good(self):
        """Callers give a request up after 401 and 404."""
        self.fleet.wait_until(
            lambda: self.fleet.call(key='wrong').status == 401
        )
        self.fleet.send_order('trouble/silent')
        time.sleep(SILENCE_S)
        added = config_document(version=2, keys=(API_KEY, NEW_KEY))
        self.fleet.send_order('put/config', json.dumps(added))
        new_key = self.fleet.call(key=NEW_KEY)
        new_route = self.fleet.call(path='/added/')
        known = self.fleet.call()
        self.fleet.send_order('trouble/none')
        self.assertEqual((new_key.status, new_route.status), (503, 503))
        self.assertIsNotNone(new_key.header('retry-after'))
        self.assertEqual(known.status, 200)
        self.fleet.wait_until(self.is_served)
        self.fleet.wait_until(
            lambda: self.fleet.call(key='wrong').status == 401
        )


if __name__ == '__main__':
    unittest.main()
