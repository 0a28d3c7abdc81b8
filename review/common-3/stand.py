"""Stand-ins of the users' platform for the cases of review 3: the store, workers, clients, and the
entry processes themselves. They follow PROTOCOL.md; every address is on loopback."""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
BINARY = os.path.join(ROOT, "target", "release", "oriolerudder")
TEMPLATE = os.path.join(ROOT, "deploy", "settings.ini")
STORE = "store"
# Bounds of the small sites.
HOLD_MAX_MS = 10_000
STOP_MS = 200
GANG_MS = 3_000
LATE_RETRY_S = 5.0
HEARTBEAT_S = 1.5


class CannotRun(Exception):
    """The case could not run; it says nothing about the rule."""


def mono():
    """Steady time in milliseconds."""
    return int(time.monotonic() * 1000)


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()
        self.broken = []

    def note(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()

    def breaks(self, text):
        self.broken.append(text)
        self.note("BROKEN " + text)


# Below the range from which the system takes ports for outgoing connections.
PORTS = range(12_000, 32_000)
taken_ports = set()


def free_port():
    """A port that is free for TCP and UDP."""
    for _ in range(500):
        port = random.choice(PORTS)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind(("127.0.0.1", port))
        except OSError:
            continue
        if port not in taken_ports:
            taken_ports.add(port)
            return port
    raise CannotRun("no free port")


# HTTP --------------------------------------------------------------------------------------------

PHRASES = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request", 503: "Service Unavailable"}
SILENT = object()
RESET = object()


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


class HttpServer:
    """Calls `handler(method, path, query, headers, body)`, which returns a status and a body, SILENT for a
    call that gets no answer, or RESET."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.port = None
        self.connections = set()

    async def open(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(" ", 2)
                body = await read_body(reader, headers)
                url = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
                answer = await self.handler(method, url.path, query, headers, body)
                if answer is RESET:
                    writer.transport.abort()
                    return
                if answer is SILENT:
                    # The call gets no answer; the caller gives it up.
                    await reader.read(1)
                    return
                status, content = answer
                if not isinstance(content, bytes):
                    content = json.dumps(content).encode()
                head = (f"HTTP/1.1 {status} {PHRASES.get(status, 'Status')}\r\n"
                        f"content-type: application/json\r\ncontent-length: {len(content)}\r\n\r\n")
                writer.write(head.encode() + content)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def reset(self):
        """Resets all connections, as the end of the process does."""
        for writer in list(self.connections):
            writer.transport.abort()

    async def close(self):
        if self.server:
            self.server.close()
        self.reset()


async def call(port, method, path, host="x", body=None, headers=None, timeout=3.0):
    """One request on a channel of its own. Returns status and body, (None, reason) without an answer."""
    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            content = json.dumps(body).encode() if body is not None and not isinstance(body, bytes) else body
            content = content or b""
            lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Content-Length: {len(content)}"]
            if content and "content-type" not in (headers or {}):
                lines.append("Content-Type: application/json")
            lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + content)
            line, answer_headers = await read_head(reader)
            content = await read_body(reader, answer_headers)
            return int(line.split(" ")[1]), content
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as e:
        return None, type(e).__name__


# The store ---------------------------------------------------------------------------------------


class Endpoint:
    """The store as one entry reaches it."""

    def __init__(self, store, name):
        self.store, self.name = store, name
        self.mode = None
        self.http = HttpServer(self.handle)

    async def handle(self, method, path, query, headers, body):
        """`mode` is None, or a function of the call that returns None (it is handled), "busy", "silent",
        "lost" (done and not answered), or the seconds after which it is done without an answer."""
        mode = self.mode(path) if self.mode else None
        if mode is None:
            return await self.store.handle(method, path, query, headers, body)
        if mode == "busy":
            return 503, {}
        if mode == "silent":
            return SILENT
        if mode == "lost":
            await self.store.handle(method, path, query, headers, body)
            return SILENT

        async def later():
            await asyncio.sleep(mode)
            answer = await self.store.handle(method, path, query, headers, body)
            self.store.record.note(f"store: {self.name} {path} {query} done {mode:.1f} s late: {answer[0]}")
        asyncio.ensure_future(later())
        return SILENT


class Store:
    """The platform's log. It loses nothing that it has acknowledged, and its answers are linearizable."""

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.producers = {}
        self.changed = asyncio.Event()
        self.append_s = 0.004

    def topic(self, name):
        return self.topics.setdefault(name, [])

    def append(self, name, records):
        log = self.topic(name)
        first = len(log)
        log.extend(records)
        self.changed.set()
        self.changed = asyncio.Event()
        return {"offset": first, "end": len(log)}

    def put(self, name, key, value):
        """Writes as the operator and the workers do."""
        key = key.encode()
        self.append(name, [bytes([len(key)]) + key + value])

    def newest(self, name):
        items = {}
        for offset, record in enumerate(self.topic(name)):
            key, value = record[1:1 + record[0]], record[1 + record[0]:]
            if value:
                items[key] = (value, offset)
            else:
                items.pop(key, None)
        return items

    async def handle(self, method, path, query, headers, body):
        name = query.get("topic", "")
        if method == "POST" and path == "/log-append":
            await asyncio.sleep(self.append_s)
            return self.log_append(name, query, body)
        if method == "GET" and path == "/log-newest":
            await asyncio.sleep(0.004)
            after = query.get("depends_on", "").encode()
            items = sorted((k, v) for k, v in self.newest(name).items() if k > after)
            page = [{"key": k.decode(), "value": base64.b64encode(v).decode(), "offset": o}
                    for k, (v, o) in items[:500]]
            return 200, {"items": page, "has_more": len(items) > 500, "end": len(self.topic(name))}
        if method == "GET" and path == "/log-read":
            await asyncio.sleep(0.004)
            return 200, await self.log_read(name, int(query["from"]), int(query.get("wait_ms", "0")))
        return 404, {}

    def log_append(self, name, query, body):
        records, at = [], 0
        while at < len(body):
            size = struct.unpack(">I", body[at:at + 4])[0]
            records.append(body[at + 4:at + 4 + size])
            at += 4 + size
        end = len(self.topic(name))
        writer = None
        if "producer" in query:
            writer = self.producers.setdefault((name, query["producer"]),
                                               {"epoch": -1, "seq": None, "recent": []})
            epoch, seq = int(query["epoch"]), int(query.get("seq", "0"))
            if epoch < writer["epoch"]:
                return 409, {"reason": "fenced", "epoch": writer["epoch"]}
            if epoch == writer["epoch"]:
                for known, answer in writer["recent"]:
                    if known == seq:
                        return 200, answer
                if seq != writer["seq"] + 1:
                    return 409, {"reason": "seq", "seq": writer["seq"] + 1}
        if "at" in query and int(query["at"]) != end:
            return 412, {"end": end}
        answer = self.append(name, records)
        if writer is not None:
            if epoch > writer["epoch"]:
                writer["recent"] = []
            writer["epoch"], writer["seq"] = epoch, seq
            writer["recent"] = (writer["recent"] + [(seq, answer)])[-5:]
        return 200, answer

    async def log_read(self, name, start, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        while start >= len(self.topic(name)) and time.monotonic() < until:
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        log = self.topic(name)
        out, size = [struct.pack(">QQ", len(log), 0)], 0
        for record in log[start:]:
            size += len(record)
            if size > 1_000_000:
                break
            out.append(struct.pack(">I", len(record)) + record)
        return b"".join(out)


# Workers -----------------------------------------------------------------------------------------


class Life:
    """One life of a worker; a crash loses it."""

    def __init__(self, number):
        self.number = number
        self.born = int(time.time() * 1000)
        self.booted = mono()
        self.token = 0
        self.lease = 0
        self.runs = {}
        self.highest = {}
        self.finished = []
        self.ends = 0
        self.acked = 0
        self.event = asyncio.Event()

    def clock(self):
        return 1 + mono() - self.booted

    def wake(self):
        self.event.set()
        self.event = asyncio.Event()


class Worker:
    """A worker, which keeps its id and address over its lives."""

    def __init__(self, fleet, name, cpu, rack):
        self.fleet, self.name, self.cpu, self.rack = fleet, name, cpu, rack
        self.record = fleet.record
        self.http = HttpServer(self.handle)
        # The path to it, which is announced: a proxy that may keep a call and deliver it late.
        self.path = HttpServer(self.carry)
        self.port = None
        self.life = None
        self.lives = 0
        self.seq = 0
        self.late = None
        self.late_retries = False
        self.cut = False
        # Calls that the proxy is delivering late, for the record only.
        self.lates = set()
        # Where it is grey: how long after its start each task fails.
        self.fails_after_ms = 0

    async def open(self):
        if self.path.port is None:
            await self.path.open()
        await self.http.open()
        self.port = self.path.port
        self.lives += 1
        self.life = Life(self.lives)
        self.record.note(f"worker {self.name} life={self.lives} born={self.life.born} port={self.port}")
        self.announce()

    def announce(self):
        self.seq += 1
        life = self.life
        entry = {"service": "ovens", "address": f"127.0.0.1:{self.port}", "zone": "north", "version": "v1",
                 "slots": 8, "state": "ready", "cold_remaining_ms": 0,
                 "capacity": {"cpu": self.cpu, "mem_mb": 64_000, "gpu": 0}, "labels": ["a", self.rack],
                 "clock_ms": life.clock(), "seq": self.seq, "born": life.born}
        self.fleet.store.put("keyed.servers", self.name, json.dumps(entry).encode())

    async def crash(self, down_s):
        """The process is killed and starts again under its id, at its address."""
        life, self.life = self.life, None
        self.record.note(f"crash {self.name} life={life.number} runs={[t for t, _ in life.runs]}")
        for task, run in list(life.runs):
            self.fleet.gone(self, life, task, run)
        life.runs = {}
        life.wake()
        await self.http.close()
        self.path.reset()
        await asyncio.sleep(down_s)
        await self.open()

    def tick(self):
        life = self.life
        if life is None:
            return
        clock = life.clock()
        if life.lease < clock and (life.runs or not getattr(life, "lapsed_once", False)):
            life.lapsed_once = True
            self.fleet.lease_lapsed(self, life)
            for key in list(life.runs):
                self.end(life, key, "lapsed")
        elif life.lease >= clock:
            life.lapsed_once = False
        for key, run in list(life.runs.items()):
            if key not in life.runs:
                continue
            if run["stop_at"] and mono() >= run["stop_at"]:
                self.end(life, key, "stopped")
            elif run["fails_at"] and mono() >= run["fails_at"]:
                self.end(life, key, "failed")
            elif run["until"] and mono() >= run["until"]:
                self.end(life, key, "done")
            elif self.fleet.is_alone(key, run):
                self.end(life, key, "alone")

    def end(self, life, key, how, with_gang=False):
        task, run = key
        del life.runs[key]
        life.ends += 1
        life.highest[task] = max(run, life.highest.get(task, 0))
        life.finished.append([life.ends, task, run, how, ""])
        self.fleet.ended(self, life, life.ends, task, run, how)
        life.wake()
        if not with_gang and self.fleet.gang_size(task):
            self.fleet.gang_ends(task, run, how)

    async def carry(self, method, path, query, headers, body):
        """The proxy: passes a call on, or keeps it, without an answer, and delivers it later."""
        if self.cut:
            return SILENT
        delay = self.late(path) if self.late else None
        if delay is not None:
            number = self.life.number if self.life else 0
            self.record.note(f"unanswered {self.name} life={number} {path} {body.decode()} "
                             f"delivered in {delay:.1f} s")
            asyncio.ensure_future(self.deliver_late(delay, number, method, path, headers, body))
            return SILENT
        if self.life is None:
            return RESET
        status, content = await self.pass_on(method, path, headers, body)
        return RESET if status is None else (status, content)

    async def pass_on(self, method, path, headers, body):
        names = ("expect-instance", "content-type")
        kept = {name: headers[name] for name in names if name in headers}
        return await call(self.http.port, method, path, body=body, headers=kept, timeout=5.0)

    async def deliver_late(self, delay, number, method, path, headers, body):
        due = time.monotonic() + delay
        await asyncio.sleep(delay)
        # A proxy that retries waits until the worker is back; one that does not drops the call.
        while self.late_retries and self.life is None and time.monotonic() < due + LATE_RETRY_S:
            await asyncio.sleep(0.05)
        if self.life is None or self.cut:
            self.record.note(f"late {self.name} {path} is lost: the worker is down")
            return
        self.record.note(f"late {self.name} sent-to-life={number} in-life={self.life.number} {path} "
                         f"{body.decode()}")
        self.lates.add((path, body))
        status, content = await self.pass_on(method, path, headers, body)
        self.lates.discard((path, body))
        self.record.note(f"late {self.name} {path} outcome={status} {content[:60]!r}")

    async def handle(self, method, path, query, headers, body):
        if self.life is None:
            return SILENT
        if method == "GET":
            return 200, {}
        if headers.get("expect-instance", self.name) != self.name:
            return 421, {"clock_ms": self.life.clock()}
        return await self.carry_out(path, json.loads(body), (path, body) in self.lates)

    async def carry_out(self, path, body, late=False):
        life = self.life
        clock = life.clock()
        token = body.get("fencing_token", 0)
        if token < life.token:
            return 409, {"clock_ms": clock, "reason": "fence", "born": life.born}
        life.token = token
        if path == "/run-start":
            return self.start(life, clock, body, late)
        if path == "/run-stop":
            return self.stop(life, clock, body)
        if path == "/hold":
            return await self.hold(life, clock, body, late)
        return 200, {"clock_ms": clock}

    def start(self, life, clock, body, late):
        task, run, deadline = body["task"], body["run_id"], body["deadline_ms"]
        if deadline <= clock:
            return 409, {"clock_ms": clock, "reason": "late"}
        life.lease = max(life.lease, min(deadline, clock + HOLD_MAX_MS))
        if (task, run) in life.runs:
            return 200, {"clock_ms": clock}
        if run <= life.highest.get(task, 0) or any(t == task for t, _ in life.runs):
            return 409, {"clock_ms": clock, "reason": "old"}
        job, _, step, _ = task.split(".")
        cpu = self.fleet.cpu_of(job, int(step))
        if sum(r["cpu"] for r in life.runs.values()) + cpu > self.cpu:
            return 409, {"clock_ms": clock, "reason": "room"}
        work = self.fleet.work_ms(job, task)
        fails_at = mono() + self.fails_after_ms if self.fails_after_ms else 0
        life.runs[(task, run)] = {"from": mono(), "until": mono() + work if work and not self.fleet.gang_size(task) else 0, "stop_at": 0,
                                  "fails_at": fails_at, "cpu": cpu}
        self.fleet.started(self, life, task, run, body, late)
        if self.fleet.gang_size(task):
            self.fleet.gang_joins(task, run)
        return 200, {"clock_ms": clock}

    def stop(self, life, clock, body):
        task, run = body["task"], body["run_id"]
        life.highest[task] = max(run, life.highest.get(task, 0))
        for key, state in life.runs.items():
            if key[0] == task and key[1] <= run and not state["stop_at"]:
                state["stop_at"] = mono() + STOP_MS
        return 200, {"clock_ms": clock}

    async def hold(self, life, clock, body, late):
        if "deadline_ms" in body:
            life.lease = max(life.lease, min(body["deadline_ms"], clock + HOLD_MAX_MS))
        cursor = body.get("ack_cursor", 0)
        for row in life.finished:
            if row[0] <= cursor:
                self.fleet.noted(self, life, row, late)
        life.finished = [row for row in life.finished if row[0] > cursor]
        until = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
        while not life.finished and time.monotonic() < until and self.life is life:
            try:
                await asyncio.wait_for(life.event.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        if self.life is not life:
            return SILENT
        now = mono()
        running = [[task, run, "", min(99, self.percent(state, now)), 100]
                   for (task, run), state in life.runs.items()]
        return 200, {"clock_ms": life.clock(), "born": life.born, "running": running,
                     "finished": life.finished[:500]}

    @staticmethod
    def percent(state, now):
        if not state["until"]:
            return 100
        return 100 * (now - state["from"]) // max(1, state["until"] - state["from"])


# Entry processes ---------------------------------------------------------------------------------


class Entry:
    """A process of the deploy file's role `entry`."""

    def __init__(self, fleet, name, zone):
        self.fleet, self.name, self.zone = fleet, name, zone
        self.callers, self.health, self.peers = free_port(), free_port(), free_port()
        self.process = None
        self.log = None
        self.store = Endpoint(fleet.store, name)

    def settings(self):
        values = {"node_name": self.name, "zone": self.zone, "region": "land",
                  "listen.frontend": f"127.0.0.1:{self.callers}",
                  "listen.readiness": f"127.0.0.1:{self.health}", "ip": "127.0.0.1",
                  "internal_ports.0": str(self.peers),
                  "platform.address": f"127.0.0.1:{self.store.http.port}",
                  "advice": "", "limits.cpu_share": "0.25", "limits.cores": "1",
                  "bounds.hold_max_ms": str(HOLD_MAX_MS), "bounds.remote_factor": "3",
                  "bounds.restore_ms": "100", "bounds.impact_ms": "4000", "bounds.grace_s": "6"}
        with open(TEMPLATE, encoding="utf-8") as file:
            text = file.read()
        for name, value in values.items():
            text = text.replace("{{" + name + "}}", value)
        return text

    def start(self):
        path = os.path.join(self.fleet.folder, self.name + ".ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        if self.log:
            self.log.close()
        self.log = open(os.path.join(self.fleet.folder, self.name + ".log"), "a", encoding="utf-8")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env.update(ORIOLERUDDER_CONFIG=path, ASYNC_STD_THREAD_COUNT="1")
        self.process = subprocess.Popen([BINARY, "serve"], cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                        stdout=self.log, stderr=self.log)
        self.fleet.record.note(f"entry {self.name} pid={self.process.pid} starts")

    def send(self, number):
        self.fleet.record.note(f"entry {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


# The fleet and the checks ------------------------------------------------------------------------


class Fleet:
    """Everything of one case, and what was seen of each task."""

    def __init__(self, record, workers=12, entries=3, cpu=64_000):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="oriolerudder-review-")
        self.store = Store(record)
        self.workers = [Worker(self, f"i-{i:02d}", cpu, f"r-{i % 2}") for i in range(workers)]
        self.entries = [Entry(self, f"edge-{i}", "north") for i in range(entries)]
        self.jobs = {}
        self.running = {}
        self.ends = {}
        self.taken = {}
        self.lapses = {}
        self.tasks = []

    # Callbacks of the workers.

    def cpu_of(self, job, step):
        return self.jobs[job]["body"]["steps"][step].get("cpu", 0) if job in self.jobs else 0

    def work_ms(self, job, task):
        return self.jobs[job]["work"](task) if job in self.jobs else 1000

    def started(self, worker, life, task, run, body, late):
        job = task.split(".")[0]
        self.record.note(f"start {task} run={run} on {worker.name}/{life.number}{' late' if late else ''}")
        if job not in self.jobs:
            self.record.breaks(f"UNASKED: {task} was sent by no client")
            return
        others = self.running.setdefault(task, {})
        copies = self.step_of(task).get("speculative")
        for (name, number, other) in ([] if copies else others):
            self.record.breaks(f"TWICE: {task} run={run} starts on {worker.name}/{number} while run={other} "
                               f"runs on {name}/{number}")
        others[(worker.name, life.number, run)] = mono()
        for end in ([] if copies else self.ends.get(task, [])):
            if end["how"] == "done" and end["noted"] is not None:
                self.record.breaks(f"TWICE: {task} run={run} starts on {worker.name}/{life.number}, though "
                                   f"run={end['run']} ended done on {end['worker']}/{end['life']} as "
                                   f"number {end['number']}, taken note of {mono() - end['noted']} ms ago")
            elif end["how"] == "done":
                # Counts if that end is taken note of later.
                end["again"].append((run, worker.name, life.number))

    def gone(self, worker, life, task, run):
        self.running.get(task, {}).pop((worker.name, life.number, run), None)

    def ended(self, worker, life, number, task, run, how):
        self.gone(worker, life, task, run)
        self.record.note(f"end {number} {task} run={run} {how} on {worker.name}/{life.number}")
        self.ends.setdefault(task, []).append(
            {"how": how, "run": run, "worker": worker.name, "life": life.number, "number": number,
             "at": mono(), "noted": None, "again": []})

    def lease_lapsed(self, worker, life):
        self.lapses.setdefault((worker.name, life.number), []).append(mono())

    def noted(self, worker, life, row, late):
        """An end is taken note of when `ack_cursor` reaches it, unless the lease lapsed between."""
        for end in self.ends.get(row[1], []):
            if (end["worker"], end["life"], end["number"]) != (worker.name, life.number, row[0]):
                continue
            lapses = self.lapses.get((worker.name, life.number), [])
            if any(end["at"] < at for at in lapses):
                self.record.note(f"lapsed before it was noted: {row[0]} {row[1]}")
                return
            end["noted"] = mono()
            self.record.note(f"noted {row[0]} {row[1]} run={row[2]} {row[3]} on {worker.name}/{life.number}"
                             f"{' by a late call' if late else ''}")
            for run, name, number in end["again"]:
                if end["how"] == "done":
                    self.record.breaks(f"TWICE: {row[1]} run={run} started on {name}/{number} after run="
                                       f"{row[2]} had ended done on {worker.name}/{life.number}, which "
                                       "was taken note of later")

    # Gangs: they work once all members of one run are there, and end `done` together.

    def step_of(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["body"]["steps"][int(step)] if job in self.jobs else {}

    def gang_size(self, task):
        step = self.step_of(task)
        return step["count"] if step.get("gang") else 0

    def gang_runs(self, task, run):
        """The members of a run of a gang that are there: worker, life, key and state."""
        step = task.rsplit(".", 1)[0] + "."
        found = []
        for worker in self.workers:
            for key, state in (worker.life.runs.items() if worker.life else ()):
                if key[0].startswith(step) and key[1] == run:
                    found.append((worker, worker.life, key, state))
        return found

    def is_alone(self, key, state):
        """Whether a member has waited too long for the others."""
        waits = self.gang_size(key[0]) and not state["until"]
        return waits and mono() >= state["from"] + GANG_MS

    def gang_joins(self, task, run):
        size, members = self.gang_size(task), self.gang_runs(task, run)
        work = self.work_ms(task.split(".")[0], task)
        for _, _, _, state in members if len(members) == size else ():
            state["from"] = mono()
            state["until"] = mono() + work

    def gang_ends(self, task, run, how):
        """The others end together with a member that is done, and as broken where it ended otherwise.
        Those whose own time to fail has come end as failed."""
        if how == "broken":
            return
        for worker, life, key, state in self.gang_runs(task, run):
            if key not in life.runs:
                continue
            fails = state["fails_at"] and mono() >= state["fails_at"] - 10
            worker.end(life, key, "done" if how == "done" else "failed" if fails else "broken", True)

    # Parts of a case.

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.append(task)
        return task

    async def open(self, queues=None):
        if not os.path.exists(BINARY):
            raise CannotRun("build the deploy file first")
        for entry in self.entries:
            await entry.store.http.open()
        await self.publish(queues or [queue()])
        for worker in self.workers:
            await worker.open()
        self.spawn(self.tick())
        self.spawn(self.ping())
        for entry in self.entries:
            entry.start()
        until = time.monotonic() + 15
        while time.monotonic() < until:
            for entry in self.entries:
                if entry.process.poll() is not None:
                    # Another process has taken one of its ports in between.
                    self.record.note(f"entry {entry.name} has ended with {entry.process.returncode}")
                    entry.callers, entry.health, entry.peers = free_port(), free_port(), free_port()
                    entry.start()
            ready = [await call(e.health, "GET", "/ready", timeout=1.0) for e in self.entries]
            if all(status == 200 for status, _ in ready):
                self.record.note("all entries are ready")
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the entries are not ready after 15 s")

    async def publish(self, queues, version=1):
        manifest = {"version": version, "routes": queues, "services": [
            {"name": "ovens", "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": False,
             "rejects_overload": True, "standby": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}
        self.store.put("keyed.op", "config", json.dumps(manifest).encode())

    async def tick(self):
        while True:
            await asyncio.sleep(0.01)
            for worker in self.workers:
                worker.tick()

    async def ping(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for worker in self.workers:
                if worker.life is not None and not worker.cut:
                    worker.announce()

    async def submit(self, body, work, timeout=3.0, attempts=5):
        """Hands a job in; the same id again after no answer. Returns the id if it was accepted."""
        job = f"{random.getrandbits(64):016x}"
        self.jobs[job] = {"body": body, "work": work, "accepted": None, "state": None}
        for _ in range(attempts):
            entry = random.choice(self.entries)
            status, _ = await call(entry.callers, "POST", "/bake/" + job, "shop.example", body,
                                   {"Deadline-Ms": "3000"}, timeout)
            self.record.note(f"POST {job} at {entry.name}: {status}")
            if status is not None and 200 <= status < 300:
                self.jobs[job]["accepted"] = mono()
                return job
            await asyncio.sleep(0.3)
        return None

    async def state(self, job):
        entry = random.choice(self.entries)
        status, body = await call(entry.callers, "GET", "/bake/" + job, "shop.example",
                                  headers={"Deadline-Ms": "3000"})
        state = json.loads(body)["state"] if status == 200 else status
        if self.jobs[job]["state"] != state:
            self.jobs[job]["state"] = state
            self.record.note(f"GET {job} at {entry.name}: {state}")
        return state

    async def close(self):
        for task in self.tasks:
            task.cancel()
        for entry in self.entries:
            entry.end()
        for worker in self.workers:
            await worker.http.close()
            await worker.path.close()
        for entry in self.entries:
            await entry.store.http.close()
        for entry in self.entries:
            if entry.log:
                entry.log.close()


def queue(**more):
    route = {"name": "r-bake", "host": "shop.example", "path_prefix": "/bake/", "kind": "non_idempotent",
             "timeout_ms": 3000, "target_latency_ms": 300, "priority": 0, "service": "ovens",
             "max_attempts": 2, "stretch": 2.0}
    route.update(more)
    return route


def play(folder, case, seconds=110):
    """Plays a case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"trouble={trouble}")
    fleet = None

    async def main():
        nonlocal fleet
        fleet = Fleet(record)
        try:
            await asyncio.wait_for(case(fleet, trouble), seconds)
        except asyncio.TimeoutError as e:
            raise CannotRun("the case took too long") from e
        finally:
            await fleet.close()

    code = 2
    try:
        asyncio.run(main())
        code = 1 if record.broken else 0
    except CannotRun as e:
        record.note(f"cannot run: {e}")
    if fleet and os.environ.get("KEEP") != "1":
        shutil.rmtree(fleet.folder, ignore_errors=True)
    elif fleet:
        print(fleet.folder)
    record.note(f"exit={code} broken={len(record.broken)}")
    for line in record.broken[:5]:
        print(line)
    sys.exit(code)
