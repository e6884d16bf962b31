"""The check of a configuration before it is sent: what it names and accepts."""

import json
import unittest
from base64 import b64encode
from pathlib import Path
from subprocess import run
from sys import executable
from tempfile import TemporaryDirectory
from time import process_time
from types import SimpleNamespace
from unittest.mock import patch

import orjson
from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from briarrelay_core.agreement.configuration import (
    Configuration,
    ModelSpec,
    Preset,
    ServiceSpec,
    Workspace,
)
from briarrelay_core.configcheck.checks import check_configuration
from briarrelay_core.configcheck.differences import compare_configurations
from briarrelay_core.configcheck.findings import Severity
from briarrelay_core.mappings import to_mapping
from briarrelay_core.routes.budget import RetryLimits
from briarrelay_core.routes.model import (
    CallerLimits,
    KeyHolder,
    PromptRetention,
    RouteKind,
    Service,
    ServiceShare,
)
from briarrelay_ctl.commands import Commands
from briarrelay_ctl.configchecks import report_check
from briarrelay_ctl.main import main
from briarrelay_daemon.settings import Address
from briarrelay_platform import storeclient
from briarrelay_platform.decode import decode_configuration
from briarrelay_platform.fields import DecodeError
from briarrelay_platform.names import (
    CONFIGURATION_KEY,
    OPERATOR_TOPIC,
    SERVERS_TOPIC,
)
from briarrelay_platform.storeclient import PlatformConfigurationReader
from briarrelay_platform.unknownfields import find_unknown_fields
from properties.routeworld import PROFILE, make_configuration, make_route
from properties.test_route_decoders import configuration as make_mapping

ROOT = Path(__file__).resolve().parent.parent.parent
CTL = ROOT / "platform" / "ctl.py"

ROUTES = make_configuration().routes
SERVICES = make_configuration().services


def with_route(**changes):
    """Return a configuration whose first route is changed."""
    return make_configuration(routes=(evolve(ROUTES[0], **changes), *ROUTES[1:]))


def with_profile(**changes):
    """Return a configuration with changed engines."""
    llm = evolve(SERVICES["llm"], profile=evolve(PROFILE, **changes))
    return make_configuration(services={**SERVICES, "llm": llm})


def with_holders(*holders):
    """Return a configuration with these workspaces and their keys."""
    pairs = [KeyHolder(name=name, keys=keys) for name, keys in holders]
    return make_configuration(holders=tuple(pairs))


ERROR, NEVER = Severity.ERROR, Severity.NEVER
CONTRADICTION = Severity.CONTRADICTION
LLM, DESK = ServiceShare("llm", 1.0), ServiceShare("desk", 0.0)

