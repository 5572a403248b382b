"""Small stand-ins and helpers for the cases of the second review (review/6 to review/10).

Only the standard library is used. The entry instances are processes of their own, started with the
command of deploy/system.toml. The platform's store, the upstreams and the clients run in the
process of the script and follow the users' pages.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[1]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "shop.example"


class CannotRun(Exception):
    """The case could not run: exit code 2."""


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.file = open(folder / "record.txt", "w", encoding="utf-8")
        self.t0 = time.monotonic()

    def __call__(self, text: str) -> None:
        line = f"{time.monotonic() - self.t0:9.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()

    def say(self, text: str) -> None:
        self(text)
        with contextlib.suppress(OSError):
            print(text, flush=True)


# HTTP.


class Request:
    """A request that was read completely."""

    def __init__(self, method: str, target: str, headers: dict, body: bytes) -> None:
        self.method, self.target, self.headers, self.body = method, target, headers, body

    def get(self, name: str) -> str | None:
        return self.headers.get(name.lower())


def parse_head(raw: bytes) -> tuple[str, dict]:
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class HttpProtocol(asyncio.Protocol):
    """Server side of a connection: one request at a time; a close cancels the running one."""

    def __init__(self, handler, on_open=None) -> None:
        self.handler, self.on_open = handler, on_open
        self.buffer = bytearray()
        self.task: asyncio.Task | None = None
        self.closed = False

    def connection_made(self, transport) -> None:
        self.transport = transport
        sock = transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.on_open is not None and not self.on_open(self):
            self.closed = True

    def data_received(self, data: bytes) -> None:
        if not self.closed:
            self.buffer += data
            self.pump()

    def connection_lost(self, exc) -> None:
        self.closed = True
        if self.task is not None:
            self.task.cancel()

    def pump(self) -> None:
        if self.task is not None or self.closed:
            return
        end = self.buffer.find(b"\r\n\r\n")
        if end < 0:
            return
        first, headers = parse_head(bytes(self.buffer[:end]))
        method, target, _ = first.split(" ", 2)
        size = int(headers.get("content-length", "0"))
        if len(self.buffer) < end + 4 + size:
            return
        body = bytes(self.buffer[end + 4 : end + 4 + size])
        del self.buffer[: end + 4 + size]
        self.task = asyncio.ensure_future(self.run(Request(method, target, headers, body)))

    async def run(self, request: Request) -> None:
        try:
            answer = await self.handler(request, self)
            if answer is not None and not self.closed:
                self.transport.write(answer)
        except asyncio.CancelledError:
            return
        self.task = None
        self.pump()


def reset(connection: HttpProtocol) -> None:
    """Reset a connection of an upstream, as a partition may do."""
    connection.closed = True
    if connection.task is not None:
        connection.task.cancel()
    sock = connection.transport.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.transport.abort()


def http_answer(status: int, body: bytes = b"", headers: dict | None = None) -> bytes:
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Answer:
    """An answer as a client got it; status 0 for a connection that ended without one."""

    def __init__(self, status: int, headers: dict, body: bytes, whole: bool, note: str = "") -> None:
        self.status, self.headers, self.body = status, headers, body
        self.whole, self.note = whole, note


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer; one that is cut short is not whole."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        return Answer(0, {}, error.partial, False, "connection closed without an answer")
    except (ConnectionError, OSError) as error:
        return Answer(0, {}, b"", False, f"connection reset without an answer ({error})")
    first, headers = parse_head(raw[:-4])
    status = int(first.split(" ", 2)[1])
    size = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(size)
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
        return Answer(status, headers, b"", False, f"answer cut short ({error})")
    return Answer(status, headers, body, True)


def request_bytes(method: str, path: str, attempt: str, deadline_ms: int, body: bytes = b"", **more):
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Attempt-Id: {attempt}",
        f"X-Deadline-Ms: {deadline_ms}",
    ]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in more.items()]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


async def connect(
    address: str, local: str | None = None, limit: int = 2**20, window: int | None = None
):
    """Connect; ``window`` is the size of the receive buffer of the client's system."""
    sock = socket.socket()
    sock.setblocking(False)
    if window is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
    if local:
        sock.bind((local, 0))
    loop = asyncio.get_running_loop()
    try:
        await asyncio.wait_for(loop.sock_connect(sock, split_address(address)), 1.0)
    except BaseException:
        sock.close()
        raise
    return await asyncio.open_connection(sock=sock, limit=limit)


