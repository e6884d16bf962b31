"""Errors in settings are reported in one line with file, field and remedy."""

import json
import tempfile
import unittest
from pathlib import Path

from briarrelay_daemon.settings import SettingsError, read_settings

ADDRESS = {"host": "127.0.0.1", "port": 1}
VALID_SETTINGS = {
    "name": "entry-1",
    "data_centre": "dc1",
    "listen": ADDRESS,
    "peer_listen": ADDRESS,
    "log": ADDRESS,
    "instance_list": ADDRESS,
    "weight_store": ADDRESS,
}


class SettingsTest(unittest.TestCase):
    def read(self, text: str):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.jsonc"
            path.write_text(text, encoding="utf-8")
            return read_settings(str(path))

    def read_error(self, **changes) -> str:
        with self.assertRaises(SettingsError) as caught:
            self.read(json.dumps({**VALID_SETTINGS, **changes}))
        text = str(caught.exception)
        self.assertNotIn("\n", text)
        self.assertIn("settings.jsonc", text)
        self.assertIn("correct this field", text)
        return text

    def test_comments_are_read(self):
        settings = self.read("// one instance\n" + json.dumps(VALID_SETTINGS))
        self.assertEqual(settings.listen.port, 1)

    def test_unknown_field(self):
        self.assertIn("unknown field colour", self.read_error(colour="red"))

    def test_wrong_type(self):
        text = self.read_error(max_body_bytes="many")
        self.assertIn("max_body_bytes", text)
        self.assertIn("'many'", text)

    def test_port_out_of_range(self):
        text = self.read_error(listen={"host": "127.0.0.1", "port": 70_000})
        self.assertIn("listen", text)
        self.assertIn("70000", text)

    def test_host_name_instead_of_ip_address(self):
        text = self.read_error(log={"host": "log.example", "port": 1})
        self.assertIn("expected an IP number", text)

    def test_missing_field(self):
        incomplete = {
            name: value for name, value in VALID_SETTINGS.items() if name != "log"
        }
        with self.assertRaises(SettingsError) as caught:
            self.read(json.dumps(incomplete))
        self.assertIn("required field 'log' is missing", str(caught.exception))

    def test_malformed_json(self):
        with self.assertRaises(SettingsError) as caught:
            self.read("{")
        self.assertIn("correct the file", str(caught.exception))

    def test_missing_file(self):
        with self.assertRaises(SettingsError) as caught:
            read_settings("no-such-file.jsonc")
        self.assertIn("no-such-file.jsonc", str(caught.exception))
        self.assertIn("--settings", str(caught.exception))
