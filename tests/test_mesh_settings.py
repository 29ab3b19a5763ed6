"""Settings of a node of the platform, as they may be found on the VM."""

import json
import tempfile
import unittest
from pathlib import Path

from test_decoders import NODE

from rattanstile.errors import SettingsError
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
