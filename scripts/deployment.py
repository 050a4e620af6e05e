"""Runs a deployment on loopback: stand-ins, sidecars and entries."""

import json
import os
import signal
import subprocess
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PLATFORM_PORT_OFFSET = 900
UPSTREAM_PORT_OFFSET = 1000
READY_TIMEOUT_S = 30
SIGNING_KEY = "loopback-demonstration-key"


def call(method, url, body=None, headers=None, timeout=30):
    """Sends one HTTP request; returns (status, headers, body text), also for error statuses."""
    data = body.encode() if isinstance(body, str) else body
    request = urllib.request.Request(url, data=data, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, dict(response.headers), response.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read().decode()


class Deployment:
    """Processes of one deployment; as a context manager it stops them on exit."""

    def __init__(self, set_path, base_port, entries=3, build="build", log_dir=None):
        with open(set_path, encoding="utf-8") as file:
            self.objects = json.load(file)
        self.set_path = set_path
        self.base_port = base_port
        self.entry_count = entries
        self.build = os.path.join(ROOT, build)
        self.log_dir = log_dir
        self.processes = {}

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()

    def caller_url(self, index=0):
        return f"http://127.0.0.1:{self.base_port + 10 * index + 11}"

    def operator_address(self, index=0):
        return f"127.0.0.1:{self.base_port + 10 * index + 12}"

    def rpc_address(self, index):
        return f"127.0.0.1:{self.base_port + 10 * index + 13}"

    def platform_address(self):
        return f"127.0.0.1:{self.base_port + PLATFORM_PORT_OFFSET}"

    def start(self):
        """Starts every process; waits until the platform and every entry answer /healthz."""
        self.spawn("platform", "standin", "--role=platform", f"--listen={self.platform_address()}")
        self.wait_until_healthy("platform", f"http://{self.platform_address()}/healthz")
        for endpoint in self.objects["endpoints"]:
            self.start_endpoint(endpoint)
        for index in range(self.entry_count):
            self.start_entry(index)
        for index in range(self.entry_count):
            self.wait_until_healthy(f"entry-{index + 1}", f"{self.caller_url(index)}/healthz")

    def start_endpoint(self, endpoint):
        port = int(endpoint["address"].rsplit(":", 1)[1])
        upstream = f"127.0.0.1:{port + UPSTREAM_PORT_OFFSET}"
        name = endpoint["id"]
        role = [f"--role={endpoint['kind']}", f"--listen={upstream}", "--threads=64"]
        if endpoint["kind"] == "engine":
            role += [f"--versions={self.version_flag(endpoint)}", "--batch=48", "--cold_limit=8",
                     "--first_token_ms=60", "--token_ms=5"]
        self.spawn(f"{name}-upstream", "standin", *role)
        entries = ",".join(self.rpc_address(index) for index in range(self.entry_count))
        self.spawn(name, "sidecar", f"--endpoint={name}", f"--listen={endpoint['address']}",
                   f"--upstream={upstream}", f"--entries={entries}",
                   f"--platform={self.platform_address()}", "--connections=96", "--runners=64")

    def version_flag(self, endpoint):
        versions_by_id = {version["id"]: version for version in self.objects["versions"]}
        return ",".join(f"{name}:{versions_by_id[name].get('quality', 0.8)}:5"
                        for name in endpoint["versions"])

    def start_entry(self, index):
        zones = self.objects["availability_zones"]
        peers = ",".join(f"entry-{other + 1}={self.rpc_address(other)}/"
                         f"{self.operator_address(other)}"
                         for other in range(self.entry_count) if other != index)
        self.spawn(f"entry-{index + 1}", "entry", f"--host=entry-{index + 1}",
                   f"--availability_zone={zones[index % len(zones)]['id']}",
                   f"--callers={self.caller_url(index)[len('http://'):]}",
                   f"--operators={self.operator_address(index)}",
                   f"--rpc={self.rpc_address(index)}",
                   f"--peers={peers}", f"--platform={self.platform_address()}",
                   f"--signing_key={SIGNING_KEY}")

    def spawn(self, name, binary, *flags):
        log = subprocess.DEVNULL
        if self.log_dir:
            log = open(os.path.join(self.log_dir, f"{name}.log"), "ab")
        self.processes[name] = subprocess.Popen(
            [os.path.join(self.build, f"bamboodock-{binary}"), *flags], stdout=log, stderr=log)

    def wait_until_healthy(self, name, url):
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            if self.processes[name].poll() is not None:
                raise RuntimeError(f"{name} exited before {url} answered, with code "
                                   f"{self.processes[name].returncode}")
            try:
                if call("GET", url, timeout=2)[0] == 200:
                    return
            except OSError:
                pass
            time.sleep(0.05)
        raise RuntimeError(f"{name}: no status 200 from {url} within {READY_TIMEOUT_S} s")

    def wait_until_ready(self):
        """Waits until every entry is ready and reports every endpoint as up at its own epoch."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        expected_endpoints = len(self.objects["endpoints"])
        while time.monotonic() < deadline:
            entries_ready = []
            for index in range(self.entry_count):
                status = json.loads(
                    call("GET", f"http://{self.operator_address(index)}/queries/status")[2])
                ready = call("GET", f"{self.caller_url(index)}/readyz")[0] == 200
                up = [e for e in status["endpoints"]
                      if e["state"] == "up" and e["epoch"] == status["epoch"] and e["limit"] > 0]
                entries_ready.append(ready and len(up) == expected_endpoints)
            if all(entries_ready):
                return
            time.sleep(0.1)
        raise RuntimeError(f"not every entry is ready with {expected_endpoints} endpoints within "
                           f"{READY_TIMEOUT_S} s")

    def stop(self):
        """Stops entries, then sidecars, then stand-ins; returns the exit codes by process name."""
        groups = [[n for n in self.processes if n.startswith("entry-")],
                  [e["id"] for e in self.objects["endpoints"]], list(self.processes)]
        codes = {}
        for group in groups:
            running = [name for name in group if name in self.processes and name not in codes]
            for name in running:
                self.processes[name].send_signal(signal.SIGTERM)
            for name in running:
                codes[name] = self.wait(name)
        self.processes = {}
        return codes

    def wait(self, name):
        """Waits up to 45 s for the process to exit, then kills it; returns its exit code."""
        try:
            return self.processes[name].wait(timeout=45)
        except subprocess.TimeoutExpired:
            self.processes[name].kill()
            return self.processes[name].wait()
