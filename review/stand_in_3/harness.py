"""Stand-ins of the users' platform for the cases of review/: store, targets, clients and the start of instances.

Everything listens on loopback addresses and free ports. The pages that say what is spoken are PROTOCOL.md, DEPLOY.md
and the news. One event loop runs all stand-ins of a case; the instances are separate processes.
"""
import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

HOST = "127.0.0.1"
ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played, which says nothing about the rule."""


def trouble():
    """Returns whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


PORTS = random.sample(range(20000, 32000), 2000)


def free_port():
    """Returns a port that nobody uses, below those that the kernel gives to connections that are opened."""
    while PORTS:
        port = PORTS.pop()
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
                return port
            except OSError:
                continue
    raise CannotRun("no free port")


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self._begin = time.monotonic()

    def now(self):
        return time.monotonic() - self._begin

    def __call__(self, text, echo=False):
        line = f"{self.now():8.3f} s  {text}"
        self._file.write(line + "\n")
        self._file.flush()
        if echo:
            print(line, flush=True)


class Message:
    """One HTTP/1.1 message."""

    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers
        self.body = body

    def header(self, name, default=""):
        return self.headers.get(name.lower(), default)

    @property
    def method(self):
        return self.start.split(" ")[0]

    @property
    def target(self):
        return self.start.split(" ")[1]

    @property
    def status(self):
        return int(self.start.split(" ")[1])