DEFECTS = (
    (ERROR, "routes[look]", with_route(name="look")),
    (ERROR, "routes[chat].timeout_s", with_route(timeout_s=-1.0)),
    (ERROR, "routes[chat].timeout_s", with_route(timeout_s=float("nan"))),
    (ERROR, "routes[chat].target_latency_s", with_route(target_latency_s=0.0)),
    (ERROR, "routes[chat].attempts", with_route(attempts=0)),
    (
        ERROR,
        "routes[chat].shares[llm]",
        with_route(shares=(ServiceShare("llm", -1.0),)),
    ),
    (ERROR, "services[llm].profile.stride", with_profile(stride=0)),
    (
        ERROR,
        "services[llm].profile.read_tokens_per_s",
        with_profile(read_tokens_per_s=0.0),
    ),
    (
        ERROR,
        "services[desk]",
        make_configuration(
            services={**SERVICES, "desk": Service(name="desk", problem="keep-s: -1")}
        ),
    ),
    (
        ERROR,
        "limits.header_s",
        make_configuration(limits=CallerLimits(header_s=0.0)),
    ),
    (
        ERROR,
        "limits.body_bytes",
        make_configuration(limits=CallerLimits(body_bytes=-1)),
    ),
    (ERROR, "workspaces[a].keys[0]", with_holders(("a", (7,)))),
    (
        NEVER,
        "routes[behind].prefix",
        make_configuration(
            routes=(*ROUTES, evolve(ROUTES[0], name="behind", kind=RouteKind.SAFE))
        ),
    ),
    (NEVER, "routes[chat].prefix", with_route(prefix="chat/")),
    (NEVER, "routes[chat].host", with_route(host="")),
    (NEVER, "routes[chat].host", with_route(host="Shop.example")),
    (NEVER, "routes[chat].shares[desk]", with_route(shares=(LLM, DESK))),
    (
        NEVER,
        "routes[chat].shares[gone]",
        with_route(shares=(ServiceShare("gone", 1.0),)),
    ),
    (
        NEVER,
        "services[spare]",
        make_configuration(services={**SERVICES, "spare": Service(name="spare")}),
    ),
    (
        NEVER,
        "services[desk].retention",
        make_configuration(
            services={
                **SERVICES,
                "desk": Service(name="desk", retention=PromptRetention(keep_s=1.0)),
            }
        ),
    ),
    (NEVER, "workspaces[a].keys", with_holders(("a", ()), ("b", ("k",)))),
    (NEVER, "routes[chat].gap_limit_s", with_route(kind=RouteKind.SAFE)),
    (
        CONTRADICTION,
        "workspaces[b].keys[0]",
        with_holders(("a", ("k",)), ("b", ("k",))),
    ),
    (
        CONTRADICTION,
        "routes[chat].timeout_s",
        with_route(timeout_s=1.0, target_latency_s=2.0),
    ),
    (
        CONTRADICTION,
        "routes[chat].gap_limit_s",
        with_route(gap_limit_s=20.0, timeout_s=15.0),
    ),
    (
        CONTRADICTION,
        "limits.header_bytes",
        make_configuration(limits=CallerLimits(header_bytes=20)),
    ),
    (
        CONTRADICTION,
        "limits.body_bytes",
        make_configuration(limits=CallerLimits(body_bytes=0)),
    ),
)


class RouteCheckTest(unittest.TestCase):
    """Each seeded defect is named by its place, and nothing else is."""

    def test_valid_configuration_has_no_findings(self):
        servers = {"llm": 3, "desk": 1}
        self.assertEqual([], check_configuration(make_configuration(), servers))

    def test_each_defect_is_named(self):
        for severity, place, configuration in DEFECTS:
            with self.subTest(place, severity=severity):
                findings = check_configuration(configuration)
                self.assertIn(
                    (severity, place), [(f.severity, f.place) for f in findings]
                )
                self.assertTrue(all(f.problem and f.remedy for f in findings))
                code = report_check(configuration).code
                errors = any(f.severity is ERROR for f in findings)
                self.assertEqual(4 if errors else 7, code)

    def test_service_without_servers(self):
        findings = check_configuration(make_configuration(), {"llm": 3})
        places = {finding.place for finding in findings}
        self.assertEqual(
            {"routes[book].shares[desk]", "routes[look].shares[desk]"}, places
        )

    def test_attempts_above_what_the_budget_ever_allows(self):
        configuration = with_route(attempts=3)
        retries = RetryLimits(ratio=0.0, slack=2.0)
        findings = check_configuration(configuration, retries=retries)
        self.assertIn("routes[chat].attempts", [f.place for f in findings])
        enough = RetryLimits(ratio=0.0, slack=4.0)
        self.assertEqual([], check_configuration(configuration, retries=enough))

    def test_ten_thousand_routes_in_under_a_second(self):
        routes = tuple(
            make_route(f"r-{n}", RouteKind.SAFE, "desk", prefix=f"/p-{n}/")
            for n in range(10_000)
        )
        new = make_configuration(routes=(*ROUTES, *routes))
        old = make_configuration(
            routes=(*ROUTES, *(evolve(route, timeout_s=14.0) for route in routes))
        )
        began = process_time()
        result = report_check(new, old)
        self.assertLess(process_time() - began, 1.0)
        self.assertEqual((0, 10_000), (result.code, len(result.value["differences"])))


