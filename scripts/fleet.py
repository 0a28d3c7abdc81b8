"""Runs a fleet as separate processes on loopback, with stubs for the platform.

Used by demo, faults, slopes and compare. The operating system assigns the ports.
"""

import http.client
import json
import os
import re
import signal
import socket
import subprocess
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
DOMAINS = {"leinster-1": "leinster", "leinster-2": "leinster", "munster-1": "munster"}


def binary(name):
    """Returns the path of a built program, from the release profile if RELEASE is set."""
    profile = "release" if os.environ.get("RELEASE") else "debug"
    target = os.environ.get("CARGO_TARGET_DIR", os.path.join(ROOT, "target"))
    return os.path.join(target, profile, name)


def call(addr, method, path, body=None, headers=None, timeout=5.0):
    """Sends an HTTP request and returns (status, decoded body).

    Raises OSError if no response arrives."""
    host, port = addr.rsplit(":", 1)
    conn = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        data = body if isinstance(body, (bytes, type(None))) else json.dumps(body).encode()
        conn.request(method, path, data, headers or {})
        answer = conn.getresponse()
        raw = answer.read()
    except http.client.HTTPException as e:
        raise OSError(f"no response: {e}") from e
    finally:
        conn.close()
    try:
        return answer.status, json.loads(raw)
    except ValueError:
        return answer.status, raw.decode(errors="replace")


