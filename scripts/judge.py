"""Callers, jobs and the verdict by the ledgers that backend servers keep."""

import http.client
import random
import threading
import time

from fleet import call, wait


class Load:
    """Callers in the background: plain requests and keyed ones, which are
    repeated at other entry VMs until their outcome is known."""

    def __init__(self, fleet, seed, threads=6, service="preorder", domain=None, keyed=0.4, pause=0.05):
        self.fleet = fleet
        self.service = service
        self.domain = domain
        self.keyed = keyed
        self.pause = pause
        self.running = True
        self.lock = threading.Lock()
        self.answers = 0
        self.faults = []
        self.not_run = []
        self.not_run_keys = []
        self.unknown = 0
        self.cut = []
        self.last_answer = time.monotonic()
        self.longest_gap = 0.0
        self.healthy = []
        threading.Thread(target=self.check_health, daemon=True).start()
        self.threads = [
            threading.Thread(target=self.caller, args=(i, random.Random(seed * 100 + i)), daemon=True)
            for i in range(threads)
        ]
        for t in self.threads:
            t.start()

    def entry(self, rng):
        """What the balancer would choose: a VM whose last health check passed."""
        choice = self.healthy
        return rng.choice(choice) if choice else None

    def check_health(self):
        """The balancer: a check every 300 ms, and half a second without an answer
        takes a VM out."""
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
                    self.one_keyed(rng, text, f"k{number}-{n}")
                else:
                    self.one(rng, text)
            except Exception as e:  # a fault of the harness must not pass unseen
                self.faults.append(f"harness: {e!r}")
            time.sleep(self.pause)

    def exchange(self, entry, headers, text):
        vm = self.fleet.vms_by_id.get(entry)
        if vm is None:
            raise OSError("the VM is gone")
        host, port = vm["http"].rsplit(":", 1)
        conn = http.client.HTTPConnection(host, int(port), timeout=6)
        try:
            conn.request("POST", f"/v1/serve/{self.service}", text.encode(), headers)
            answer = conn.getresponse()
            return answer.status, answer.read().decode(), dict(answer.getheaders())
        finally:
            conn.close()

    def note_answer(self, text, body):
        now = time.monotonic()
        with self.lock:
            self.answers += 1
            self.longest_gap = max(self.longest_gap, now - self.last_answer)
            self.last_answer = now
            if f'"echo":"{text}"' not in body:
                self.faults.append(f"answer to another request: {text!r} got {body}")

    def one(self, rng, text):
        entry = self.entry(rng)
        if entry is None:
            time.sleep(0.1)
            return
        idempotent = rng.random() < 0.5
        headers = {"x-idempotent": "1"} if idempotent else {}
        try:
            status, body, head = self.exchange(entry, headers, text)
        except (OSError, http.client.HTTPException) as e:
            with self.lock:
                self.cut.append(f"{entry}: {e!r}")
            return
        if status == 200:
            self.note_answer(text, body)
        elif status == 503:
            with self.lock:
                self.not_run.append(head.get("x-request-id"))
        else:
            with self.lock:
                self.unknown += 1

    def one_keyed(self, rng, text, key):
        first = None
        for _ in range(40):
            entry = self.entry(rng)
            if entry is None:
                time.sleep(0.2)
                continue
            headers = {"idempotency-key": key}
            try:
                status, body, head = self.exchange(entry, headers, text)
            except (OSError, http.client.HTTPException) as e:
                with self.lock:
                    self.cut.append(f"{entry}: {e!r}")
                continue
            outcome = head.get("x-outcome")
            if status == 200:
                self.note_answer(text, body)
                if first not in (None, "answer"):
                    self.faults.append(f"{key}: outcome {first} became an answer")
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
        self.faults.append(f"{key}: no outcome after 40 repetitions")

    def stop(self):
        self.running = False
        for t in self.threads:
            t.join(timeout=30)


class Jobs:
    """Submits jobs and remembers which were accepted."""

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


def ledgers(fleet, lost=()):
    """Every line of every server, also of those that are gone."""
    lines = list(lost)
    for vm_id in fleet.backends():
        if fleet.procs[vm_id].poll() is None:
            lines += [dict(e, server=vm_id) for e in fleet.ledger(vm_id)]
    return sorted(lines, key=lambda e: e["at"])


def verdict(fleet, load=None, lost=(), died=()):
    """What the ledgers say against the invariants; empty where nothing."""
    faults = []
    open_runs, finished, started, keys, ids = {}, {}, set(), {}, set()
    for e in ledgers(fleet, lost):
        task, attempt, server = e["id"], e["attempt"], e["server"]
        what = e["what"]
        if what == "start":
            if (task, attempt) in started:
                faults.append(f"{task} attempt {attempt} started twice")
            started.add((task, attempt))
            if task in open_runs and open_runs[task] not in died:
                faults.append(f"{task} ran on {open_runs[task]} and on {server} at once")
            if task in finished and finished[task] not in died:
                faults.append(f"{task} started again after it had finished on {finished[task]}")
            open_runs[task] = server
        elif what in ("finish", "fail", "stop", "lapse"):
            if open_runs.get(task) == server:
                del open_runs[task]
            if what == "finish":
                finished[task] = server
        elif what == "request":
            ids.add(task.rsplit(".", 2)[0])
            if e["key"]:
                if e["key"] in keys:
                    faults.append(f"{e['key']} executed on {keys[e['key']]} and on {server}")
                keys[e["key"]] = server
        elif what == "overcommit":
            faults.append(f"{server} committed beyond its size: {e['committed']}")
        elif what == "overslot":
            faults.append(f"{server} got more requests than it has slots")
    if load:
        faults += load.faults
        faults += [f"{i} was said not to have run, and ran" for i in load.not_run if i in ids]
        faults += [f"{k} was said not to have run, and ran" for k in load.not_run_keys if f"request:{k}" in keys]
    return faults
