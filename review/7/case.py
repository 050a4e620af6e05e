"""PINNED: the next order brings a version that was rolled back as bad into use again."""
import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin-2"))
sys.dont_write_bytecode = True
from platform_standin import SESSION_S, Client, Router, Runner, Store, config, now, play, route

SESSIONS = 60
SINGLE_CLIENTS = 60       # Send requests outside of a session; only these come to a version on trial.
ROLLOUT_S = 24.0
NEXT_ORDER_AFTER_S = 0.3  # After `rolled_back`.
DRAINS_AFTER_S = 4.0      # The runners that were rolled back drain this long after `rolled_back`.
BAD_SHARE = 0.5


class BadRunner(Runner):
    """Fails a share of its requests with 500."""

    async def run(self, message, writer):
        attempt = message[1].get("x-bamboodock-attempt-id", "")
        if random.random() >= BAD_SHARE:
            return await super().run(message, writer)
        self.arrivals.append((now(), attempt))
        self.record.line(f"runner {self.ident} {self.version} fails {attempt}")
        await asyncio.sleep(0.02)
        writer.write((f"HTTP/1.1 500 X\r\nX-Bamboodock-Attempt-Id: {attempt}\r\n"
                      f"X-Bamboodock-Response-Stamp: {self.ident}.{attempt}\r\nContent-Length: 0\r\n\r\n").encode())


async def scenario(record, files, routers, trouble):
    store = Store()
    store_address = await store.listen()
    await store.put("op", "config", config(1, [route("orders", "/orders/", "unsafe", "orders", 3000, 300)]))
    kinds = {"v1": Runner, "v2": BadRunner, "v3": Runner}
    runners = {version: [kind(f"i-{version}-{n}", version, store, record) for n in range(4)]
               for version, kind in kinds.items()}
    for runner in runners["v1"]:
        await runner.start()
    for number in (2, 3):
        routers.append(Router(f"front-{number}", f"127.0.0.{number}", store_address, files))
    for router in routers:
        await router.await_ready()
    await asyncio.sleep(2)

    sessions = {number: [] for number in range(SESSIONS)}
    stop = asyncio.Event()

    async def session(number):
        client = Client(f"s{number}", routers[number % 2].callers, record)
        while not stop.is_set():
            sessions[number].append(
                await client.request("POST", "/orders/busy/20", {"Session": f"session-{number}"}, 3000))
            await asyncio.sleep(0.3)
        client.close()

    async def order(target):
        await store.put("op", "rollout/orders", {"service": "orders", "target": target, "durationS": ROLLOUT_S})
        record.say(f"the operator orders {target}, to be done in {ROLLOUT_S:.0f} s")
        for runner in runners[target]:
            await runner.start()

    async def single_requests(number):
        client = Client(f"n{number}", routers[number % 2].callers, record)
        while not stop.is_set():
            await client.request("POST", "/orders/busy/20", time_left_ms=3000)
            await asyncio.sleep(0.3)
        client.close()

    tasks = [asyncio.create_task(session(number)) for number in range(SESSIONS)]
    tasks += [asyncio.create_task(single_requests(number)) for number in range(SINGLE_CLIENTS)]
    await asyncio.sleep(1)
    await order("v2")
    while (store.value("status", "rollout/orders") or {}).get("state") != "rolled_back":
        await asyncio.sleep(0.02)
    rolled_back_at = now()
    record.say("a router writes rolled_back for v2")
    await asyncio.sleep(NEXT_ORDER_AFTER_S)
    next_order_at = now()
    if trouble:
        await order("v3")
    await asyncio.sleep(rolled_back_at + DRAINS_AFTER_S - now())
    for runner in runners["v2"]:
        await store.put("servers", runner.ident, store.value("servers", runner.ident) | {"state": "draining"})
    record.say("the runners of v2 drain")
    await asyncio.sleep(4)
    stop.set()
    await asyncio.gather(*tasks)

    ran_on = {attempt: (at, runner.version)
              for group in runners.values() for runner in group for at, attempt in runner.arrivals}
    moved = 0
    for answers in sessions.values():
        ran = [answer for answer in answers if answer[0] in ran_on]
        for before, after in zip(ran, ran[1:]):
            in_time = after[3] - before[4] < SESSION_S and after[3] > next_order_at
            if in_time and ran_on[after[0]][1] != ran_on[before[0]][1]:
                moved += 1
                record.line(f"{before[0]} ran on {ran_on[before[0]][1]}, {after[0]} on {ran_on[after[0]][1]}")
    late = [attempt for attempt, (at, version) in ran_on.items() if version == "v2" and at > next_order_at]
    failed = sum(answer[1] >= 500 for answers in sessions.values() for answer in answers
                 if answer[0] in set(late))
    record.say(f"requests to v2 before the next order: {sum(v == 'v2' for _, v in ran_on.values()) - len(late)}, "
               f"after it: {len(late)}, of these failed: {failed}")
    record.say(f"requests on another version than the one before in their session: {moved} (allowed: 3)")
    return 1 if moved > 3 else 0


play(Path(__file__).parent, scenario)
