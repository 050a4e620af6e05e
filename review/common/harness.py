"""Stand-ins for the review's scripts: store, runners and clients, on loopback and the real clock.

They follow the users' pages (PROTOCOL.md); where a page is silent they behave like sound ones. The
router is the project's own program, started with the command and the settings of the deploy file.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "labels.example"
KEY = "n2ctnfzs989anu6wsjnb"
MAX_BODY = 4194304
GRACE_S = 8
START = time.monotonic()
handed_out = set()


def is_free(port):
    """Whether nothing uses the port on loopback, for TCP or for datagrams."""
    try:
        for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
            with socket.socket(socket.AF_INET, kind) as sock:
                sock.bind(("127.0.0.1", port))
        return True
    except OSError:
        return False


def free_port():
    """A port that is free and not handed out before, as is the one after it.

    It lies below the range from which the system takes the ports of outgoing connections.
    """
    while True:
        port = random.randrange(12000, 32000, 2)
        if port not in handed_out and is_free(port) and is_free(port + 1):
            handed_out.add(port)
            return port


class Record:
    """Writes record.txt in the folder of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - START:8.3f} {text}\n")
        self.file.flush()

    def close(self):
        self.file.close()


async def read_head(reader):
    """Reads a start line and the headers; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Reads a whole body; raises when it ends early."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


class Store:
    """The platform's metadata store: rows-get, rows-feed and rows-tx."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.version = 0
        self.down = False  # While it is down, the store answers 503.
        self.changed = asyncio.Condition()
        self.port = None

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def put(self, table, key, value):
        """Writes as the operator or a runner does; the return is the acknowledgement."""
        await self.apply([(table, key, value.encode())], [])
        self.record(f"store: put {table}/{key} {value[:160]}")

    async def drop(self, table, key):
        await self.apply([], [(table, key)])
        self.record(f"store: drop {table}/{key}")

    async def set_down(self, down):
        self.record("store: is down (503)" if down else "store: is back")
        self.down = down
        async with self.changed:
            self.changed.notify_all()

    async def apply(self, puts, drops):
        self.version += 1
        for table, key, value in puts:
            self.rows[(table, key)] = (self.version, value)
        for table, key in drops:
            self.rows[(table, key)] = (self.version, None)
        async with self.changed:
            self.changed.notify_all()

    def row(self, name):
        version, value = self.rows[name]
        row = {"tableName": name[0], "part": "", "key": name[1], "ver": version}
        if value is None:
            row["isGone"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    def changes(self, table, after):
        names = [n for n, (ver, _) in self.rows.items() if n[0] == table and ver > after]
        return [self.row(n) for n in sorted(names, key=lambda n: self.rows[n][0])]

    async def feed(self, query):
        table, after = query["tableName"], int(query["after"])
        end = time.monotonic() + int(query["waitMs"]) / 1000
        async with self.changed:
            while not self.changes(table, after) and not self.down:
                left = end - time.monotonic()
                if left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    break
        if self.down:
            return 503, {}
        return 200, {"rows": self.changes(table, after), "morePages": False}

    async def transact(self, body):
        await asyncio.sleep(0.008)
        request = json.loads(body)  # From here on nothing waits, so the call is atomic.
        current = []
        conflict = False
        for row in request["expectedRev"]:
            name = (row["tableName"], row["key"])
            version, value = self.rows.get(name, (0, None))
            version = version if value is not None else 0
            conflict = conflict or version != row["ver"]
            if value is not None:
                current.append(self.row(name))
        if conflict:
            return 412, {"rows": current}
        puts = [(r["tableName"], r["key"], base64.b64decode(r["value"])) for r in request["puts"]]
        for table, key, value in puts:
            self.record(f"store: router wrote {table}/{key} {value.decode()[:160]}")
        await self.apply(puts, [])
        return 200, {}

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                path, _, text = head[0].split(" ")[1].partition("?")
                query = dict(p.partition("=")[::2] for p in text.split("&")) if text else {}
                if self.down:
                    status, answer = 503, {}
                elif path == "/-/rows-get":
                    names = sorted(n for n, (_, value) in self.rows.items()
                                   if n[0] == query["tableName"] and value is not None)
                    status, answer = 200, {"rows": [self.row(n) for n in names],
                                           "morePages": False}
                elif path == "/-/rows-feed":
                    status, answer = await self.feed(query)
                elif path == "/-/rows-tx":
                    status, answer = await self.transact(body)
                else:
                    status, answer = 404, {}
                answer["ver"] = self.version
                answer["nowMs"] = int((time.monotonic() - START) * 1000) + 50000
                data = json.dumps(answer).encode()
                reason = {200: "OK", 404: "Not Found", 412: "Precondition Failed",
                          503: "Service Unavailable"}[status]
                head = (f"HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\n"
                        f"Content-Length: {len(data)}\r\n\r\n").encode()
                writer.write(head + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Runner:
    """Base of the runners: registers, and hands each whole connection to `serve`."""

    def __init__(self, store, record, name, service, version="v1", slots=64):
        self.store, self.record, self.name = store, record, name
        self.service, self.version, self.slots = service, version, slots
        self.state = "ready"
        self.sequence = 0
        self.port = None
        self.born = int(time.time() * 1000)
        self.connections = set()

    async def start(self, register=True):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        if register:
            await self.register()

    async def register(self):
        self.sequence += 1
        await self.store.put("servers", self.name, json.dumps({
            "service": self.service, "address": f"127.0.0.1:{self.port}", "zone": "alex-west",
            "version": self.version, "slots": self.slots, "state": self.state,
            "coldRemainingMs": 0, "sequence": self.sequence, "born": self.born}))

    async def accept(self, reader, writer):
        self.connections.add(writer)
        try:
            head = await read_head(reader)
            if head is not None:
                await self.check(head, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            self.record(f"{self.name}: connection lost: {type(error).__name__} {error}")
        finally:
            self.connections.discard(writer)
            writer.close()

    async def check(self, head, reader, writer):
        expected = head[1].get("x-bamboodock-expect-instance")
        if expected is not None and expected != self.name:
            writer.write(f"HTTP/1.1 421 Misdirected Request\r\nX-Bamboodock-Instance-Id: "
                         f"{self.name}\r\nContent-Length: 0\r\n\r\n".encode())
            await writer.drain()
            return
        await self.serve(head, reader, writer)

    async def serve(self, head, reader, writer):
        raise NotImplementedError


def answer_head(headers, *extra):
    """Head of a success: status, the request's id and a digest."""
    lines = ["HTTP/1.1 200 OK", f"X-Bamboodock-Attempt-Id: {headers['x-bamboodock-attempt-id']}",
             "X-Bamboodock-Response-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1", *extra]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class Router:
    """One router process, started as the deploy file says."""

    def __init__(self, store, record, name="front-alex-west-1", ip="127.0.0.1", internal=None):
        self.record, self.name = record, name
        self.folder = tempfile.mkdtemp(prefix="bamboodock-review-")
        self.callers, self.ready = free_port(), free_port()
        internal = internal or free_port()
        with open(os.path.join(ROOT, "deploy", "router.flags"), encoding="utf-8") as file:
            text = file.read()
        values = {
            "node": name, "zone": "alex-west", "listen.front": f"127.0.0.1:{self.callers}",
            "listen.ready": f"127.0.0.1:{self.ready}", "ip": ip,
            "internalPorts": f"{internal},{internal + 5}",
            "platform.address": f"127.0.0.1:{store.port}", "bounds.retryBudgetRatio": "0.9",
            "bounds.budgetExtra": "54", "bounds.budgetWindowS": "10",
            "bounds.exposureShare": "0.15", "bounds.exposureTolerance": "30",
            "bounds.coldOverrun": "1.5", "bounds.coldTolerance": "5", "bounds.revokeMs": "5000",
            "bounds.sessionS": "5", "bounds.graceS": str(GRACE_S)}
        for field, value in values.items():
            text = text.replace("{{" + field + "}}", value)
        self.settings = os.path.join(self.folder, "node.conf")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)
        self.log = os.path.join(self.folder, "router.log")

    async def start(self):
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                os.path.join(ROOT, "target", "bamboodock-router"), cwd=ROOT,
                env={"PATH": os.environ.get("PATH", ""), "BAMBOODOCK_CONFIG": self.settings},
                stdout=log, stderr=log)
        self.record(f"{self.name}: started, pid {self.process.pid}")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 2)
            writer.close()
            return head is not None and " 200 " in head[0]
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_until_ready(self, limit_s=15):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if await self.is_ready():
                self.record(f"{self.name}: ready")
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the router did not become ready")

    def signal(self, number):
        self.record(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def end(self):
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


class Proxy:
    """Forwards a router's channels to the store, and can let an open one go silent for good."""

    def __init__(self, store):
        self.store = store
        self.open = []
        self.kept = []  # Keeps silent channels from being collected, which would close them.
        self.last_feed = (0.0, 0)  # When the router last asked for the operator's feed; waitMs.

    async def start(self):
        server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def silence_feed(self):
        """From now on the channel of the operator's feed carries nothing; it isn't closed."""
        for channel in self.open:
            channel["silent"] = channel["feed"]

    async def accept(self, reader, writer):
        channel = {"silent": False, "feed": False}
        self.open.append(channel)
        store_reader, store_writer = await asyncio.open_connection("127.0.0.1", self.store.port)
        self.kept.append((asyncio.current_task(), reader, writer, store_reader, store_writer))
        await asyncio.gather(self.pump(channel, reader, store_writer),
                             self.pump(channel, store_reader, writer))

    async def pump(self, channel, reader, writer):
        try:
            while data := await reader.read(65536):
                if data.startswith(b"GET /-/rows-feed?tableName=op&"):
                    wait_ms = data.split(b"waitMs=")[1].split(b" ")[0]
                    self.last_feed = (time.monotonic(), int(wait_ms))
                    channel["feed"] = True
                if not channel["silent"]:
                    writer.write(data)
                    await writer.drain()
        except ConnectionError:
            pass
        if not channel["silent"]:
            writer.close()


class Client:
    """One kept channel to the router; sends one request at a time."""

    def __init__(self, record, router, name):
        self.record, self.router, self.name = record, router, name
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.router.callers)

    async def send(self, attempt, method, path, body=b"", time_left_ms=20000, headers=(), key=KEY):
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}",
                 f"X-Bamboodock-Attempt-Id: {attempt}",
                 f"X-Bamboodock-Time-Left-Ms: {time_left_ms}", f"X-Api-Key: {key}", *headers]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.record(f"{self.name}: sends {attempt} {method} {path}, body {len(body)} bytes")
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await self.writer.drain()

    async def answer(self, attempt):
        """(status, headers, body, whole) of the answer; status 0 when there is none."""
        head = await read_head(self.reader)
        if head is None:
            self.record(f"{self.name}: {attempt} channel closed without an answer")
            return 0, {}, b"", False
        status = int(head[0].split(" ")[1])
        try:
            body = await read_body(self.reader, head[1])
        except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
            self.record(f"{self.name}: {attempt} answer {status} broke off: {type(error).__name__}")
            return status, head[1], b"", False
        self.record(f"{self.name}: {attempt} answer {status}, body {len(body)} bytes, whole")
        return status, head[1], body, True

    def close(self):
        if self.writer is not None:
            self.writer.close()


def config(version, routes, services, keys=(KEY,)):
    return json.dumps({
        "version": version, "routes": routes, "services": services,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": MAX_BODY, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "tenants": [{"name": "hule930", "apiKeys": list(keys), "priority": 1}]})


def route(name, prefix, kind, service, **fields):
    return {"name": name, "host": HOST, "prefix": prefix, "kind": kind, "service": service,
            "timeoutMs": 20000, "targetLatencyMs": 4000, "priority": 1, "maxAttempts": 1,
            "public": False, **fields}


def service(name, **fields):
    return {"name": name, "healthPath": "/health", "maxConnections": 360, "protocol": "h1",
            "tls": False, "coldS": 0.0, "coldPerS": 0.0, **fields}


def main(case, file):
    """Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    asyncio.run(run(case, Record(os.path.dirname(os.path.abspath(file)))))


async def run(case, record):
    code = 2
    try:
        code = await asyncio.wait_for(case(record), 110)
    except Exception as error:  # Any failure of the stand-ins means that the case could not run.
        record(f"could not run: {type(error).__name__} {error}")
    record(f"result: {code}")
    record.close()
    os._exit(code)  # The stand-ins' open channels need no orderly end.
