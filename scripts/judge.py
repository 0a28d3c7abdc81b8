"""Background load, job submission, and the invariant check over the ledgers that
backend servers keep."""

import http.client
import random
import threading
import time

from fleet import call, wait


class Load:
    """Background callers that send plain and keyed requests. A keyed request is
    retried, possibly at another entry VM, until its outcome is known."""

    def __init__(self, fleet, seed, threads=6, service="preorder", domain=None, keyed=0.4, pause=0.05):
        self.fleet = fleet
        self.service = service
        self.domain = domain
        self.keyed = keyed
        self.pause = pause
        self.running = True
        self.lock = threading.Lock()
        self.answers = 0
        self.violations = []
        self.not_run = []
        self.not_run_keys = []
        self.unknown = 0
        self.interrupted = []
        self.last_answer = time.monotonic()
        self.longest_gap = 0.0
        self.healthy = []
        threading.Thread(target=self.poll_health, daemon=True).start()
        self.threads = [
            threading.Thread(target=self.caller, args=(i, random.Random(seed * 100 + i)), daemon=True)
            for i in range(threads)
        ]
        for t in self.threads:
            t.start()

    def pick_entry(self, rng):
        """Returns a random entry VM that passed its last health check, as a load
        balancer would choose it, or None."""
        choice = self.healthy
        return rng.choice(choice) if choice else None

    def poll_health(self):
        """Checks the health of every entry VM each 300 ms, as a load balancer does. A VM
        that does not respond within 0.5 s gets no requests until it passes again."""
        while self.running:
            self.healthy = [e for e in self.fleet.entries(self.domain) if self.is_healthy(e)]
            time.sleep(0.3)

    def is_healthy(self, entry):
        try:
            return call(self.fleet.http(entry), "GET", "/healthz", timeout=0.5)[0] == 200
        except (OSError, KeyError):
            return False

    def caller(self, number, rng):
        n = 0
        while self.running:
            n += 1
            text = f"caller {number} order {n}"
            try:
                if rng.random() < self.keyed:
                    self.send_keyed(rng, text, f"k{number}-{n}")
                else:
                    self.send_plain(rng, text)
            except Exception as e:  # a defect of the harness must be reported too
                self.violations.append(f"harness: {e!r}")
            time.sleep(self.pause)

    def exchange(self, entry, headers, text):
        vm = self.fleet.vms_by_id.get(entry)
        if vm is None:
            raise OSError("the VM has been removed")
        host, port = vm["http"].rsplit(":", 1)
        conn = http.client.HTTPConnection(host, int(port), timeout=6)
        try:
            conn.request("POST", f"/v1/serve/{self.service}", text.encode(), headers)
            answer = conn.getresponse()
            return answer.status, answer.read().decode(), dict(answer.getheaders())
        finally:
            conn.close()

    def record_answer(self, text, body):
        now = time.monotonic()
        with self.lock:
            self.answers += 1
            self.longest_gap = max(self.longest_gap, now - self.last_answer)
            self.last_answer = now
            if f'"echo":"{text}"' not in body:
                self.violations.append(f"response to another request: {text!r} got {body}")

    def send_plain(self, rng, text):
        entry = self.pick_entry(rng)
        if entry is None:
            time.sleep(0.1)
            return
        idempotent = rng.random() < 0.5
        headers = {"x-idempotent": "1"} if idempotent else {}
        try:
            status, body, reply_headers = self.exchange(entry, headers, text)
        except (OSError, http.client.HTTPException) as e:
            with self.lock:
                self.interrupted.append(f"{entry}: {e!r}")
            return
        if status == 200:
            self.record_answer(text, body)
        elif status == 503:
            with self.lock:
                self.not_run.append(reply_headers.get("x-request-id"))
        else:
            with self.lock:
                self.unknown += 1

    def send_keyed(self, rng, text, key):
        first_outcome = None
        for _ in range(40):
            entry = self.pick_entry(rng)
            if entry is None:
                time.sleep(0.2)
                continue
            headers = {"idempotency-key": key}
            try:
                status, body, reply_headers = self.exchange(entry, headers, text)
            except (OSError, http.client.HTTPException) as e:
                with self.lock:
                    self.interrupted.append(f"{entry}: {e!r}")
                continue
            outcome = reply_headers.get("x-outcome")
            if status == 200:
                self.record_answer(text, body)
                if first_outcome not in (None, "answer"):
                    self.violations.append(f"{key}: outcome changed from {first_outcome} to an answer")
                return
            if outcome == "not_run":
                if "home of the key" in body:
                    time.sleep(0.2)
                    continue
                with self.lock:
                    self.not_run_keys.append(key)
                return
            if outcome == "unknown":
                with self.lock:
                    self.unknown += 1
                return
            time.sleep(0.1)
        self.violations.append(f"{key}: no outcome after 40 attempts")

    def stop(self):
        self.running = False
        for t in self.threads:
            t.join(timeout=30)


