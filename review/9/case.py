"""LOST: pipelined requests that were passed on get no answer when the machine gets SIGTERM."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import harness2 as h

# Requests that each client sends before the first of them is answered.
DEPTH = 4
CLIENTS = 3


async def client(d, instance, number, go, results) -> None:
    """Send four requests on one connection and read four answers: twice, and once more at a sign."""
    reader, writer = await h.connect(instance.front, f"127.0.1.{number + 1}")
    for turn in range(3):
        if turn == 2:
            await go.wait()
        attempts = [f"c{number}-r{turn}-{i}" for i in range(DEPTH)]
        writer.write(b"".join(h.request_bytes("GET", "/read/x", a, 5000) for a in attempts))
        d.record(f"client {number} sends {' '.join(attempts)} on one connection")
        for attempt in attempts:
            try:
                answer = await asyncio.wait_for(h.read_answer(reader), 5.5)
            except asyncio.TimeoutError:
                answer = h.Answer(0, {}, b"", False, "no answer within the time limit")
            closes = answer.headers.get("connection", "")
            d.record(f"client {number} gets for {attempt}: {answer.status} {closes} {answer.note}")
            results.append((attempt, answer))
    writer.close()


async def case(d):
    zones = {"north-a": "north"}
    up = [d.upstream(f"i-{n}", "reads", "north-a", 9) for n in range(3)]
    for upstream in up:
        upstream.work_s = 0.4
    instance = d.add("front-north-a-1", "127.0.0.11", "north-a", "north")
    d.add("front-north-a-2", "127.0.0.12", "north-a", "north")
    spec = h.config([h.route("r-read", "/read/", "safe", "reads", 4000, 800)], ["reads"])
    await d.start(spec, zones)
    results = []
    go = asyncio.Event()
    clients = [d.spawn(client(d, instance, n, go, results)) for n in range(CLIENTS)]
    # StableWindow passes without any disturbance.
    await asyncio.sleep(4.0)
    go.set()
    ends_at = time.monotonic() + 2
    while sum(u.running for u in up) < DEPTH * CLIENTS and time.monotonic() < ends_at:
        await asyncio.sleep(0.01)
    if sum(u.running for u in up) < DEPTH * CLIENTS:
        raise h.CannotRun("the requests did not run side by side")
    await asyncio.sleep(0.1)
    if h.TROUBLE:
        instance.signal(signal.SIGTERM)
    await asyncio.gather(*clients)
    ran = {attempt for u in up for _, attempt, _ in u.ran}
    lost = [(a, ans) for a, ans in results if not ans.whole and a in ran]
    d.record.say(
        f"{len(results)} requests sent, {sum(a.whole for _, a in results)} answered whole, "
        f"{len(lost)} passed on and not answered"
    )
    return [f"{a} ran and its connection ended without an answer: {ans.note}" for a, ans in lost]


h.run_case(FOLDER, case)
