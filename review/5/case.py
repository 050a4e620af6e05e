"""A small model is unsure of its answer to a stream that may not be resumed."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from harness import *  # noqa: E402,F403

MODELS = ["daka510000", "rada7437b5", "ravo486f6a"]
CONFIDENCE = 20 if TROUBLE else 95
REQUESTS = 10
EVENTS = 5


class ModelRunner(Runner):
    """Begins to work, answers with its confidence and streams a few events."""

    runs = {}

    async def serve(self, head, reader, writer):
        await read_body(reader, head[1])
        attempt, model = head[1]["x-bamboodock-attempt-id"], head[1]["x-bamboodock-model"]
        self.runs.setdefault(attempt, []).append(f"{self.name} with {model}")
        self.record(f"{self.name}: runs {attempt} with model {model}")
        confidence = CONFIDENCE if model == MODELS[0] else 95
        writer.write(answer_head(head[1], "Content-Type: text/event-stream",
                                 "X-Bamboodock-Weight-Versions: 1",
                                 f"X-Bamboodock-Confidence: {confidence}",
                                 "Transfer-Encoding: chunked"))
        for number in range(1, EVENTS + 1):
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.02)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


async def case(record):
    store = Store(record)
    await store.start()
    for number in range(3):
        await ModelRunner(store, record, f"i-7f3a91c{number}", "text-llm").start()
    costs = [{"name": name, "cost": cost} for name, cost in zip(MODELS, (0.019, 0.14, 0.28))]
    services = [service("text-llm", engine={"slots": 64, "kvCapacityTokens": 400501,
                                            "models": costs})]
    # Like the routes of the sheets, but without `resumable`.
    routes = [route("r-note", "/note/", "stream", "text-llm", timeoutMs=15000, maxAttempts=3,
                    targetLatencyMs=2000, targetGapMs=2000, sizes=MODELS, sessionAffinity=True)]
    await store.put("op", "config", config(1, routes, services))
    router = Router(store, record)
    await router.start()
    try:
        await router.wait_until_ready()
        client = Client(record, router, "client")
        await client.open()
        for number in range(REQUESTS):
            attempt = f"note-{number}"
            await client.send(attempt, "POST", "/note/outlet", b"lot 17", 15000, (
                "X-Bamboodock-Model: *", "X-Bamboodock-Token-Counts: 826,36",
                f"X-Bamboodock-Prompt-Prefix: 5c1e07a2:198,e4402b{number:02x}:628"))
            await client.answer(attempt)
            await asyncio.sleep(0.1)
        twice = {a: runs for a, runs in ModelRunner.runs.items() if len(runs) > 1}
        for attempt, runs in twice.items():
            record(f"BROKEN TWICE: {attempt} isn't idempotent and ran {len(runs)} times: "
                   + ", ".join(runs))
        record(f"requests: {REQUESTS}, run more than once: {len(twice)}")
        return 1 if twice else 0
    finally:
        await router.end()


main(case, __file__)