async def one_request(
    address: str, data: bytes, timeout_s: float, local: str | None = None
) -> Answer:
    """Send one request on a new connection and return its answer."""
    try:
        reader, writer = await connect(address, local)
    except (OSError, asyncio.TimeoutError) as error:
        return Answer(0, {}, b"", False, f"no connection ({error!r})")
    try:
        writer.write(data)
        return await asyncio.wait_for(read_answer(reader), timeout_s)
    except asyncio.TimeoutError:
        return Answer(0, {}, b"", False, "no answer within the time limit")
    finally:
        writer.close()


# The platform's store.


class Store:
    """The platform's store: objects, lists in pages, watches and conditional writes.

    ``stale_s`` is how old the answers to calls with ``StaleOk`` are.
    """

    def __init__(self, record) -> None:
        self.record = record
        self.rev = 10
        self.objects: dict[str, dict[str, dict]] = {}
        self.events: list[tuple[int, str, bool, dict]] = []
        # Time, kind, name and object (or None) of each change, for stale answers.
        self.log: list[tuple[float, str, str, dict | None]] = []
        self.stale_s = 0.0
        self.waiters: list[asyncio.Future] = []
        self.logged_kinds: set[str] = set()
        self.address = ""

    async def start(self, host: str = "127.0.0.1") -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: HttpProtocol(self.handle), host, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()

    def _changed(self, kind: str, name: str, obj: dict, removed: bool) -> None:
        self.events.append((self.rev, kind, removed, obj))
        self.log.append((time.monotonic(), kind, name, None if removed else obj))
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    def put(self, kind: str, name: str, spec, status=None) -> dict:
        """Write as an operator or an upstream does."""
        before = self.objects.get(kind, {}).get(name)
        if before is not None and (before["Spec"], before["Status"]) == (spec, status):
            return before
        self.rev += 1
        made = before["Metadata"]["CreateRev"] if before else self.rev
        meta = {
            "Name": name,
            "Revision": self.rev,
            "CreateRev": made,
            "Finalizers": [],
            "Deleting": False,
        }
        obj = {"Metadata": meta, "Spec": spec, "Status": status}
        self.objects.setdefault(kind, {})[name] = obj
        self._changed(kind, name, obj, False)
        return obj

    def remove(self, kind: str, name: str) -> None:
        obj = self.objects.get(kind, {}).pop(name, None)
        if obj is not None:
            self.rev += 1
            self._changed(kind, name, obj, True)

    def _view(self, kind: str, stale: bool) -> dict[str, dict]:
        if not stale or not self.stale_s:
            return self.objects.get(kind, {})
        view: dict[str, dict] = {}
        for at, of, name, obj in self.log:
            if of == kind and at <= time.monotonic() - self.stale_s:
                if obj is None:
                    view.pop(name, None)
                else:
                    view[name] = obj
        return view

    async def handle(self, request: Request, connection) -> bytes:
        path, _, query = request.target.partition("?")
        parameters = dict(urllib.parse.parse_qsl(query))
        parts = [urllib.parse.unquote(p) for p in path.split("/")[3:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        status, body = await self._call(request, kind, name, parts, parameters)
        if kind in self.logged_kinds:
            brief = json.dumps(body)[:300] if body is not None else ""
            self.record(f"store {request.method} {request.target} -> {status} {brief}")
        raw = json.dumps(body).encode() if body is not None else b""
        return http_answer(status, raw, {"Content-Type": "application/json"})

    async def _call(self, request, kind, name, parts, parameters):
        stale = parameters.get("StaleOk") == "1"
        if request.method == "GET" and "Watch" in parameters:
            return await self._watch(kind, parameters)
        if request.method == "GET" and name is None:
            view = self._view(kind, stale)
            names = [n for n in sorted(view) if n > parameters.get("after", "")]
            items = [view[n] for n in names[:500]]
            return 200, {"items": items, "More": len(names) > 500, "CurrentRev": self.rev}
        if request.method == "GET":
            obj = self._view(kind, stale).get(name)
            return (200, obj) if obj is not None else (404, None)
        known = self.objects.get(kind, {})
        if request.method == "DELETE":
            if name not in known:
                return 404, None
            wanted = parameters.get("Revision")
            if wanted is not None and int(wanted) != known[name]["Metadata"]["Revision"]:
                return 409, known[name]
            self.remove(kind, name)
            return 200, {}
        payload = json.loads(request.body)
        meta = payload.get("Metadata") or {}
        if request.method == "POST":
            if meta["Name"] in known:
                return 409, known[meta["Name"]]
            return 201, self.put(kind, meta["Name"], payload.get("Spec"))
        if name not in known:
            return 404, None
        wanted = meta.get("Revision")
        if wanted is not None and wanted != known[name]["Metadata"]["Revision"]:
            return 409, known[name]
        if len(parts) > 2 and parts[2] == "status":
            return 200, self.put(kind, name, known[name]["Spec"], payload.get("Status"))
        return 200, self.put(kind, name, payload.get("Spec"), known[name]["Status"])

    async def _watch(self, kind, parameters):
        since = int(parameters["Watch"])
        ends_at = time.monotonic() + int(parameters.get("WaitMs", "0")) / 1000
        while True:
            events = [
                {"Removed": removed, "Object": obj}
                for rev, of, removed, obj in self.events
                if rev > since and of == kind
            ]
            left = ends_at - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "CurrentRev": self.rev}
            waiter = asyncio.get_running_loop().create_future()
            self.waiters.append(waiter)
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(waiter, left)


# Upstreams.


class Upstream:
    """One upstream of a service, which enters itself into the store."""

    def __init__(self, store: Store, record, name: str, service: str, zone: str, slots: int) -> None:
        self.store, self.record = store, record
        self.name, self.service, self.zone, self.slots = name, service, zone, slots
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.work_s = 0.1
        self.body = b"ok"
        self.running = 0
        self.ran: list[tuple[float, str, str]] = []
        self.ended: list[str] = []
        self.dropped: list[str] = []
        self.connections: set[HttpProtocol] = set()
        self.server = None
        self.address = ""
        self.is_up = False
        self.state = "ready"
        self.headers: dict[str, str] = {}
        self.may_connect = lambda peer: True
        # Called with each request that begins to run; it may raise `Crash`.
        self.on_run = lambda request: None

    async def start(self, host: str, port: int = 0) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: HttpProtocol(self.handle, self.opened), host, port, reuse_address=True
        )
        self.address = "%s:%d" % self.server.sockets[0].getsockname()
        self.is_up = True
        self.beat()

    def opened(self, connection: HttpProtocol) -> bool:
        peer = connection.transport.get_extra_info("peername")[0]
        self.connections = {c for c in self.connections if not c.closed} | {connection}
        connection.peer = peer
        return True

    def beat(self) -> None:
        """Write the entry as an upstream does."""
        if not self.is_up:
            return
        self.sequence += 1
        spec = {
            "Address": self.address,
            "Info": {
                "Service": self.service,
                "ConfigVersion": "v1",
                "Zone": self.zone,
                "Slots": self.slots,
            },
            "born": self.born,
        }
        status = {"State": self.state, "SeqNo": self.sequence, "ColdRemaining": "0ms"}
        self.store.put("servers", self.name, spec, status)

    def crash(self) -> None:
        """End at once, as a process does that crashes: its sockets are closed by its system."""
        self.is_up = False
        self.server.close()
        for connection in self.connections:
            if not connection.closed:
                connection.closed = True
                if connection.task is not None:
                    connection.task.cancel()
                connection.transport.abort()
        self.connections.clear()
        self.running = 0

    def base_headers(self, request: Request) -> dict:
        headers = {"X-Instance-Id": self.name, **self.headers}
        if request.get("x-attempt-id") is not None:
            headers["X-Attempt-Id"] = request.get("x-attempt-id")
        return headers

    async def handle(self, request: Request, connection) -> bytes | None:
        headers = self.base_headers(request)
        expected = request.get("x-expected-instance")
        if expected is not None and expected != self.name:
            return http_answer(421, b"", headers)
        if request.target == "/health":
            return http_answer(200, b"", headers)
        attempt = request.get("x-attempt-id") or ""
        if not attempt:
            return http_answer(400, b"", {**headers, "X-Not-Executed": "1"})
        if self.running >= self.slots + 3 * self.slots:
            return http_answer(503, b"", {**headers, "X-Not-Executed": "1"})
        self.running += 1
        self.ran.append((time.monotonic(), attempt, request.target))
        self.record(f"{self.name} runs {attempt} {request.method} {request.target}")
        try:
            self.on_run(request)
            await asyncio.sleep(self.work_s)
        except asyncio.CancelledError:
            self.dropped.append(attempt)
            self.record(f"{self.name} drops {attempt}, as its connection was closed")
            raise
        finally:
            self.running = max(0, self.running - 1)
        self.ended.append(attempt)
        headers["X-Response-Signature"] = f"sig.{attempt}.{len(self.body)}"
        self.record(f"{self.name} answers {attempt} 200")
        return http_answer(200, self.body, headers)


