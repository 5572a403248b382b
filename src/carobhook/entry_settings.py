"""Settings of an entry instance, read from TOML into validated, frozen values."""

import pathlib
from typing import Any

import attrs

from carobhook import checks, settings, tables
from carobhook.platform import durations
from carobhook.state import ids


def _is_duration(value: Any) -> bool:
    try:
        durations.parse_seconds(value)
    except ValueError:
        return False
    return True


_DURATION = checks.Check("a duration such as 1500ms or 2.5s", _is_duration)


@attrs.frozen
class PlaceSettings:
    """Who and where this instance is, and what it listens on."""

    name: ids.InstanceId = attrs.field(
        validator=checks.TEXT,
        metadata=checks.doc("Name of the instance, unique in the deployment."),
    )
    region: ids.Region = attrs.field(
        validator=checks.TEXT, metadata=checks.doc("Region that the instance stands in.")
    )
    failure_domain: ids.FailureDomain = attrs.field(
        validator=checks.TEXT,
        metadata=checks.doc("Failure domain that the instance stands in."),
    )
    http: str = attrs.field(
        validator=checks.ADDRESS, metadata=checks.doc("Address that clients use.")
    )
    readiness: str = attrs.field(
        validator=checks.ADDRESS,
        metadata=checks.doc("Address at which the platform asks whether it is ready."),
    )
    directory: str = attrs.field(
        validator=checks.ADDRESS,
        metadata=checks.doc("Address at which clients ask where to connect."),
    )
    peers: str = attrs.field(
        validator=checks.ADDRESS, metadata=checks.doc("Address that other instances use.")
    )
    metrics: str = attrs.field(
        validator=checks.ADDRESS, metadata=checks.doc("Address that serves the metrics.")
    )
    operators: str = attrs.field(
        default="",
        validator=checks.optional(checks.ADDRESS),
        metadata=checks.doc("Address that operators' clients use; none when empty."),
    )
    seeds: tuple[str, ...] = attrs.field(
        default=(),
        converter=tuple,
        validator=checks.list_of(checks.ADDRESS),
        metadata=checks.doc("Peer addresses of other instances, tried at the start."),
    )
    outgoing: str = attrs.field(
        default="",
        validator=checks.optional(checks.TEXT),
        metadata=checks.doc("Local IP address of connections to servers; any when empty."),
    )


@attrs.frozen
class StoreSettings:
    """Where the platform's store answers."""

    address: str = attrs.field(
        validator=checks.ADDRESS, metadata=checks.doc("Address of the platform's store.")
    )
    timeout_s: float = attrs.field(
        default=1.5,
        validator=checks.SECONDS,
        metadata=checks.doc("Longest wait for one call, in seconds."),
    )


