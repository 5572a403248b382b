"""Generates the files of a deployment on loopback and the commands of its processes."""

import hashlib
import json
import pathlib
import shlex
from collections.abc import Mapping, Sequence
from typing import Any

import attrs

from carobhook.standins import platform_client, service_group

HOST = "127.0.0.1"
SERVED_HOST = "demo.example"
HEALTH_PATH = "/health"
OPERATOR = "demo"
TOKEN_FILE = "operator.token"
PROCESSES_FILE = "processes"
SERVERS_FILE = "servers.json"
CONFIG_FILE = "config.json"
GUIDE_FILE = "guide"
REGIONS = {
    "addis-a": "addis",
    "addis-b": "addis",
    "kigali-a": "kigali",
    "kigali-b": "kigali",
    "accra-a": "accra",
    "accra-b": "accra",
}
# Keyed by the last letter of the failure domain's name.
_INSTANCES_PER_DOMAIN = {"a": 2, "b": 1}
_REQUESTS_PER_S = 20.0
_CLIENTS_DURATION_S = 86_400.0
_PRIVATE_MODE = 0o600
_GUIDE = """\
The deployment is up: {instances} entry instances of {regions} regions.
Look around in another shell, with carobhook on PATH (it is in .venv/bin):
  export CAROBHOOK_OPERATOR={operator} CAROBHOOK_TOKEN={token}
  carobhook ctl show regions
  carobhook ctl show traffic
  carobhook ctl plan drain region addis
  carobhook ctl shift catalogue from addis to kigali by 10%
  carobhook ctl                      (a prompt; quit leaves it)
  curl 'http://{directory}/v1/lookup?region=addis&failure_domain=addis-a'
  curl -i http://{entry}/v1/services/catalogue/item
  curl -i -H 'Host: {host}' http://{entry}/catalogue/7
  curl http://{metrics}/metrics
Stop it with Ctrl-C."""


@attrs.frozen
class ServicePlan:
    """One service of the demo and its route.

    Attributes:
        name: Name of the service.
        kind: Kind of the route in the platform's notation, which sets what may be retried.
        priority: Rank of its requests; 0 is the most urgent.
        work_s: Seconds that a server works on a request.
    """

    name: str
    kind: str
    priority: int
    work_s: float


SERVICES = (
    ServicePlan("catalogue", "safe", 1, 0.03),
    ServicePlan("licences", "unsafe", 0, 0.03),
    ServicePlan("royalties", "unsafe", 0, 0.03),
    ServicePlan("stems", "download", 2, 0.03),
)


@attrs.frozen
class Ports:
    """First port of each kind; further instances and servers use the ports that follow it."""

    http: int = 18000
    peers: int = 18100
    operators: int = 18200
    store: int = 18300
    readiness: int = 18310
    directory: int = 18330
    metrics: int = 18350
    servers: int = 18400

    @classmethod
    def starting_at(cls, base: int) -> "Ports":
        """Return the ports of a deployment whose lowest port is ``base``."""
        offset = base - cls().http
        return cls(*(port + offset for port in attrs.astuple(cls())))


@attrs.frozen
class Process:
    """One process of the deployment: its name and the arguments of ``carobhook``."""

    name: str
    arguments: tuple[str, ...]


