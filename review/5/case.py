"""Instances are partitioned from all servers, and relay through others that are as well."""

import asyncio
import collections
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import harness  # noqa: E402

ZONES = ("pannon-a", "pannon-b", "alfold-a", "pannon-b", "pannon-a")
# Instances that are cut, and what becomes of their open connections to servers.
CUT = ((1, "silent"), (2, "reset"), (3, "silent"))
# Instances that clients use.
USED = (0, 2, 4)
STABLE_WINDOW_S = 3.0
CUT_S = 9.0
BEFORE_S = 3.0
INTERVAL_S = 0.04
SERVICES = ("katalog", "eloleg", "rajztar", "rendeles")
KINDS = {"katalog": "safe", "eloleg": "unsafe", "rajztar": "download", "rendeles": "unsafe"}


async def send(record, entry, service, tries):
    """Send a client's first try of a request, and note how it ended."""
    attempt = harness.attempt_id()
    method = "POST" if KINDS[service] == "unsafe" else "GET"
    sent_at = time.monotonic()
    headers = {"X-Attempt-Id": attempt, "X-Deadline-Ms": "2500"}
    try:
        answer = await harness.call(
            entry.ports["http"], method, f"/{service}/1", headers, b"", 2.6
        )
        status, code = answer[0], answer[1].get("carobhook-code", "")
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        status, code = repr(error), ""
    record(f"{entry.name} {service} {attempt}: {status} {code}")
    tries.append((sent_at, entry.name, service, status, code, attempt))


async def clients(record, entry, tries, end_at):
    tasks, number = [], 0
    while time.monotonic() < end_at:
        service = SERVICES[number % len(SERVICES)]
        tasks.append(asyncio.create_task(send(record, entry, service, tries)))
        number += 1
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*tasks)


async def case(record, scratch):
    store = harness.Store(record)
    await store.start()
    routes = [
        harness.route(f"r-{service}", f"/{service}/", kind, service, "2500ms")
        for service, kind in KINDS.items()
    ]
    store.put("config", "main", harness.config(7, routes, SERVICES))
    servers = []
    for service in SERVICES:
        for zone in ("pannon-a", "pannon-b", "alfold-a"):
            server = harness.Server(record, store, service, zone, 4)
            server.work_s = 0.03
            servers.append(server)
            await server.start()
    entries = []
    for number, zone in enumerate(ZONES):
        entry = harness.Entry(record, scratch, f"front-{number}", zone, store)
        entry.outgoing = f"127.0.1.{number + 1}"
        entries.append(entry)
    seeds = [f"127.0.0.1:{entry.ports['peers']}" for entry in entries[:3]]
    tries = []
    try:
        for entry in entries:
            entry.seeds = seeds
            await entry.start()
        if not await harness.wait_ready(entries, least=1):
            record("the instances did not become ready")
            return harness.NOT_RUN
        await asyncio.sleep(1.0)
        end_at = time.monotonic() + BEFORE_S + CUT_S
        tasks = [
            asyncio.create_task(clients(record, entries[number], tries, end_at))
            for number in USED
        ]
        await asyncio.sleep(BEFORE_S)
        cut_at = time.monotonic()
        for number, mode in CUT if harness.TROUBLE else ():
            record(f"{entries[number].name} is partitioned from all servers: {mode}")
            for server in servers:
                server.cut(entries[number].outgoing, mode)
        await asyncio.gather(*tasks)
    finally:
        for entry in entries:
            await entry.stop()
        for server in servers:
            server.stop()
        store.stop()
    cut_names = {entries[number].name for number, _ in CUT}
    counts = collections.Counter()
    codes = collections.Counter()
    ran = {run[0] for server in servers for run in server.runs}
    lost = 0
    for sent_at, name, service, status, code, attempt in tries:
        if cut_at + STABLE_WINDOW_S <= sent_at:
            is_cut, is_served = name in cut_names, status == 200
            counts[is_cut, is_served] += 1
            if not is_served:
                codes[name, service, status, code] += 1
                lost += status == 502 and KINDS[service] == "unsafe" and attempt not in ran
    at_cut = counts[True, True] / max(1, counts[True, True] + counts[True, False])
    at_others = counts[False, True] / max(1, counts[False, True] + counts[False, False])
    failed = counts[True, False] + counts[False, False]
    allowed = 10 + sum(counts.values()) / 50
    record(f"served at the cut machines {at_cut:.2f}, at the others {at_others:.2f}")
    record(f"first tries that failed: {failed}, allowed {allowed:.1f}")
    record(f"failures: {dict(codes)}")
    record(f"orders that may run once, got 502 and never ran: {lost}")
    print(
        f"cut {at_cut:.2f}, others {at_others:.2f}, failed {failed} of {sum(counts.values())}, "
        f"allowed {allowed:.1f}, orders lost {lost}"
    )
    is_broken = at_cut < at_others * 2 / 3 and failed > allowed
    return harness.BROKEN if is_broken else harness.HELD


harness.run(FOLDER, case)
