"""PINNED: sessions whose streams last longer than sessionS move to a version on trial."""
import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin-2"))
sys.dont_write_bytecode = True
from platform_standin import SESSION_S, Client, Router, Runner, Store, config, now, play, route

SESSIONS = 300
STREAM_MS = 9000      # Of the 20 s that the route allows; an event each 0.5 s.
PAUSE_S = 1.0         # Between the end of a request and the next one in its session.
ROLLOUT_S = 40.0


async def scenario(record, files, routers, trouble):
    store = Store()
    store_address = await store.listen()
    await store.put("op", "config", config(1, [
        route("drafts", "/drafts/", "stream", "orders", 20000, 4000, resumable=True, targetGapMs=2000)]))
    old = [Runner(f"i-old-{n}", "v1", store, record) for n in range(6)]
    new = [Runner(f"i-new-{n}", "v2", store, record) for n in range(6)]
    for runner in old:
        await runner.start()
    routers.append(Router("front-1", "127.0.0.2", store_address, files))
    await routers[0].await_ready()
    await asyncio.sleep(2)

    requests = {}

    async def session(number):
        client = Client(f"s{number}", routers[0].callers, record)
        headers = {"Session": f"session-{number}"}
        await asyncio.sleep(number / SESSIONS)
        first = await client.request("POST", f"/drafts/stream/{STREAM_MS}", headers)
        await asyncio.sleep(PAUSE_S)
        second = await client.request("POST", "/drafts/stream/500", headers)
        requests[number] = first, second
        client.close()

    sessions = [asyncio.create_task(session(number)) for number in range(SESSIONS)]
    await asyncio.sleep(1.5)
    ordered_at = now()
    if trouble:
        await store.put("op", "rollout/orders", {"service": "orders", "target": "v2", "durationS": ROLLOUT_S})
        for runner in new:
            await runner.start()
        record.say(f"the operator orders v2, to be done in {ROLLOUT_S:.0f} s")
    await asyncio.gather(*sessions)

    ran_on = {}
    for runner in old + new:
        for at, attempt in runner.arrivals:
            ran_on[attempt] = (at, runner.version)
    moved = 0
    served = 0
    for first, second in requests.values():
        if first[1] != 200 or second[1] != 200:
            continue
        served += 1
        follows = second[3] - first[4] < SESSION_S
        in_first_half = ran_on[second[0]][0] < ordered_at + ROLLOUT_S / 2
        if follows and in_first_half and ran_on[second[0]][1] != ran_on[first[0]][1]:
            moved += 1
            record.line(f"{first[0]} ran on {ran_on[first[0]][1]}, {second[0]} on {ran_on[second[0]][1]}")
    record.say(f"sessions: {SESSIONS}, served twice: {served}, on another version than before, in the first "
               f"half of the rollout: {moved} (allowed: 3)")
    if served < SESSIONS // 2:
        return 2
    return 1 if moved > 3 else 0


play(Path(__file__).parent, scenario)