class DifferenceTest(unittest.TestCase):
    """Differences are listed by entry and field; keys are not shown."""

    def compare(self, new, old=None) -> dict:
        differences = compare_configurations(new, old or make_configuration())
        return {d.place: d for d in differences}

    def test_same_configuration_has_none(self):
        self.assertEqual({}, self.compare(make_configuration(2)))

    def test_entries_and_fields(self):
        routes = (evolve(ROUTES[0], timeout_s=9.0), *ROUTES[2:])
        holders = (KeyHolder(name="owners", keys=("secret-1", "secret-2")),)
        found = self.compare(
            make_configuration(
                routes=routes,
                holders=holders,
                services={**SERVICES, "spare": Service(name="spare")},
            )
        )
        self.assertEqual(
            {
                "routes[chat].timeout_s",
                "routes[file]",
                "services[spare]",
                "workspaces[owners].keys",
            },
            set(found),
        )
        self.assertNotIn("secret", " ".join(map(str, found.values())))
        self.assertFalse(any(d.loses_requests for d in found.values()))

    def test_lowered_limits_refuse_requests_that_arrive(self):
        for name in ("header_bytes", "body_bytes", "header_s"):
            before = getattr(CallerLimits(), name)
            for after, loses in ((before / 2, True), (before * 2, False)):
                limits = CallerLimits(**{name: type(before)(after)})
                found = self.compare(make_configuration(limits=limits))
                self.assertEqual([f"limits.{name}"], list(found))
                self.assertEqual(loses, found[f"limits.{name}"].loses_requests)


PRODUCT = Configuration(
    models={"m": ModelSpec()},
    services={"s": ServiceSpec()},
    workspaces={"w": Workspace(key_hashes=("a",))},
    presets={"day": Preset(), "closed": Preset(accept_calls=False)},
    preset="day",
)


class ProductConfigurationTest(unittest.TestCase):
    """The product's own configuration, and the command on it."""

    def check(self, text: bytes, against: bytes | None = None):
        with TemporaryDirectory() as folder:
            path, other = Path(folder, "new.jsonc"), Path(folder, "old.jsonc")
            path.write_bytes(text)
            other.write_bytes(against or b"")
            commands = Commands(None, None, None)
            return commands.check(str(path), str(other) if against else None)

    def test_nothing_found_and_no_difference(self):
        text = json.dumps(to_mapping(PRODUCT)).encode()
        result = self.check(text, text)
        self.assertEqual(
            (0, "nothing found\nno difference"), (result.code, result.text)
        )

    def test_each_defect_is_named(self):
        empty, twin = Workspace(), Workspace(key_hashes=("a",))
        for place, changed in (
            ("workspaces[e].key_hashes", evolve(PRODUCT, workspaces={"e": empty})),
            (
                "workspaces[x].key_hashes[0]",
                evolve(PRODUCT, workspaces={"w": twin, "x": twin}),
            ),
            ("models[m].share", evolve(PRODUCT, models={"m": ModelSpec(share=0.0)})),
            ("presets[closed].accept_calls", PRODUCT.with_preset("closed")),
        ):
            with self.subTest(place):
                result = self.check(json.dumps(to_mapping(changed)).encode())
                self.assertEqual(7, result.code)
                self.assertIn(place, [f["place"] for f in result.value["findings"]])

    def test_differences_by_entry(self):
        old = json.dumps(to_mapping(PRODUCT)).encode()
        new = evolve(
            PRODUCT.with_preset("closed"),
            services={},
            workspaces={"w": Workspace(key_hashes=("a",), limit=5.0)},
        )
        result = self.check(json.dumps(to_mapping(new)).encode(), old)
        places = [d["place"] for d in result.value["differences"]]
        self.assertEqual(["services[s]", "workspaces[w].limit", "preset"], places)

    def test_unreadable_files_give_an_error(self):
        unknown = json.dumps({**to_mapping(PRODUCT), "roads": 1}).encode()
        for text, named in (
            (b"\xff\xfe\x00", "can not be read"),
            (b"{", "not JSON"),
            (b"[" * 200_000, "not JSON"),
            (b"[]", "expected an object"),
            (unknown, "roads"),
            (json.dumps({"preset": "x"}).encode(), "'presets' does not define"),
        ):
            with self.subTest(text[:20]):
                result = self.check(text)
                self.assertEqual(4, result.code)
                self.assertIn(named, result.text)
                json.dumps(result.value)

    def test_command_line(self):
        with TemporaryDirectory() as folder:
            settings, path = Path(folder, "ctl.json"), Path(folder, "new.json")
            place = {"host": "127.0.0.1", "port": 9}
            settings.write_text(json.dumps({"log": place}))
            path.write_text(json.dumps(to_mapping(PRODUCT)))
            line = ["--settings", str(settings), "config", "check", str(path)]
            self.assertEqual(0, main([*line, "--json"]))
            self.assertEqual(0, main([*line, "--against", str(path)]))
            self.assertEqual(6, main([*line, "--against", "in-force"]))


