"""Stand-ins for the second review's scripts: the platform's store, endpoints, clients, and a launcher
of nodes that fills the template of the deploy file.

They follow the users' pages. Everything listens on addresses of one 127.x.y.0/24 network, chosen
at random so that several scripts may run beside each other.
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
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be set up, so it says nothing about the rule."""


# --- HTTP/1.1 messages -------------------------------------------------------------------------

class Message:
    """A request or a response: first line, header fields in order, and body."""

    def __init__(self, line, fields, body=b"", complete=True):
        self.line, self.fields, self.body, self.complete = line, fields, body, complete

    def get(self, name, default=None):
        name = name.lower()
        for key, value in self.fields:
            if key.lower() == name:
                return value
        return default

    @property
    def status(self):
        return int(self.line.split(" ")[1])


async def read_head(reader):
    """Reads the first line and the header fields; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError(f"broken off in a head: {error.partial!r}") from error
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:] if line]
    return Message(lines[0], fields)


async def read_body(reader, message, until_close=False):
    """Reads the body into the message; `complete` is false if it was broken off."""
    try:
        if "chunked" in (message.get("transfer-encoding") or ""):
            parts = []
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                if size == 0:
                    break
                parts.append(data[:-2])
            message.body = b"".join(parts)
        elif message.get("content-length") is not None:
            message.body = await reader.readexactly(int(message.get("content-length")))
        elif until_close:
            message.body = await reader.read(-1)
    except asyncio.IncompleteReadError as error:
        message.body, message.complete = error.partial, False
    return message


def response(status, fields, body=b"", length=True):
    """Returns the bytes of a response."""
    reason = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed",
              421: "Misdirected Request", 503: "Service Unavailable"}.get(status, "Status")
    lines = [f"HTTP/1.1 {status} {reason}"] + [f"{key}: {value}" for key, value in fields]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def serve(address, handle):
    """Serves connections at an address; `handle(reader, writer)` ends quietly on a broken one."""
    async def guarded(reader, writer):
        try:
            await handle(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
    host, port = address.rsplit(":", 1)
    return await asyncio.start_server(guarded, host, int(port), limit=1 << 22)


# --- record ------------------------------------------------------------------------------------

class Record:
    """What was sent, answered and run, with the seconds since the start; written to record.txt."""

    def __init__(self, folder):
        self.begun = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.write("run", trouble=TROUBLE)

    def now(self):
        return time.monotonic() - self.begun

    def write(self, event, **details):
        text = " ".join(f"{key}={value}" for key, value in details.items())
        self.file.write(f"{self.now():9.4f} {event} {text}\n")
        self.file.flush()


# --- the platform's store ----------------------------------------------------------------------

class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.revision, self.items, self.log = 10, {}, []
        self.leases, self.next_lease = {}, 77000
        self.changed = asyncio.Condition()
        self.era = None

    async def start(self, address):
        self.server = await serve(address, self.connection)
        self.expiry = asyncio.create_task(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.1)
            for lease, (ends, _) in list(self.leases.items()):
                if time.monotonic() >= ends:
                    await self.end_lease(lease)

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            await self.apply([], keys)

    async def apply(self, puts, deletes):
        async with self.changed:
            self.revision += 1
            for key, value, lease in puts:
                created = self.items.get(key, {"created": self.revision})["created"]
                item = {"key": key, "value": value, "revision": self.revision,
                        "created": created, "lease": lease}
                self.items[key] = item
                self.log.append(item)
            for key in deletes:
                if self.items.pop(key, None):
                    self.log.append({"key": key, "revision": self.revision, "tombstone": True})
            self.changed.notify_all()

    async def put(self, key, document):
        """Writes a document as the operator does."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        await self.apply([(key, value, 0)], [])

    async def connection(self, reader, writer):
        while (request := await read_head(reader)) is not None:
            await read_body(reader, request)
            status, body = await self.answer(request)
            fields = [("Content-Type", "application/json")]
            if self.era is not None:
                fields.append(("Store-Era", self.era))
            writer.write(response(status, fields, json.dumps(body).encode()))
            await writer.drain()

    async def answer(self, request):
        method, target, _ = request.line.split(" ")
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        body = json.loads(request.body) if request.body else {}
        if path == "/api/kv-key":
            item = self.items.get(query["key"])
            return (200, item | {"asOf": self.revision}) if item else (404, {"asOf": self.revision})
        if path == "/api/kv-range":
            keys = sorted(key for key in self.items
                          if key.startswith(query["prefix"]) and key > query.get("after", ""))
            return 200, {"items": [self.items[key] for key in keys], "hasMore": False,
                         "asOf": self.revision}
        if path == "/api/kv-watch":
            return await self.watch(query)
        if path == "/api/kv-txn":
            return await self.transact(body)
        if path == "/api/kv-lease":
            self.next_lease += 1
            ttl = body["ttlMs"] / 1000
            self.leases[self.next_lease] = (time.monotonic() + ttl, ttl)
            return 200, {"lease": self.next_lease, "ttlMs": body["ttlMs"]}
        lease = int(path.rsplit("/", 1)[1])
        if path.startswith("/api/kv-keep/"):
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl, ttl)
            return 200, {"lease": lease, "ttlMs": int(ttl * 1000)}
        await self.end_lease(lease)
        return 200, {}

    async def watch(self, query):
        after, prefix = int(query["after"]), query["prefix"]
        ends = time.monotonic() + int(query["waitMs"]) / 1000
        async with self.changed:
            while True:
                events = [entry for entry in self.log
                          if entry["revision"] > after and entry["key"].startswith(prefix)]
                left = ends - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "asOf": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except TimeoutError:
                    pass

    async def transact(self, body):
        rows = body.get("expected", [])
        current = [self.items.get(row["key"], {"revision": 0})["revision"] for row in rows]
        if any(now != row["revision"] for now, row in zip(current, rows)):
            items = [self.items[row["key"]] for row in rows if row["key"] in self.items]
            return 412, {"items": items}
        puts = [(put["key"], put["value"], put.get("lease", 0)) for put in body.get("puts", [])]
        if any(lease and lease not in self.leases for _, _, lease in puts):
            return 404, {}
        await self.apply(puts, body.get("deletes", []))
        return 200, {"revision": self.revision}