async def beat_all(upstreams: list[Upstream], interval_s: float = 1.5) -> None:
    while True:
        for upstream in upstreams:
            upstream.beat()
        await asyncio.sleep(interval_s)


# Configuration and entry instances.


def route(name: str, prefix: str, kind: str, service: str, timeout_ms: int, aim_ms: int, **more):
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": prefix,
        "Kind": kind,
        "Timeout": f"{timeout_ms}ms",
        "TargetLatency": f"{aim_ms}ms",
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
        "SessionAffinity": False,
        "HomeRegions": [],
        **more,
    }


def config(routes: list[dict], services: list[str], version: int = 5) -> dict:
    return {
        "ConfigVersion": f"{version:08x}",
        "Routes": routes,
        "Services": [
            {
                "Name": name,
                "HealthPath": "/health",
                "MaxConnections": 330,
                "Protocol": "h1",
                "Tls": False,
                "ColdStart": "3s",
                "ColdPerS": 15.0,
            }
            for name in services
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 67108864,
            "HeaderTimeout": "3000ms",
            "IdleTimeout": "15000ms",
        },
    }


def free_ports(host: str, count: int) -> list[int]:
    held = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind((host, 0))
        held.append(sock)
    ports = [sock.getsockname()[1] for sock in held]
    for sock in held:
        sock.close()
    return ports


