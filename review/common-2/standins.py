"""Stand-ins for the scripts of the cases 6 to 10: the platform's store, workers, proxies between
entry VMs, and the processes of the system itself. Python's standard library only.

The stand-ins follow PROTOCOL.md: the keyed log with producers and conditions, `/log-newest`,
`/log-read`, and the calls `/run-start`, `/run-stop`, `/hold` and `/pace` of a worker."""

import asyncio, base64, json, os, shutil, signal, socket, struct, sys, tempfile, time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "oriolerudder")
MAX_RECORD = 262_144      # max_record_bytes in DEPLOY.md
MAX_CALL = 2_097_152      # max_call_bytes
HOLD_MAX = 10_000         # hold_max_ms
START = time.monotonic()


def mono():
    return int(time.monotonic() * 1000)


def unix():
    return int(time.time() * 1000)


def at():
    return round(time.monotonic() - START, 3)


class Record:
    """`record.txt`: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def __call__(self, text):
        self.file.write(f"{at():8.3f}  {text}\n")
        self.file.flush()


# ---------------------------------------------------------------- HTTP

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 413: "Content Too Large", 421: "Misdirected Request",
           429: "Too Many Requests", 503: "Service Unavailable"}


async def read_message(reader):
    """Reads one HTTP message: first line, headers, body; None at the end of the channel."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    else:
        body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