def wait(what, check, seconds=20.0, pause=0.05):
    """Polls check() until it returns a true value, and returns that value.

    An OSError in check() counts as not yet; TimeoutError is raised after `seconds`."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            value = check()
            if value:
                return value
        except OSError:
            pass
        time.sleep(pause)
    raise TimeoutError(f"timed out waiting for {what}")


class Relay:
    """Forwards TCP connections to a target and simulates network partitions.

    Mode 'drop' holds back every byte; 'refuse' resets open connections and
    refuses new ones; 'pass' forwards normally."""

    def __init__(self, target):
        self.target = target
        self.mode = "pass"
        self.pairs = []
        self.lock = threading.Lock()
        self.port = None
        self.listen()

    def listen(self):
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Another program may have taken the port while this relay refused connections.
        for attempt in range(200):
            try:
                self.sock.bind(("127.0.0.1", self.port or 0))
                break
            except OSError:
                if attempt == 199:
                    raise
                time.sleep(0.1)
        self.port = self.sock.getsockname()[1]
        self.sock.listen(128)
        threading.Thread(target=self.accept, args=(self.sock,), daemon=True).start()

    @property
    def addr(self):
        return f"127.0.0.1:{self.port}"

    def accept(self, sock):
        while True:
            try:
                client, _ = sock.accept()
            except OSError:
                return
            threading.Thread(target=self.connect, args=(client,), daemon=True).start()

    def connect(self, client):
        while self.mode == "drop":
            time.sleep(0.02)
        try:
            host, port = self.target.rsplit(":", 1)
            server = socket.create_connection((host, int(port)), timeout=5)
            server.settimeout(None)
        except OSError:
            client.close()
            return
        for s in (client, server):
            s.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self.lock:
            self.pairs.append((client, server))
        for a, b in ((client, server), (server, client)):
            threading.Thread(target=self.copy, args=(a, b), daemon=True).start()

    def copy(self, a, b):
        try:
            while data := a.recv(65536):
                while self.mode == "drop":
                    time.sleep(0.02)
                b.sendall(data)
        except OSError:
            pass
        for s in (a, b):
            try:
                s.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def cut(self, mode):
        if mode == self.mode:
            return
        before, self.mode = self.mode, mode
        if mode == "refuse":
            self.sock.shutdown(socket.SHUT_RDWR)
            self.sock.close()
            with self.lock:
                pairs, self.pairs = self.pairs, []
            for pair in pairs:
                for s in pair:
                    try:
                        s.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                        s.shutdown(socket.SHUT_RDWR)
                        s.close()
                    except OSError:
                        pass
        elif before == "refuse":
            self.listen()


class Fleet:
    """The processes of a fleet, with methods that inject faults into them."""

    def __init__(self, entries=2, backends=2, relays=False, timing="", backend_args=(), entry_args=(), domains=None):
        self.dir = tempfile.mkdtemp(prefix="oriolerudder-")
        self.domains = domains or DOMAINS
        self.timing = timing
        self.backend_args = list(backend_args)
        self.entry_args = list(entry_args)
        self.procs = {}
        self.vms_by_id = {}
        self.settings = {}
        self.relays = {} if relays else None
        self.views = {}
        self.log = self.spawn("log", [binary("stub"), "log"])
        self.vm_list = self.spawn("vmlist", [binary("stub"), "vms"])
        for domain in self.domains:
            self.publish_view(domain)
            for i in range(1, backends + 1):
                self.add_backend(f"{domain}-b{i}", domain)
        for domain in self.domains:
            for i in range(1, entries + 1):
                self.add_entry(f"{domain}-e{i}", domain)

    def spawn(self, name, argv):
        env = dict(os.environ, RUST_LOG=os.environ.get("RUST_LOG", "info"))
        log = open(os.path.join(self.dir, f"{name}.log"), "ab")
        proc = subprocess.Popen(argv, stdout=subprocess.PIPE, stderr=log, env=env)
        line = proc.stdout.readline().decode().strip()
        if not line:
            raise RuntimeError(f"{name} did not start, see {log.name}")
        self.procs[name] = proc
        return line

    def register(self, vm):
        self.vms_by_id[vm["id"]] = vm
        call(self.vm_list, "POST", "/v1/vms", vm)
        if self.relays is not None:
            for domain in self.domains:
                self.publish_view(domain)

    def relay(self, domain, target_name, target):
        """Returns the address of the relay through which a domain reaches a VM or a
        platform service, starting the relay if there is none."""
        key = (domain, target_name)
        if key not in self.relays:
            self.relays[key] = Relay(target)
        self.relays[key].target = target
        return self.relays[key].addr

    def publish_view(self, domain):
        """Publishes the relay addresses under which a domain sees the VMs."""
        if self.relays is None:
            return
        body = {"http": {}, "rpc": {}}
        for vm in self.vms_by_id.values():
            body["http"][vm["id"]] = self.relay(domain, vm["id"] + "/http", vm["http"])
            if vm.get("rpc"):
                body["rpc"][vm["id"]] = self.relay(domain, vm["id"] + "/rpc", vm["rpc"])
        status, answer = call(self.vm_list, "POST", f"/v1/views/{domain}", body)
        if domain not in self.views:
            self.views[domain] = answer

    def platform(self, domain):
        if self.relays is None:
            return self.log, self.vm_list
        return (
            self.relay(domain, "log", self.log),
            self.relay(domain, "vmlist", self.views[domain]),
        )

    def add_backend(self, vm_id, domain, rack="r1", cpu=16000, memory=60000, accel=0):
        argv = [binary("stub"), "backend", "--id", vm_id, "--cpu", str(cpu), "--memory", str(memory)]
        argv += ["--accel", str(accel), "--seed", str(len(self.procs))] + self.backend_args
        addr = self.spawn(vm_id, argv)
        self.register({
            "id": vm_id, "kind": "backend", "domain": domain, "region": self.domains[domain],
            "rack": rack, "http": addr, "state": "live",
            "size": {"cpu": cpu, "memory": memory, "accel": accel},
        })

    def add_entry(self, vm_id, domain):
        log, vms = self.platform(domain)
        path = os.path.join(self.dir, f"{vm_id}.ini")
        with open(path, "w") as f:
            f.write(
                f"[entry]\nvm = {vm_id}\ndomain = {domain}\nregion = {self.domains[domain]}\n"
                f"http = 127.0.0.1:0\nrpc = 127.0.0.1:0\n"
                f"[platform]\nlog = {log}\nvms = {vms}\n[timing]\n{self.timing}\n"
            )
        self.settings[vm_id] = path
        self.start_entry(vm_id, domain)

    def start_entry(self, vm_id, domain, addresses=None):
        """Starts the process of an entry VM; `addresses` is an (http, rpc) pair to reuse."""
        path = self.settings[vm_id]
        if addresses:
            text = open(path).read()
            text = re.sub(r"\nhttp = .*", f"\nhttp = {addresses[0]}", text)
            text = re.sub(r"\nrpc = .*", f"\nrpc = {addresses[1]}", text)
            open(path, "w").write(text)
        line = self.spawn(vm_id, [binary("oriolerudder"), "entry", *self.entry_args, path])
        parts = dict(p.split("=") for p in line.split())
        self.register({
            "id": vm_id, "kind": "entry", "domain": domain, "region": self.domains[domain],
            "rack": "entry", "http": parts["http"], "rpc": parts["rpc"], "state": "live",
        })

    def http(self, vm_id):
        return self.vms_by_id[vm_id]["http"]

    def entries(self, domain=None):
        """Returns the ids of the entry VMs whose process is running."""
        alive = lambda vm: vm["id"] in self.procs and self.procs[vm["id"]].poll() is None
        return [
            vm["id"] for vm in list(self.vms_by_id.values())
            if vm["kind"] == "entry" and alive(vm) and domain in (None, vm["domain"])
        ]

    def backends(self, domain=None):
        return [
            vm["id"] for vm in list(self.vms_by_id.values())
            if vm["kind"] == "backend" and domain in (None, vm["domain"])
        ]

    def remove(self, vm_id):
        """Removes a VM from the platform's list."""
        call(self.vm_list, "POST", f"/v1/vms/{vm_id}/remove")
        self.vms_by_id.pop(vm_id, None)

    def leave(self, vm_id):
        call(self.vm_list, "POST", f"/v1/vms/{vm_id}/leave")

    def signal(self, vm_id, number):
        self.procs[vm_id].send_signal(number)

    def kill(self, vm_id):
        self.signal(vm_id, signal.SIGKILL)
        self.procs[vm_id].wait()

    def cut(self, domain, match, mode):
        """Sets the mode of the relays from a domain to the targets whose names satisfy `match`."""
        for (source, name), relay in self.relays.items():
            if source == domain and match(name):
                relay.cut(mode)

    def set_faults(self, addr, **faults):
        status, answer = call(addr, "POST", "/v1/faults", faults)
        assert status == 200, answer

    def ledger(self, vm_id):
        return call(self.http(vm_id), "GET", "/v1/ledger")[1]["entries"]

    def status(self, vm_id):
        return call(self.http(vm_id), "GET", "/v1/status")[1]

    def primary(self, cell, domain):
        """Returns the VM that is the deciding primary of a cell, or None."""
        for vm_id in self.entries(domain):
            try:
                cells = self.status(vm_id)["cells"]
            except OSError:
                continue
            for c in cells:
                if c["cell"] == cell and c["role"] == "primary" and c["deciding"]:
                    return vm_id
        return None

    def publish(self, vm_id, document, base=0):
        return call(self.http(vm_id), "POST", "/v1/config", {"base": base, "document": document})

    def ready(self, document):
        """Publishes a document and waits until it is in force on every entry VM and
        every cell has a deciding primary with a backup."""
        first = self.entries()[0]
        wait("publication", lambda: self.publish(first, document)[0] in (200, 409))
        wait("configuration everywhere",
             lambda: all(self.status(e)["config_version"] >= 1 for e in self.entries()))
        for domain in self.domains:
            wait(f"primary with backup in {domain}", lambda: self.cells_ready(domain), 30)

    def cells_ready(self, domain):
        """Returns whether every cell of a domain has a deciding primary with a backup."""
        if len(self.entries(domain)) < 2:
            return all(self.primary(f"{domain}.{c}", domain) for c in ("r1", "keys-0"))
        cells = {}
        for vm_id in self.entries(domain):
            for c in self.status(vm_id)["cells"]:
                if c["role"] == "primary" and c["deciding"] and c["backup"]:
                    cells[c["cell"]] = vm_id
        return len(cells) >= 5

    def close(self):
        for proc in self.procs.values():
            if proc.poll() is None:
                proc.send_signal(signal.SIGCONT)
                proc.kill()
        for proc in self.procs.values():
            proc.wait()
            proc.stdout.close()
