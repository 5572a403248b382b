"""Settings of the daemon: TOML text to validated, frozen values."""

import pathlib
from typing import Any

import attrs

from carobhook import checks, tables
from carobhook.state import ids, ledger

LOG_FORMS = ("keyvalue", "json")
LOG_LEVELS = ("debug", "info", "warning", "error")


class SettingsFault(tables.TableFault):
    """One fault of a settings file."""


class SettingsError(ExceptionGroup[SettingsFault]):
    """Every fault of a settings file."""

    def derive(self, excs: Any, /) -> "SettingsError":  # type: ignore[override]
        """Return a group of the same kind with other faults."""
        return SettingsError(self.message, excs)


@attrs.frozen
class InstanceSettings:
    """Who and where this instance is."""

    name: ids.InstanceId = attrs.field(
        validator=checks.NAME,
        metadata=checks.doc("Name of the instance, unique in the deployment."),
    )
    region: ids.Region = attrs.field(
        validator=checks.NAME, metadata=checks.doc("Region that the instance stands in.")
    )
    failure_domain: ids.FailureDomain = attrs.field(
        validator=checks.NAME,
        metadata=checks.doc("Failure domain that the instance stands in."),
    )
    http: str = attrs.field(
        validator=checks.ADDRESS, metadata=checks.doc("Address that callers use.")
    )
    peers: str = attrs.field(
        validator=checks.ADDRESS, metadata=checks.doc("Address that other instances use.")
    )
    operators: str = attrs.field(
        validator=checks.ADDRESS, metadata=checks.doc("Address that operators' clients use.")
    )
    seeds: tuple[str, ...] = attrs.field(
        default=(),
        converter=tuple,
        validator=checks.list_of(checks.ADDRESS),
        metadata=checks.doc("Peer addresses of other instances, tried at the start."),
    )


@attrs.frozen
class StoreSettings:
    """Where the platform's object API answers, and how long a call may take."""

    url: str = attrs.field(
        validator=checks.URL, metadata=checks.doc("Base URL of the platform's object API.")
    )
    timeout_s: float = attrs.field(
        default=2.0,
        validator=checks.SECONDS,
        metadata=checks.doc("Longest wait for one call, in seconds."),
    )


@attrs.frozen
class SecuritySettings:
    """Shared key of the peers, and operators' tokens as SHA-256 hashes by name."""

    peer_key: str = attrs.field(
        repr=False,
        validator=checks.SECRET,
        metadata=checks.doc("Key shared by all instances of the deployment."),
    )
    operators: dict[str, str] = attrs.field(
        factory=dict,
        validator=checks.table_of(checks.SHA256_HEX, "operators' names to SHA-256 hashes"),
        metadata=checks.doc("SHA-256 hash, in hexadecimal, of each operator's token."),
    )
    readers: dict[str, str] = attrs.field(
        factory=dict,
        validator=checks.table_of(checks.SHA256_HEX, "readers' names to SHA-256 hashes"),
        metadata=checks.doc("SHA-256 hash of each token that may ask, but not order."),
    )


@attrs.frozen
class LogSettings:
    """How events are written, and from which level."""

    form: str = attrs.field(
        default="keyvalue",
        validator=checks.one_of(LOG_FORMS),
        metadata=checks.doc("One line of key=value pairs, or one JSON object, per event."),
    )
    level: str = attrs.field(
        default="info",
        validator=checks.one_of(LOG_LEVELS),
        metadata=checks.doc("Lowest level that is written."),
    )


@attrs.frozen
class MetricsSettings:
    """Where statsd metrics go by UDP."""

    address: str = attrs.field(
        default="",
        validator=checks.optional(checks.ADDRESS),
        metadata=checks.doc("Address of the statsd server; nothing is sent when empty."),
    )
    prefix: str = attrs.field(
        default="carobhook",
        validator=checks.NAME,
        metadata=checks.doc("First part of every metric's name."),
    )


