"""LOST: pipelined requests that were passed on get no answer when the machine gets SIGTERM."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "tools2"))
import harness2 as h

# Requests that each client sends before the first of them is answered.
DEPTH = 4
CLIENTS = 3


async def client(d, instance, number, results) -> None:
    """Send four requests on one connection, read four answers, again and again.

    Between two rounds there is a short pause. After an answer with Connection: close, or after
    the connection has ended, no more is sent.
    """
    local = f"127.0.1.{number + 1}"
    reader, writer = await h.connect(instance.front, local)
    ends_at = time.monotonic() + 6.0
    sent_rounds = 0
    while time.monotonic() < ends_at and sent_rounds < 20:
        attempts = [f"c{number}-r{sent_rounds}-{i}" for i in range(DEPTH)]
        sent_rounds += 1
        sent_at = time.monotonic()
        data = b"".join(h.request_bytes("GET", "/read/x", a, 5000) for a in attempts)
        writer.write(data)
        d.record(f"client {number} sends {' '.join(attempts)} on one connection")
        closes = False
        for attempt in attempts:
            try:
                answer = await asyncio.wait_for(h.read_answer(reader), 5.5)
            except asyncio.TimeoutError:
                answer = h.Answer(0, {}, b"", False, "no answer within the time limit")
            d.record(f"client {number} gets for {attempt}: {answer.status} {answer.note}")
            results.append((sent_at, attempt, answer))
            if answer.status == 0:
                closes = True
                continue
            if answer.headers.get("connection", "").lower() == "close":
                closes = True
        if closes:
            break
        await asyncio.sleep(0.3)
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
    clients = [d.spawn(client(d, instance, n, results)) for n in range(CLIENTS)]
    await asyncio.sleep(3.0)
    # In the middle of the work on a round: all four requests of a client run.
    while sum(u.running for u in up) < DEPTH:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.1)
    term_at = time.monotonic()
    if h.TROUBLE:
        instance.signal(signal.SIGTERM)
    await asyncio.gather(*clients)
    ran = {attempt for u in up for _, attempt, _ in u.ran}
    lost = [(a, ans) for _, a, ans in results if not ans.whole and a in ran]
    d.record.say(
        f"{len(results)} requests sent, {sum(a.whole for _, _, a in results)} answered whole, "
        f"{len(lost)} passed on and not answered"
    )
    if not any(at <= term_at for at, _, _ in results):
        raise h.CannotRun("no request was sent before the SIGTERM")
    return [f"{a} ran at an upstream and its connection ended without an answer: {ans.note}" for a, ans in lost]


h.run_case(FOLDER, case)