async def read_message(reader):
    """Reads one message with a stated length; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(lines[0], headers, body)


def format_message(start, headers, body=b"", length=True):
    lines = [start] + [f"{name}: {value}" for name, value in headers]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's store: rows, transactions and feeds, as in PROTOCOL.md."""

    def __init__(self, record):
        self._record = record
        self.rows = {}
        self.history = []
        self.version = 0
        # Called with a transaction; returns None, or the seconds after which a transaction that gets no answer is done.
        self.late = lambda transaction: None
        self._changed = asyncio.Event()

    async def open(self):
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = "%s:%d" % self._server.sockets[0].getsockname()[:2]

    def put(self, table, key, value):
        """A write by the operator or by a target."""
        self._apply([(table, key, json.dumps(value).encode())])

    def keys(self, table):
        return sorted(key for name, key in self.rows if name == table)

    def _apply(self, changes):
        self.version += 1
        for table, key, value in changes:
            if value is None:
                self.rows.pop((table, key), None)
            else:
                self.rows[table, key] = (value, self.version)
            self.history.append((self.version, table, key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                answer = await self._answer(request)
                if answer is None:
                    break
                status, body = answer
                body |= {"ver": self.version, "now-s": time.monotonic()} if status in (200, 412) else {}
                writer.write(format_message(f"HTTP/1.1 {status} X",
                                            [("Content-Type", "application/json"), ("Store-Era", "1")],
                                            json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()

    async def _answer(self, request):
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query, keep_blank_values=True).items()}
        if parts.path == "/kumquatcove/rows-get":
            return 200, self._get(query)
        if parts.path == "/kumquatcove/rows-feed":
            return 200, await self._feed(query)
        if parts.path == "/kumquatcove/rows-tx":
            return await self._transact(json.loads(request.body))
        return 404, {}

    @staticmethod
    def _row(table, key, value, version):
        row = {"table": table, "part": "", "key": key, "ver": version}
        if value is None:
            return row | {"deleted": True}
        return row | {"value": base64.b64encode(value).decode()}

    def _get(self, query):
        limit = min(int(query.get("limit", 500)), 500)
        found = [self._row(table, key, *self.rows[table, key]) for table, key in sorted(self.rows)
                 if table == query["table"] and key >= query.get("from", "")
                 and ("target" not in query or key < query["target"])]
        return {"rows": found[:limit], "has-more": len(found) > limit}

    async def _feed(self, query):
        end = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        while True:
            changes = [self._row(table, key, value, version) for version, table, key, value in self.history
                       if table == query["table"] and version > int(query["after"])]
            left = end - time.monotonic()
            if changes or left <= 0:
                return {"rows": changes}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def _transact(self, call):
        delay = self.late(call)
        if delay is not None:
            asyncio.get_running_loop().call_later(delay, self._commit, call, True)
            await asyncio.sleep(30)
            return None
        return self._commit(call, False)

    def _commit(self, call, is_late):
        for row in call["expected"]:
            if self.rows.get((row["table"], row["key"]), (None, 0))[1] != row["ver"]:
                return 412, {"rows": []}
        sets = [(row["table"], row["key"], base64.b64decode(row["value"])) for row in call["set-keys"]]
        deletes = [(row["table"], row["key"], None) for row in call["delete-keys"]]
        self._apply(sets + deletes)
        self._record(f"store: {'late, ' if is_late else ''}sets {[key for _, key, _ in sets]}, "
                     f"deletes {[key for _, key, _ in deletes]}; entries now {self.keys('kumquatcove-entries')}", True)
        return 200, {}


class Target:
    """A target of a service; a case changes its behaviour by overriding `answer` or `respond`."""

    def __init__(self, store, record, identity, service, zone, slots=4, work_s=0.1):
        self._store = store
        self.record = record
        self.identity = identity
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.running = 0
        self.sequence = 0
        self.runs = []
        self.arrivals = []
        self.state = "ready"
        self.born = int(time.time() * 1000)

    async def open(self):
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = "%s:%d" % self._server.sockets[0].getsockname()[:2]
        self.beat()

    def beat(self):
        """Writes the target's row."""
        self.sequence += 1
        self._store.put("servers", self.identity, {
            "address": self.address, "born": self.born,
            "info": {"service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots},
            "status": {"state": self.state, "seq": self.sequence, "cold-left-s": 0}})

    def load(self):
        return ("Server-Load", f"{min(self.running, self.slots)},{max(0, self.running - self.slots)},{self.slots}")

    async def _serve(self, reader, writer):
        try:
            await self.connection(reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()

    async def connection(self, reader, writer):
        while True:
            request = await read_message(reader)
            if request is None:
                return
            writer.write(await self.respond(request))
            await writer.drain()

    async def respond(self, request):
        """Returns the bytes of the answer to a request."""
        if request.target == "/health":
            return format_message("HTTP/1.1 200 OK", [("Instance-Id", self.identity), self.load()])
        if request.header("expect-instance") not in ("", self.identity):
            return format_message("HTTP/1.1 421 Misdirected Request", [("Instance-Id", self.identity)])
        attempt = request.header("attempt-id")
        self.arrivals.append((time.monotonic(), attempt))
        return await self.run(request, attempt)

    def extra_headers(self):
        return []

    async def run(self, request, attempt):
        self.runs.append(attempt)
        self.record(f"{self.identity} runs {attempt}")
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        return format_message("HTTP/1.1 200 OK", [("Attempt-Id", attempt), ("Server-Seal", f"seal-{attempt}"),
                                                  self.load()] + self.extra_headers(),
                              f"{self.identity} {attempt}".encode())


class Instance:
    """An entry instance: the daemon with the command and the settings template of the deploy file."""

    def __init__(self, folder, record, store, name, zone, zones, bounds, program):
        self.name = name
        self.zone = zone
        self._record = record
        self._program = program
        self._log = Path(folder) / f"{name}.log"
        self._settings = Path(folder) / f"{name}.json"
        self.front, self.ready, self.directory, self.peer, self.operator = (
            f"{HOST}:{free_port()}" for _ in range(5))
        self.process = None
        values = {"node": name, "region": zones[zone], "zone": zone, "listen.front": self.front,
                  "listen.ready": self.ready, "listen.directory": self.directory, "ip": HOST,
                  "internal-ports.0": self.peer.split(":")[1], "platform.address": store.address,
                  "zones|json": json.dumps(zones)}
        values |= {f"bounds.{key}": value for key, value in bounds.items()}
        template = (ROOT / "deploy/settings.json").read_text()
        settings = json.loads(re.sub(r"\{\{([^}]+)\}\}", lambda match: str(values[match[1]]), template))
        # All instances share one address here, so that the fixed port of the metrics would clash.
        settings["operator_address"] = self.operator
        self._settings.write_text(json.dumps(settings))

    async def start(self):
        with open(self._log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                str(self._program), "--settings", str(self._settings), stdout=log, stderr=log, cwd=ROOT)
        self._record(f"{self.name} started, process {self.process.pid}", True)

    async def wait_ready(self, timeout=15):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if await self.is_ready():
                self._record(f"{self.name} is ready", True)
                return
            if self.process.returncode is not None:
                raise CannotRun(f"{self.name} ended with status {self.process.returncode}: "
                                f"{self._log.read_text(errors='replace').splitlines()[-1:]}")
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} isn't ready after {timeout} s")

    async def is_ready(self):
        try:
            connection = await Connection.open(self.ready)
            answer = await connection.ask("GET", "/kumquatcove/ready", [("Host", "ready")], timeout=1)
            connection.close()
            return answer is not None and answer.status == 200
        except OSError:
            return False

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self._record(f"{self.name} gets {signal.Signals(number).name}", True)
            self.process.send_signal(number)

    async def stop(self, grace=6):
        """A planned stop: SIGTERM, then SIGKILL after the grace time."""
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), grace)
        except asyncio.TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()
        self._record(f"{self.name} ended with status {self.process.returncode}", True)

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


class Connection:
    """A client's connection."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, address):
        host, port = address.split(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    async def ask(self, method, target, headers, body=b"", timeout=10.0):
        """Sends a request and returns its answer; None if the connection ended first or the time ran out."""
        start = f"{method} {target} HTTP/1.1"
        try:
            self.writer.write(format_message(start, headers, body, length=bool(body)))
            return await asyncio.wait_for(read_message(self.reader), timeout)
        except (asyncio.TimeoutError, ConnectionError):
            return None

    def close(self):
        self.writer.close()


def configuration(routes, services, version="r7"):
    """op/config with the fields that PROTOCOL.md and `fleetbench wire` show."""
    return {"version": version, "routes": routes, "services": [
        {"name": name, "health-path": "/health", "max-connections": 330, "protocol": "h1", "tls": False,
         "warmup-s": 3.0, "cold-per-s": 13.0} for name in services],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-s": 3,
                   "idle-timeout-s": 15}}


def route(name, host, prefix, kind, service, timeout_s=2, aim_s=0.4, max_attempts=2):
    return {"name": name, "host": host, "prefix": prefix, "kind": kind, "timeout-s": timeout_s, "aim-s": aim_s,
            "priority": 1, "service": service, "max-attempts": max_attempts, "sticky": True, "home-regions": []}


# The settings of fmhx-orders, as `fleetbench wire` prints them.
ZONES = {"suva-a": "viti-levu", "labasa-a": "vanua-levu", "lakeba-a": "lau-group", "nadi-b": "viti-levu",
         "savusavu-b": "vanua-levu", "vanuabalavu-b": "lau-group"}
BOUNDS = {"drain-s": 2.5, "grace-s": 6, "contact-s": 4, "retry-budget-ratio": 0.2, "budget-window-s": 10,
          "budget-extra-tries": 58, "ttl_max_s": 5, "max-region-shift": 0.15}


class Case:
    """What the cases share; a case overrides `play`, which returns whether the rule held."""

    def __init__(self, folder):
        self.folder = folder
        self.record = Record(folder)
        self.work = Path(tempfile.mkdtemp(prefix="kumquatcove-review-"))
        self.instances = []
        self.program = ROOT / "target/bin/kumquatcoved"

    def add_instance(self, name, zone):
        instance = Instance(self.work, self.record, self.store, name, zone, ZONES, BOUNDS, self.program)
        self.instances.append(instance)
        return instance

    async def play(self):
        raise NotImplementedError

    async def _run(self):
        # Whoever ends the case ends the instances as well.
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        self.store = Store(self.record)
        await self.store.open()
        try:
            return HELD if await self.play() else BROKEN
        finally:
            for instance in self.instances:
                await instance.end()

    def main(self):
        status = CANNOT_RUN
        try:
            if not self.program.exists():
                raise CannotRun(f"{self.program.relative_to(ROOT)} is missing: run the build of the deploy file")
            status = asyncio.run(asyncio.wait_for(self._run(), 110))
        except (CannotRun, OSError, asyncio.TimeoutError, asyncio.CancelledError) as error:
            self.record(f"couldn't run: {error!r}", True)
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.work, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.work, ignore_errors=True)
        self.record({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", CANNOT_RUN: "not run"}[status], True)
        sys.exit(status)