class PlatformConfigurationTest(unittest.TestCase):
    """The configuration as it is sent on the users' platform."""

    def run_check(self, text: bytes, *options: str):
        with TemporaryDirectory() as folder:
            path = Path(folder, "new.json")
            path.write_bytes(text)
            line = [executable, str(CTL), "config", "check", str(path), *options]
            return run(line, capture_output=True, text=True, timeout=60)

    def test_command_line(self):
        mapping = make_mapping(3)
        checked = self.run_check(orjson.dumps(mapping), "--json")
        value = json.loads(checked.stdout)
        self.assertEqual([], [f for f in value["findings"] if f["severity"] == "error"])
        mapping["routes"][0]["timeout-ms"] = -1
        checked = self.run_check(orjson.dumps(mapping))
        self.assertEqual(4, checked.returncode, checked.stderr)
        self.assertIn(".timeout_s: given -0.001 s", checked.stdout)
        for text in (b"\xff\x00", b"[" * 200_000, b"{}"):
            checked = self.run_check(text)
            self.assertEqual((4, ""), (checked.returncode, checked.stderr))
        checked = self.run_check(b"{}", "--against=in-force")
        self.assertEqual(2, checked.returncode)
        self.assertIn("--store", checked.stderr)

    def test_unknown_fields_are_named(self):
        mapping = make_mapping(3)
        mapping["routes"][0]["timeout"] = 5
        mapping["speed"] = 1
        found = [f.place for f in find_unknown_fields(orjson.dumps(mapping))]
        self.assertIn("speed", found)
        self.assertIn(f"routes[{mapping['routes'][0]['name']}].timeout", found)

    def test_store_gives_the_version_in_force_and_the_servers(self):
        server = {"service": "llm", "state": "ready", "slots": 1}
        servers = [("s-1", {**server, "address": "10.0.0.1:80"})]
        topics = {
            OPERATOR_TOPIC: [(CONFIGURATION_KEY, make_mapping(3))],
            SERVERS_TOPIC: servers,
        }

        def respond(address, method, target):
            topic = target.partition("topic=")[2].partition("&")[0]
            items = [
                {"key": key, "value": b64encode(orjson.dumps(value)).decode()}
                for key, value in topics[topic]
            ]
            return SimpleNamespace(
                status=200, body=orjson.dumps({"items": items, "has-more": False})
            )

        reader = PlatformConfigurationReader(Address("127.0.0.1", 1))
        with patch.object(storeclient, "_call", respond):
            expected = decode_configuration(orjson.dumps(make_mapping(3)))
            self.assertEqual(expected, reader.read())
            self.assertEqual({"llm": 1}, reader.count_servers())
            topics[OPERATOR_TOPIC] = []
            self.assertIsNone(reader.read())

    @given(st.data())
    def test_what_passes_is_accepted(self, data):
        """A field gets some value; without an error, the daemon's decoder takes it."""
        mapping = make_mapping(3)
        targets = [mapping, mapping["routes"][0], mapping["services"][0]]
        targets += [mapping["limits"], mapping["tenants"][0]]
        target = data.draw(st.sampled_from(targets))
        name = data.draw(st.sampled_from(sorted(target)))
        values = st.one_of(st.none(), st.booleans(), st.integers(-9, 99), st.text())
        target[name] = data.draw(st.one_of(values, st.lists(values), st.floats()))
        value = orjson.dumps(mapping)
        try:
            configuration = decode_configuration(value)
        except DecodeError as error:
            self.assertTrue(str(error))
            return
        list(find_unknown_fields(value))
        result = report_check(configuration, configuration)
        self.assertEqual([], result.value["differences"])
        if result.code != 4:
            for route in configuration.routes:
                self.assertIs(
                    route.service_for(0.5) in configuration.services
                    or result.code == 7,
                    True,
                )


if __name__ == "__main__":
    unittest.main()
