"""Demonstration of the Nilemark example: a cascade, a label issue and a lot lookup."""

import json
import os
import subprocess
import sys
import tempfile
import time

from deployment import ROOT, Site, call

API_KEY = "demo-nilemark-franchise-desk"
HEADERS = {"Authorization": f"Bearer {API_KEY}", "Content-Type": "application/json"}
BASE_PORT = 7000
TIMELINE_WAIT_S = 20
TIMELINE_POLL_S = 0.1


def operate(site, program, *arguments):
    """Runs an operator program against the first entry; returns its output."""
    binary = os.path.join(site.build, f"bamboodock-{program}")
    result = subprocess.run([binary, *arguments, f"--entry={site.operator()}"],
                            capture_output=True, text=True, check=False)
    if result.returncode != 0:
        raise RuntimeError(f"{program} {arguments[0]} failed: {result.stdout}{result.stderr}")
    return result.stdout


def ask_cascade(site):
    question = {"model": "catch-auto", "stream": True, "max_tokens": 12,
                "metadata": {"kind": "origin-declaration"},
                "messages": [{"role": "user", "content": "Draft the origin declaration of lot 17."}]}
    status, headers, body = call("POST", f"{site.caller()}/v1/chat/completions",
                                 json.dumps(question), HEADERS)
    text = ""
    for line in body.splitlines():
        if line.startswith("data: {"):
            choices = json.loads(line[len("data: "):]).get("choices") or [{}]
            text += choices[0].get("delta", {}).get("content") or ""
    print(f"cascade catch-auto: status {status}, version {headers.get('X-Bamboodock-Version')}, "
          f"cost {headers.get('X-Bamboodock-Cost-Micros', 'in the ledger')} micros")
    print(f"  answer: {text}")
    if status != 200 or "data: [DONE]" not in body:
        raise RuntimeError("the streamed answer is not complete")


def issue_label(site):
    url = f"{site.caller()}/services/label-core/labels"
    headers = {**HEADERS, "Idempotency-Key": "demo-label-1"}
    for attempt in ("label issue", "same key again"):
        status, answer_headers, body = call("POST", url, json.dumps({"outlet": "suez-3"}), headers)
        print(f"{attempt}: status {status}, run {answer_headers.get('X-Bamboodock-Run')}, {body}")
        if status != 200:
            raise RuntimeError("the label was not issued")


def look_up_lot(site):
    status, _, body = call("GET", f"{site.caller()}/services/label-core/lots/17", headers=HEADERS)
    print(f"lot lookup: status {status}, {body}")
    if status != 200:
        raise RuntimeError("the lot was not found")


def first_request(site):
    """Id of the first request, the one to the cascade.

    Whether a cascade has its answer checked depends on the step that it begins with, so the request
    is found by its acceptance. The timeline duty publishes its events at an interval, so the first
    queries may not show them yet.
    """
    deadline = time.monotonic() + TIMELINE_WAIT_S
    while time.monotonic() < deadline:
        timeline = json.loads(operate(site, "query", "timeline", "--json"))
        for event in timeline["events"]:
            if event["name"] == "request_accepted":
                return event["request"]
        time.sleep(TIMELINE_POLL_S)
    raise RuntimeError(f"no request_accepted event in the timeline within {TIMELINE_WAIT_S} s")


def print_addresses(site):
    for index in range(site.entry_count):
        print(f"entry-{index + 1}: callers {site.caller(index)}, operators {site.operator(index)}")
    print(f"API key: {API_KEY}")


def main():
    keep = "--keep" in sys.argv[1:]
    unknown = [argument for argument in sys.argv[1:] if argument != "--keep"]
    if unknown:
        print(f"unknown argument {unknown[0]}; only --keep is known", file=sys.stderr)
        return 2
    logs = tempfile.mkdtemp(prefix="bamboodock-")
    with Site(os.path.join(ROOT, "examples", "nilemark.json"), BASE_PORT, log_dir=logs) as site:
        site.start()
        print(operate(site, "ctl", "publish", site.set_path).strip())
        site.await_ready()
        ask_cascade(site)
        issue_label(site)
        look_up_lot(site)
        print(operate(site, "query", "timeline", f"--request={first_request(site)}").rstrip())
        if keep:
            print_addresses(site)
            input("Press Enter to stop.\n")
        codes = site.stop()
    failed = {name: code for name, code in codes.items() if code != 0}
    print(f"stopped {len(codes)} processes, {len(failed)} with a failure {failed or ''}".rstrip())
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