# --- endpoints ---------------------------------------------------------------------------------

class Endpoint:
    """An application endpoint: runs requests, answers health checks, and sends heartbeats."""

    def __init__(self, mesh, node, service, work_s=0.05, slots=8):
        self.mesh, self.node, self.service = mesh, node, service
        self.id = f"i-{random.getrandbits(32):08x}"
        self.work_s, self.slots, self.running = work_s, slots, 0
        self.runs = {}
        self.state, self.sequence = "ready", 0

    async def start(self):
        self.server = await serve(self.node.app, self.connection)
        self.beats = asyncio.create_task(self.beat())

    def load(self):
        return ("X-Server-Load", f"{self.running},0,{self.slots}")

    async def connection(self, reader, writer):
        while (request := await read_head(reader)) is not None:
            method, path, _ = request.line.split(" ")
            if path == "/health":
                writer.write(response(200, [("X-Instance-Id", self.id), self.load()], b"ok"))
            elif request.get("X-Expected-Instance", self.id) != self.id:
                fields = [("X-Attempt-Id", request.get("X-Attempt-Id")), ("X-Not-Executed", 1),
                          ("X-Instance-Id", self.id)]
                await read_body(reader, request)
                writer.write(response(421, fields))
            else:
                await self.run(request, reader, writer)
            await writer.drain()

    async def run(self, request, reader, writer):
        """Runs a request. It has run once this begins."""
        attempt = request.get("X-Attempt-Id")
        await read_body(reader, request)
        self.begin(attempt, request)
        try:
            await asyncio.sleep(self.work_s)
            await self.answer(request, writer)
        finally:
            self.running -= 1

    def begin(self, attempt, request):
        self.running += 1
        self.runs.setdefault(attempt, []).append(request)
        self.mesh.record.write("began", endpoint=self.id, attempt=attempt,
                               request=f"{request.line!r}", body_bytes=len(request.body),
                               deadline_ms=request.get("X-Deadline-Ms"))

    def signed(self, request):
        signature = f"3e1b.{request.get('X-Attempt-Id')}.{self.id}"
        return [("X-Attempt-Id", request.get("X-Attempt-Id")),
                ("X-Response-Signature", signature), self.load()]

    async def answer(self, request, writer):
        writer.write(response(200, self.signed(request), b"done " + self.id.encode()))

    async def beat(self):
        while True:
            await self.say()
            await asyncio.sleep(1.5)

    async def say(self):
        """Sends one heartbeat; returns whether it was acknowledged."""
        self.sequence += 1
        body = {"service": self.service, "address": self.node.app, "zone": self.node.zone,
                "version": "v1", "slots": self.slots, "state": self.state,
                "coldRemainingMs": 0, "sequence": self.sequence}
        try:
            answer = await asyncio.wait_for(
                call(self.node.control, "PUT", f"/api/instances/{self.id}",
                     [("Content-Type", "application/json")], json.dumps(body).encode()), 1)
            return 200 <= answer.status < 300
        except (ConnectionError, OSError, TimeoutError):
            return False


