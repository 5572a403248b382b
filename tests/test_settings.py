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


def errors_in(text):
    """Return the errors of a settings text by table and key."""
    with pytest.raises(settings.SettingsError) as caught:
        entry_settings.loads(text)
    return {(error.table, error.key): error for error in caught.value.exceptions}


class TestLoads:
    """Reading settings from text."""

    def test_minimum_share_is_none_unless_set(self):
        """Guards against a changed order in deployments that do not ask for it."""
        assert entry_settings.loads(_MINIMAL).overload.min_route_share == 0.0
        text = f"{_MINIMAL}\n[overload]\nmin_route_share = 0.25\n"
        assert entry_settings.loads(text).overload.min_route_share == 0.25
        faulty = f"{_MINIMAL}\n[overload]\nmin_route_share = 1.5\n"
        assert ("overload", "min_route_share") in errors_in(faulty)

    def test_minimal_text_has_defaults(self):
        """Missing tables get their default values."""
        loaded = entry_settings.loads(_MINIMAL)

        assert loaded.store.timeout_s == 1.5
        assert loaded.bounds.grace_s == 6.0
        assert loaded.security.operators == {"selam": _HASH}
        assert loaded.tls == settings.TlsSettings()

    def test_bounds_of_quotas_may_be_missing(self):
        """Without any allowance, steady accounts that have no burst got 429 within quotas."""
        bounds = entry_settings.loads(_MINIMAL).bounds
        assert (bounds.quota_window_s, bounds.quota_over, bounds.quota_slack) == (5, 0.1, 20)
        lines = 'quota_window = "4s"\nquota_over = 0.2\nquota_slack = 30\n[security]\n'
        bounds = entry_settings.loads(_MINIMAL.replace("[security]\n", lines)).bounds
        assert (bounds.quota_window_s, bounds.quota_over, bounds.quota_slack) == (4, 0.2, 30)

    def test_all_errors_are_reported_at_once(self):
        """One exception holds the missing and the invalid values of several tables."""
        text = _MINIMAL.replace('"127.0.0.1:1"', '"127.0.0.1:99999"')
        text = text.replace('region = "addis"\n', "", 1) + '[log]\nform = "xml"\nlevel = 3\n'

        assert set(errors_in(text)) == {
            ("place", "http"),
            ("place", "region"),
            ("log", "form"),
            ("log", "level"),
        }

    def test_unknown_names_suggest_the_most_similar_known_name(self):
        """A misspelt table and a misspelt key are errors with a suggestion."""
        text = _MINIMAL.replace("peer_key", "peerkey") + "[boundss]\n"

        errors = errors_in(text)

        assert errors["security", "peerkey"].suggestion == "peer_key"
        assert errors["boundss", ""].suggestion == "bounds"

    def test_error_names_the_line(self):
        """The error of a key gives the line number of the key."""
        text = _MINIMAL.replace("[store]", "[store]\n# comment\ntimeout_s = 0")

        error = errors_in(text)["store", "timeout_s"]

        assert text.splitlines()[error.line - 1] == "timeout_s = 0"
        assert str(error) == (
            f"line {error.line}: store.timeout_s: is 0, expected a number of seconds above 0"
        )

    def test_malformed_toml_is_one_error_with_its_line(self):
        """Text that is not valid TOML gives one error with the line that the parser names."""
        errors = errors_in("[place]\nname = \n")

        assert [error.line for error in errors.values()] == [2]

    @pytest.mark.parametrize("value", ['"6"', '"6 s"', '"-1s"', "6", '""'])
    def test_invalid_duration_is_an_error(self, value):
        """A duration is a number without a sign, directly followed by its unit."""
        assert ("bounds", "grace") in errors_in(_MINIMAL.replace('"6s"', value))

    def test_region_that_is_not_a_string_is_an_error(self):
        """The region of a failure domain must be a string."""
        assert ("regions", "addis-a") in errors_in(
            _MINIMAL.replace('addis-a = "addis"', "addis-a = 3")
        )

    def test_secret_is_not_shown(self):
        """The error for an invalid peer key does not contain the key."""
        error = errors_in(_MINIMAL.replace("0123456789abcdef", "secret"))[
            "security", "peer_key"
        ]

        assert "'secret'" not in str(error)

    def test_invalid_hash_names_the_operator(self):
        """The error for an invalid token hash has the operator's name as its key."""
        assert ("security.operators", "selam") in errors_in(_MINIMAL.replace(_HASH, "abc"))

    def test_address_used_twice_is_an_error(self):
        """The ports of an instance must have different addresses."""
        assert ("place", "readiness") in errors_in(_MINIMAL.replace("0.0.1:2", "0.0.1:1"))

    def test_certificate_without_key_and_authority_is_an_error(self):
        """A certificate, its private key and the authorities must be set together."""
        errors = errors_in(_MINIMAL + '[tls]\ncert = "a.pem"\n')

        assert {("tls", "key"), ("tls", "ca")} == set(errors)

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
    def test_value_of_a_wrong_type_or_range_is_an_error(self, key, value):
        """A value is not converted silently to the type that its field expects."""
        text = _MINIMAL.replace('address = "127.0.0.1:7"', f"{key} = {value}")

        assert ("store", key) in errors_in(text)


class TestLoad:
    """Reading settings from files."""

    @pytest.mark.parametrize("name", ["zema", "tarnok"])
    def test_examples_are_valid(self, name):
        """The example files have no errors."""
        loaded = entry_settings.load(_EXAMPLES / f"{name}.toml")

        assert loaded.security.operators

    @pytest.mark.parametrize("content", [None, b"\xff\xfe"])
    def test_unreadable_file_is_a_settings_error(self, tmp_path, content):
        """A file that is missing or not UTF-8 raises SettingsError and nothing else."""
        path = tmp_path / "settings.toml"
        if content is not None:
            path.write_bytes(content)

        with pytest.raises(settings.SettingsError):
            entry_settings.load(path)


class TestFuzz:
    """Random and damaged texts."""

    @hypothesis.settings(max_examples=150, derandomize=True, deadline=None, database=None)
    @hypothesis.given(strategies.text(max_size=200))
    def test_any_text_gives_settings_error(self, text):
        """No text raises another exception."""
        with pytest.raises(settings.SettingsError):
            entry_settings.loads(text)

    @hypothesis.settings(max_examples=150, derandomize=True, deadline=None, database=None)
    @hypothesis.given(
        lines=strategies.lists(strategies.integers(0, _MINIMAL.count("\n")), max_size=4),
        replacement=strategies.sampled_from(
            ["=", "[x", "x = 1", "[store]", "address = []", '"', "[[log]]"]
        ),
    )
    def test_damaged_settings_never_crash(self, lines, replacement):
        """A valid text with some lines replaced gives settings or SettingsError."""
        damaged = _MINIMAL.splitlines()
        for line in lines:
            damaged[line % len(damaged)] = replacement

        try:
            loaded = entry_settings.loads("\n".join(damaged))
        except settings.SettingsError as error:
            assert all(isinstance(e, settings.InvalidSettingError) for e in error.exceptions)
        else:
            assert loaded.place.name == "addis-1"