class Instance:
    """One entry instance as a process, started with the command of the deploy file."""

    def __init__(self, folder, record, name, host, zone, region, **options) -> None:
        self.record, self.name, self.host = record, name, host
        self.zone, self.region = zone, region
        front, ready, directory, control, metrics, operators = free_ports(host, 6)
        self.front = f"{host}:{front}"
        self.ready = f"{host}:{ready}"
        self.directory = f"{host}:{directory}"
        self.control = f"{host}:{control}"
        self.metrics = f"{host}:{metrics}"
        self.operators = f"{host}:{operators}"
        self.options = options
        self.settings = folder / f"{name}.toml"
        self.log_path = folder / f"{name}.log"
        self.process: subprocess.Popen | None = None

    def write_settings(self, store: str, zones: dict[str, str], seeds: list[str]) -> None:
        """Write the settings that the template deploy/settings.toml makes for a small site."""
        listed = ", ".join(json.dumps(seed) for seed in seeds)
        memory = self.options.get("memory_mb", 300)
        outgoing = self.options.get("outgoing", "")
        lines = [
            "[place]",
            f"name = {json.dumps(self.name)}",
            f"region = {json.dumps(self.region)}",
            f"failure_domain = {json.dumps(self.zone)}",
            f"http = {json.dumps(self.front)}",
            f"readiness = {json.dumps(self.ready)}",
            f"directory = {json.dumps(self.directory)}",
            f"peers = {json.dumps(self.control)}",
            f"metrics = {json.dumps(self.metrics)}",
            f"operators = {json.dumps(self.operators)}",
            f"seeds = [{listed}]",
            *([f"outgoing = {json.dumps(outgoing)}"] if outgoing else []),
            "[store]",
            f"address = {json.dumps(store)}",
            "[capacity]",
            f"memory_mb = {memory}",
            "file_descriptors = 4100",
            "cores = 0.86",
            "link_mbps = 1000.0",
            "[bounds]",
            'grace = "6s"',
            'ttl_max = "5s"',
            "budget_ratio = 0.2",
            'budget_window = "10s"',
            "budget_slack = 58",
            "cold_over = 1.5",
            "cold_slack = 5",
            "shift_most = 0.15",
            'config_propagation = "2500ms"',
            'drain = "2500ms"',
            'evacuation = "5000ms"',
            "[log]",
            'form = "json"',
            "[regions]",
            *[f"{json.dumps(zone)} = {json.dumps(region)}" for zone, region in zones.items()],
        ]
        self.settings.write_text("\n".join(lines) + "\n", encoding="utf-8")

    def start(self) -> None:
        deps = ROOT / "target" / "deps"
        if not (deps / "carobhook").is_dir():
            raise CannotRun("target/deps is missing: run the build of the deploy file first")
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = {
            **kept,
            "PYTHONPATH": str(deps),
            "PYTHONDONTWRITEBYTECODE": "1",
            "CAROBHOOK_SETTINGS": str(self.settings),
        }
        log = open(self.log_path, "ab")
        self.process = subprocess.Popen(
            ["python3", "-OO", "-m", "carobhook.entry"],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.record(f"{self.name} is started (pid {self.process.pid})")

    def signal(self, number: signal.Signals) -> None:
        self.record(f"{self.name} gets {number.name}")
        self.process.send_signal(number)

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def memory_mb(self) -> float:
        """Return the resident memory of the process, in MB."""
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0

    def logged(self, event: str) -> list[str]:
        text = self.log_path.read_text("utf-8", "replace") if self.log_path.exists() else ""
        return [line for line in text.splitlines() if event in line]

    async def wait_ready(self, timeout_s: float = 15.0) -> None:
        ends_at = time.monotonic() + timeout_s
        ask = b"GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n"
        while time.monotonic() < ends_at:
            answer = await one_request(self.ready, ask, 1.0)
            if answer.status == 200:
                self.record(f"{self.name} is ready")
                return
            if not self.is_running:
                raise CannotRun(f"{self.name} ended: {self.log_path.read_text()[-800:]}")
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} did not become ready")

    def end(self) -> None:
        if self.is_running:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
        if self.process is not None:
            self.process.wait(10)


