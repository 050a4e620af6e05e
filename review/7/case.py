"""MIXED: the refusal of a HEAD request carries a body, so the next answer on the channel is unreadable."""
import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin-2"))
sys.dont_write_bytecode = True
from platform_standin import Router, Runner, Store, config, play, route

CLIENTS = 20
APPLIED_AFTER_S = 3.0  # More than configApplyMs (2 s).


class KeptChannel:
    """A client that reads answers as HTTP/1.1 frames them: an answer to HEAD ends with its head."""

    def __init__(self, name, record):
        self.name, self.record = name, record

    async def open(self, address):
        self.reader, self.writer = await asyncio.open_connection(*address)

    async def request(self, method, path, attempt):
        self.record.line(f"client sends {attempt} {method} {path}")
        self.writer.write((f"{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Bamboodock-Attempt-Id: {attempt}\r\n"
                           "X-Bamboodock-Time-Left-Ms: 3000\r\n"
                           + ("Content-Length: 0\r\n" if method == "POST" else "") + "\r\n").encode())
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first = head.split("\r\n")[0]
        self.record.line(f"client gets {attempt} {first!r}")
        if not first.startswith("HTTP/1.1 "):
            return None
        for line in head.lower().split("\r\n"):
            if method != "HEAD" and line.startswith("content-length:"):
                await self.reader.readexactly(int(line.split(":")[1]))
        return int(first.split(" ")[1])


async def scenario(record, files, routers, trouble):
    store = Store()
    store_address = await store.listen()
    orders = route("orders", "/orders/", "unsafe", "orders", 3000, 300)
    reads = route("reads", "/reads/", "safe", "orders", 3000, 300)
    await store.put("op", "config", config(1, [orders, reads]))
    runner = Runner("i-1", "v1", store, record)
    await runner.start()
    routers.append(Router("front-1", "127.0.0.2", store_address, files))
    await routers[0].await_ready()
    await asyncio.sleep(1)
    channels = [KeptChannel(f"c{number}", record) for number in range(CLIENTS)]
    for channel in channels:
        await channel.open(routers[0].callers)
        assert await channel.request("POST", "/orders/work/20", f"{channel.name}-before") == 200
    if trouble:
        await store.put("op", "config", config(2, [orders]))
        record.say("the operator's version 2 removes the route /reads/")
    await asyncio.sleep(APPLIED_AFTER_S)

    unreadable = 0
    for channel in channels:
        read = await channel.request("HEAD", "/reads/work/20", f"{channel.name}-read")
        order = await channel.request("POST", "/orders/work/20", f"{channel.name}-order")
        assert read == (404 if trouble else 200), read
        if order is None:
            unreadable += 1
    await asyncio.sleep(0.5)
    ran = {attempt for _, attempt in runner.arrivals}
    lost = sum(f"{channel.name}-order" in ran for channel in channels) if unreadable else 0
    record.say(f"channels: {CLIENTS}; bytes that are no answer where one was due: {unreadable}; "
               f"orders run whose answer is unreadable: {min(lost, unreadable)}")
    return 1 if unreadable else 0


play(Path(__file__).parent, scenario)