# --- clients -----------------------------------------------------------------------------------

def request_bytes(method, path, fields, body=b"", host="shop.example", length=True):
    """Returns the bytes of a request. The body gets a length unless the caller encodes it itself."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{key}: {value}" for key, value in fields]
    if length and (body or method in ("POST", "PUT")):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def connect(address):
    host, port = address.rsplit(":", 1)
    return await asyncio.open_connection(host, int(port), limit=1 << 22)


async def read_answer(reader):
    """Reads an answer; interim answers (1xx) are skipped. None if the connection ended first."""
    while (answer := await read_head(reader)) is not None:
        if not answer.line.startswith("HTTP/1.1 "):
            return answer
        if answer.status >= 200:
            return await read_body(reader, answer, until_close=True)
    return None


async def call(address, method, path, fields, body=b"", host="shop.example"):
    """Sends one request on a connection of its own and returns the answer."""
    reader, writer = await connect(address)
    try:
        writer.write(request_bytes(method, path, fields, body, host))
        answer = await read_answer(reader)
        if answer is None:
            raise ConnectionError("closed without an answer")
        return answer
    finally:
        writer.close()


def attempt_id():
    return f"{random.getrandbits(64):016x}"


# --- nodes -------------------------------------------------------------------------------------

def lookup(path, scopes):
    if path == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in path.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


SECTION = re.compile(r"\{\{([#^])([^{}]+)\}\}(.*?)\{\{/\2\}\}", re.S)


def render(template, scopes):
    """Fills a template of settings as the users' page on the deploy file describes."""
    def section(match):
        kind, path, inner = match.groups()
        value = lookup(path, scopes)
        if kind == "^":
            return "" if value else render(inner, scopes)
        if not value:
            return ""
        entries = value if isinstance(value, list) else [value]
        filled = []
        for index, entry in enumerate(entries):
            text = inner.replace("{{,}}", "," if index + 1 < len(entries) else "")
            filled.append(render(text, [*scopes, entry]))
        return "".join(filled)

    def value(match):
        path, _, form = match.group(1).partition("|")
        found = lookup(path, scopes)
        if form == "json":
            return json.dumps(found)
        if isinstance(found, list):
            return ",".join(map(str, found))
        return "" if found is None else str(found)

    return re.sub(r"\{\{([^{}#^/]+)\}\}", value, SECTION.sub(section, template))


BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 3000, "ackMs": 4000, "catchUpS": 4,
          "drainMs": 2000, "graceS": 6, "lostMs": 200, "configMs": 2000, "rollbackSlackMs": 250,
          "maxStretchMs": 5000, "budgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 58,
          "recoveryS": 15, "probesPerS": 60}


