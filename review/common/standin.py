"""Stand-ins of the platform for the scripts of this review: store, workers, clients, links.

They follow PROTOCOL.md. Where it is silent they do what a sound store, worker or client does.
Python's standard library only; all addresses are loopback addresses; one process.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qsl, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BINARY = os.path.join(ROOT, "target", "release", "oriolerudder")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "prints.example"
MAX_RECORD_BYTES = 262144
MAX_CALL_BYTES = 2097152
HOLD_MAX_MS = 10000
STOP_MS = 200
PING_MS = 1100
KEEP_RECORDS = 20000


def now_ms():
    return time.monotonic_ns() // 1_000_000


def unix_ms():
    return time.time_ns() // 1_000_000


class Record:
    """record.txt: what was sent, answered and run; times in ms from the start."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.begin = now_ms()

    def __call__(self, what, /, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{now_ms() - self.begin:7d} {what} {text}\n")


# --- HTTP -------------------------------------------------------------------------------------


async def read_message(reader):
    """Reads one request or response; None at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


def encode_response(status, body, kind="application/json"):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    head = f"HTTP/1.1 {status} X\r\ncontent-type: {kind}\r\ncontent-length: {len(body)}\r\n\r\n"
    return head.encode() + body


async def serve_http(address, handler, net, name):
    """Serves `handler(method, target, headers, body)`, which returns a response or None.

    While `net` has cut the caller off from `name`, nothing passes; what was held up is lost.
    """

    async def channel(reader, writer):
        caller = net.who(writer.get_extra_info("peername"), writer.get_extra_info("sockname"))
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                if await net.blocked(caller, name):
                    break
                method, target, _ = message[0].split(" ", 2)
                response = await handler(method, target, message[1], message[2])
                if response is None or await net.blocked(caller, name):
                    break
                writer.write(response)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(channel, address, 0, limit=8 << 20)
    return server, server.sockets[0].getsockname()[1]


async def call(address, method, path, headers=(), body=b"", limit=3.0):
    """Sends one request on a channel of its own. Returns (status, body); (0, why) if there is
    no answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers]
            lines += [f"content-length: {len(body)}", "", ""]
            writer.write("\r\n".join(lines).encode() + body)
            message = await read_message(reader)
            if message is None:
                return 0, b"channel broken"
            return int(message[0].split(" ")[1]), message[2]
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), limit)
    except asyncio.TimeoutError:
        return 0, b"no answer"
    except OSError as error:
        return 0, str(error).encode()


# --- links ------------------------------------------------------------------------------------


class Net:
    """Which parts are cut off from which: parts on different sides exchange nothing."""

    def __init__(self):
        self.vms = {}
        self.side = {}
        self.cut = False

    def apart(self, a, b):
        return self.cut and self.side.get(a, "") != self.side.get(b, "")

    async def blocked(self, a, b):
        """Waits for the end of a cut between two parts; returns whether there was one."""
        was = self.apart(a, b)
        while self.apart(a, b):
            await asyncio.sleep(0.02)
        return was

    def who(self, peer, own):
        """Returns the name of the VM whose process has opened a channel; None for others."""
        inode = tcp_inode(peer, own)
        for name, vm in self.vms.items():
            if inode and vm.has_socket(inode):
                return name
        return None


def tcp_inode(peer, own):
    """Returns the inode of the socket at the other end of a channel on this machine."""

    def key(address):
        packed = struct.unpack("=I", socket.inet_aton(address[0]))[0]
        return f"{packed:08X}:{address[1]:04X}"

    with open("/proc/net/tcp") as table:
        for line in table:
            words = line.split()
            if words[1] == key(peer) and words[2] == key(own):
                return words[9]
    return None


async def tcp_link(address, port, target, net, name):
    """Passes channels on to `target` unless the caller is cut off from `name`."""

    async def pump(reader, writer, caller):
        try:
            while data := await reader.read(65536):
                if await net.blocked(caller, name):
                    break
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        writer.close()

    async def channel(reader, writer):
        caller = net.who(writer.get_extra_info("peername"), writer.get_extra_info("sockname"))
        await net.blocked(caller, name)
        try:
            far_reader, far_writer = await asyncio.open_connection(*target)
        except OSError:
            writer.close()
            return
        await asyncio.gather(pump(reader, far_writer, caller), pump(far_reader, writer, caller))

    return await asyncio.start_server(channel, address, port)


