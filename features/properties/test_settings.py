"""Bad settings get one line with the file, the field and the remedy."""

import json
import tempfile
import unittest
from pathlib import Path

from briarrelay_daemon.settings import SettingsError, read_settings

HERE = {"host": "127.0.0.1", "port": 1}
GOOD = {
    "name": "entry-1",
    "data_centre": "dc1",
    "listen": HERE,
    "peer_listen": HERE,
    "log": HERE,
    "instance_list": HERE,
    "weight_store": HERE,
}


class SettingsTest(unittest.TestCase):
    def read(self, text: str):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.jsonc"
            path.write_text(text, encoding="utf-8")
            return read_settings(str(path))

    def problem(self, **changes) -> str:
        with self.assertRaises(SettingsError) as caught:
            self.read(json.dumps({**GOOD, **changes}))
        text = str(caught.exception)
        self.assertNotIn("\n", text)
        self.assertIn("settings.jsonc", text)
        self.assertIn("correct this field", text)
        return text

    def test_comments_are_read(self):
        settings = self.read("// one instance\n" + json.dumps(GOOD))
        self.assertEqual(settings.listen.port, 1)

    def test_unknown_field(self):
        self.assertIn("unknown field colour", self.problem(colour="red"))

    def test_wrong_type(self):
        text = self.problem(max_body_bytes="many")
        self.assertIn("max_body_bytes", text)
        self.assertIn("'many'", text)

    def test_bad_range(self):
        text = self.problem(listen={"host": "127.0.0.1", "port": 70_000})
        self.assertIn("listen", text)
        self.assertIn("70000", text)

    def test_name_in_place_of_an_ip_number(self):
        text = self.problem(log={"host": "log.example", "port": 1})
        self.assertIn("expected an IP number", text)

    def test_missing_field(self):
        without = {name: value for name, value in GOOD.items() if name != "log"}
        with self.assertRaises(SettingsError) as caught:
            self.read(json.dumps(without))
        self.assertIn("required field 'log' is missing", str(caught.exception))

    def test_not_json(self):
        with self.assertRaises(SettingsError) as caught:
            self.read("{")
        self.assertIn("correct the file", str(caught.exception))

    def test_missing_file(self):
        with self.assertRaises(SettingsError) as caught:
            read_settings("no-such-file.jsonc")
        self.assertIn("no-such-file.jsonc", str(caught.exception))
        self.assertIn("--settings", str(caught.exception))