@attrs.frozen
class LimitSettings:
    """Bounds on what callers can make the daemon hold."""

    max_body_bytes: int = attrs.field(
        default=8 * 1024 * 1024,
        validator=checks.COUNT,
        metadata=checks.doc("Largest request body, in bytes."),
    )
    max_connections: int = attrs.field(
        default=4096,
        validator=checks.COUNT,
        metadata=checks.doc("Most connections of callers at one time."),
    )
    drain_s: float = attrs.field(
        default=60.0,
        validator=checks.SECONDS,
        metadata=checks.doc("Longest wait for requests in flight at a stop, in seconds."),
    )
    lookup_ttl_s: float = attrs.field(
        default=ledger.LOOKUP_TTL_S,
        validator=checks.seconds_up_to(ledger.LOOKUP_TTL_S),
        metadata=checks.doc("How long clients may cache a look-up's answer, in seconds."),
    )
    key_retention_s: float = attrs.field(
        default=900.0,
        validator=checks.SECONDS,
        metadata=checks.doc("How long idempotency keys are remembered, in seconds."),
    )


@attrs.frozen
class TlsSettings:
    """Files for TLS on every port, set together; plain TCP when they are not set."""

    cert: str = attrs.field(
        default="",
        validator=checks.optional(checks.TEXT),
        metadata=checks.doc("PEM file of the certificate chain."),
    )
    key: str = attrs.field(
        default="",
        validator=checks.optional(checks.TEXT),
        metadata=checks.doc("PEM file of the private key."),
    )
    ca: str = attrs.field(
        default="",
        validator=checks.optional(checks.TEXT),
        metadata=checks.doc("PEM file of the deployment's authorities, for peers."),
    )


@attrs.frozen
class Settings:
    """All settings of one daemon, one attribute for each table of the file."""

    instance: InstanceSettings
    store: StoreSettings
    security: SecuritySettings
    log: LogSettings = attrs.field(factory=LogSettings)
    metrics: MetricsSettings = attrs.field(factory=MetricsSettings)
    limits: LimitSettings = attrs.field(factory=LimitSettings)
    tls: TlsSettings = attrs.field(factory=TlsSettings)


TABLES: dict[str, type[Any]] = {
    "instance": InstanceSettings,
    "store": StoreSettings,
    "security": SecuritySettings,
    "log": LogSettings,
    "metrics": MetricsSettings,
    "limits": LimitSettings,
    "tls": TlsSettings,
}


def read_text(path: pathlib.Path) -> str:
    """Return the text of a settings file.

    Args:
        path: The file.

    Raises:
        SettingsError: The file cannot be read.
    """
    try:
        return path.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "not UTF-8"
        fault = SettingsFault("", "", reason, "a readable UTF-8 file")
        raise SettingsError(str(path), [fault]) from error


def load(path: pathlib.Path) -> Settings:
    """Read settings from a TOML file.

    Args:
        path: The file.

    Raises:
        SettingsError: The file has faults or cannot be read; each fault is in the group.
    """
    return loads(read_text(path), str(path))


def loads(text: str, source: str = "settings") -> Settings:
    """Read settings from TOML text.

    Args:
        text: The text.
        source: Where it comes from, for reports.

    Raises:
        SettingsError: The text has faults; each one is in the group.
    """
    try:
        content = tables.parse(text, SettingsFault)
    except SettingsFault as fault:
        raise SettingsError(source, [fault]) from fault
    reader = tables.Reader(tables.Lines.scan(text), SettingsFault)
    reader.report_unknown_tables(content, TABLES)
    values = {
        name: reader.read(kind, name, content.get(name, {})) for name, kind in TABLES.items()
    }
    _check_across(reader, values)
    if reader.faults:
        raise SettingsError(source, [f for f in reader.faults if isinstance(f, SettingsFault)])
    return Settings(**values)


def _check_across(reader: tables.Reader, values: dict[str, Any]) -> None:
    """Report faults that only show in several fields together."""
    instance = values["instance"]
    if instance is not None:
        seen = {instance.http}
        for key in ("peers", "operators"):
            address = getattr(instance, key)
            if address in seen:
                reader.report("instance", key, address, "an address of its own")
            seen.add(address)
    tls = values["tls"]
    if tls is not None and any((tls.cert, tls.key, tls.ca)):
        for key in ("cert", "key", "ca"):
            if not getattr(tls, key):
                reader.report("tls", key, "", "a file, as cert, key and ca go together")