@attrs.frozen
class Layout:
    """Names, addresses and settings of a deployment on loopback ports.

    Attributes:
        ports: First port of each kind.
        token: Token of the operator.
        peer_key: Key that all instances share.
    """

    ports: Ports
    token: str = attrs.field(repr=False)
    peer_key: str = attrs.field(repr=False)

    @property
    def instances(self) -> Sequence[tuple[str, str]]:
        """Return the name and failure domain of each instance."""
        last_numbers: dict[str, int] = {}
        instances = []
        for domain, region in REGIONS.items():
            for _ in range(_INSTANCES_PER_DOMAIN[domain[-1]]):
                last_numbers[region] = last_numbers.get(region, 0) + 1
                instances.append((f"{region}-{last_numbers[region]}", domain))
        return instances

    @property
    def store_address(self) -> str:
        """Return the address of the store."""
        return f"{HOST}:{self.ports.store}"

    @property
    def operator_address(self) -> str:
        """Return the address of the first instance's port for operators."""
        return f"{HOST}:{self.ports.operators}"

    @property
    def directory_addresses(self) -> list[str]:
        """Return the addresses of the instances' directories."""
        return [
            f"{HOST}:{self.ports.directory + index}" for index in range(len(self.instances))
        ]

    @property
    def servers(self) -> list[service_group.ServerPlan]:
        """Return the backend servers, one for each service and failure domain."""
        return [
            service_group.ServerPlan(
                f"{service.name}-{number}",
                service.name,
                domain,
                f"{HOST}:{self.ports.servers + row * len(REGIONS) + number - 1}",
                work_s=service.work_s,
            )
            for row, service in enumerate(SERVICES)
            for number, domain in enumerate(REGIONS, start=1)
        ]

    def guide_text(self, token: str) -> str:
        """Return instructions for using the deployment.

        Args:
            token: The token, or a shell expression that expands to it.
        """
        return _GUIDE.format(
            instances=len(self.instances),
            regions=len(set(REGIONS.values())),
            operator=self.operator_address,
            token=token,
            directory=self.directory_addresses[0],
            entry=f"{HOST}:{self.ports.http}",
            metrics=f"{HOST}:{self.ports.metrics}",
            host=SERVED_HOST,
        )

    def settings_text(self, index: int) -> str:
        """Return the text of the settings file of one instance, counted from 0."""
        name, domain = self.instances[index]
        ports = attrs.asdict(self.ports)
        addresses = {
            key: f"{HOST}:{ports[key] + index}"
            for key in ("http", "readiness", "directory", "peers", "metrics", "operators")
        }
        place = {"name": name, "region": REGIONS[domain], "failure_domain": domain}
        # The first two instances are the seeds of all others and of each other.
        seeds = [f"{HOST}:{self.ports.peers + other}" for other in range(2) if other != index]
        sections: Mapping[str, Mapping[str, object]] = {
            "place": {**place, **addresses, "seeds": seeds},
            "store": {"address": self.store_address},
            "capacity": CAPACITY,
            "bounds": BOUNDS,
            "security": {"peer_key": self.peer_key},
            "security.operators": {OPERATOR: token_hash(self.token)},
            "regions": REGIONS,
        }
        return render_settings(sections)

    def processes(self, directory: pathlib.Path) -> tuple[Process, ...]:
        """Return the processes in the order in which they are started."""
        store = ("standin", "store", "--host", HOST, "--port", str(self.ports.store))
        config = ("--config", str(directory / CONFIG_FILE))
        servers = ("standin", "servers", "--store", self.store_address)
        servers_file = ("--file", str(directory / SERVERS_FILE))
        daemons = [
            Process(name, ("serve", "--settings", str(settings_path(directory, name))))
            for name, _ in self.instances
        ]
        return (
            Process("store", store + config),
            Process("servers", servers + servers_file),
            *daemons,
            self._client_process(),
        )

    def _client_process(self) -> Process:
        arguments = ["standin", "clients", "--rate", f"{_REQUESTS_PER_S:g}"]
        arguments += ["--duration", f"{_CLIENTS_DURATION_S:g}", "--region", "addis"]
        arguments += ["--failure-domain", "addis-a", "--host", SERVED_HOST]
        for address in self.directory_addresses[:3]:
            arguments += ["--directory", address]
        for service in SERVICES:
            option = "--once" if service.kind == "unsafe" else "--repeatable"
            arguments += [option, f"/{service.name}/"]
        return Process("clients", tuple(arguments))