class Node:
    """A machine with a node, and the address of the endpoint beside it."""

    def __init__(self, mesh, number, service, zone):
        self.mesh, self.service, self.zone = mesh, service, zone
        self.name = f"sidecar-{zone}-{number}"
        self.ip = f"{mesh.network}.{10 + number}"
        self.inbound, self.outbound, self.ready, self.control, self.app = (
            f"{self.ip}:{port}" for port in mesh.ports[:5])
        self.process, self.log = None, os.path.join(mesh.folder, f"{self.name}.log")

    def settings(self):
        first, last = self.mesh.ports[5], self.mesh.ports[6]
        return {
            "nodeName": self.name, "zone": self.zone, "ip": self.ip, "service": self.service,
            "listen": {"inbound": self.inbound, "outbound": self.outbound,
                       "readinessAddress": self.ready, "control": self.control},
            "appAddress": self.app, "seeds": [], "internalPortRange": [first, last],
            "platform": {"address": self.mesh.store_address}, "bounds": self.mesh.bounds,
        }

    async def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = next(iter(tomllib.load(file)["roles"].values()))
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            settings = render(file.read(), [self.settings()])
        path = os.path.join(self.mesh.folder, f"{self.name}.conf")
        with open(path, "w", encoding="utf-8") as file:
            file.write(settings)
        words = role["run"].replace("/etc/mintridge/boot.conf", path).split()
        words[0] = os.path.join(ROOT, words[0])
        if not os.path.exists(words[0]):
            raise CannotRun(f"{words[0]} is not built")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environment | {"MINTRIDGE_SETTINGS": path},
                stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL)
        self.mesh.record.write("node started", node=self.name, outbound=self.outbound,
                               pid=self.process.pid)

    def send(self, number):
        self.mesh.record.write("signal", node=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            answer = await asyncio.wait_for(call(self.ready, "GET", "/accepting", []), 1)
            return answer.status == 200
        except (ConnectionError, OSError, TimeoutError):
            return False


class Mesh:
    """A small deployment: the store, nodes, and an endpoint beside each."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="mintridge-review-")
        self.network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.ports = self.free_ports(7)
        self.store_address = f"{self.network}.200:{self.ports[0]}"
        self.bounds = dict(BOUNDS)
        self.store, self.nodes = Store(), []

    def free_ports(self, count):
        """Returns ports that are free on the first address of the network."""
        sockets = [socket.socket() for _ in range(count)]
        for each in sockets:
            each.bind((f"{self.network}.11", 0))
        ports = [each.getsockname()[1] for each in sockets]
        for each in sockets:
            each.close()
        return ports

    def add(self, service, zone="hall-a", **behaviour):
        node = Node(self, len(self.nodes) + 1, service, zone)
        node.endpoint = behaviour.pop("endpoint", Endpoint)(self, node, service, **behaviour)
        self.nodes.append(node)
        return node

    async def start(self, rules, version=7):
        """Starts everything, and waits until each node is ready and knows each endpoint."""
        await self.store.start(self.store_address)
        await self.configure(rules, version)
        for node in self.nodes:
            await node.endpoint.start()
        await asyncio.gather(*(node.start() for node in self.nodes))
        ends = time.monotonic() + 25
        while time.monotonic() < ends:
            if all([await self.sees_all(node) for node in self.nodes]):
                await asyncio.sleep(1)
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the nodes did not become ready")

    async def sees_all(self, node):
        if not await node.is_ready():
            return False
        answer = await call(node.ready, "GET", "/state", [])
        return len(json.loads(answer.body)["seen"]) == len(self.nodes)

    async def configure(self, rules, version):
        services = sorted({node.service for node in self.nodes})
        clusters = [{"name": name, "healthPath": "/health", "maxConnections": 220,
                     "protocol": "h1", "tls": False} for name in services]
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000,
                  "idleTimeoutMs": 15000}
        await self.store.put("op/config", {
            "version": version, "limits": limits, "clusters": clusters,
            "listeners": [{"host": "shop.example", "rules": rules}]})
        self.record.write("configuration", version=version)

    async def stop(self):
        for node in self.nodes:
            if node.process and node.process.returncode is None:
                node.process.kill()
                await node.process.wait()
        if os.environ.get("KEEP"):
            self.record.write("kept", folder=self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def rule(name, service, prefix, kind="idempotent", timeout_ms=4000, priority=1, attempts=2):
    return {"name": name, "kind": kind, "targetLatencyMs": 500, "priority": priority,
            "match": {"prefix": prefix},
            "action": {"service": service, "timeoutMs": timeout_ms, "maxAttempts": attempts}}


def main(folder, case, seconds=115):
    """Runs `case(mesh)`, which returns whether the rule held, and exits as a case has to."""
    # A script that is stopped from outside ends its nodes as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))

    async def run():
        mesh = Mesh(folder)
        try:
            held = await asyncio.wait_for(case(mesh), seconds)
            mesh.record.write("result", held=held)
            return HELD if held else BROKEN
        except (CannotRun, TimeoutError) as error:
            mesh.record.write("could not run", error=repr(error))
            print("could not run:", repr(error))
            return NOT_RUN
        finally:
            await mesh.stop()
    code = asyncio.run(run())
    print({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN"}.get(code, "not run"))
    sys.exit(code)
