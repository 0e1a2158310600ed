#!/usr/bin/env python3
"""Measures the resource usage of each role by number of workers, tasks and instances.

Starts the stand-ins and INSTANCES instances of every server program on loopback, applies an inventory of W workers,
submits TASKS single jobs, waits until they run, and then measures for SECONDS: processor time and resident memory of
each process, requests to the table, and all bytes on the loopback interface. Prints one JSON line per size; run several
sizes to derive the growth per worker or task. Run nothing else on the machine, as the loopback counter includes all
traffic.

Usage: measure_capacity.py [--build DIR] [--instances N] [--seconds S] --size WORKERS:TASKS [--size ...]
"""
import argparse
import hashlib
import http.client
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
ROLES = ("gateway", "scheduler", "admin")
OPERATOR_TOKEN = "operator-token"
WORKSPACE_TOKEN = "workspace-token"
TICKS = os.sysconf("SC_CLK_TCK")
PAGE_KB = os.sysconf("SC_PAGE_SIZE") // 1024
WORKERS_PER_RACK = 6
FIRST_PORT = 21000


def sha256(text):
    return hashlib.sha256(text.encode()).hexdigest()


def call(port, method, path, body=None, headers=None, timeout=20):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, response.read().decode()
    finally:
        connection.close()


def wait_until(condition, seconds, what):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if condition():
                return
        except (OSError, http.client.HTTPException):
            pass
        time.sleep(0.1)
    raise RuntimeError(f"timed out: {what}")


def loopback_bytes():
    for line in open("/proc/net/dev"):
        name, _, rest = line.partition(":")
        if name.strip() == "lo":
            return int(rest.split()[0])
    raise RuntimeError("no loopback interface")


def process_usage(pid):
    """Returns (processor seconds, resident KiB)."""
    fields = open(f"/proc/{pid}/stat").read().rpartition(")")[2].split()
    resident = int(open(f"/proc/{pid}/statm").read().split()[1]) * PAGE_KB
    return (int(fields[11]) + int(fields[12])) / TICKS, resident