CAPACITY = {"memory_mb": 300, "file_descriptors": 4096, "cores": 1, "link_mbps": 1000}
BOUNDS = {
    "grace": "6s",
    "ttl_max": "5s",
    "budget_ratio": 0.2,
    "budget_window": "10s",
    "budget_slack": 58,
    "cold_over": 1.5,
    "cold_slack": 5,
    "shift_most": 0.15,
}


def request_plans() -> list[platform_client.RequestPlan]:
    """Return the requests that clients of the demo send, one for each service."""
    return [
        platform_client.RequestPlan(
            SERVED_HOST, f"/{service.name}/", repeatable=service.kind != "unsafe"
        )
        for service in SERVICES
    ]


def config(version: int = 1) -> dict[str, Any]:
    """Return one version of the routing configuration, in the platform's format."""
    routes = [
        {
            "Name": service.name,
            "Host": SERVED_HOST,
            "PathPrefix": f"/{service.name}/",
            "Kind": service.kind,
            "Timeout": "2s",
            "TargetLatency": "300ms",
            "Priority": service.priority,
            "Service": service.name,
            "MaxAttempts": 2,
            "SessionAffinity": service.kind == "safe",
            "HomeRegions": [],
        }
        for service in SERVICES
    ]
    services = [
        {
            "Name": service.name,
            "HealthPath": HEALTH_PATH,
            "MaxConnections": 330,
            "ColdStart": "3s",
            "ColdPerS": 10.0,
        }
        for service in SERVICES
    ]
    limits = {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 8388608,
        "HeaderTimeout": "5s",
        "IdleTimeout": "30s",
    }
    return {
        "ConfigVersion": f"{version:08x}",
        "Routes": routes,
        "Services": services,
        "Limits": limits,
    }


def render_settings(sections: Mapping[str, Mapping[str, object]]) -> str:
    """Return the text of a settings file that holds the given tables."""
    return "\n\n".join(_table_text(name, table) for name, table in sections.items()) + "\n"


def settings_path(directory: pathlib.Path, name: str) -> pathlib.Path:
    """Return the path of one instance's settings file."""
    return directory / "settings" / f"{name}.toml"


def token_hash(token: str) -> str:
    """Return the SHA-256 hash of a token, in the form that settings use."""
    return hashlib.sha256(token.encode()).hexdigest()


def write(layout: Layout, directory: pathlib.Path) -> None:
    """Write settings, token, servers, guide and the list of processes below a directory.

    Args:
        layout: The deployment.
        directory: Created if it does not exist; files of an earlier layout are replaced.

    Raises:
        OSError: A file cannot be written.
    """
    directory.mkdir(parents=True, exist_ok=True)
    (directory / "settings").mkdir(exist_ok=True)
    for index, (name, _) in enumerate(layout.instances):
        _write_private(settings_path(directory, name), layout.settings_text(index))
    _write_private(directory / TOKEN_FILE, layout.token + "\n")
    plans = [attrs.asdict(plan) for plan in layout.servers]
    (directory / SERVERS_FILE).write_text(json.dumps(plans, indent=1), "utf-8")
    (directory / CONFIG_FILE).write_text(json.dumps(config(), indent=1), "utf-8")
    guide = layout.guide_text(f"$(cat {shlex.quote(str(directory / TOKEN_FILE))})")
    (directory / GUIDE_FILE).write_text(guide + "\n", "utf-8")
    lines = "".join(
        f"{process.name} {shlex.join(process.arguments)}\n"
        for process in layout.processes(directory)
    )
    (directory / PROCESSES_FILE).write_text(lines, "utf-8")


def _table_text(name: str, table: Mapping[str, object]) -> str:
    lines = [f"{key} = {json.dumps(value)}" for key, value in table.items()]
    return "\n".join((f"[{name}]", *lines))


def _write_private(path: pathlib.Path, text: str) -> None:
    """Write a file that only its owner may read, also while it is being written."""
    path.touch(mode=_PRIVATE_MODE)
    path.chmod(_PRIVATE_MODE)
    path.write_text(text, "utf-8")
