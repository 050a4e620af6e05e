"""Runs the Nilemark example: a request to a cascade, a label issue and a lot lookup."""

import json
import os
import subprocess
import sys
import tempfile
import time

from deployment import ROOT, Deployment, call

API_KEY = "demo-nilemark-franchise-desk"
HEADERS = {"Authorization": f"Bearer {API_KEY}", "Content-Type": "application/json"}
BASE_PORT = 7000
TIMELINE_TIMEOUT_S = 20
TIMELINE_POLL_INTERVAL_S = 0.1


def run_operator_program(deployment, program, *arguments):
    """Runs an operator program against the first entry; returns its output.

    Raises RuntimeError with the output when the program fails.
    """
    binary = os.path.join(deployment.build, f"bamboodock-{program}")
    result = subprocess.run([binary, *arguments, f"--entry={deployment.operator_address()}"],
                            capture_output=True, text=True, check=False)
    if result.returncode != 0:
        raise RuntimeError(f"bamboodock-{program} {arguments[0]} failed with exit code "
                           f"{result.returncode}: {result.stdout}{result.stderr}")
    return result.stdout


def request_cascade(deployment):
    request = {"model": "catch-auto", "stream": True, "max_tokens": 12,
               "metadata": {"kind": "origin-declaration"},
               "messages": [{"role": "user", "content": "Draft the origin declaration of lot 17."}]}
    status, headers, body = call("POST", f"{deployment.caller_url()}/v1/chat/completions",
                                 json.dumps(request), HEADERS)
    text = ""
    for line in body.splitlines():
        if line.startswith("data: {"):
            choices = json.loads(line[len("data: "):]).get("choices") or [{}]
            text += choices[0].get("delta", {}).get("content") or ""
    print(f"cascade catch-auto: status {status}, version {headers.get('X-Bamboodock-Version')}, "
          f"cost {headers.get('X-Bamboodock-Cost-Micros', 'in the ledger')} micros")
    print(f"  answer: {text}")
    if status != 200 or "data: [DONE]" not in body:
        raise RuntimeError("streamed answer incomplete: expected status 200 and data: [DONE], "
                           f"got status {status}: {body}")


def issue_label(deployment):
    url = f"{deployment.caller_url()}/services/label-core/labels"
    headers = {**HEADERS, "Idempotency-Key": "demo-label-1"}
    for description in ("label issue", "same key again"):
        status, answer_headers, body = call("POST", url, json.dumps({"outlet": "suez-3"}), headers)
        print(f"{description}: status {status}, "
              f"run {answer_headers.get('X-Bamboodock-Run')}, {body}")
        if status != 200:
            raise RuntimeError(f"{description}: expected status 200, got {status}")


def query_lot(deployment):
    status, _, body = call("GET", f"{deployment.caller_url()}/services/label-core/lots/17",
                           headers=HEADERS)
    print(f"lot lookup: status {status}, {body}")
    if status != 200:
        raise RuntimeError(f"lot lookup: expected status 200, got {status}")


def first_request_id(deployment):
    """Returns the id of the first request, which is the one to the cascade.

    The event request_accepted identifies it, because whether a cascade checks its answer depends
    on its first step. The timeline duty publishes events periodically, so the query is repeated
    until the event appears.
    """
    deadline = time.monotonic() + TIMELINE_TIMEOUT_S
    while time.monotonic() < deadline:
        timeline = json.loads(run_operator_program(deployment, "query", "timeline", "--json"))
        for event in timeline["events"]:
            if event["name"] == "request_accepted":
                return event["request"]
        time.sleep(TIMELINE_POLL_INTERVAL_S)
    raise RuntimeError(f"no request_accepted event in the timeline within {TIMELINE_TIMEOUT_S} s")


def print_addresses(deployment):
    for index in range(deployment.entry_count):
        print(f"entry-{index + 1}: callers {deployment.caller_url(index)}, "
              f"operators {deployment.operator_address(index)}")
    print(f"API key: {API_KEY}")


def main():
    keep = "--keep" in sys.argv[1:]
    unknown = [argument for argument in sys.argv[1:] if argument != "--keep"]
    if unknown:
        print(f"unknown argument {unknown[0]}; the only option is --keep", file=sys.stderr)
        return 2
    logs = tempfile.mkdtemp(prefix="bamboodock-")
    with Deployment(os.path.join(ROOT, "examples", "nilemark.json"), BASE_PORT,
                    log_dir=logs) as deployment:
        deployment.start()
        print(run_operator_program(deployment, "ctl", "publish", deployment.set_path).strip())
        deployment.wait_until_ready()
        request_cascade(deployment)
        issue_label(deployment)
        query_lot(deployment)
        print(run_operator_program(deployment, "query", "timeline",
                                   f"--request={first_request_id(deployment)}").rstrip())
        if keep:
            print_addresses(deployment)
            input("Press Enter to stop.\n")
        codes = deployment.stop()
    failed = {name: code for name, code in codes.items() if code != 0}
    print(f"stopped {len(codes)} processes, {len(failed)} with a failure {failed or ''}".rstrip())
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
