"""A config adds a route below /v1/services/, and its requests are taken for calls by name."""

import asyncio
import collections
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import harness  # noqa: E402

REQUESTS = 60
# In a second part, some servers lose the answers of a share of the requests that they run. The site
# file has an entry with share = 0.6, x = 0.4 and for_s = 4.0.
LOSING_SHARE = 0.5
LOST_SHARE = 0.4
LOSING_S = 4.0
# Requests of the second part that are sent at once, so that all servers get some.
AT_ONCE = 12
# ConfigPropagation is 2.5 s; requests are sent later than that after the ack.
PROPAGATION_S = 2.5
ADDED = "/v1/services/" if harness.TROUBLE else "/v1/orders/"


async def send(record, entry, attempt, target, answers):
    """Send one order, and note the status of its answer."""
    headers = {"X-Attempt-Id": attempt, "X-Deadline-Ms": "4000"}
    record(f"client sends {attempt} DELETE {target}")
    try:
        answer = await harness.call(entry.ports["http"], "DELETE", target, headers, b"", 4.5)
        answers[attempt] = answer[0]
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        answers[attempt] = repr(error)
    record(f"client gets {answers[attempt]} for {attempt}")


async def case(record, scratch):
    store = harness.Store(record)
    await store.start()
    services = ["rendeles", "eloleg"]
    first = harness.route("r-order", "/order/", "unsafe", "rendeles")
    store.put("config", "main", harness.config(7, [first], services))
    servers = []
    for service in services:
        for number in range(6):
            zone = ("pannon-a", "pannon-b")[number % 2]
            server = harness.Server(record, store, service, zone, 6)
            server.work_s = 0.1
            servers.append(server)
            await server.start()
    entries = [
        harness.Entry(record, scratch, f"front-{zone}-1", zone, store)
        for zone in ("pannon-a", "pannon-b")
    ]
    seeds = [f"127.0.0.1:{entry.ports['peers']}" for entry in entries]
    sent, answers = {}, {}
    try:
        for entry in entries:
            entry.seeds = seeds
            await entry.start()
        if not await harness.wait_ready(entries):
            record("the instances did not become ready")
            return harness.NOT_RUN
        added = harness.route("r-added", ADDED, "unsafe", "rendeles")
        store.put("config", "main", harness.config(12, [first, added], services))
        record(f"config 0000000c adds {ADDED} to rendeles, which alone may run its requests")
        await asyncio.sleep(PROPAGATION_S + 1.0)
        for number in range(REQUESTS):
            attempt = harness.attempt_id()
            # The paths are those of an order at a dealer, named as a service, and of others.
            dealer = "eloleg" if number % 2 else "zeke"
            sent[attempt] = f"{ADDED}{dealer}/{number}"
            entry = entries[number % len(entries)]
            await send(record, entry, attempt, sent[attempt], answers)
        if harness.TROUBLE:
            losing = [s for n, s in enumerate(servers) if n % 6 < 6 * LOSING_SHARE]
            record(f"{len(losing)} of {len(servers)} servers lose {LOST_SHARE} of the answers")
            ends_at = time.monotonic() + LOSING_S
            for server in losing:
                server.lost = lambda attempt, first: (
                    time.monotonic() < ends_at and int(attempt, 16) % 100 < 100 * LOST_SHARE
                )
        for first_number in range(0, REQUESTS, AT_ONCE):
            sends = []
            for number in range(first_number, first_number + AT_ONCE):
                attempt = harness.attempt_id()
                sent[attempt] = f"{ADDED}rendeles/{number}"
                entry = entries[number % len(entries)]
                sends.append(send(record, entry, attempt, sent[attempt], answers))
            await asyncio.gather(*sends)
    finally:
        for entry in entries:
            await entry.stop()
        for server in servers:
            server.stop()
        store.stop()
    denied = [a for a in sent if answers[a] in (400, 401, 403, 404)]
    changed, foreign, runs = [], [], collections.Counter()
    for server in servers:
        for attempt, _, target, _, _ in server.runs:
            runs[attempt] += 1
            if target != sent.get(attempt):
                changed.append(attempt)
            if server.service != "rendeles":
                foreign.append(attempt)
    record(f"DENIED: {len(denied)} of {len(sent)} proper requests got a 4xx")
    record(f"UNASKED: {len(changed)} were run with another path than the client's")
    record(f"ROUTE: {len(foreign)} were run by a service to which no config lets them go")
    twice = [attempt for attempt, count in runs.items() if count > 1]
    record(f"TWICE: {len(twice)} requests of the kind unsafe were run more than once: {twice}")
    print(
        f"denied {len(denied)}, path changed {len(changed)}, foreign service {len(foreign)}, "
        f"run twice {len(twice)}"
    )
    is_denied = len(denied) > 5 + len(sent) / 500
    return harness.BROKEN if is_denied or changed or foreign or twice else harness.HELD


harness.run(FOLDER, case)
