"""Stand-ins of the users' platform for the scripts of this review: store, runner, client, proxy.

Everything runs on loopback addresses and the real clock, in one asyncio loop. The router is a
process of its own, started with the command of deploy/system.toml.
"""
import asyncio
import base64
import json
import os
import re
import shutil
import socket
import subprocess
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
START = time.monotonic()

# Bounds of the settings example of DEPLOY.md.
CONTACT_S = 3.0
DRAIN_S = 2.0
SESSION_S = 5.0


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - START


class Record:
    """Writes record.txt: what was sent, answered and run, with the time in seconds."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")

    def line(self, text):
        self.file.write(f"{now():9.3f} {text}\n")

    def say(self, text):
        self.line(text)
        print(f"{now():9.3f} {text}", flush=True)

    def close(self):
        self.file.close()


async def read_message(reader):
    """Reads one HTTP message with a length; returns (first line, headers, body) or None."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


class Store:
    """The platform's metadata store: rows, feeds and conditional writes."""

    def __init__(self):
        self.rows = {}
        self.version = 10
        self.changed = asyncio.Condition()
        self.polls = []

    async def put(self, table, key, value):
        async with self.changed:
            self.version += 1
            self.rows[(table, key)] = (self.version, base64.b64encode(json.dumps(value).encode()).decode())
            self.changed.notify_all()

    async def drop(self, table, key):
        async with self.changed:
            self.version += 1
            self.rows[(table, key)] = (self.version, None)
            self.changed.notify_all()

    def value(self, table, key):
        ver, value = self.rows.get((table, key), (0, None))
        return None if value is None else json.loads(base64.b64decode(value))

    @staticmethod
    def text(table, key, ver, value):
        row = {"tableName": table, "part": "", "key": key, "ver": ver}
        return row | ({"isGone": True} if value is None else {"value": value})

    def answer(self, rows):
        return {"rows": rows, "morePages": False, "ver": self.version, "nowMs": int(time.monotonic() * 1000)}

    def select(self, table, after, gone):
        found = [(ver, key, value) for (t, key), (ver, value) in self.rows.items()
                 if t == table and ver > after and (gone or value is not None)]
        return found

    async def feed(self, query):
        table, after, wait = query["tableName"], int(query["after"]), int(query["waitMs"]) / 1000
        self.polls.append((now(), table))
        async with self.changed:
            try:
                await asyncio.wait_for(
                    self.changed.wait_for(lambda: bool(self.select(table, after, True))), wait)
            except asyncio.TimeoutError:
                pass
            rows = sorted(self.select(table, after, True))
            return self.answer([self.text(table, key, ver, value) for ver, key, value in rows])

    async def transact(self, body):
        call = json.loads(body)
        async with self.changed:
            for row in call["expectedRev"]:
                if self.rows.get((row["tableName"], row["key"]), (0, None))[0] != row["ver"]:
                    return 412, self.answer([])
            self.version += 1
            for row in call["puts"]:
                self.rows[(row["tableName"], row["key"])] = (self.version, row["value"])
            self.changed.notify_all()
            return 200, self.answer([])

    async def serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                first, _, body = message
                url = urlsplit(first.split(" ")[1])
                query = {name: values[0] for name, values in parse_qs(url.query).items()}
                await asyncio.sleep(0.004)
                status, answer = 200, None
                if url.path == "/-/rows-feed":
                    answer = await self.feed(query)
                elif url.path == "/-/rows-tx":
                    status, answer = await self.transact(body)
                else:
                    rows = sorted((key, ver, value) for ver, key, value in
                                  self.select(query["tableName"], 0, False))
                    answer = self.answer([self.text(query["tableName"], key, ver, value)
                                          for key, ver, value in rows if key >= query.get("from", "")])
                text = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(text)) + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def listen(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return server.sockets[0].getsockname()


class Proxy:
    """Forwards channels. `silence` lets all open ones go silent for good; new ones work."""

    def __init__(self, target):
        self.target = target
        self.silent_before = 0.0

    def silence(self):
        self.silent_before = time.monotonic()

    async def serve(self, reader, writer):
        opened = time.monotonic()
        far_reader, far_writer = await asyncio.open_connection(*self.target)

        async def pump(source, sink):
            try:
                while data := await source.read(65536):
                    if opened <= self.silent_before:
                        continue
                    sink.write(data)
                    await sink.drain()
            except ConnectionError:
                pass
            # A close does not pass a silent channel either.
            if opened > self.silent_before:
                sink.close()

        await asyncio.gather(pump(reader, far_writer), pump(far_reader, writer))
        writer.close()
        far_writer.close()

    async def listen(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return server.sockets[0].getsockname()


class Runner:
    """A sound runner. `work` gives the seconds of a run, `events` those of a stream."""

    def __init__(self, ident, version, store, record, service="orders", slots=64):
        self.ident, self.version, self.store, self.record = ident, version, store, record
        self.service, self.slots = service, slots
        self.arrivals = []
        self.writers = set()
        self.server = None
        self.born = int(time.time() * 1000)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()
        await self.store.put("servers", self.ident, {
            "service": self.service, "address": self.address, "zone": "zone-a", "version": self.version,
            "slots": self.slots, "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": self.born})

    def exit(self):
        """Ends the runner as a process that exits: its channels are closed."""
        self.server.close()
        for writer in list(self.writers):
            writer.close()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                await self.run(message, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def run(self, message, writer):
        first, headers, _ = message
        attempt = headers.get("x-bamboodock-attempt-id", "")
        if headers.get("x-bamboodock-expect-instance", self.ident) != self.ident:
            writer.write(b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")
            return
        self.arrivals.append((now(), attempt))
        self.record.line(f"runner {self.ident} {self.version} runs {attempt}")
        head = ("HTTP/1.1 200 OK\r\nX-Bamboodock-Attempt-Id: %s\r\n"
                "X-Bamboodock-Response-Stamp: %s.%s\r\n" % (attempt, self.ident, attempt)).encode()
        stream = re.search(r"/stream/(\d+)", first)
        if stream:
            await self.send_stream(writer, head, int(stream[1]))
        else:
            work = re.search(r"/busy/(\d+)", first)
            await asyncio.sleep(int(work[1]) / 1000 if work else 0.06)
            body = b"" if first.startswith("HEAD ") else b"ok"
            writer.write(head + b"Content-Length: 2\r\n\r\n" + body)
        await writer.drain()
        self.record.line(f"runner {self.ident} {self.version} ends {attempt}")

    @staticmethod
    async def send_stream(writer, head, milliseconds):
        writer.write(head + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
        count = max(1, milliseconds // 500)
        for number in range(1, count + 1):
            await asyncio.sleep(milliseconds / 1000 / count)
            event = b"id: %d\ndata: x\n\n" % number
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


class Client:
    """Sends one request at a time on a kept channel; opens a new channel after a close."""

    def __init__(self, name, address, record):
        self.name, self.address, self.record = name, address, record
        self.reader = self.writer = None
        self.count = 0

    async def request(self, method, path, headers=None, time_left_ms=20000):
        """Returns (attempt id, status or 0 for a channel that ended, whole answer?, sent, ended)."""
        self.count += 1
        attempt = f"{self.name}-{self.count}"
        sent = now()
        self.record.line(f"client sends {attempt} {method} {path}")
        status, whole = 0, False
        try:
            if self.writer is None:
                self.reader, self.writer = await asyncio.open_connection(*self.address)
            extra = "".join(f"{name}: {value}\r\n" for name, value in (headers or {}).items())
            length = "Content-Length: 0\r\n" if method == "POST" else ""
            self.writer.write((f"{method} {path} HTTP/1.1\r\nHost: h.example\r\n"
                               f"X-Bamboodock-Attempt-Id: {attempt}\r\n"
                               f"X-Bamboodock-Time-Left-Ms: {time_left_ms}\r\n{length}{extra}\r\n").encode())
            status, whole, keep = await self.read_answer()
            if not keep:
                self.close()
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            self.close()
        self.record.line(f"client gets {attempt} status {status}{'' if whole else ' not whole'}")
        return attempt, status, whole, sent, now()

    async def read_answer(self):
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        status = int(head.split(" ")[1])
        length = re.search(r"content-length: (\d+)", head)
        if length:
            await self.reader.readexactly(int(length[1]))
        else:
            while (size := int((await self.reader.readline()).strip() or b"0", 16)) > 0:
                await self.reader.readexactly(size + 2)
            await self.reader.readline()
        return status, True, "connection: close" not in head

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


class Router:
    """One router process with the command and the template of the deploy files."""

    def __init__(self, host, ip, store_address, folder, bounds=None):
        self.host, self.ip = host, ip
        values = {"node": host, "zone": "zone-a", "ip": ip, "platform.address": "%s:%d" % store_address,
                  "listen.front": f"{ip}:{free_port(ip)}", "listen.ready": f"{ip}:{free_port(ip)}",
                  "internalPorts": "%d,%d" % free_port_pair(ip), "bounds.retryBudgetRatio": 0.9,
                  "bounds.budgetExtra": 54, "bounds.budgetWindowS": 10, "bounds.exposureShare": 0.15,
                  "bounds.exposureTolerance": 30, "bounds.coldOverrun": 1.5, "bounds.coldTolerance": 5,
                  "bounds.revokeMs": 5000, "bounds.sessionS": 5, "bounds.graceS": 8,
                  "limits.memoryMb": 260, "limits.maxFds": 4100} | (bounds or {})
        template = (ROOT / "deploy/router.flags").read_text()
        text = re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(values[match[1]]), template)
        self.settings = Path(folder) / f"{host}.flags"
        self.settings.write_text(text)
        ip_port = values["listen.front"].split(":")
        self.callers = (ip_port[0], int(ip_port[1]))
        ready = values["listen.ready"].split(":")
        self.ready_address = (ready[0], int(ready[1]))
        self.log = open(Path(folder) / f"{host}.log", "wb")
        command = re.search(r'^run = "(.*)"', (ROOT / "deploy/system.toml").read_text(), re.M)[1].split()
        environment = {"PATH": os.environ["PATH"], "HOME": str(folder), "BAMBOODOCK_CONFIG": str(self.settings)}
        self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=self.log, stderr=self.log)

    async def await_ready(self):
        for _ in range(200):
            try:
                reader, writer = await asyncio.open_connection(*self.ready_address)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                head = await reader.readuntil(b"\r\n\r\n")
                writer.close()
                if b" 200 " in head:
                    return
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.host} is not ready")

    def stop(self):
        self.process.kill()
        self.process.wait()
        self.log.close()


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def free_port_pair(ip):
    """Two ports that follow each other, free for UDP and TCP."""
    while True:
        port = free_port(ip)
        try:
            with socket.socket(type=socket.SOCK_DGRAM) as first, socket.socket() as second:
                first.bind((ip, port))
                second.bind((ip, port + 1))
                return port, port + 1
        except (OSError, OverflowError):
            continue


def route(name, prefix, kind, service, timeout_ms, aim_ms, **more):
    return {"name": name, "host": "h.example", "prefix": prefix, "kind": kind, "timeoutMs": timeout_ms,
            "targetLatencyMs": aim_ms, "priority": 1, "service": service, "maxAttempts": 2,
            "public": True, "sessionAffinity": kind == "stream"} | more


def config(version, routes, service="orders"):
    return {"version": version, "routes": routes,
            "services": [{"name": service, "healthPath": "/health", "maxConnections": 1000, "protocol": "h1",
                          "tls": False, "coldS": 0.0, "coldPerS": 0.0}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}


def play(folder, scenario):
    """Runs `scenario(record, folder for files, routers, trouble)`; ends with its exit code."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    files = tempfile.mkdtemp(prefix="bamboodock-review-")
    routers = []
    code = 2
    try:
        code = asyncio.run(asyncio.wait_for(scenario(record, files, routers, trouble), 110))
    except Exception as error:  # The case could not run.
        record.say(f"could not run: {type(error).__name__}: {error}")
    finally:
        for router in routers:
            router.stop()
        record.say(f"exit code {code}, trouble {'on' if trouble else 'off'}")
        record.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", files)
        else:
            shutil.rmtree(files, ignore_errors=True)
    os._exit(code)
