"""Runs a small deployment on loopback and prints a table of results.

Usage: demo.py BUILD_DIR. Exits with status 0 when every check passed.
"""

import http.client
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROLES = ("gateway", "scheduler", "admin")
VMS = 3
OPERATOR = "operator-token"
EXAMPLES = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "examples")
# Required time limit for a configuration change to be in force on every instance.
CONFIG_LIMIT_S = 4.0


def read_example(name):
    """Reads an example document. Only comments that take a whole line are supported."""
    with open(os.path.join(EXAMPLES, name), encoding="utf-8") as file:
        return json.loads(re.sub(r"(?m)^\s*//.*$", "", file.read()))


def free_ports(count):
    """Returns free ports below the ephemeral range, so that no outgoing connection can occupy one before its use."""
    ports = []
    candidate = 10000 + os.getpid() * 101 % 20000
    while len(ports) < count:
        candidate += 1
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", candidate))
            except OSError:
                continue
        ports.append(candidate)
    return ports


def address(port):
    return f"127.0.0.1:{port}"


def call(port, method, path, body=None, headers=None, timeout=30):
    """Sends a request on a new connection and returns (status, headers, body)."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read().decode()
    finally:
        connection.close()


def wait_for(condition, limit_s):
    """Returns the seconds until `condition` became true, or None after the limit."""
    start = time.monotonic()
    while time.monotonic() - start < limit_s:
        if condition():
            return time.monotonic() - start
        time.sleep(0.01)
    return None


class Demo:
    def __init__(self, build):
        self.build = build
        self.folder = tempfile.TemporaryDirectory(prefix="hickorystall-demo-")
        self.processes = {}
        self.rows = []
        self.next_quote = 0
        self.config = read_example("cluster.json")
        instances = VMS * len(ROLES)
        ports = free_ports(3 + 2 * instances + len(self.config["inventory"]["vms"]))
        self.platform = ports.pop()
        self.executor_control = ports.pop()
        self.worker_control = ports.pop()
        self.http = {(role, vm): ports.pop() for vm in range(1, VMS + 1) for role in ROLES}
        self.peer = {key: ports.pop() for key in self.http}
        self.target_ports = ports

    def record(self, what, passed, detail):
        self.rows.append((what, passed, detail))
        print(f"  {'ok' if passed else 'FAILED':6} {what}: {detail}", flush=True)

    def start(self, name, program, arguments):
        with open(os.path.join(self.folder.name, name + ".log"), "ab") as log:
            self.processes[name] = subprocess.Popen(
                [os.path.join(self.build, program), *arguments], stdout=log, stderr=log)

    def stop_all(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.folder.cleanup()

    def cli(self, port, token, *arguments, workspace=None):
        command = [os.path.join(self.build, "hickorystall"), "--endpoint", address(port), "--token", token]
        if workspace is not None:
            command += ["--workspace", workspace]
        return subprocess.run(command + list(arguments), capture_output=True, text=True, timeout=60, check=False)

    def run_as_workspace(self, vm, workspace, *arguments):
        return self.cli(self.http["gateway", vm], workspace + "-token", *arguments, workspace=workspace)

    def start_targets(self):
        executors, workers = [], []
        for vm in self.config["inventory"]["vms"]:
            port = self.target_ports.pop()
            vm["address"] = address(port)
            if vm["kind"] == "executor":
                executors += ["--listen", address(port)]
            else:
                workers += ["--worker", f"{vm['name']}={address(port)}"]
        self.start("platform", "standin-platform", ["--listen", address(self.platform)])
        self.start("executors", "standin-executor", ["--control", address(self.executor_control), *executors])
        self.start("workers", "standin-worker", ["--control", address(self.worker_control), *workers])

    def start_instances(self):
        seeds = [address(self.peer[role, 1]) for role in ROLES]
        for (role, vm), port in self.http.items():
            settings = read_example(role + ".json")
            settings.update({
                "instance": f"{role}-{vm}", "vm": f"entry-{vm}", "failure_domain": f"fd-{vm}",
                "listen": address(port), "platform": {"endpoint": address(self.platform)},
                "peer_listen": address(self.peer[role, vm]), "seeds": seeds})
            path = os.path.join(self.folder.name, f"{role}-{vm}.json")
            with open(path, "w", encoding="utf-8") as file:
                json.dump(settings, file, indent=2)
            self.start(f"{role}-{vm}", "hickorystall-" + role, ["--settings", path])

    def apply(self, base):
        path = os.path.join(self.folder.name, f"cluster-{base + 1}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.config, file, indent=2)
        return self.cli(self.http["admin", 1], OPERATOR, "apply", path, "--base", str(base))

    def ready_version(self, port):
        """Returns the configuration version in force on an instance, or 0 when it is not ready."""
        try:
            status, _, body = call(port, "GET", "/ready", timeout=2)
            return json.loads(body)["config_version"] if status == 200 else 0
        except OSError:
            return 0

    def all_have(self, version):
        return all(self.ready_version(port) >= version for port in self.http.values())

    def start_cluster(self):
        self.start_targets()
        self.start_instances()

        def is_live(port):
            try:
                return call(port, "GET", "/live", timeout=2)[0] == 200
            except OSError:
                return False

        if wait_for(lambda: all(is_live(port) for port in self.http.values()), 20) is None:
            raise RuntimeError("an instance did not start")
        applied = self.apply(0)
        elapsed = wait_for(lambda: self.all_have(1), 20)
        passed = applied.returncode == 0 and elapsed is not None
        self.record("inventory and rules applied", passed,
                    f"{len(self.http)} instances ready" if passed else applied.stdout + applied.stderr)
        return passed

    def send_quote_check(self, connection):
        """Sends a quote check and returns whether the response succeeded and belongs to this request."""
        self.next_quote += 1
        request_id = f"quote-{threading.get_ident()}-{self.next_quote}"
        connection.request("POST", "/v1/requests/quote_check", request_id, {
            "Authorization": "Bearer counter-token", "X-Workspace": "counter", "X-Request-Id": request_id})
        response = connection.getresponse()
        response.read()
        return response.status == 200 and response.getheader("X-Request-Id") == request_id

    def show_quotes(self):
        answered, times = 0, []
        connections = [http.client.HTTPConnection("127.0.0.1", self.http["gateway", vm], timeout=10)
                       for vm in range(1, VMS + 1)]
        for index in range(300):
            start = time.monotonic()
            answered += self.send_quote_check(connections[index % VMS])
            times.append(time.monotonic() - start)
        for connection in connections:
            connection.close()
        times.sort()
        self.record("quote checks", answered == 300,
                    f"{answered} of 300 answered, median {times[150] * 1000:.1f} ms, "
                    f"99th percentile {times[296] * 1000:.1f} ms")

    def show_order(self):
        arguments = ("request", "order", "--key", "order-4711", "--body", "40 boxes of screws")
        first, second = self.run_as_workspace(1, "counter", *arguments), self.run_as_workspace(2, "counter", *arguments)
        log = json.loads(call(self.executor_control, "GET", "/control/log")[2])["entries"]
        runs = sum(entry["kind"] == "order" for entry in log)
        passed = first.returncode == 0 and second.returncode == 0 and first.stdout == second.stdout and runs == 1
        self.record("one order sent twice", passed, f"ran {runs} time(s), same answer from two gateways"
                    if passed else f"ran {runs} time(s): {first.stderr}{second.stderr}")

    def show_gang(self):
        path = os.path.join(self.folder.name, "gang.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump({"kind": "matching_run", "members": 2, "accelerators": 8, "processors": 8,
                       "memory_mib": 1024, "adjacency": "rack", "run_time_ms": 1500}, file)
        submitted = self.run_as_workspace(1, "matching", "submit", path)
        if submitted.returncode != 0:
            self.record("gang of adjacent accelerators", False, submitted.stderr)
            return
        job = json.loads(submitted.stdout)["job"]
        # Any gateway can report on the job, not only the one that accepted it.
        waited = self.run_as_workspace(2, "matching", "wait", job, "--limit-ms", "20000")
        events = json.loads(call(self.worker_control, "GET", "/v1/log")[2])["events"]
        racks = {vm["name"]: vm["rack"] for vm in self.config["inventory"]["vms"]}
        starts = [event for event in events if event["working"]]
        workers = sorted({event["worker"] for event in starts})
        one_rack = len(workers) == 2 and len({racks[name] for name in workers}) == 1
        passed = waited.returncode == 0 and one_rack
        self.record("gang of adjacent accelerators", passed,
                    f"2 x 8 accelerators on {' and '.join(workers)} of {racks[workers[0]]}, finished"
                    if passed else f"workers {workers}: {waited.stdout}{waited.stderr}")

    def show_impossible(self):
        path = os.path.join(self.folder.name, "impossible.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump({"kind": "matching_run", "members": 1, "accelerators": 64, "processors": 8,
                       "memory_mib": 1024, "adjacency": "none", "run_time_ms": 1000}, file)
        refused = self.run_as_workspace(1, "matching", "submit", path)
        reason = " ".join(refused.stderr.split())
        self.record("job that can never run", refused.returncode != 0 and "job_impossible" in reason, reason)

    def show_change(self):
        vms = self.config["inventory"]["vms"]
        vms[0]["drained"] = True
        start = time.monotonic()
        applied = self.apply(1)
        elapsed = wait_for(lambda: self.all_have(2), 20)
        total = time.monotonic() - start
        passed = applied.returncode == 0 and elapsed is not None and total < CONFIG_LIMIT_S
        self.record("inventory changed", passed,
                    f"version 2 in force on {len(self.http)} instances {total * 1000:.0f} ms after the command "
                    "started" if passed else applied.stdout + applied.stderr)

    def show_stop(self):
        """Stops gateway-1 while clients keep sending requests to the gateways whose /ready returns 200."""
        gateways = [self.http["gateway", vm] for vm in range(1, VMS + 1)]
        ready = {port: True for port in gateways}
        done = threading.Event()
        counts = {"answered": 0, "failed": 0}
        lock = threading.Lock()

        def check():
            while not done.is_set():
                for port in gateways:
                    ready[port] = self.ready_version(port) > 0
                time.sleep(0.05)

        def send(turn):
            connections = {}
            while not done.is_set():
                turn += 1
                candidates = [port for port in gateways if ready[port]] or gateways
                port = candidates[turn % len(candidates)]
                if port not in connections:
                    connections[port] = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
                try:
                    key = "answered" if self.send_quote_check(connections[port]) else "failed"
                except (OSError, http.client.HTTPException):
                    key = "failed"
                    connections.pop(port).close()
                with lock:
                    counts[key] += 1

        threads = [threading.Thread(target=check)] + [
            threading.Thread(target=send, args=(index,)) for index in range(6)]
        for thread in threads:
            thread.start()
        time.sleep(0.5)
        before = counts["answered"]
        process = self.processes["gateway-1"]
        process.send_signal(signal.SIGTERM)
        status = process.wait(timeout=30)
        time.sleep(0.3)
        done.set()
        for thread in threads:
            thread.join()
        during = counts["answered"] - before
        self.record("gateway stopped under traffic",
                    status == 0 and counts["failed"] == 0 and during > 0,
                    f"exit status {status}, {during} requests answered meanwhile, {counts['failed']} failed")


def main():
    start = time.monotonic()
    demo = Demo(sys.argv[1])
    try:
        if demo.start_cluster():
            demo.show_quotes()
            demo.show_order()
            demo.show_gang()
            demo.show_impossible()
            demo.show_change()
            demo.show_stop()
    except Exception as error:  # pylint: disable=broad-except
        demo.record("demonstration", False, repr(error))
        for name in demo.processes:
            with open(os.path.join(demo.folder.name, name + ".log"), encoding="utf-8", errors="replace") as log:
                print(f"--- {name}\n{log.read()[-2000:]}")
    finally:
        demo.stop_all()
    passed = all(row[1] for row in demo.rows)
    print(f"\n{'outcome':32} result")
    for what, ok, _ in demo.rows:
        print(f"{what:32} {'held' if ok else 'FAILED'}")
    print(f"{'time':32} {time.monotonic() - start:.1f} s")
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