async def serve_http(handler, channels=100_000, writers=None):
    """Serves HTTP/1.1 with kept channels, so many at a time; further ones wait. `handler(method,
    path, query, headers, body)` returns (status, content type, bytes), or None for no answer.
    `writers`, if given, holds the open channels."""
    writers = set() if writers is None else writers
    open_channels = asyncio.Semaphore(channels)

    async def channel(reader, writer):
        try:
            async with open_channels:
                await serve_channel(reader, writer)
        except asyncio.CancelledError:
            writer.close()

    async def serve_channel(reader, writer):
        writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                parts = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}
                result = await handler(method, parts.path, query, headers, body)
                if result is None:
                    await asyncio.sleep(3600)
                status, kind, data = result
                writer.write((f"HTTP/1.1 {status} {REASONS.get(status, 'X')}\r\ncontent-type: {kind}\r\n"
                              f"content-length: {len(data)}\r\n\r\n").encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writers.discard(writer)
            writer.close()

    server = await asyncio.start_server(channel, "127.0.0.1", 0, limit=1 << 26, backlog=1000)
    return server, server.sockets[0].getsockname()[1]


def reply(status, value):
    return status, "application/json", json.dumps(value).encode()


async def call(port, method, path, host="", body=None, timeout=3.0, headers=None):
    """Sends one request on a new channel. Returns (status, body); status None for no answer."""
    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            data = json.dumps(body).encode() if body is not None else b""
            extra = "".join(f"{k}: {v}\r\n" for k, v in (headers or {}).items())
            writer.write((f"{method} {path} HTTP/1.1\r\nhost: {host or 'x'}\r\n{extra}"
                          f"content-type: application/json\r\ncontent-length: {len(data)}\r\n\r\n").encode() + data)
            await writer.drain()
            first, _, answer = await read_message(reader)
            return int(first.split(" ")[1]), answer
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None, b""


# ---------------------------------------------------------------- store

class Log:
    def __init__(self):
        self.records, self.newest = [], {}
        self.epoch, self.next_seq, self.replies = -1, None, {}
        self.changed = asyncio.Event()

    def push(self, record):
        length = record[0]
        key, value = record[1:1 + length], record[1 + length:]
        offset = len(self.records)
        self.records.append(record)
        if value:
            self.newest[key] = (offset, value)
        else:
            self.newest.pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()


class Store:
    """The platform's store. Each VM has an address of its own to it, so that one can be cut off."""

    def __init__(self, record):
        self.record, self.topics, self.silent, self.ports = record, {}, set(), {}
        self.refused = 0

    def log(self, topic):
        return self.topics.setdefault(topic, Log())

    def put(self, topic, key, value):
        key = key.encode()
        self.log(topic).push(bytes([len(key)]) + key + value)

    async def open(self, vm):
        async def handler(method, path, query, headers, body):
            while vm in self.silent:
                await asyncio.sleep(0.05)
                return None
            result = await self.handle(path, query, body, vm)
            return None if vm in self.silent else result
        _, self.ports[vm] = await serve_http(handler)
        return self.ports[vm]

    async def handle(self, path, query, body, vm):
        log = self.log(query.get("topic", ""))
        if path == "/log-append":
            await asyncio.sleep(0.004)
            return self.append(log, query, body, vm)
        if path == "/log-read":
            start, wait = int(query["from"]), int(query.get("wait_ms", 0)) / 1000
            if start >= len(log.records) and wait:
                try:
                    await asyncio.wait_for(log.changed.wait(), wait)
                except asyncio.TimeoutError:
                    pass
            out = struct.pack(">QQ", len(log.records), 0)
            for one in log.records[start:]:
                if len(out) > 1 << 20:
                    break
                out += struct.pack(">I", len(one)) + one
            return 200, "application/octet-stream", out
        if path == "/log-newest":
            after = query.get("depends_on", "").encode()
            keys = sorted(key for key in log.newest if key > after)
            items, size = [], 0
            for key in keys:
                offset, value = log.newest[key]
                if len(items) >= 500 or (items and size + len(value) > 1_000_000):
                    break
                size += len(value)
                items.append({"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset})
            return reply(200, {"items": items, "has_more": len(items) < len(keys), "end": len(log.records)})
        return reply(404, {})

    def append(self, log, query, body, vm):
        records, rest = [], body
        while rest:
            size = struct.unpack(">I", rest[:4])[0]
            records.append(rest[4:4 + size])
            rest = rest[4 + size:]
        largest = max((len(one) for one in records), default=0)
        if largest > MAX_RECORD or sum(map(len, records)) > MAX_CALL:
            self.refused += 1
            if self.refused <= 40:
                big = max(records, key=len)
                self.record(f"store refuses an append of {vm}: largest record {largest} bytes "
                            f"({big[1:1 + big[0]].decode(errors='replace')}), {sum(map(len, records))} in all")
            return reply(413, {"reason": "too large"})
        producer = "producer" in query
        if producer:
            epoch, seq = int(query["epoch"]), int(query["seq"])
            if epoch < log.epoch:
                return reply(409, {"reason": "fenced", "epoch": log.epoch})
            if epoch == log.epoch:
                if seq in log.replies:
                    return reply(200, log.replies[seq])
                if seq != log.next_seq:
                    return reply(409, {"reason": "seq", "seq": log.next_seq})
        if "at" in query and int(query["at"]) != len(log.records):
            return reply(412, {"end": len(log.records)})
        offset = len(log.records)
        for one in records:
            log.push(one)
        answer = {"offset": offset, "end": len(log.records)}
        if producer:
            if epoch > log.epoch:
                log.epoch, log.replies = epoch, {}
            log.next_seq = seq + 1
            log.replies[seq] = answer
            log.replies = dict(list(log.replies.items())[-5:])
        return reply(200, answer)


# ---------------------------------------------------------------- worker

class Worker:
    """A worker that guards its capacity. The `spec` of a task is JSON: `cpu`, and
    `ms` (its work), or `until` (when what it waits for comes, in Unix milliseconds), or for one that
    lasts `lasts` and `tail` (its tail, in milliseconds)."""

    def __init__(self, name, service, store, record, cpu=16_000, rack="r-1", kind="a"):
        self.name, self.service, self.store, self.record = name, service, store, record
        self.cpu, self.rack, self.kind, self.born, self.booted = cpu, rack, kind, unix(), mono()
        self.lost, self.silent, self.channels = False, False, set()
        self.token, self.deadline, self.runs, self.highest = 0, 0, {}, {}
        self.ends, self.count, self.acked, self.seq = [], 0, 0, 0
        self.ended = asyncio.Event()
        self.history = []       # [task, run, begun, ended or None, how]
        self.port = None
        self.listed, self.ended_at = [], {}     # all ends: (number, task, how), and when each came
        self.quiet = ()         # jobs whose runs are counted and not written down

    def clock(self):
        return mono() - self.booted + 1

    async def open(self):
        _, self.port = await serve_http(self.answer, 64, self.channels)
        asyncio.ensure_future(self.beat())
        asyncio.ensure_future(self.work())

    def entry(self):
        self.seq += 1
        return {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": "zone-1", "version": "1",
                "slots": 8, "state": "ready", "cold_remaining_ms": 0, "seq": self.seq, "born": self.born,
                "capacity": {"cpu": self.cpu, "mem_mb": 250_000, "gpu": 0}, "labels": [self.kind, self.rack]}

    async def answer(self, *request):
        """Answers a call, unless the worker is cut off by then."""
        result = None if self.silent else await self.handle(*request)
        return None if self.silent else result

    def restart(self):
        """Crashes the worker and starts it again at once; it knows nothing of before."""
        for channel in list(self.channels):
            channel.transport.abort()
        for run in self.runs.values():
            run["row"][3], run["row"][4] = at(), "gone"
        self.born, self.booted, self.token, self.deadline = unix(), mono(), 0, 0
        self.runs, self.highest, self.ends, self.count, self.acked = {}, {}, [], 0, 0
        self.record(f"{self.name} crashes and is back")

    def lose(self):
        """Loses the worker for good: it says nothing more, and all that it runs is gone."""
        self.lost = True
        for run in self.runs.values():
            run["row"][3], run["row"][4] = at(), "gone"
        self.runs = {}
        self.record(f"{self.name} is lost for good")

    async def beat(self):
        while not self.lost:
            if not self.silent:
                self.store.put("keyed.servers", self.name, json.dumps(self.entry()).encode())
            await asyncio.sleep(1.1)
        await asyncio.sleep(2.2)
        self.store.put("keyed.servers", self.name, b"")     # after three intervals of silence

    async def work(self):
        while True:
            await asyncio.sleep(0.01)
            clock = self.clock()
            for task, run in list(self.runs.items()):
                if clock >= self.deadline:
                    self.end(task, "lapsed")
                elif run["stop_at"] and clock >= run["stop_at"]:
                    self.end(task, "stopped")
                elif "until" in run["spec"]:
                    if unix() >= run["spec"]["until"]:
                        self.end(task, "done")
                elif not run["spec"].get("lasts") and clock >= run["begun"] + run["spec"]["ms"]:
                    self.end(task, "done")

    def end(self, task, how):
        run = self.runs.pop(task)
        self.count += 1
        self.ends.append([self.count, task, run["run"], how, ""])
        self.listed.append((self.count, task, how))
        self.ended_at[self.count] = at()
        run["row"][3], run["row"][4] = at(), how
        self.note(task, f"run {run['run']} ends {how} (end {self.count})")
        self.ended.set()

    def note(self, task, text):
        if task.split(".")[0] not in self.quiet:
            self.record(f"{self.name}: {task} {text}")

    def room(self, spec):
        used = sum(run["spec"]["cpu"] for run in self.runs.values() if not run["spec"].get("fills"))
        return spec.get("fills") or used + spec["cpu"] <= self.cpu

    async def handle(self, method, path, query, headers, body):
        if self.lost:
            return None
        if headers.get("expect-instance", self.name) != self.name:
            return reply(421, {})
        try:
            body = json.loads(body)
        except ValueError:
            return reply(400, {})
        answer = {"clock_ms": self.clock(), "born": self.born}
        refuse = lambda why: reply(409, {**answer, "reason": why})
        token = body.get("fencing_token", 0)
        if token < self.token:
            return refuse("fence")
        self.token = token
        if path == "/run-start":
            task, run, spec = body["task"], body["run_id"], json.loads(body["spec"])
            deadline = min(body["deadline_ms"], self.clock() + HOLD_MAX)
            if task in self.runs and self.runs[task]["run"] == run:
                return reply(200, answer)
            if run <= self.highest.get(task, 0) or task in self.runs:
                self.deadline = max(self.deadline, deadline)
                return refuse("old")
            if deadline <= self.clock():
                return refuse("late")
            self.deadline = max(self.deadline, deadline)
            if not self.room(spec):
                return refuse("room")
            self.highest[task] = run
            row = [task, run, at(), None, None]
            self.history.append(row)
            self.runs[task] = {"run": run, "spec": spec, "begun": self.clock(), "stop_at": 0, "row": row}
            self.note(task, f"run {run} starts (token {token})")
            return reply(200, answer)
        if path == "/run-stop":
            task, run = body["task"], body["run_id"]
            self.highest[task] = max(self.highest.get(task, 0), run)
            if task in self.runs and self.runs[task]["run"] <= run:
                self.runs[task]["stop_at"] = self.runs[task]["stop_at"] or self.clock() + 50
            return reply(200, answer)
        if path == "/pace":
            return reply(200, answer)
        if path != "/hold":
            return reply(404, {})
        if body.get("deadline_ms") is not None:
            self.deadline = max(self.deadline, min(body["deadline_ms"], self.clock() + HOLD_MAX))
        self.acked = max(self.acked, body["ack_cursor"])
        self.ends = [end for end in self.ends if end[0] > body["ack_cursor"]]
        wait = body.get("wait_ms", 0) / 1000
        if not self.ends and wait:
            self.ended.clear()
            try:
                await asyncio.wait_for(self.ended.wait(), wait)
            except asyncio.TimeoutError:
                pass
        running = []
        for task, run in self.runs.items():
            spec, ran = run["spec"], self.clock() - run["begun"]
            if spec.get("lasts"):
                percent = 100 if ran > 300 else 0
            else:
                work = spec["ms"] if "ms" in spec else spec["until"] - unix() + ran
                percent = min(99, ran * 100 // max(1, work))
            running.append([task, run["run"], "", percent, spec.get("tail", spec["cpu"])])
        return reply(200, {"clock_ms": self.clock(), "born": self.born, "running": running,
                           "finished": self.ends[:500]})


# ---------------------------------------------------------------- proxies between entry VMs

def owner_pid(port, pids):
    """Returns which of the processes has a TCP socket with this local port."""
    inode = None
    with open("/proc/net/tcp") as table:
        for line in table.readlines()[1:]:
            fields = line.split()
            if int(fields[1].split(":")[1], 16) == port:
                inode = fields[9]
                break
    for pid in pids:
        try:
            for fd in os.listdir(f"/proc/{pid}/fd"):
                if os.readlink(f"/proc/{pid}/fd/{fd}") == f"socket:[{inode}]":
                    return pid
        except OSError:
            continue
    return None


class PeerProxy:
    """Stands between one entry VM and the others, for datagrams and channels: its address is the
    one that the VM announces. What would pass a cut is dropped, and channels fall silent."""

    def __init__(self, vm, system):
        self.vm, self.system = vm, system

    async def open(self):
        loop = asyncio.get_running_loop()
        while True:
            server = await asyncio.start_server(self.channel, "127.0.0.1", 0)
            self.port = server.sockets[0].getsockname()[1]
            proxy = self

            class Datagrams(asyncio.DatagramProtocol):
                def connection_made(self, transport):
                    proxy.transport = transport

                def datagram_received(self, data, source):
                    sender = proxy.system.vm_of_peer_port(source[1])
                    if not proxy.system.separates(sender, proxy.vm.name):
                        proxy.transport.sendto(data, ("127.0.0.1", proxy.vm.ports["peers"]))
            try:
                await loop.create_datagram_endpoint(Datagrams, local_addr=("127.0.0.1", self.port))
                return self.port
            except OSError:
                server.close()

    async def channel(self, reader, writer):
        pids = {vm.process.pid: name for name, vm in self.system.vms.items() if vm.process}
        pid = owner_pid(writer.get_extra_info("peername")[1], pids)
        sender = pids.get(pid)
        while self.system.separates(sender, self.vm.name):
            await asyncio.sleep(0.05)
        try:
            up, down = await asyncio.open_connection("127.0.0.1", self.vm.ports["peers"])
        except OSError:
            writer.close()
            return

        async def pump(source, target):
            try:
                while data := await source.read(65536):
                    while self.system.separates(sender, self.vm.name):
                        await asyncio.sleep(0.05)
                    target.write(data)
                    await target.drain()
            except OSError:
                pass
            finally:
                target.close()
        await asyncio.gather(pump(reader, down), pump(up, writer))


# ---------------------------------------------------------------- the system

def free_port():
    """Returns a port that is free for TCP and UDP."""
    while True:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind(("127.0.0.1", 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


class Vm:
    def __init__(self, name, system):
        self.name, self.system, self.process = name, system, None
        self.ports = {key: free_port() for key in ("callers", "health", "peers")}

    async def start(self):
        fields = {"node_name": self.name, "zone": "zone-1", "region": "region-1",
                  "listen.frontend": f"127.0.0.1:{self.ports['callers']}",
                  "listen.readiness": f"127.0.0.1:{self.ports['health']}", "ip": "127.0.0.1",
                  "internal_ports.0": self.ports["peers"],
                  "platform.address": f"127.0.0.1:{self.system.store.ports[self.name]}", "advice": self.system.advice,
                  "limits.cpu_share": 0.25, "limits.cores": 1, "bounds.hold_max_ms": HOLD_MAX,
                  "bounds.remote_factor": 1.5, "bounds.restore_ms": 600, "bounds.impact_ms": 4000,
                  "bounds.grace_s": 6}
        with open(os.path.join(ROOT, "deploy", "settings.ini")) as template:
            text = template.read()
        for name, value in fields.items():
            text = text.replace("{{" + name + "}}", str(value))
        if self.system.proxied:
            text = text.replace("[platform]", f"announce = 127.0.0.1:{self.proxy.port}\n\n[platform]", 1)
        path = os.path.join(self.system.folder, f"{self.name}.ini")
        with open(path, "w") as file:
            file.write(text)
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": self.system.folder,
                       "ORIOLERUDDER_CONFIG": path, "ASYNC_STD_THREAD_COUNT": "1"}
        self.log = open(os.path.join(self.system.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, "serve", cwd=ROOT, env=environment, stdout=self.log, stderr=self.log)

    def memory(self):
        """Returns its resident memory in megabytes."""
        try:
            with open(f"/proc/{self.process.pid}/statm") as file:
                return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") // 1_000_000
        except (OSError, IndexError):
            return 0

    def lines(self, event):
        with open(os.path.join(self.system.folder, f"{self.name}.log"), errors="replace") as file:
            return [line.strip() for line in file if f"event={event} " in line + " "]


class System:
    """The store, the entry VMs and the workers of a small installation."""

    def __init__(self, record, vms, proxied=False):
        self.record, self.proxied = record, proxied
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store(record)
        self.vms = {f"edge-{i}": Vm(f"edge-{i}", self) for i in range(1, vms + 1)}
        self.workers, self.cut, self.advice = {}, set(), ""

    def separates(self, one, other):
        return one != other and (one in self.cut or other in self.cut)

    def vm_of_peer_port(self, port):
        return next((name for name, vm in self.vms.items() if vm.ports["peers"] == port), None)

    def manifest(self, version, routes):
        """`routes`: (name, host, prefix, service, priority, attempts)."""
        value = {"version": version, "services": {}, "limits": {}, "routes": [
            {"name": n, "host": h, "path_prefix": p, "service": s, "priority": q, "max_attempts": a,
             "stretch": 2.0, "target_latency_ms": 1000,
             **({"advice": {"decide_ms": 20, "period_ms": 2, "valid_ms": 3000}} if self.advice else {})} for n, h, p, s, q, a in routes]}
        self.store.put("keyed.op", "config", json.dumps(value).encode())

    async def start(self):
        for name, vm in self.vms.items():
            await self.store.open(name)
            if self.proxied:
                vm.proxy = PeerProxy(vm, self)
                await vm.proxy.open()
        for worker in self.workers.values():
            await worker.open()
        for vm in self.vms.values():
            await vm.start()

    async def ready(self, seconds=20):
        """Waits until all entry VMs are ready; exits with 2 if they are not."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            states = [(await call(vm.ports["health"], "GET", "/ready", timeout=1))[0] for vm in self.vms.values()]
            if all(state == 200 for state in states):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the entry VMs are not ready")

    def leader(self):
        """Returns the entry VM that took over last, by the ownership records in the store."""
        epochs = []
        for name, vm in self.vms.items():
            epochs += [(int(line.split("epoch=")[1].split()[0]), name) for line in vm.lines("leading")]
        return max(epochs)[1] if epochs else None

    async def stop(self):
        for vm in self.vms.values():
            if vm.process and vm.process.returncode is None:
                try:
                    vm.process.kill()
                except ProcessLookupError:
                    pass
                await vm.process.wait()
        if os.environ.get("KEEP"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run(folder, case, seconds=110):
    """Runs `case(record, trouble)`, which returns whether the rule held, and exits with 0, 1 or 2."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"TROUBLE={int(trouble)}")
    if not os.path.exists(PROGRAM):
        record("the program isn't built")
        sys.exit(2)

    async def main():
        # A SIGTERM ends the case, too, and what it has started.
        task = asyncio.ensure_future(case(record, trouble))
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await asyncio.wait_for(task, seconds)
    try:
        held = asyncio.run(main())
    except (Exception, asyncio.CancelledError) as e:
        record(f"the case couldn't run: {e!r}")
        print(f"the case couldn't run: {e!r}")
        sys.exit(2)
    record("the rule held" if held else "THE RULE WAS BROKEN")
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
