"""Settings of a node of the platform, as they may be found on the VM."""

import json
import re
import tempfile
import unittest
from pathlib import Path

from test_decoders import NODE

from rattanstile.errors import SettingsError
from rattanstile.process.mesh.rollout.rollout_bounds import RolloutBounds
from rattanstile.process.mesh.settings import (
    parse_mesh_settings,
    read_mesh_settings,
)


class MeshSettingsTest(unittest.TestCase):
    """An error names the file; a process that runs keeps its settings."""

    def test_file_that_is_no_text(self):
        """It ended the process without naming the file."""
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder, 'node.json')
            file.write_bytes(b'{"node_id": "\xff"}')
            with self.assertRaises(SettingsError) as caught:
                read_mesh_settings(str(file))
        self.assertIn('node.json', caught.exception.message)

    def test_node_id_that_the_store_takes_for_no_key(self):
        """A key has 1 to 255 bytes; the node was never announced."""
        for node_id in ('', 'n' * 256, '\u00e5' * 128):
            text = json.dumps({**NODE, 'node_id': node_id})
            with self.assertRaises(SettingsError) as caught:
                parse_mesh_settings('node.json', text)
            self.assertEqual(caught.exception.field, '$.node_id')
        text = json.dumps({**NODE, 'node_id': 'n' * 255})
        self.assertEqual(
            parse_mesh_settings('node.json', text).node_id, 'n' * 255
        )


class RolloutSettingsTest(unittest.TestCase):
    """Bounds of rollouts, which older deployments don't have."""

    def rendered(self):
        """Return the template of the deployment with sample values."""
        text = (
            Path(__file__)
            .parents[1]
            .joinpath('deploy/node.json')
            .read_text(encoding='utf-8')
        )
        for number in ('retryBudgetRatio', 'retrySlack'):
            text = text.replace(f'{{{{bounds.{number}}}}}', '1')
        text = text.replace('{{bounds.grace}}', '6s')
        text = text.replace('{{bootstrap|json}}', 'false')
        return re.sub(r'{{[\w.]+}}', 'x', text)

    def test_template_needs_no_bounds_of_rollouts(self):
        """A deployment without them couldn't fill in the template."""
        settings = parse_mesh_settings('n', self.rendered())
        self.assertEqual(settings.rollout_bounds, RolloutBounds())

    def test_bounds_of_a_deployment(self):
        """They are added to the template where they differ."""
        bounds = {'expose_share': 0.2, 'expose_slack': 30, 'rollback': '4s'}
        settings = parse_mesh_settings('n', json.dumps({**NODE, **bounds}))
        self.assertEqual(settings.rollout_bounds, RolloutBounds(0.2, 30, 4.0))

    def test_bounds_that_mean_nothing(self):
        """The process would expose all calls, or never stop to."""
        for field, value in (
            ('expose_share', 1.5),
            ('expose_share', -0.1),
            ('expose_slack', -1),
            ('rollback', '5'),
        ):
            text = json.dumps({**NODE, field: value})
            with self.assertRaises(SettingsError):
                parse_mesh_settings('node.json', text)