class UdpLink(asyncio.DatagramProtocol):
    """Passes datagrams on to `target` unless the sender is cut off from `name`."""

    def __init__(self, target, net, name):
        self.target, self.net, self.name = target, net, name

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, source):
        sender = next((n for n, vm in self.net.vms.items() if vm.address == source[0]), None)
        if not self.net.apart(sender, self.name):
            self.transport.sendto(data, self.target)


# --- the platform's store ---------------------------------------------------------------------


class Topic:
    def __init__(self):
        self.records, self.first, self.newest, self.writers = [], 0, {}, {}

    def end(self):
        return self.first + len(self.records)

    def add(self, key, value):
        if value:
            self.newest[key] = (value, self.end())
        else:
            self.newest.pop(key, None)
        self.records.append((key, value))
        if len(self.records) > KEEP_RECORDS:
            del self.records[0]
            self.first += 1


class Store:
    def __init__(self, record, net):
        self.record, self.net, self.topics = record, net, {}

    async def open(self):
        self.changed = asyncio.Event()
        self.server, self.port = await serve_http("127.0.0.1", self.handle, self.net, "store")

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        self.topic(topic).add(key, value)
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def value(self, topic, key):
        return self.topic(topic).newest.get(key, (b"", 0))[0]

    async def handle(self, method, target, headers, body):
        parts = urlsplit(target)
        query = dict(parse_qsl(parts.query))
        await asyncio.sleep(0.004)
        topic = self.topic(query.get("topic", ""))
        if parts.path == "/log-append":
            return self.append(topic, query, body)
        if parts.path == "/log-newest":
            return self.newest_page(topic, query.get("depends_on", ""))
        if parts.path == "/log-read":
            return await self.read(topic, int(query["from"]), int(query.get("wait_ms", "0")))
        return encode_response(404, {})

    def append(self, topic, query, body):
        records, rest = [], body
        while rest:
            (length,) = struct.unpack(">I", rest[:4])
            record, rest = rest[4 : 4 + length], rest[4 + length :]
            if length > MAX_RECORD_BYTES:
                key = record[1 : 1 + record[0]].decode()
                self.record("store_refuses", key=key, bytes=length, most=MAX_RECORD_BYTES)
                return encode_response(413, {})
            records.append((record[1 : 1 + record[0]].decode(), record[1 + record[0] :]))
        if len(body) > MAX_CALL_BYTES:
            self.record("store_refuses", call_bytes=len(body), most=MAX_CALL_BYTES)
            return encode_response(413, {})
        writer = None
        if "producer" in query:
            epoch, seq = int(query["epoch"]), int(query["seq"])
            writer = topic.writers.setdefault(query["producer"], {"epoch": -1})
            if epoch < writer["epoch"]:
                return encode_response(409, {"reason": "fenced", "epoch": writer["epoch"]})
            if epoch == writer["epoch"]:
                if seq in writer["answers"]:
                    return encode_response(200, writer["answers"][seq])
                if seq != writer["next"]:
                    return encode_response(409, {"reason": "seq", "seq": writer["next"]})
        if "at" in query and int(query["at"]) != topic.end():
            return encode_response(412, {"end": topic.end()})
        offset = topic.end()
        for key, value in records:
            topic.add(key, value)
        answer = {"offset": offset, "end": topic.end()}
        if writer is not None:
            if writer["epoch"] != epoch:
                writer.update(epoch=epoch, answers={})
            writer["next"] = seq + 1
            writer["answers"][seq] = answer
            writer["answers"] = dict(list(writer["answers"].items())[-5:])
        self.wake()
        return encode_response(200, answer)

    def newest_page(self, topic, after):
        items, size, more = [], 0, False
        for key in sorted(key for key in topic.newest if key > after):
            value, offset = topic.newest[key]
            if len(items) == 500 or (items and size + len(value) > 1_000_000):
                more = True
                break
            size += len(value)
            value = base64.b64encode(value).decode()
            items.append({"key": key, "value": value, "offset": offset})
        return encode_response(200, {"items": items, "has_more": more, "end": topic.end()})

    async def read(self, topic, start, wait):
        until = now_ms() + wait
        while topic.end() <= start and now_ms() < until:
            try:
                await asyncio.wait_for(self.changed.wait(), (until - now_ms()) / 1000)
            except asyncio.TimeoutError:
                pass
        if start < topic.first:
            return encode_response(410, {"first": topic.first})
        body = struct.pack(">QQ", topic.end(), topic.first)
        for key, value in topic.records[start - topic.first :]:
            content = bytes([len(key)]) + key.encode() + value
            body += struct.pack(">I", len(content)) + content
        return encode_response(200, body, "application/octet-stream")


# --- workers ----------------------------------------------------------------------------------


