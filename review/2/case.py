"""A runner answers before it has read a long body; the router is stopped as planned meanwhile."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from harness import *  # noqa: E402,F403

BODY = b"x" * 4000000  # maxBodyBytes is 4194304.
READS_ON_AFTER_S = 1.0
EVENTS = 20
EVENT_GAP_S = 0.1


class EarlyRunner(Runner):
    """Answers at once with a stream of two seconds, and reads the body on later."""

    whole = set()
    cut = set()

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0, limit=16384)
        self.port = self.server.sockets[0].getsockname()[1]
        await self.register()

    async def serve(self, head, reader, writer):
        attempt = head[1]["x-bamboodock-attempt-id"]
        self.record(f"{self.name}: runs {attempt} and begins its answer")
        try:
            await asyncio.gather(self.read(head[1], attempt, reader),
                                 self.answer(head[1], writer))
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            self.cut.add(attempt)
            self.record(f"{self.name}: the router closed the channel of {attempt}: "
                        f"{type(error).__name__}")
            return
        self.whole.add(attempt)
        self.record(f"{self.name}: answered {attempt} to its end")

    async def read(self, headers, attempt, reader):
        if TROUBLE:
            await asyncio.sleep(READS_ON_AFTER_S)
        await reader.readexactly(int(headers["content-length"]))
        self.record(f"{self.name}: has read the whole body of {attempt}")

    async def answer(self, headers, writer):
        writer.write(answer_head(headers, "Content-Type: text/event-stream",
                                 "Transfer-Encoding: chunked"))
        for number in range(1, EVENTS + 1):
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_S)


async def one_request(record, client, attempt, broken):
    await client.send(attempt, "POST", "/digest/lot", BODY)
    status, _, _, whole = await client.answer(attempt)
    if not whole:
        broken.append((attempt, status))


async def case(record):
    store = Store(record)
    await store.start()
    for number in range(3):
        await EarlyRunner(store, record, f"i-7f3a91c{number}", "text-llm").start()
    routes = [route("r-digest", "/digest/", "stream", "text-llm", targetGapMs=2000)]
    await store.put("op", "config", config(1, routes, [service("text-llm")]))
    router = Router(store, record)
    await router.start()
    try:
        await router.wait_until_ready()
        broken, tasks, clients = [], [], []
        for number in range(6):
            clients.append(Client(record, router, f"client-{number}"))
            await clients[-1].open()
        for number in (0, 1):
            tasks.append(asyncio.create_task(
                one_request(record, clients[number], f"before-{number}", broken)))
        await asyncio.sleep(0.1)
        router.signal(signal.SIGTERM)
        for number in range(2, 6):
            await asyncio.sleep(0.3)
            tasks.append(asyncio.create_task(
                one_request(record, clients[number], f"after-{number}", broken)))
        await asyncio.gather(*tasks)
        await asyncio.wait_for(router.process.wait(), GRACE_S + 2)
        record(f"router: ended with code {router.process.returncode}")
        for attempt, status in broken:
            record(f"BROKEN LOST: {attempt} was read whole and passed on to a sound runner; its "
                   f"channel ended without a complete answer (status {status})")
        record(f"requests: {len(tasks)}, without a complete answer: {len(broken)}")
        return 1 if broken else 0
    finally:
        await router.end()


main(case, __file__)