class Deployment:
    """Folder, record, store and instances of one case; ends all that it started."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.record = Record(folder)
        self.temp = pathlib.Path(tempfile.mkdtemp(prefix="review2-"))
        self.store = Store(self.record)
        self.instances: list[Instance] = []
        self.upstreams: list[Upstream] = []
        self.tasks: list[asyncio.Task] = []

    def add(self, name: str, host: str, zone: str, region: str, **options) -> Instance:
        instance = Instance(self.temp, self.record, name, host, zone, region, **options)
        self.instances.append(instance)
        return instance

    def spawn(self, coroutine) -> asyncio.Task:
        task = asyncio.ensure_future(coroutine)
        self.tasks.append(task)
        return task

    async def start(self, spec: dict, zones: dict[str, str]) -> None:
        await self.store.start()
        self.store.put("config", "main", spec)
        for upstream in self.upstreams:
            await upstream.start(upstream.host)
        self.spawn(beat_all(self.upstreams))
        seeds = [instance.control for instance in self.instances[:3]]
        for instance in self.instances:
            instance.write_settings(self.store.address, zones, seeds)
            instance.start()
        for instance in self.instances:
            await instance.wait_ready()
        await asyncio.sleep(2.0)

    def upstream(self, name, service, zone, slots, host="127.0.0.1") -> Upstream:
        upstream = Upstream(self.store, self.record, name, service, zone, slots)
        upstream.host = host
        self.upstreams.append(upstream)
        return upstream

    def end(self) -> None:
        for task in self.tasks:
            task.cancel()
        for instance in self.instances:
            instance.end()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.temp, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temp, ignore_errors=True)


def run_case(folder: pathlib.Path, case) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it could not run.

    ``case`` is a coroutine function that takes a `Deployment` and returns a list of violations.
    """

    async def main() -> int:
        deployment = Deployment(folder)
        deployment.record(f"TROUBLE={int(TROUBLE)}")
        own = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, own.cancel)
        try:
            broken = await asyncio.wait_for(case(deployment), 115)
        except CannotRun as error:
            deployment.record.say(f"the case could not run: {error}")
            return 2
        except asyncio.TimeoutError:
            deployment.record.say("the case could not run: it took too long")
            return 2
        except asyncio.CancelledError:
            deployment.record.say("the case could not run: it was stopped")
            return 2
        except Exception as error:
            deployment.record.say(f"the case could not run: {error!r}")
            return 2
        finally:
            deployment.end()
        for line in broken:
            deployment.record.say(f"BROKEN: {line}")
        deployment.record.say("the rule was broken" if broken else "the rule held")
        return 1 if broken else 0

    sys.exit(asyncio.run(main()))