class Jobs:
    """Submits jobs and records which of them were accepted."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.accepted = {}
        self.pending = {}
        self.refused = []
        self.lost_ledgers = []

    def submit(self, entry, name, kind="bake-plan", tasks=2, domain=None):
        headers = {"x-domain": domain} if domain else {}
        body = {"id": name, "team": "kitchen", "kind": kind, "tasks": tasks}
        try:
            status, answer = call(self.fleet.http(entry), "POST", "/v1/jobs", body, headers, timeout=8)
        except OSError:
            self.pending[name] = (tasks, domain)
            return "no answer"
        if status == 201:
            self.accepted[name] = (tasks, domain)
        elif status == 202:
            self.pending[name] = (tasks, domain)
        else:
            self.refused.append(name)
        return answer.get("outcome", status)

    def finished(self, name):
        tasks, domain = self.accepted.get(name) or self.pending[name]
        headers = {"x-domain": domain} if domain else {}
        for entry in self.fleet.entries():
            try:
                status, answer = call(self.fleet.http(entry), "GET", f"/v1/jobs/{name}", None, headers)
            except OSError:
                continue
            if status == 200:
                return answer["phases"].get("finished", 0) == tasks
        return False

    def wait(self, seconds=60):
        for name in list(self.accepted):
            wait(f"job {name} to finish", lambda: self.finished(name), seconds)


def ledger_entries(fleet, crashed_entries=()):
    """Returns the ledger entries of all servers in order of time. `crashed_entries`
    holds the entries of servers that have crashed."""
    entries = list(crashed_entries)
    for vm_id in fleet.backends():
        if fleet.procs[vm_id].poll() is None:
            entries += [dict(e, server=vm_id) for e in fleet.ledger(vm_id)]
    return sorted(entries, key=lambda e: e["at"])


def find_violations(fleet, load=None, crashed_entries=(), crashed=()):
    """Returns a description of each violation of the invariants in the ledgers."""
    violations = []
    open_runs, finished, started, keys, request_ids = {}, {}, set(), {}, set()
    for e in ledger_entries(fleet, crashed_entries):
        task, attempt, server = e["id"], e["attempt"], e["server"]
        what = e["what"]
        if what == "start":
            if (task, attempt) in started:
                violations.append(f"{task} attempt {attempt} started twice")
            started.add((task, attempt))
            if task in open_runs and open_runs[task] not in crashed:
                violations.append(f"{task} ran on {open_runs[task]} and on {server} at the same time")
            if task in finished and finished[task] not in crashed:
                violations.append(f"{task} started again after finishing on {finished[task]}")
            open_runs[task] = server
        elif what in ("finish", "fail", "stop", "lapse"):
            if open_runs.get(task) == server:
                del open_runs[task]
            if what == "finish":
                finished[task] = server
        elif what == "request":
            request_ids.add(task.rsplit(".", 2)[0])
            if e["key"]:
                if e["key"] in keys:
                    violations.append(f"{e['key']} executed on {keys[e['key']]} and on {server}")
                keys[e["key"]] = server
        elif what == "overcommit":
            violations.append(f"{server} committed more than its size: {e['committed']}")
        elif what == "overslot":
            violations.append(f"{server} got more requests than it has slots")
    if load:
        violations += load.violations
        violations += [f"{i} was reported as not run, but ran" for i in load.not_run if i in request_ids]
        violations += [f"{k} was reported as not run, but ran" for k in load.not_run_keys if f"request:{k}" in keys]
    return violations
