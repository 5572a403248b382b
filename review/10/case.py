"""BUDGET: a request that crashes its upstreams is let through again after all processes were killed."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import harness2 as h

# Answers to calls with StaleOk are this old (tarnok-fuvos names x = 5.5 for stale reads).
STALE_S = 5.0
STABLE_WINDOW_S = 3.0
CALLER = "127.0.3.7"
BODY = b"the same body each time"


class Poison:
    """Upstreams that end when they begin to run the request, and are back after 3 s."""

    def __init__(self, d) -> None:
        self.d = d
        self.crashes: list[tuple[float, str]] = []
        self.starts = 0

    def arm(self, upstream) -> None:
        def on_run(request) -> None:
            if request.target == "/pay/bad":
                self.d.spawn(self.crash(upstream, request.get("x-attempt-id")))

        upstream.on_run = on_run

    async def crash(self, upstream, attempt: str) -> None:
        await asyncio.sleep(0.02)
        if not upstream.is_up:
            return
        self.crashes.append((time.monotonic(), attempt))
        self.d.record(f"{upstream.name} is crashed by {attempt}")
        host, port = h.split_address(upstream.address)
        upstream.crash()
        await asyncio.sleep(3.0)
        # The next incarnation has a new id; the entry of the old one is gone by now.
        self.d.store.remove("servers", upstream.name)
        self.starts += 1
        upstream.name = f"{upstream.name.split('.')[0]}.{self.starts}"
        upstream.born, upstream.sequence = int(time.time() * 1000), 0
        await upstream.start(host, port)


async def send(d, instance, attempt: str, sent: list) -> h.Answer:
    sent.append((time.monotonic(), attempt))
    data = h.request_bytes("POST", "/pay/bad", attempt, 2500, BODY)
    answer = await h.one_request(instance.front, data, 3.0, CALLER)
    code = answer.headers.get("carobhook-code", "")
    d.record(f"{attempt} at {instance.name}: {answer.status} {code} {answer.note}")
    return answer


async def case(d):
    ups = [d.upstream(f"i-{n}", "eloleg", "pannon-a", 6) for n in range(12)]
    poison = Poison(d)
    for upstream in ups:
        poison.arm(upstream)
    d.store.stale_s = STALE_S
    d.store.logged_kinds.add("quarantine")
    for n in range(1, 5):
        d.add(f"front-pannon-a-{n}", f"127.0.0.{10 + n}", "pannon-a", "pannon")
    routes = [h.route("r-pay", "/pay/", "unsafe", "eloleg", 2500, 800)]
    await d.start(h.config(routes, ["eloleg"]), {"pannon-a": "pannon"})
    i, sent = d.instances, []
    # The request comes twice at once, and once more; then three upstreams have ended.
    await asyncio.gather(send(d, i[0], "p-0a", sent), send(d, i[1], "p-0b", sent))
    await asyncio.sleep(0.5)
    await send(d, i[2], "p-1", sent)
    ends_at = time.monotonic() + 3
    while len(d.store.objects.get("quarantine", {})) < 3 and time.monotonic() < ends_at:
        await asyncio.sleep(0.01)
    if len(poison.crashes) != 3 or len(d.store.objects.get("quarantine", {})) < 3:
        raise h.CannotRun(f"{len(poison.crashes)} crashes, {len(d.store.objects.get('quarantine', {}))} marks")
    third_at = poison.crashes[2][0]
    if h.TROUBLE:
        for instance in i:
            instance.signal(signal.SIGKILL)
        for instance in i:
            instance.process.wait()
        await asyncio.sleep(0.3)
        for instance in i:
            instance.start()
        for instance in i:
            await instance.wait_ready()
    in_touch_at = time.monotonic() + STABLE_WINDOW_S
    d.record(f"all machines are in touch from {STABLE_WINDOW_S} s on")
    await asyncio.sleep(STABLE_WINDOW_S + 0.5)
    # It comes again, at any machine, twice at once each second.
    for n in range(5):
        a, b = i[n % 4], i[(n + 1) % 4]
        await asyncio.gather(send(d, a, f"p-{n + 2}a", sent), send(d, b, f"p-{n + 2}b", sent))
        await asyncio.sleep(0.7)
    ran = {attempt for u in ups for _, attempt, _ in u.ran}
    late = [a for at, a in sent if at > max(third_at + STABLE_WINDOW_S, in_touch_at) and a in ran]
    d.record.say(
        f"{len(poison.crashes)} upstreams crashed in all; {len(late)} retries that were sent by machines in "
        f"touch over {STABLE_WINDOW_S} s after the third crash reached upstreams: {late}"
    )
    return [f"{len(late)} retries reached upstreams, more than three"] if len(late) > 3 else []


h.run_case(FOLDER, case)