class Book:
    """All runs on all workers, to check the rules by."""

    def __init__(self, record):
        self.record = record
        self.running = {}
        self.last_ran = {}
        self.overlaps, self.failed = [], {}
        self.starts = 0

    def started(self, task, run, worker):
        self.starts += 1
        others = dict(self.running.get(task, {}))
        self.record("run_begins", task=task, run=run, worker=worker, others=others or "none")
        if others:
            self.overlaps.append((now_ms(), task, worker, others))
        self.running.setdefault(task, {})[worker] = run

    def ended(self, task, run, worker, how):
        self.record("run_ends", task=task, run=run, worker=worker, how=how)
        self.running.get(task, {}).pop(worker, None)
        self.last_ran[task] = now_ms()
        if how == "failed":
            self.failed[task] = self.failed.get(task, 0) + 1


class Worker:
    """A worker. `spec` of a job is JSON: "ms" is the duration of the tasks of each step (0: they
    last), "cpu" and "mem_mb" what each takes."""

    def __init__(self, name, zone, service, store, book, net, record, cpu=16000, tail=None):
        self.name, self.zone, self.service = name, zone, service
        self.store, self.book, self.net, self.record = store, book, net, record
        self.cpu, self.up, self.seq = cpu, False, 0
        self.tail = tail or (lambda worker, task: 10)
        self.labels = ["a", f"r-{zone}"]
        self.silent_since = None

    async def open(self):
        self.server, self.port = await serve_http("127.0.0.1", self.handle, self.net, self.name)
        self.start()
        self.loop = asyncio.create_task(self.tick())

    def start(self):
        self.born, self.booted = unix_ms(), now_ms()
        self.token, self.deadline, self.number = 0, 0, 0
        self.runs, self.highest, self.finished = {}, {}, []
        self.up = True
        self.pinged = 0

    def crash(self):
        self.record("worker_crashes", worker=self.name, runs=len(self.runs))
        for task, run in list(self.runs.items()):
            self.book.ended(task, run["run"], self.name, "lost_with_worker")
        self.runs, self.up = {}, False

    def restart(self):
        self.start()
        self.record("worker_back", worker=self.name, born=self.born)

    def clock(self):
        return now_ms() - self.booted + 1

    def ping(self):
        """Writes the worker's entry; without a path to the store it expires after three pings."""
        key = "keyed.servers", self.name
        reaches = self.up and not self.net.apart(self.name, "store")
        if reaches:
            self.silent_since = None
            if now_ms() < self.pinged + PING_MS:
                return
            self.pinged, self.seq = now_ms(), self.seq + 1
            entry = {
                "service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone,
                "version": "1", "slots": 64, "state": "ready", "cold_remaining_ms": 0,
                "seq": self.seq, "capacity": {"cpu": self.cpu, "mem_mb": 64000, "gpu": 0},
                "labels": self.labels, "born": self.born,
            }
            if not self.store.value(*key) or self.entry_born != self.born:
                self.entry_born = self.born
                self.store.put(*key, json.dumps(entry).encode())
        else:
            self.silent_since = self.silent_since or now_ms()
            if now_ms() > self.silent_since + 3 * PING_MS and self.store.value(*key):
                self.store.put(*key, b"")
                self.record("entry_expires", worker=self.name)

    async def tick(self):
        while True:
            await asyncio.sleep(0.02)
            self.ping()
            if not self.up:
                continue
            lapsed = self.deadline <= self.clock()
            for task, run in list(self.runs.items()):
                if lapsed:
                    self.end(task, "lapsed")
                elif run["stop_at"] and now_ms() >= run["stop_at"]:
                    self.end(task, "stopped")
                elif run["ms"] and now_ms() >= run["began"] + run["ms"]:
                    self.end(task, "done")

    def end(self, task, how):
        run = self.runs.pop(task)
        self.highest[task] = max(run["run"], self.highest.get(task, 0))
        self.number += 1
        self.finished.append([self.number, task, run["run"], how, ""])
        self.book.ended(task, run["run"], self.name, how)

    def lease(self, deadline):
        if deadline is not None:
            self.deadline = max(self.deadline, min(deadline, self.clock() + HOLD_MAX_MS))

    def refuse(self, reason):
        return encode_response(409, {"clock_ms": self.clock(), "reason": reason})

    async def handle(self, method, target, headers, body):
        if not self.up:
            return None
        if headers.get("expect-instance", self.name) != self.name:
            return encode_response(421, {})
        order = json.loads(body)
        if order.get("fencing_token", 0) < self.token:
            self.record("fenced", worker=self.name, call=target, token=order.get("fencing_token"))
            return self.refuse("fence")
        self.token = order.get("fencing_token", 0)
        if target == "/run-start":
            return self.run_start(order)
        if target == "/run-stop":
            task, run = order["task"], self.runs.get(order["task"])
            if run and run["run"] <= order["run_id"] and not run["stop_at"]:
                run["stop_at"] = now_ms() + STOP_MS
            self.highest[task] = max(order["run_id"], self.highest.get(task, 0))
            return encode_response(200, {"clock_ms": self.clock()})
        if target == "/pace":
            return encode_response(200, {"clock_ms": self.clock()})
        if target == "/hold":
            return await self.hold(order)
        return encode_response(404, {})

    def run_start(self, order):
        task, run_id = order["task"], order["run_id"]
        if order["deadline_ms"] <= self.clock():
            return self.refuse("late")
        self.lease(order["deadline_ms"])
        if task in self.runs and self.runs[task]["run"] == run_id:
            return encode_response(200, {"clock_ms": self.clock()})
        if task in self.runs or run_id <= self.highest.get(task, 0):
            return self.refuse("old")
        spec = json.loads(order["spec"])
        step = int(task.split(".")[2])
        used = sum(run["cpu"] for run in self.runs.values())
        if used + spec["cpu"][step] > self.cpu:
            return self.refuse("room")
        self.runs[task] = {
            "run": run_id, "ms": spec["ms"][step], "cpu": spec["cpu"][step],
            "began": now_ms(), "stop_at": 0, "token": order["fencing_token"],
        }
        self.book.started(task, f"{run_id}/token{order['fencing_token']}", self.name)
        return encode_response(200, {"clock_ms": self.clock()})

    async def hold(self, order):
        born = self.born
        self.lease(order.get("deadline_ms"))
        self.finished = [row for row in self.finished if row[0] > order["ack_cursor"]]
        until = now_ms() + min(order.get("wait_ms", 0), 2000)
        while now_ms() < until and not self.finished and self.up and self.born == born:
            await asyncio.sleep(0.01)
        if not self.up or self.born != born:
            return None
        running = []
        for task, run in self.runs.items():
            age = now_ms() - run["began"]
            percent = min(99, 100 * age // run["ms"]) if run["ms"] else (100 if age > 300 else 0)
            figure = run["cpu"] if run["ms"] else self.tail(self, task)
            running.append([task, run["run"], "", percent, figure])
        answer = {
            "clock_ms": self.clock(), "born": self.born, "running": running,
            "finished": self.finished[:500],
        }
        return encode_response(200, answer)


# --- the system's own processes ---------------------------------------------------------------


def free_port(address):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


class Vm:
    """An entry VM: the process of the deploy file with settings as its template renders them."""

    def __init__(self, name, zone, index, world, share=0.25, linked=False):
        self.name, self.zone, self.world = name, zone, world
        pid = os.getpid()
        self.address = f"127.{64 + (pid >> 8) % 64}.{pid & 255}.{10 + index}"
        self.front = self.address, free_port(self.address)
        self.health = self.address, free_port(self.address)
        self.peers = self.address, free_port(self.address)
        self.share, self.linked = share, linked
        self.link = f"127.{64 + (pid >> 8) % 64}.{pid & 255}.{100 + index}", self.peers[1]
        self.process = None

    async def open_link(self):
        net = self.world.net
        self.tcp = await tcp_link(*self.link, self.peers, net, self.name)
        loop = asyncio.get_running_loop()
        protocol = UdpLink(self.peers, net, self.name)
        await loop.create_datagram_endpoint(lambda: protocol, local_addr=self.link)

    async def start(self):
        if self.linked:
            await self.open_link()
        text = "\n".join([
            "[entry]", f"vm = {self.name}", f"domain = {self.zone}", "region = r",
            "callers = %s:%d" % self.front, "health = %s:%d" % self.health,
            "peers = %s:%d" % self.peers,
            "announce = %s:%d" % self.link if self.linked else "",
            "[platform]", f"store = 127.0.0.1:{self.world.store.port}",
            "[vm]", f"share = {self.share}", "cores = 1",
            "[bounds]", f"hold-ms = {HOLD_MAX_MS}", "remote = 1.5", "restore-ms = 600",
            "impact-ms = 4000", "grace-s = 6", "",
        ])
        path = os.path.join(self.world.folder, f"{self.name}.ini")
        with open(path, "w") as file:
            file.write(text)
        self.log = os.path.join(self.world.folder, f"{self.name}.log")
        environment = {
            "PATH": os.environ.get("PATH", ""), "HOME": self.world.folder,
            "ORIOLERUDDER_CONFIG": path, "ASYNC_STD_THREAD_COUNT": "1",
        }
        self.process = subprocess.Popen(
            [BINARY, "serve"], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
            stdout=open(self.log, "a"), stderr=subprocess.STDOUT,
        )
        self.world.net.vms[self.name] = self

    def has_socket(self, inode):
        folder = f"/proc/{self.process.pid}/fd"
        try:
            for entry in os.listdir(folder):
                if os.readlink(os.path.join(folder, entry)) == f"socket:[{inode}]":
                    return True
        except OSError:
            pass
        return False

    def kill(self):
        self.process.kill()
        self.process.wait()
        self.world.record("vm_lost", vm=self.name)

    def alive(self):
        return self.process is not None and self.process.poll() is None


class World:
    """Store, workers, VMs and clients of one script."""

    def __init__(self, here):
        self.record = Record(os.path.join(here, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="oriolerudder-review-")
        self.net = Net()
        self.store = Store(self.record, self.net)
        self.book = Book(self.record)
        self.vms, self.workers = [], []
        self.version = 0
        self.last_state = {}

    async def open(self, vms, workers, **worker_options):
        """`vms`: (name, zone, share); `workers`: (name, zone). Waits until every VM serves."""
        await self.store.open()
        self.publish()
        for name, zone in workers:
            worker = Worker(name, zone, "press", self.store, self.book, self.net, self.record,
                            **worker_options)
            await worker.open()
            self.workers.append(worker)
        linked = bool(self.net.side)
        for index, (name, zone, share) in enumerate(vms):
            vm = Vm(name, zone, index, self, share, linked)
            self.vms.append(vm)
            await vm.start()
        for vm in self.vms:
            for _ in range(200):
                status, _ = await self.ask(vm, "GET", "/jobs/")
                if status == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise RuntimeError(f"{vm.name} doesn't serve")
        self.record("all_serve", vms=len(self.vms), workers=len(self.workers))

    def publish(self):
        self.version += 1
        manifest = {
            "version": self.version,
            "routes": [{
                "name": "jobs", "host": HOST, "path_prefix": "/jobs/", "service": "press",
                "priority": 1, "max_attempts": 3, "stretch": 2.0, "target_latency_ms": 1000,
            }],
            "services": [{"name": "press", "health_path": "/health", "rejects_overload": True}],
            "limits": {"max_body_bytes": 262144},
        }
        self.store.put("keyed.op", "config", json.dumps(manifest).encode())

    def leader(self):
        """The VM that the newest record of the owner names."""
        owner = self.store.value("keyed.cell", "owner")
        return next((vm for vm in self.vms if vm.name.encode() in owner), None)

    async def ask(self, vm, method, path, body=b""):
        headers = [("host", HOST), ("deadline-ms", "3000"), ("content-type", "application/json")]
        return await call(vm.front, method, path, headers, body, 3.0)

    async def submit(self, vm, job, steps, spec):
        body = json.dumps({"spec": json.dumps(spec), "steps": steps}).encode()
        return await self.request(vm, "POST", job, body)

    async def request(self, vm, method, job, body=b""):
        sent = now_ms()
        status, text = await self.ask(vm, method, f"/jobs/{job}", body)
        self.record("client", method=method, job=job, vm=vm.name, status=status,
                    answer=text.decode()[:80], ms=now_ms() - sent)
        return status, text

    async def state(self, vm, job):
        status, text = await self.request(vm, "GET", job)
        return json.loads(text).get("state") if status == 200 else f"status {status}"

    def close(self):
        for vm in self.vms:
            if vm.alive():
                vm.process.send_signal(signal.SIGCONT)
                vm.process.kill()
                vm.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def main(here, case):
    """Runs `case(world)`, which returns the broken rules as a list of lines."""
    if not os.access(BINARY, os.X_OK):
        print(f"{BINARY} isn't built")
        sys.exit(2)
    world = World(here)
    world.record("begin", trouble=int(TROUBLE))
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    code = 2
    try:
        loop = asyncio.new_event_loop()
        broken = loop.run_until_complete(asyncio.wait_for(case(world), 112))
        for line in broken:
            world.record("BROKEN", what=line)
        code = 1 if broken else 0
    except BaseException as error:  # The case couldn't run.
        world.record("could_not_run", why=repr(error))
        print(repr(error))
    finally:
        world.close()
    world.record("end", exit=code)
    print({0: "held", 1: "BROKEN", 2: "could not run"}[code], flush=True)
    # The loop's channels need no closing.
    os._exit(code)
