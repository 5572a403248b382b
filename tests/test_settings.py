"""Tests of carobhook.entry_settings."""

import pathlib

import hypothesis
import pytest
from hypothesis import strategies

from carobhook import entry_settings, settings

_EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
_HASH = "0" * 64
_MINIMAL = f"""
[place]
name = "addis-1"
region = "addis"
failure_domain = "addis-a"
http = "127.0.0.1:1"
readiness = "127.0.0.1:2"
directory = "127.0.0.1:3"
peers = "127.0.0.1:4"
metrics = "127.0.0.1:5"
operators = "127.0.0.1:6"
[store]
address = "127.0.0.1:7"
[capacity]
memory_mb = 300
file_descriptors = 4100
cores = 0.86
link_mbps = 1000
[bounds]
grace = "6s"
ttl_max = "5s"
budget_ratio = 0.2
budget_window = "10s"
budget_slack = 58
cold_over = 1.5
cold_slack = 5
shift_most = 0.15
[security]
peer_key = "0123456789abcdef"
[security.operators]
selam = "{_HASH}"
[regions]
addis-a = "addis"
"""


def faults_of(text):
    """Return the faults of a settings text as (table, key) pairs, and the faults."""
    with pytest.raises(settings.SettingsError) as caught:
        entry_settings.loads(text)
    return {(fault.table, fault.key): fault for fault in caught.value.exceptions}


class TestLoads:
    """Reading settings from text."""

    def test_minimal_text_has_defaults(self):
        """Tables that are left out take their defaults."""
        loaded = entry_settings.loads(_MINIMAL)

        assert loaded.store.timeout_s == 1.5
        assert loaded.bounds.grace_s == 6.0
        assert loaded.security.operators == {"selam": _HASH}
        assert loaded.tls == settings.TlsSettings()

    def test_every_fault_is_reported_at_once(self):
        """Missing, malformed and unknown keys of several tables come in one error."""
        text = _MINIMAL.replace('"127.0.0.1:1"', '"127.0.0.1:99999"')
        text = text.replace('region = "addis"\n', "", 1) + '[log]\nform = "xml"\nlevel = 3\n'

        assert set(faults_of(text)) == {
            ("place", "http"),
            ("place", "region"),
            ("log", "form"),
            ("log", "level"),
        }

    def test_unknown_names_come_with_the_nearest_known_name(self):
        """A misspelt table and a misspelt key are faults with a suggestion."""
        text = _MINIMAL.replace("peer_key", "peerkey") + "[boundss]\n"

        faults = faults_of(text)

        assert faults["security", "peerkey"].suggestion == "peer_key"
        assert faults["boundss", ""].suggestion == "bounds"

    def test_fault_names_the_line(self):
        """A fault of a key gives the line on which the key stands."""
        text = _MINIMAL.replace("[store]", "[store]\n# comment\ntimeout_s = 0")

        fault = faults_of(text)["store", "timeout_s"]

        assert text.splitlines()[fault.line - 1] == "timeout_s = 0"
        assert str(fault) == (
            f"line {fault.line}: store.timeout_s: is 0, expected a number of seconds above 0"
        )

    def test_malformed_toml_is_one_fault_with_its_line(self):
        """Text that is not TOML gives one fault with the parser's line."""
        faults = faults_of("[place]\nname = \n")

        assert [fault.line for fault in faults.values()] == [2]

    @pytest.mark.parametrize("value", ['"6"', '"6 s"', '"-1s"', "6", '""'])
    def test_duration_without_a_unit_is_a_fault(self, value):
        """Times of the agreed bounds have a number and a unit."""
        assert ("bounds", "grace") in faults_of(_MINIMAL.replace('"6s"', value))

    def test_domain_without_a_region_is_a_fault(self):
        """Each failure domain names its region."""
        assert ("regions", "addis-a") in faults_of(
            _MINIMAL.replace('addis-a = "addis"', "addis-a = 3")
        )

    def test_secret_is_not_shown(self):
        """A fault of the peer key does not print the key."""
        fault = faults_of(_MINIMAL.replace("0123456789abcdef", "secret"))[
            "security", "peer_key"
        ]

        assert "'secret'" not in str(fault)

    def test_hash_fault_names_the_operator(self):
        """A wrong token hash is reported under the operator's name."""
        assert ("security.operators", "selam") in faults_of(_MINIMAL.replace(_HASH, "abc"))

    def test_two_ports_on_one_address_are_a_fault(self):
        """The addresses of an instance differ."""
        assert ("place", "readiness") in faults_of(_MINIMAL.replace("0.0.1:2", "0.0.1:1"))

    def test_certificate_without_key_and_authority_is_a_fault(self):
        """A certificate, its private key and the authority are set together."""
        faults = faults_of(_MINIMAL + '[tls]\ncert = "a.pem"\n')

        assert {("tls", "key"), ("tls", "ca")} == set(faults)

    @pytest.mark.parametrize(
        ("key", "value"),
        [
            ("timeout_s", "true"),
            ("timeout_s", '"2"'),
            ("timeout_s", "nan"),
            ("timeout_s", "inf"),
            ("address", '"127.0.0.1"'),
            ("address", '"http://127.0.0.1:80"'),
        ],
    )
    def test_value_of_a_wrong_type_or_range_is_a_fault(self, key, value):
        """Values are not converted silently."""
        text = _MINIMAL.replace('address = "127.0.0.1:7"', f"{key} = {value}")

        assert ("store", key) in faults_of(text)


class TestLoad:
    """Reading settings from files."""

    @pytest.mark.parametrize("name", ["zema", "tarnok"])
    def test_examples_are_right(self, name):
        """The example files have no faults."""
        loaded = entry_settings.load(_EXAMPLES / f"{name}.toml")

        assert loaded.security.operators

    @pytest.mark.parametrize("content", [None, b"\xff\xfe"])
    def test_unreadable_file_is_a_fault(self, tmp_path, content):
        """A file that is missing or not UTF-8 gives a fault, not another error."""
        path = tmp_path / "settings.toml"
        if content is not None:
            path.write_bytes(content)

        with pytest.raises(settings.SettingsError):
            entry_settings.load(path)


class TestFuzz:
    """Texts that nobody would write."""

    @hypothesis.settings(max_examples=150, derandomize=True, deadline=None, database=None)
    @hypothesis.given(strategies.text(max_size=200))
    def test_any_text_gives_settings_error(self, text):
        """No text leads to another error."""
        with pytest.raises(settings.SettingsError):
            entry_settings.loads(text)

    @hypothesis.settings(max_examples=150, derandomize=True, deadline=None, database=None)
    @hypothesis.given(
        lines=strategies.lists(strategies.integers(0, _MINIMAL.count("\n")), max_size=4),
        noise=strategies.sampled_from(
            ["=", "[x", "x = 1", "[store]", "address = []", '"', "[[log]]"]
        ),
    )
    def test_damaged_settings_never_crash(self, lines, noise):
        """Lines lost from a good text and noise in their place give settings or their error."""
        kept = _MINIMAL.splitlines()
        for line in lines:
            kept[line % len(kept)] = noise

        try:
            loaded = entry_settings.loads("\n".join(kept))
        except settings.SettingsError as error:
            assert all(isinstance(f, settings.SettingsFault) for f in error.exceptions)
        else:
            assert loaded.place.name == "addis-1"
