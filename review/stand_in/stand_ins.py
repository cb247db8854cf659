"""Stand-ins of the users' platform for the cases of the review: store, targets, clients and the start of instances.

They speak what PROTOCOL.md says, over HTTP/1.1 on loopback addresses, and use nothing but Python's standard library.
One asyncio loop runs all of them; the instances are processes of their own.
"""
import asyncio
import base64
import hashlib
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent.parent
PROGRAM = ROOT / "target" / "bin" / "kumquatcoved"
TEMPLATE = ROOT / "deploy" / "settings.json"
HOST = "shop.example"
ADDRESS = "127.0.0.1"

BROKEN, HELD, NOT_RUN = 1, 0, 2


def trouble():
    """Whether the disruption of the case is to take place."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to record.txt, with the seconds since the start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.line("settings", trouble=int(trouble()))

    def now(self):
        return time.monotonic() - self.started

    def line(self, event, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{self.now():8.3f} {event} {text}\n")
        self.file.flush()


def free_port():
    with socket.socket() as probe:
        probe.bind((ADDRESS, 0))
        return probe.getsockname()[1]


class Head:
    """First line and header fields of a message."""

    def __init__(self, text):
        lines = text.split("\r\n")
        self.first = lines[0]
        self.fields = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:] if ":" in line]

    def get(self, name, default=""):
        return next((value for key, value in self.fields if key.lower() == name.lower()), default)


async def read_head(reader):
    text = await reader.readuntil(b"\r\n\r\n")
    return Head(text.decode("latin-1"))


async def read_body(reader, head):
    """Reads a body with a length or in chunks."""
    if "chunked" in head.get("Transfer-Encoding").lower():
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return body
    return await reader.readexactly(int(head.get("Content-Length", "0") or 0))


def message(first, fields, body=b""):
    lines = [first] + [f"{key}: {value}" for key, value in fields] + [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Server:
    """Serves HTTP/1.1 connections, one request at a time on each."""

    async def open(self):
        self.server = await asyncio.start_server(self.serve, ADDRESS, 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{ADDRESS}:{self.port}"

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                body = await read_body(reader, head)
                await self.answer(head, body, reader, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, ValueError):
            pass
        finally:
            writer.close()

    async def answer(self, head, body, reader, writer):
        raise NotImplementedError


class Store(Server):
    """The platform's store: rows, transactions and the feed. It acknowledges at once and loses nothing."""

    def __init__(self):
        self.rows = {}
        self.history = []
        self.version = 0
        self.changed = asyncio.Event()

    def put(self, table, key, value):
        self.version += 1
        self.rows[table, key] = (json.dumps(value).encode() if not isinstance(value, bytes) else value, self.version)
        self.note(table, key)

    def remove(self, table, key):
        if self.rows.pop((table, key), None):
            self.version += 1
            self.note(table, key)

    def note(self, table, key):
        self.history.append((self.version, table, key))
        self.changed.set()
        self.changed = asyncio.Event()

    def row(self, table, key):
        if (table, key) not in self.rows:
            return {"table": table, "part": "", "key": key, "ver": self.version, "deleted": True}
        value, version = self.rows[table, key]
        return {"table": table, "part": "", "key": key, "value": base64.b64encode(value).decode(), "ver": version}

    async def answer(self, head, body, reader, writer):
        await asyncio.sleep(0.004)
        url = urlsplit(head.first.split(" ")[1])
        query = {key: values[0] for key, values in parse_qs(url.query, keep_blank_values=True).items()}
        status, reply = 404, {}
        if url.path == "/kumquatcove/rows-get":
            status, reply = 200, self.get(query)
        elif url.path == "/kumquatcove/rows-feed":
            status, reply = 200, await self.feed(query)
        elif url.path == "/kumquatcove/rows-tx":
            status, reply = self.write(json.loads(body))
        reply.update({"ver": self.version, "now-s": time.monotonic()})
        writer.write(message(f"HTTP/1.1 {status} X", [("Content-Type", "application/json"), ("Store-Era", "1")],
                             json.dumps(reply).encode()))

    def get(self, query):
        keys = sorted(key for table, key in self.rows if table == query["table"] and key >= query.get("from", "")
                      and ("target" not in query or key < query["target"]))
        limit = min(int(query.get("limit", 500)), 500)
        return {"rows": [self.row(query["table"], key) for key in keys[:limit]], "has-more": len(keys) > limit}

    async def feed(self, query):
        end = time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            newest = {key: version for version, table, key in self.history
                      if table == query["table"] and version > int(query["after"])}
            if newest:
                return {"rows": [self.row(query["table"], key)
                                 for key in sorted(newest, key=newest.get)]}
            left = end - time.monotonic()
            if left <= 0:
                return {"rows": []}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def write(self, call):
        present = [row for row in call["expected"] if (row["table"], row["key"]) in self.rows]
        for row in call["expected"]:
            _, version = self.rows.get((row["table"], row["key"]), (b"", 0))
            if version != row["ver"]:
                return 412, {"rows": [self.row(r["table"], r["key"]) for r in present]}
        for row in call["set-keys"]:
            self.put(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in call["delete-keys"]:
            self.remove(row["table"], row["key"])
        return 200, {}


def seal(attempt, body):
    return hashlib.sha256(attempt.encode() + body).hexdigest()[:24]


class Target(Server):
    """A target: runs `slots` requests at the same time, queues a few more, sheds the others."""

    def __init__(self, store, record, service, zone, slots=3, queue=9, work=None, answer=None):
        self.store, self.record, self.service, self.zone = store, record, service, zone
        self.slots, self.queue = slots, queue
        self.work = work or (lambda head: 0.2)
        self.body = answer or (lambda head: b"served " + head.get("Attempt-Id").encode())
        self.running, self.waiting = 0, 0
        self.free = asyncio.Condition()
        self.runs = []
        # Attempt-Id -> [begin, end] of its run, the end None while it lasts.
        self.times = {}

    async def open(self):
        await super().open()
        self.id = f"i-{self.port:x}"
        self.store.put("servers", self.id, {
            "address": self.address, "born": int(time.time() * 1000),
            "info": {"service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots},
            "status": {"state": "ready", "seq": 1, "cold-left-s": 0}})

    async def answer(self, head, body, reader, writer):
        attempt = head.get("Attempt-Id")
        common = [("Instance-Id", self.id), ("Attempt-Id", attempt)]
        if head.first.split(" ")[1] == "/health":
            writer.write(message("HTTP/1.1 200 OK", common[:1] + [self.load()], b""))
            return
        if head.get("Expect-Instance", self.id) != self.id:
            writer.write(message("HTTP/1.1 421 Misdirected Request", common, b""))
            return
        if self.running >= self.slots and self.waiting >= self.queue:
            writer.write(message("HTTP/1.1 503 Service Unavailable", common + [("Not-Executed", "1"), self.load()]))
            return
        async with self.free:
            self.waiting += 1
            await self.free.wait_for(lambda: self.running < self.slots)
            self.waiting -= 1
            self.running += 1
        self.runs.append((attempt, head.first, body))
        self.times[attempt] = [time.monotonic(), None]
        self.record.line("run", attempt=attempt, target=self.id, request=f'"{head.first}"', bytes=len(body))
        try:
            await asyncio.sleep(self.work(head))
        finally:
            async with self.free:
                self.running -= 1
                self.free.notify_all()
        self.times[attempt][1] = time.monotonic()
        reply = self.body(head)
        self.record.line("done", attempt=attempt, target=self.id)
        writer.write(message("HTTP/1.1 200 OK", common + [("Server-Seal", seal(attempt, reply)), self.load()], reply))

    def load(self):
        return ("Server-Load", f"{self.running},{self.waiting},{self.slots}")


def route(name, prefix, service, kind, timeout, aim=0.4):
    return {"name": name, "host": HOST, "prefix": prefix, "kind": kind, "timeout-s": timeout, "aim-s": aim,
            "priority": 1, "service": service, "max-attempts": 2, "sticky": False, "home-regions": []}


def configuration(version, routes, services, max_body=67108864):
    return {"version": f"r{version}", "routes": routes,
            "services": [{"name": name, "health-path": "/health", "max-connections": 330, "protocol": "h1",
                          "tls": False, "warmup-s": 3.0, "cold-per-s": 13.0} for name in services],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": max_body, "header-timeout-s": 3,
                       "idle-timeout-s": 15}}


BOUNDS = {"retry-budget-ratio": 0.2, "budget-extra-tries": 58, "budget-window-s": 10, "grace-s": 6, "ttl_max_s": 5,
          "drain-s": 2.5, "max-region-shift": 0.15}
ZONES = {"suva-a": "viti-levu", "nadi-b": "viti-levu", "labasa-a": "vanua-levu"}


class Instance:
    """One process of the role `entry`, started as the deploy file says, with the settings template filled."""

    def __init__(self, name, zone, store, record, folder):
        self.name, self.zone, self.store, self.record = name, zone, store, record
        self.folder = Path(folder)
        self.ports = {key: free_port() for key in ("front", "directory", "ready", "operator", "peer")}
        self.process = None

    def address(self, key):
        return f"{ADDRESS}:{self.ports[key]}"

    def fill(self):
        text = TEMPLATE.read_text()
        values = {"node": self.name, "region": ZONES[self.zone], "zone": self.zone, "ip": ADDRESS,
                  "listen.front": self.address("front"), "listen.directory": self.address("directory"),
                  "listen.ready": self.address("ready"), "internal-ports.0": self.ports["peer"],
                  "platform.address": self.store.address, "zones|json": json.dumps(ZONES)}
        values.update({f"bounds.{key}": value for key, value in BOUNDS.items()})
        # The metrics port is the same on all machines, which share one address here.
        text = text.replace("{{ip}}:9464", self.address("operator"))
        for key, value in values.items():
            text = text.replace("{{" + key + "}}", str(value))
        if "{{" in text:
            raise RuntimeError("a placeholder of deploy/settings.json isn't known: " + re.search("{{.*?}}", text)[0])
        return text

    async def start(self):
        settings = self.folder / f"{self.name}.json"
        settings.write_text(self.fill())
        self.log = open(self.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            str(PROGRAM), "--settings", str(settings), cwd=ROOT, stdout=self.log, stderr=self.log,
            env={"PATH": os.environ.get("PATH", ""), "HOME": str(self.folder)})
        self.record.line("started", instance=self.name, pid=self.process.pid)

    async def wait_ready(self, seconds=20):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.process.returncode is not None:
                raise RuntimeError(f"{self.name} ended at its start with {self.process.returncode}")
            status = await ask(self.address("ready"), "/kumquatcove/ready")
            if status == 200:
                self.record.line("ready", instance=self.name)
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{self.name} isn't ready after {seconds} s")

    def signal(self, number):
        self.record.line("signal", instance=self.name, number=signal.Signals(number).name)
        self.process.send_signal(number)

    def rss_mb(self):
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
        return 0

    async def stop(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


async def ask(address, target):
    """Returns the status of a GET, or 0."""
    host, port = address.split(":")
    writer = None
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(f"GET {target} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n".encode())
        head = await asyncio.wait_for(read_head(reader), 1)
        return int(head.first.split(" ")[1])
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        return 0
    finally:
        if writer:
            writer.close()


async def resolve(directory, zone):
    """Asks a directory; returns the addresses and the time to live, or None."""
    host, port = directory.split(":")
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
        writer.write(f"GET /kumquatcove/resolve?name={HOST}&region={ZONES[zone]}&zone={zone} HTTP/1.1\r\n"
                     f"Host: {directory}\r\nConnection: close\r\n\r\n".encode())
        head = await asyncio.wait_for(read_head(reader), 1)
        body = await asyncio.wait_for(read_body(reader, head), 1)
        reply = json.loads(body)
        if head.first.split(" ")[1] == "200" and reply.get("addresses"):
            return reply["addresses"], reply["ttl-s"]
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
        pass
    finally:
        if writer:
            writer.close()
    return None


async def run_case(folder, play):
    """Plays a case in a temporary folder, ends what it started, and returns the exit status.

    `play(record, work, instances)` returns whether the rule held, and adds the instances that it starts.
    """
    record = Record(folder)
    if not PROGRAM.is_file():
        record.line("not_run", reason="the build of the deploy file is missing")
        return NOT_RUN
    instances = []
    with tempfile.TemporaryDirectory() as work:
        try:
            held = await asyncio.wait_for(play(record, work, instances), 110)
            status = HELD if held else BROKEN
        except Exception as error:  # noqa: the case couldn't run
            record.line("not_run", reason=f'"{type(error).__name__}: {error}"')
            print(f"not run: {type(error).__name__}: {error}", file=sys.stderr)
            status = NOT_RUN
        finally:
            for instance in instances:
                await instance.stop()
            if os.environ.get("KEEP_LOGS"):
                for log in Path(work).glob("*.log"):
                    (Path(os.environ["KEEP_LOGS"]) / log.name).write_bytes(log.read_bytes())
    record.line("result", status=status, text={HELD: "held", BROKEN: "broken", NOT_RUN: "not_run"}[status])
    return status


def main(folder, play):
    status = asyncio.run(run_case(folder, play))
    print({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "the case couldn't run"}[status])
    sys.exit(status)
