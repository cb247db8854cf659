"""Stand-ins of the users' platform for the cases of the second review: store, targets, clients, and the processes of
kumquatcove on loopback addresses. Standard library only."""
import asyncio
import base64
import hashlib
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target/bin/kumquatcoved"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 503: "Service Unavailable"}
READ_LIMIT = 1 << 20


class CannotRun(Exception):
    """The case couldn't run; run.sh exits with 2."""


class Record:
    """What was sent, answered and run; written to record.txt of the case."""

    def __init__(self, folder):
        self.path = Path(folder) / "record.txt"
        self.file = self.path.open("w")
        self.start = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:9.3f} {text}\n")
        self.file.flush()


# ---------------------------------------------------------------- HTTP/1.1

async def read_head(reader):
    """Returns (start line, [(name, value)]) or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin1").split("\r\n")
    return lines[0], [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:] if line]


def find(headers, name):
    return next((value for key, value in headers if key.lower() == name.lower()), None)


async def read_body(reader, headers):
    coding = find(headers, "Transfer-Encoding")
    if coding:
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                await reader.readuntil(b"\r\n")
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(find(headers, "Content-Length") or 0))


def make_answer(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


# ------------------------------------------------------------------- store

class Store:
    """The platform's store: rows with versions, atomic writes, a feed of changes."""

    def __init__(self):
        self.rows = {}
        self.changes = []
        self.version = 0
        self.woken = asyncio.Event()
        self.writers = set()

    async def open(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port, limit=READ_LIMIT)

    def put(self, table, key, value):
        self.version += 1
        self.rows[table, key] = (value, self.version)
        self.changes.append((self.version, table, key, value))
        self.wake()

    def drop(self, table, key):
        if self.rows.pop((table, key), None) is not None:
            self.version += 1
            self.changes.append((self.version, table, key, None))
            self.wake()

    def wake(self):
        self.woken.set()
        self.woken = asyncio.Event()

    @staticmethod
    def row(table, key, value, version):
        row = {"table": table, "part": "", "key": key, "ver": version}
        if value is None:
            row["deleted"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    def reply(self, **fields):
        return {**fields, "ver": self.version, "now-s": time.monotonic()}

    async def feed(self, query):
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        while True:
            woken = self.woken
            newest = {key: (version, value) for version, name, key, value in self.changes
                      if name == table and version > after}
            rows = [self.row(table, key, value, version)
                    for key, (version, value) in sorted(newest.items(), key=lambda item: item[1][0])]
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, self.reply(rows=rows)
            try:
                await asyncio.wait_for(woken.wait(), left)
            except asyncio.TimeoutError:
                pass

    def scan(self, query):
        begin, end, limit = query.get("from", ""), query.get("target"), min(int(query.get("limit", 500)), 500)
        keys = sorted(key for table, key in self.rows
                      if table == query["table"] and key >= begin and (end is None or key < end))
        rows = [self.row(query["table"], key, *self.rows[query["table"], key]) for key in keys[:limit]]
        return 200, self.reply(rows=rows, **{"has-more": len(keys) > limit})

    def write(self, call):
        expected = [(row["table"], row["key"], row["ver"]) for row in call.get("expected", [])]
        if any(self.rows.get((table, key), (None, 0))[1] != version for table, key, version in expected):
            return 412, self.reply(rows=[self.row(table, key, *self.rows[table, key])
                                         for table, key, _ in expected if (table, key) in self.rows])
        for row in call.get("set-keys", []):
            self.put(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in call.get("delete-keys", []):
            self.drop(row["table"], row["key"])
        return 200, self.reply()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(" ")
                body = await read_body(reader, head[1])
                parts = urlsplit(target)
                query = {name: values[0] for name, values in parse_qs(parts.query, keep_blank_values=True).items()}
                if parts.path == "/kumquatcove/rows-feed":
                    status, reply = await self.feed(query)
                elif parts.path == "/kumquatcove/rows-get":
                    status, reply = self.scan(query)
                elif parts.path == "/kumquatcove/rows-tx" and method == "POST":
                    status, reply = self.write(json.loads(body))
                else:
                    status, reply = 404, {}
                await asyncio.sleep(0.003)
                writer.write(make_answer(status, [("Content-Type", "application/json"), ("Store-Era", "1")],
                                         json.dumps(reply).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


# ----------------------------------------------------------------- targets

def body_of(attempt):
    return f"answer to {attempt}\n".encode()


def seal_of(body):
    return hashlib.sha256(body).hexdigest()[:16]


class Target:
    """A target: registers itself, works on `slots` requests at once, queues as many more, sheds the rest."""

    def __init__(self, store, record, runs, target_id, service, zone, slots=6, work_s=0.05, keep_alive_s=10):
        self.store, self.record, self.runs = store, record, runs
        self.id, self.service, self.zone, self.slots = target_id, service, zone, slots
        self.work_s, self.keep_alive_s = work_s, keep_alive_s
        self.running = self.waiting = self.sequence = 0
        self.born = int(time.time() * 1000)
        self.free = asyncio.Semaphore(slots)
        self.state = "ready"
        self.writers = set()

    async def open(self, ip, port=0):
        self.server = await asyncio.start_server(self.serve, ip, port, limit=READ_LIMIT)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()
        self.register()
        self.beat = asyncio.ensure_future(self.keep_registered())

    def register(self):
        self.sequence += 1
        self.store.put("servers", self.id, json.dumps({
            "address": self.address, "born": self.born,
            "info": {"service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots},
            "status": {"state": self.state, "seq": self.sequence, "cold-left-s": 0}}).encode())

    async def keep_registered(self):
        """Heartbeats change nothing but `seq`, and the entry only changes when more than that changes."""
        while True:
            await asyncio.sleep(1.5)
            self.sequence += 1

    def headers(self, attempt):
        return [("Attempt-Id", attempt), ("Server-Load", f"{self.running},{self.waiting},{self.slots}"),
                ("Keep-Alive", f"timeout={self.keep_alive_s}")]

    async def work(self, attempt, method, target, headers, body):
        """Returns the answer of a request that has begun to run. Cases override it."""
        await asyncio.sleep(self.work_s)
        answer = body_of(attempt)
        return make_answer(200, self.headers(attempt) + [("Server-Seal", seal_of(answer))], answer)

    async def handle(self, head, body):
        method, target, _ = head[0].split(" ")
        attempt = find(head[1], "Attempt-Id") or ""
        if target == "/health":
            return make_answer(200, [("Instance-Id", self.id)])
        if find(head[1], "Expect-Instance") not in (None, self.id):
            return make_answer(421, [("Instance-Id", self.id), ("Attempt-Id", attempt)])
        if not attempt:
            return make_answer(400, [("Not-Executed", "1")])
        if self.waiting >= self.slots:
            self.record(f"shed {attempt} at {self.id}")
            return make_answer(503, self.headers(attempt) + [("Not-Executed", "1")])
        self.waiting += 1
        await self.free.acquire()
        self.waiting -= 1
        self.running += 1
        try:
            self.runs.append((attempt, self.id, time.monotonic()))
            self.record(f"run {attempt} at {self.id}: {method} {target} body {len(body)}")
            return await self.work(attempt, method, target, head[1], body)
        finally:
            self.running -= 1
            self.free.release()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                try:
                    head = await asyncio.wait_for(read_head(reader), self.keep_alive_s)
                except asyncio.TimeoutError:
                    return
                if head is None:
                    return
                body = await read_body(reader, head[1])
                if not await self.exchange(reader, writer, head, body):
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def exchange(self, reader, writer, head, body):
        """Answers one request; returns whether the connection is kept."""
        writer.write(await self.handle(head, body))
        await writer.drain()
        return True


# ----------------------------------------------------------------- clients

class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body

    def belongs_to(self, attempt):
        """A success is whole, sealed, and the answer to this request."""
        return self.body == body_of(attempt) and find(self.headers, "Server-Seal") == seal_of(self.body)


class Client:
    """One connection of a client."""

    def __init__(self, ip, port):
        self.ip, self.port, self.reader = ip, port, None

    async def connect(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.ip, self.port, limit=READ_LIMIT), 1)

    def is_open(self):
        return self.reader is not None and not self.reader.at_eof() and not self.writer.is_closing()

    def close(self):
        if self.reader is not None:
            self.writer.close()
            self.reader = None

    async def request(self, method, host, path, attempt, deadline_ms, body=b"", key=None):
        """Returns the answer, or None if the connection ends without one or the deadline passes."""
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Attempt-Id: {attempt}",
                 f"Deadline-Ms: {deadline_ms}"]
        if key is not None:
            lines.append(f"Cookie: Affinity-Key={key}")
        if body:
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        if body:
            self.writer.write(body)

        async def exchange():
            await self.writer.drain()
            head = await read_head(self.reader)
            if head is None:
                return None
            return Answer(int(head[0].split(" ")[1]), head[1], await read_body(self.reader, head[1]))
        try:
            answer = await asyncio.wait_for(exchange(), deadline_ms / 1000)
        except (asyncio.TimeoutError, ConnectionError, asyncio.IncompleteReadError):
            answer = None
        if answer is None or (find(answer.headers, "Connection") or "").lower() == "close":
            self.close()
        return answer


# --------------------------------------------------------------- processes

def fill(text, values):
    """Fills a settings template as DEPLOY.md says; only the placeholders that deploy/settings.json uses."""
    def value(match):
        found = values
        for name in match.group(1).split("."):
            found = found[int(name)] if isinstance(found, list) else found[name]
        return json.dumps(found) if match.group(2) else str(found)
    return re.sub(r"\{\{([a-z0-9_.-]+)(\|json)?\}\}", value, text)


class Machine:
    """One process of the role `entry` of the deploy file."""

    def __init__(self, deployment, name, zone, ip):
        self.deployment, self.name, self.zone, self.ip = deployment, name, zone, ip
        self.process = None
        self.settings = deployment.folder / f"{name}.json"

    def start(self):
        d = self.deployment
        self.settings.write_text(fill((ROOT / "deploy/settings.json").read_text(), {
            "node": self.name, "region": d.zones[self.zone], "zone": self.zone, "ip": self.ip,
            "listen": {name: f"{self.ip}:{port}" for name, port in d.ports.items()},
            "internal-ports": [d.internal_port, d.internal_port + 15],
            "platform": {"address": f"{d.store_ip}:{d.store_port}"}, "zones": d.zones, "bounds": d.bounds}))
        self.log = (d.folder / f"{self.name}.log").open("a")
        self.process = subprocess.Popen(
            [str(PROGRAM), "--settings", str(self.settings)], cwd=ROOT, stdout=self.log, stderr=self.log,
            env={"PATH": os.environ["PATH"], "HOME": str(d.folder), "LANG": "C.UTF-8",
                 "KUMQUATCOVE_SETTINGS": str(self.settings)})
        d.record(f"start {self.name} pid {self.process.pid}")

    def signal(self, number):
        self.deployment.record(f"signal {number} to {self.name}")
        self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def memory_mb(self):
        """Resident memory in MB (10^6 bytes)."""
        try:
            pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return 0
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    async def is_ready(self):
        client = Client(self.ip, self.deployment.ports["ready"])
        try:
            await client.connect()
            answer = await client.request("GET", "ready", "/kumquatcove/ready", "0", 1000)
        except (OSError, asyncio.TimeoutError):
            return False
        client.close()
        return answer is not None and answer.status == 200


class Deployment:
    """Processes of kumquatcove, a store and targets, each on a loopback address of its own."""

    BOUNDS = {"retry-budget-ratio": 0.2, "budget-extra-tries": 58, "budget-window-s": 10, "grace-s": 6,
              "ttl_max_s": 5, "drain-s": 2.5, "max-region-shift": 0.15}

    def __init__(self, record, zones, network=None):
        if not PROGRAM.is_file():
            raise CannotRun("target/bin/kumquatcoved is missing: run the build of the deploy file")
        self.record, self.zones, self.bounds = record, zones, dict(self.BOUNDS)
        self.folder = Path(tempfile.mkdtemp(prefix="kumquatcove-review-"))
        self.network = network or self.free_network()
        self.store_ip = self.network + "250"
        ports = self.free_ports()
        self.ports = dict(zip(("front", "ready", "control", "directory"), ports))
        self.store_port, self.internal_port = ports[4], ports[5]
        self.store, self.machines, self.targets, self.runs = Store(), [], [], []
        self.looked_up = {}

    @staticmethod
    def free_network():
        """A loopback network that no other run uses; the port of the metrics is fixed in the settings template."""
        draw = random.SystemRandom()
        for _ in range(50):
            network = f"127.{draw.randint(20, 250)}.{draw.randint(1, 250)}."
            with socket.socket() as s:
                try:
                    s.bind((network + "1", 9464))
                    return network
                except OSError:
                    continue
        raise CannotRun("no free loopback network")

    def free_ports(self):
        """Ports for which nothing listens at any of the addresses in use."""
        sockets = []
        try:
            for _ in range(6):
                s = socket.socket()
                s.bind(("127.0.0.1", 0))
                sockets.append(s)
            return [s.getsockname()[1] for s in sockets]
        finally:
            for s in sockets:
                s.close()

    def configure(self, routes, services, version=7, max_body=67108864, idle_s=15):
        self.store.put("op", "config", json.dumps({
            "version": f"r{version}", "routes": routes, "services": services,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": max_body, "header-timeout-s": 3,
                       "idle-timeout-s": idle_s}}).encode())

    @staticmethod
    def route(name, host, prefix, kind, service, timeout_s=2, aim_s=0.4, attempts=2, priority=1):
        return {"name": name, "host": host, "prefix": prefix, "kind": kind, "timeout-s": timeout_s, "aim-s": aim_s,
                "priority": priority, "service": service, "max-attempts": attempts, "sticky": True,
                "home-regions": []}

    @staticmethod
    def service(name):
        return {"name": name, "health-path": "/health", "max-connections": 330, "protocol": "h1", "tls": False,
                "warmup-s": 3.0, "cold-per-s": 13.0}

    async def open_store(self):
        await self.store.open(self.store_ip, self.store_port)

    async def add_targets(self, count, service, zones, kind=Target, **settings):
        for i in range(count):
            target = kind(self.store, self.record, self.runs, f"i-{service}-{i:02d}", service, zones[i % len(zones)],
                          **settings)
            await target.open(self.network + str(100 + len(self.targets)))
            self.targets.append(target)

    async def start_machines(self, per_zone=1):
        for zone in self.zones:
            for i in range(per_zone):
                machine = Machine(self, f"front-{zone}-{i + 1}", zone, self.network + str(1 + len(self.machines)))
                machine.start()
                self.machines.append(machine)
        for machine in self.machines:
            for _ in range(100):
                if await machine.is_ready():
                    break
                await asyncio.sleep(0.1)
            else:
                raise CannotRun(f"{machine.name} isn't ready")
        self.record("all processes are ready")

    def close(self):
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
            if machine.process is not None:
                machine.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


async def watch_memory(deployment, machine, limit_mb, kills, peaks, until, restart_s=0.5):
    """The platform: kills a process over its memory, and starts an ended one again after a short delay."""
    while time.monotonic() < until:
        used = machine.memory_mb()
        peaks[machine.name] = max(peaks.get(machine.name, 0), used)
        if used > limit_mb:
            deployment.record(f"{machine.name} uses {used:.0f} MB, more than memory-mb: killed")
            kills.append((machine.name, time.monotonic()))
            machine.process.kill()
            machine.process.wait()
        if not machine.is_running():
            deployment.record(f"{machine.name} has ended, it is started again")
            await asyncio.sleep(restart_s)
            machine.start()
        await asyncio.sleep(0.02)


class User:
    """A client of one machine: asks the directory of its region, and keeps a connection for many requests."""

    def __init__(self, deployment, machine, keep=1):
        self.d, self.machine, self.keep = deployment, machine, keep
        self.client = Client(machine.ip, deployment.ports["front"])

    async def look_up(self):
        """Returns whether the directory names the machine. Some clients keep an answer for `keep` times its time to
        live."""
        if time.monotonic() < self.d.looked_up.get(self.machine.name, 0):
            return True
        client = Client(self.machine.ip, self.d.ports["directory"])
        zone = self.machine.zone
        try:
            await client.connect()
            answer = await client.request("GET", "directory", f"/kumquatcove/resolve?name=a.example"
                                          f"&region={self.d.zones[zone]}&zone={zone}", "0", 1000)
        except (OSError, asyncio.TimeoutError):
            return False
        client.close()
        if answer is None or f"{self.machine.ip}:{self.d.ports['front']}".encode() not in answer.body:
            return False
        self.d.looked_up[self.machine.name] = time.monotonic() + json.loads(answer.body)["ttl-s"] * self.keep
        return True

    async def open(self):
        """Returns whether there is a connection, perhaps a new one."""
        if self.client.is_open():
            return True
        self.client.close()
        try:
            if not await self.look_up():
                return False
            await self.client.connect()
            return True
        except (OSError, asyncio.TimeoutError):
            return False


class Orders:
    """Small unsafe requests on kept connections, and those whose connection ended without an answer."""

    def __init__(self, deployment, machine, per_s, path, name):
        self.d, self.machine, self.per_s, self.path, self.name = deployment, machine, per_s, path, name
        self.sent, self.cut, self.kept = 0, [], []

    async def one(self):
        user = self.kept.pop() if self.kept else User(self.d, self.machine)
        is_kept = user.client.is_open()
        if not is_kept and not await user.open():
            return
        self.sent += 1
        attempt = f"{self.name}-{self.machine.zone}-{self.sent:05d}"
        began = time.monotonic()
        answer = await user.client.request("PUT", "a.example", f"{self.path}{random.randrange(500)}", attempt, 2500)
        took = time.monotonic() - began
        self.d.record(f"sent {attempt}, {took:.3f} s ago; answered {answer.status if answer else 'nothing'}")
        if answer is None:
            user.client.close()
            if is_kept and took < 2.4:  # else the client's own deadline ended it
                self.cut.append(attempt)
                self.d.record(f"{attempt}: its kept connection ended without an answer after {took:.3f} s")
        if user.client.is_open():
            self.kept.append(user)

    async def run(self, until):
        tasks = []
        while time.monotonic() < until:
            tasks.append(asyncio.ensure_future(self.one()))
            await asyncio.sleep(1 / self.per_s)
        await asyncio.gather(*tasks)
        for user in self.kept:
            user.client.close()

    def lost(self):
        """Those that a target had run: accepted work whose answer was lost."""
        ran = {attempt for attempt, _, _ in self.d.runs}
        return [attempt for attempt in self.cut if attempt in ran]


def judge_memory(deployment, kills, orders):
    """The rules Fault and LOST as written, for processes that ended over their memory."""
    broken = []
    by_machine = {m.name: sum(name == m.name for name, _ in kills) for m in deployment.machines}
    if sum(count >= 3 for count in by_machine.values()) >= max(2, len(deployment.machines) / 10):
        broken.append(f"Fault: processes ended over the limit of memory: {by_machine}")
    lost = sum(len(o.lost()) for o in orders)
    deployment.record(f"orders sent {sum(o.sent for o in orders)}, run and lost on kept connections {lost}")
    if lost > 3:
        broken.append(f"LOST: {lost} orders that a target had run, on kept connections that were closed")
    return broken


def run_case(folder, case):
    """Runs `case(record)`, a coroutine function that returns the list of broken rules, and exits as the issue says."""
    random.seed(int(os.environ.get("SEED", "1")))
    record = Record(folder)
    try:
        broken = asyncio.run(case(record))
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        record(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    for line in broken:
        record(f"BROKEN {line}")
        print(f"BROKEN {line}")
    record("rule broken" if broken else "rule held")
    print("rule broken" if broken else "rule held")
    sys.exit(1 if broken else 0)