@attrs.frozen
class SecuritySettings:
    """Shared key of the instances, and tokens as SHA-256 hashes by name."""

    peer_key: str = attrs.field(
        default="",
        repr=False,
        validator=checks.optional(checks.SECRET),
        metadata=checks.doc("Key shared by all instances; empty where the network is trusted."),
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
class CapacitySettings:
    """What the machine gives to the process."""

    memory_mb: float = attrs.field(
        validator=checks.POSITIVE, metadata=checks.doc("Memory of the process, in megabytes.")
    )
    file_descriptors: float = attrs.field(
        validator=checks.POSITIVE, metadata=checks.doc("File descriptors of the process.")
    )
    cores: float = attrs.field(
        validator=checks.POSITIVE, metadata=checks.doc("Processor share, in cores.")
    )
    link_mbps: float = attrs.field(
        validator=checks.POSITIVE, metadata=checks.doc("Bandwidth of its link, in Mbit/s.")
    )


@attrs.frozen
class BoundSettings:
    """Bounds that the deployment's owners agreed on."""

    grace: str = attrs.field(
        validator=_DURATION,
        metadata=checks.doc("Time between a request to stop and the forced end."),
    )
    ttl_max: str = attrs.field(
        validator=_DURATION,
        metadata=checks.doc("Longest time for which clients may keep a directory answer."),
    )
    budget_ratio: float = attrs.field(
        validator=checks.POSITIVE,
        metadata=checks.doc("Repeats that a service may get for each of its requests."),
    )
    budget_window: str = attrs.field(
        validator=_DURATION, metadata=checks.doc("Window in which repeats are counted.")
    )
    budget_slack: float = attrs.field(
        validator=checks.POSITIVE, metadata=checks.doc("Repeats besides, in a window.")
    )
    cold_over: float = attrs.field(
        validator=checks.POSITIVE,
        metadata=checks.doc("Times the rate of a cold server that it may get."),
    )
    cold_slack: float = attrs.field(
        validator=checks.POSITIVE,
        metadata=checks.doc("Requests a second that a cold server may get besides."),
    )
    shift_most: float = attrs.field(
        validator=checks.SHARE,
        metadata=checks.doc("Share of a region's requests that may change region in 2 s."),
    )
    config_propagation: str = attrs.field(
        default="2.5s",
        validator=_DURATION,
        metadata=checks.doc("Time within which a configuration must be in force everywhere."),
    )
    drain: str = attrs.field(
        default="2.5s",
        validator=_DURATION,
        metadata=checks.doc("Time after which a leaving server must get no requests."),
    )
    evacuation: str = attrs.field(
        default="5s",
        validator=_DURATION,
        metadata=checks.doc("Time after which an evacuated domain must get no requests."),
    )
    quota_window: str = attrs.field(
        default="5s",
        validator=_DURATION,
        metadata=checks.doc("Window in which an account's requests count."),
    )
    quota_over: float = attrs.field(
        default=0.1,
        validator=checks.NOT_NEGATIVE,
        metadata=checks.doc("Share of an account's quota that it may get beyond the quota."),
    )
    quota_slack: float = attrs.field(
        default=20.0,
        validator=checks.NOT_NEGATIVE,
        metadata=checks.doc("Requests that an account may get besides, in a window."),
    )

    @property
    def grace_s(self) -> float:
        """Return the grace period of a stop in seconds."""
        return durations.parse_seconds(self.grace)

    @property
    def ttl_max_s(self) -> float:
        """Return the longest time to live of a directory answer in seconds."""
        return durations.parse_seconds(self.ttl_max)

    @property
    def config_propagation_s(self) -> float:
        """Return the time within which a configuration must be in force, in seconds."""
        return durations.parse_seconds(self.config_propagation)

    @property
    def drain_s(self) -> float:
        """Return the time after which a leaving server must get no requests, in seconds."""
        return durations.parse_seconds(self.drain)

    @property
    def evacuation_s(self) -> float:
        """Return the time after which an evacuated domain must get none, in seconds."""
        return durations.parse_seconds(self.evacuation)

    @property
    def quota_window_s(self) -> float:
        """Return the window of the quotas in seconds."""
        return durations.parse_seconds(self.quota_window)

    @property
    def budget_window_s(self) -> float:
        """Return the window of the retry budget in seconds."""
        return durations.parse_seconds(self.budget_window)


@attrs.frozen
class OverloadSettings:
    """Whom the dispatchers serve while backend servers lack capacity."""

    min_route_share: float = attrs.field(
        default=0.0,
        validator=checks.SHARE,
        metadata=checks.doc(
            "Least share of the requested work that each route, and each client account within "
            "its fair share, is granted, as a multiple of that of all; none when 0."
        ),
    )


@attrs.frozen
class EntrySettings:
    """All settings of one entry instance; each attribute is a table of the file."""

    place: PlaceSettings
    store: StoreSettings
    capacity: CapacitySettings
    bounds: BoundSettings
    regions: dict[ids.FailureDomain, ids.Region]
    security: SecuritySettings = attrs.field(factory=SecuritySettings)
    log: settings.LogSettings = attrs.field(factory=settings.LogSettings)
    tls: settings.TlsSettings = attrs.field(factory=settings.TlsSettings)
    overload: OverloadSettings = attrs.field(factory=OverloadSettings)


TABLES: dict[str, type[Any]] = {
    "place": PlaceSettings,
    "store": StoreSettings,
    "capacity": CapacitySettings,
    "bounds": BoundSettings,
    "security": SecuritySettings,
    "log": settings.LogSettings,
    "tls": settings.TlsSettings,
    "overload": OverloadSettings,
}
_REGIONS = "regions"


def load(path: pathlib.Path) -> EntrySettings:
    """Read settings from a TOML file.

    Args:
        path: The file.

    Raises:
        settings.SettingsError: The file has errors or cannot be read.
    """
    return loads(settings.read_text(path), str(path))


def loads(text: str, source: str = "settings") -> EntrySettings:
    """Read settings from TOML text.

    Args:
        text: The text.
        source: Name of its origin, which starts the error message.

    Raises:
        settings.SettingsError: The text has errors; the group holds all of them.
    """
    try:
        content = tables.parse(text, settings.InvalidSettingError)
    except settings.InvalidSettingError as error:
        raise settings.SettingsError(source, [error]) from error
    reader = tables.Reader(tables.LineNumbers.scan(text), settings.InvalidSettingError)
    reader.report_unknown_tables(content, (*TABLES, _REGIONS))
    values = {
        name: reader.read(kind, name, content.get(name, {})) for name, kind in TABLES.items()
    }
    regions = content.get(_REGIONS, {})
    if not isinstance(regions, dict) or not regions:
        reader.report(_REGIONS, "", regions, "a table of failure domains to regions")
    for domain, region in regions.items() if isinstance(regions, dict) else ():
        if not checks.TEXT.accepts(region):
            reader.report(_REGIONS, domain, region, checks.TEXT.expected)
    _check_related_fields(reader, values)
    if reader.errors:
        errors = [e for e in reader.errors if isinstance(e, settings.InvalidSettingError)]
        raise settings.SettingsError(source, errors)
    return EntrySettings(regions=regions, **values)


def _check_related_fields(reader: tables.Reader, values: dict[str, Any]) -> None:
    """Report values that are valid alone but not together with other fields."""
    place, tls = values["place"], values["tls"]
    if place is not None:
        used: set[str] = set()
        for key in ("http", "readiness", "directory", "peers", "metrics", "operators"):
            address = getattr(place, key)
            if address and address in used:
                reader.report("place", key, address, "an address of its own")
            used.add(address)
    if tls is not None and any((tls.cert, tls.key, tls.ca)):
        for key in ("cert", "key", "ca"):
            if not getattr(tls, key):
                reader.report("tls", key, "", "a file, as cert, key and ca go together")