class Cluster:
    def __init__(self, build, instances, workers, folder):
        self.build = build
        self.folder = folder
        self.processes = {}
        self.port = FIRST_PORT
        self.platform_port = self.next_port()
        self.worker_ports = [self.next_port() for _ in range(workers)]
        self.instances = instances
        self.http_ports = {}
        self.peer_ports = {}
        for index in range(instances):
            for role in ROLES:
                self.http_ports[role, index] = self.next_port()
                self.peer_ports[role, index] = self.next_port()

    def next_port(self):
        self.port += 1
        return self.port

    def start(self, name, arguments):
        log = open(self.folder / f"{name}.log", "wb")
        self.processes[name] = subprocess.Popen(arguments, stdout=log, stderr=log)

    def stop(self):
        for process in reversed(list(self.processes.values())):
            process.send_signal(signal.SIGKILL)
            process.wait()

    def settings(self, role, index):
        seeds = [f"127.0.0.1:{port}" for key, port in self.peer_ports.items() if key != (role, index)]
        return {
            "instance": f"{role}-{index}",
            "vm": f"entry-{index}",
            "failure_domain": "fd-1",
            "region": "region-1",
            "listen": f"127.0.0.1:{self.http_ports[role, index]}",
            "peer_listen": f"127.0.0.1:{self.peer_ports[role, index]}",
            "seeds": seeds,
            "platform": {"endpoint": f"127.0.0.1:{self.platform_port}"},
            "operator_token_sha256": sha256(OPERATOR_TOKEN),
        }

    def config(self):
        workers = len(self.worker_ports)
        racks = (workers + WORKERS_PER_RACK - 1) // WORKERS_PER_RACK
        return {
            "inventory": {
                "failure_domains": ["fd-1"],
                "racks": [{"name": f"rack-{i}", "failure_domain": "fd-1"} for i in range(racks)],
                "vms": [
                    {
                        "name": f"w{i}",
                        "address": f"127.0.0.1:{port}",
                        "rack": f"rack-{i // WORKERS_PER_RACK}",
                        "kind": "worker",
                        "processors": 64,
                        "memory_mib": 131072,
                        "accelerators": 1,
                    }
                    for i, port in enumerate(self.worker_ports)
                ],
                "workspaces": [{"name": "team", "token_sha256": sha256(WORKSPACE_TOKEN), "guarantees": []}],
            },
            "rules": {"kinds": [{"name": "task", "kind": "job"}]},
        }

    def run(self):
        self.start("platform", [f"{self.build}/standin-platform", *self.platform_arguments()])
        workers_per_process = 100
        for first in range(0, len(self.worker_ports), workers_per_process):
            arguments = [f"{self.build}/standin-worker", "--control", f"127.0.0.1:{self.next_port()}"]
            for i in range(first, min(first + workers_per_process, len(self.worker_ports))):
                arguments += ["--worker", f"w{i}=127.0.0.1:{self.worker_ports[i]}"]
            self.start(f"workers-{first}", arguments)
        wait_until(lambda: call(self.platform_port, "GET", "/control")[0] == 200, 10, "platform")
        for (role, index) in self.http_ports:
            path = self.folder / f"{role}-{index}.json"
            path.write_text(json.dumps(self.settings(role, index)))
            self.start(f"{role}-{index}", [f"{self.build}/hickorystall-{role}", "--settings", str(path)])
        wait_until(lambda: call(self.http_ports["admin", 0], "GET", "/live")[0] == 200, 10, "admin")
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        status, body = call(self.http_ports["admin", 0], "PUT", "/v1/config?base=0", json.dumps(self.config()), headers)
        if status not in (200, 201):
            raise RuntimeError(f"configuration refused: {status} {body}")
        for port in self.http_ports.values():
            wait_until(lambda port=port: call(port, "GET", "/ready")[0] == 200, 20, "ready")

    def platform_arguments(self):
        return ["--listen", f"127.0.0.1:{self.platform_port}"]

    def headers(self, key=None):
        headers = {"Authorization": f"Bearer {WORKSPACE_TOKEN}", "X-Workspace": "team"}
        if key:
            headers["Idempotency-Key"] = key
        return headers

    def submit(self, tasks):
        body = json.dumps({"kind": "task", "processors": 1, "memory_mib": 64, "run_time_ms": 3600000})
        started = time.monotonic()
        for i in range(tasks):
            port = self.http_ports["gateway", i % self.instances]
            status, response_body = call(port, "POST", "/v1/jobs", body, self.headers(f"job-{i}"))
            if status != 202:
                raise RuntimeError(f"job refused: {status} {response_body}")
        submitted = time.monotonic() - started
        wait_until(lambda: self.running() >= tasks, 180, f"{tasks} tasks running")
        return submitted, time.monotonic() - started

    def running(self):
        _, text = call(self.http_ports["gateway", 0], "GET", "/v1/jobs", None, self.headers())
        return sum(1 for job in json.loads(text)["jobs"] if job["state"] == "running")

    def table_counts(self):
        return json.loads(call(self.platform_port, "GET", "/control")[1])

    def measure(self, seconds):
        before = {name: process_usage(process.pid) for name, process in self.processes.items()}
        counts_before, bytes_before, started = self.table_counts(), loopback_bytes(), time.monotonic()
        time.sleep(seconds)
        elapsed = time.monotonic() - started
        counts, total = self.table_counts(), loopback_bytes() - bytes_before
        result = {"loopback_bytes_per_s": round(total / elapsed)}
        for key, value in counts.items():
            if isinstance(value, (int, float)) and isinstance(counts_before.get(key), (int, float)):
                result[f"table_{key}_per_s"] = round((value - counts_before[key]) / elapsed, 2)
        for role in ROLES:
            used = [(process_usage(p.pid), before[n]) for n, p in self.processes.items() if n.startswith(f"{role}-")]
            cores = [100 * (after[0] - start[0]) / elapsed for after, start in used]
            result[f"{role}_core_percent_max"] = round(max(cores), 2)
            result[f"{role}_core_percent_mean"] = round(sum(cores) / len(cores), 2)
            result[f"{role}_resident_mib_max"] = round(max(after[1] for after, _ in used) / 1024, 1)
        return result


def measure_size(options, workers, tasks):
    with tempfile.TemporaryDirectory() as name:
        cluster = Cluster(options.build, options.instances, workers, pathlib.Path(name))
        try:
            cluster.run()
            submitted, running = cluster.submit(tasks) if tasks else (0, 0)
            time.sleep(options.settle)
            result = {"instances": options.instances, "workers": workers, "tasks": tasks}
            if tasks:
                result["submit_s"], result["all_running_s"] = round(submitted, 2), round(running, 2)
            result.update(cluster.measure(options.seconds))
            return result
        except RuntimeError as error:
            for log in sorted(pathlib.Path(name).glob("*.log")):
                tail = log.read_text(errors="replace").splitlines()[-3:]
                print(f"{log.name}: " + " | ".join(tail), file=sys.stderr)
            raise error
        finally:
            cluster.stop()


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", default=str(ROOT / "build"))
    parser.add_argument("--instances", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--settle", type=float, default=5)
    parser.add_argument("--size", action="append", required=True, help="WORKERS:TASKS")
    options = parser.parse_args()
    for size in options.size:
        workers, tasks = (int(part) for part in size.split(":"))
        print(json.dumps(measure_size(options, workers, tasks)), flush=True)


if __name__ == "__main__":
    main()
