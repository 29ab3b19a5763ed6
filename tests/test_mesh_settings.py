"""Settings of a node of the platform, as they may be found on the VM."""

import tempfile
import unittest
from pathlib import Path

from rattanstile.errors import SettingsError
from rattanstile.process.mesh.settings import (
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
