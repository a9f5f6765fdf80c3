"""Stand-ins of the platform for the cases under review/: store, endpoints, clients and machines.

Standard library only. Every machine has an address of its own in the loopback range; the ports are
the same on all of them, as on the platform. The nodes are the project's own program, started with
the command and the settings template of the deploy file.
"""

import base64
import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse

REPOSITORY = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HEARTBEAT_S = 1.5
PROBE_S = 0.006
START = time.monotonic()


def now():
    """Seconds since the start of the script, by the steady clock."""
    return time.monotonic() - START


class Record:
    """What was sent, answered and run, one line for each event."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()

    def __call__(self, event, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self.lock:
            self.file.write(f"{now():9.3f} {event} {text}\n")
            self.file.flush()


class CannotRun(Exception):
    """The case could not run: exit code 2."""


# ---------------------------------------------------------------- HTTP/1.1, as small as it suffices


class Message:
    def __init__(self, start, headers, body):
        self.start, self.headers, self.body = start, headers, body

    def get(self, name, default=None):
        return self.headers.get(name.lower(), default)


def read_message(reader):
    """Reads a request or a response; None at the end of the connection."""
    start = reader.readline()
    if not start.strip():
        return None
    headers = {}
    while True:
        line = reader.readline()
        if not line:
            return None
        if not line.strip():
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int(reader.readline().split(b";")[0].strip() or b"0", 16)
            if size == 0:
                while reader.readline().strip():
                    pass
                break
            body += reader.read(size)
            reader.readline()
    else:
        length = int(headers.get("content-length", "0") or 0)
        body = reader.read(length) if length else b""
        if len(body) < length:
            return None
    return Message(start.decode("latin-1").strip(), headers, body)


def render(start, headers, body):
    lines = [start] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """A threaded HTTP/1.1 server; `handle(message, connection)` returns bytes, or None to close."""

    def __init__(self, address, handle):
        outer = self
        self.connections = set()
        self.lock = threading.Lock()

        class Handler(socketserver.BaseRequestHandler):
            def handle(self):
                with outer.lock:
                    outer.connections.add(self.request)
                try:
                    self.request.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    reader = self.request.makefile("rb")
                    while True:
                        message = read_message(reader)
                        if message is None:
                            return
                        answer = handle(message, self.request)
                        if answer is None:
                            return
                        self.request.sendall(answer)
                except (OSError, ValueError):
                    return
                finally:
                    with outer.lock:
                        outer.connections.discard(self.request)

        class Listener(socketserver.ThreadingTCPServer):
            allow_reuse_address = True
            daemon_threads = True
            request_queue_size = 512

            def handle_error(self, request, client_address):
                pass

        self.listener = Listener(address, Handler)
        threading.Thread(target=self.listener.serve_forever, args=(0.02,), daemon=True).start()

    def stop(self):
        """Closes the listener and resets all connections, as the end of a process does."""
        self.listener.shutdown()
        self.listener.server_close()
        with self.lock:
            for connection in list(self.connections):
                try:
                    connection.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass


# ---------------------------------------------------------------- the platform's store


class Store:
    """The platform's metadata store, as PROTOCOL.md describes it."""

    def __init__(self, address, record):
        self.record = record
        self.items, self.history, self.leases = {}, [], {}
        self.revision, self.next_lease = 1, 1000
        self.changed = threading.Condition()
        self.server = Server(address, self.handle)

    def put(self, key, value, lease=0):
        """A write by the operator; its return is the acknowledgement."""
        with self.changed:
            self._put(key, value, lease)
            self.changed.notify_all()
            return self.revision

    def _put(self, key, value, lease):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        text = base64.b64encode(value).decode()
        item = {"key": key, "value": text, "revision": self.revision, "created": created, "lease": lease}
        self.items[key] = item
        self.history.append(item)

    def _delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append({"key": key, "revision": self.revision, "tombstone": True})

    def _expire(self):
        for lease, (_, until) in list(self.leases.items()):
            if time.monotonic() >= until:
                self._end(lease)

    def _end(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self._delete(key)

    def handle(self, message, _):
        method, target, _ = message.start.split(" ")
        url = urllib.parse.urlsplit(target)
        query = {name: values[0] for name, values in urllib.parse.parse_qs(url.query).items()}
        time.sleep(0.004)
        with self.changed:
            self._expire()
            status, body = self.answer(method, url.path, query, message.body)
        data = json.dumps(body).encode()
        return render(f"HTTP/1.1 {status} X", [("Content-Type", "application/json")], data)

    def answer(self, method, path, query, body):
        if path == "/api/kv-key":
            item = self.items.get(query["key"])
            return (200, dict(item, asOf=self.revision)) if item else (404, {"asOf": self.revision})
        if path == "/api/kv-range":
            prefix, after = query["prefix"], query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            page = [self.items[key] for key in keys[:500]]
            return 200, {"items": page, "hasMore": len(keys) > 500, "asOf": self.revision}
        if path == "/api/kv-watch":
            prefix, after = query["prefix"], int(query["after"])
            until = time.monotonic() + int(query["waitMs"]) / 1000
            while True:
                events = [e for e in self.history if e["revision"] > after and e["key"].startswith(prefix)]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "asOf": self.revision}
                self.changed.wait(left)
        if path == "/api/kv-txn":
            return self.transaction(json.loads(body))
        if path == "/api/kv-lease":
            ttl = json.loads(body)["ttlMs"]
            self.next_lease += 1
            self.leases[self.next_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.next_lease, "ttlMs": ttl}
        lease = int(path.rsplit("/", 1)[1]) if path.rsplit("/", 1)[1].isdigit() else None
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            self._end(lease)
            self.changed.notify_all()
            return 200, {}
        ttl, _ = self.leases[lease]
        self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
        return 200, {"ttlMs": ttl}

    def transaction(self, call):
        expected = call["expected"]
        current = [self.items.get(row["key"]) for row in expected]
        if any((item or {"revision": 0})["revision"] != row["revision"] for item, row in zip(current, expected)):
            return 412, {"items": [item for item in current if item]}
        if any(put["lease"] and put["lease"] not in self.leases for put in call["puts"]):
            return 404, {}
        if any(put["key"].startswith(("op/", "servers/")) for put in call["puts"]):
            return 403, {}
        for put in call["puts"]:
            self._put(put["key"], base64.b64decode(put["value"]), put["lease"])
        for key in call["deletes"]:
            self._delete(key)
        self.changed.notify_all()
        return 200, {"revision": self.revision}


# ---------------------------------------------------------------- machines, nodes and endpoints


def settings_text(template, fields):
    """Fills in the settings template, as DEPLOY.md describes it."""

    def look_up(scopes, name):
        if name == ".":
            return scopes[-1]
        for scope in reversed(scopes):
            value = scope
            for part in name.split("."):
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

    def fill(text, scopes):
        section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)

        def expand(match):
            value = look_up(scopes, match[1])
            if isinstance(value, list):
                parts = [
                    fill(match[2].replace("{{,}}", "," if index + 1 < len(value) else ""), scopes + [entry])
                    for index, entry in enumerate(value)
                ]
                return "".join(parts)
            return fill(match[2], scopes + [value]) if value else ""

        def replace(match):
            value = look_up(scopes, match[1])
            if match[2]:
                return json.dumps(value)
            return "" if value is None else str(value)

        text = section.sub(expand, text)
        return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", replace, text)

    return fill(template, [fields])


def loopback_prefix():
    """A part of the loopback range, such as 127.93.17, drawn anew for each run."""
    return f"127.{random.randrange(2, 250)}.{random.randrange(1, 250)}"


class Site:
    """The machines of a small deployment, with their nodes and endpoints, and the store."""

    PORTS = {"readiness": 8141, "store": 8142, "control": 8144, "app": 8145, "inbound": 8146, "outbound": 8147}

    def __init__(self, record, layout, configuration):
        with open(os.path.join(REPOSITORY, "deploy/system.toml"), "rb") as file:
            role = next(iter(tomllib.load(file)["roles"].values()))
        self.command = role["run"].split(" ")
        with open(os.path.join(REPOSITORY, role["template"]), encoding="utf-8") as file:
            self.template = file.read()
        if not os.path.exists(os.path.join(REPOSITORY, self.command[0])):
            raise CannotRun(f"{self.command[0]} is missing: build it first")
        self.record = record
        self.prefix = loopback_prefix()
        self.store = Store((f"{self.prefix}.200", self.PORTS["store"]), record)
        self.store.put("op/config", json.dumps(configuration).encode())
        self.folder = tempfile.mkdtemp(prefix="mintridge-review-")
        self.machines = [
            Machine(self, index, zone, service) for index, (zone, service) in enumerate(layout)
        ]

    def start(self):
        for machine in self.machines:
            machine.start_node(first=True)
        for machine in self.machines:
            machine.endpoint.start()
        self.wait(lambda: all(machine.is_accepting() for machine in self.machines), 20, "nodes are ready")

    @staticmethod
    def wait(condition, seconds, what):
        until = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > until:
                raise CannotRun(f"not so within {seconds} s: {what}")
            time.sleep(0.05)

    def stop(self):
        for machine in self.machines:
            machine.endpoint.stop()
            machine.end_node()
        self.store.server.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


class Machine:
    def __init__(self, site, index, zone, service):
        self.site, self.zone, self.service = site, zone, service
        self.name = f"sidecar-{zone}-{index + 1}"
        self.ip = f"{site.prefix}.{index + 11}"
        self.process, self.started_at = None, None
        self.endpoint = Endpoint(self, slots=12)

    def address(self, port):
        return self.ip, Site.PORTS[port]

    def fields(self, first):
        ports = Site.PORTS
        zones = {machine.zone: "region" for machine in self.site.machines}
        return {
            "nodeName": self.name,
            "ip": self.ip,
            "zone": self.zone,
            "region": "region",
            "zones": zones,
            "listen": {
                "inbound": f"{self.ip}:{ports['inbound']}",
                "outbound": f"{self.ip}:{ports['outbound']}",
                "readinessAddress": f"{self.ip}:{ports['readiness']}",
                "control": f"{self.ip}:{ports['control']}",
            },
            "internalPortRange": [7380, 7395],
            "seeds": [f"{machine.ip}:{ports['control']}" for machine in self.site.machines[:3]],
            "bootstrap": first,
            "appAddress": f"{self.ip}:{ports['app']}",
            "service": self.service,
            "platform": {"address": f"{self.site.prefix}.200:{ports['store']}"},
            "bounds": {},
        }

    def start_node(self, first=False):
        path = os.path.join(self.site.folder, f"{self.name}.conf")
        with open(path, "w", encoding="utf-8") as file:
            file.write(settings_text(self.site.template, self.fields(first)))
        command = [os.path.join(REPOSITORY, self.site.command[0])]
        command += [path if word == "/etc/mintridge/boot.conf" else word for word in self.site.command[1:]]
        log = open(os.path.join(self.site.folder, f"{self.name}.log"), "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["MINTRIDGE_SETTINGS"] = path
        self.process = subprocess.Popen(
            command, cwd=REPOSITORY, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
        )
        log.close()
        self.started_at = now()
        self.site.record("node-start", machine=self.name, pid=self.process.pid)

    def kill_node(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.site.record("node-kill", machine=self.name)

    def end_node(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def is_accepting(self):
        try:
            connection = http.client.HTTPConnection(*self.address("readiness"), timeout=1)
            connection.request("GET", "/accepting")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def logs(self):
        with open(os.path.join(self.site.folder, f"{self.name}.log"), encoding="utf-8", errors="replace") as file:
            return file.read()


class Endpoint:
    """An application endpoint beside a node, as PROTOCOL.md describes it."""

    def __init__(self, machine, slots):
        self.machine, self.slots = machine, slots
        self.id = f"i-{random.randrange(16**8):08x}"
        self.sequence = 0
        self.running, self.lock = 0, threading.Lock()
        self.leaving, self.ended, self.silent = False, False, False
        self.slowness = 1.0
        self.runs = []
        self.server = None

    def start(self):
        self.server = Server(self.machine.address("app"), self.handle)
        threading.Thread(target=self.beats, daemon=True).start()

    def stop(self):
        """Ends the endpoint with whatever is still running in it."""
        if self.server is not None and not self.ended:
            self.ended = True
            self.machine.site.record("endpoint-end", machine=self.machine.name, running=self.running)
            self.server.stop()

    def handle(self, message, _):
        method, target, _ = message.start.split(" ")
        if target == "/health":
            time.sleep(PROBE_S * self.slowness)
            status = "503 Leaving" if self.leaving else "200 OK"
            return render(f"HTTP/1.1 {status}", self.marks() + [("X-Instance-Id", self.id)], b"")
        attempt = message.get("x-attempt-id")
        echo = [("X-Attempt-Id", attempt)]
        if message.get("x-expected-instance") != self.id:
            self.record("endpoint-421", attempt)
            return render("HTTP/1.1 421 X", echo + [("X-Instance-Id", self.id)], b"")
        with self.lock:
            if self.running >= self.slots:
                return render("HTTP/1.1 503 X", echo + self.marks() + [("X-Not-Executed", "1")], b"")
            self.running += 1
            self.runs.append((now(), attempt))
        self.record("run-begins", attempt, path=target)
        time.sleep(float(message.get("x-work-s", "0.1")) * self.slowness)
        with self.lock:
            self.running -= 1
        if self.ended:
            self.record("run-cut-off", attempt)
            return None
        self.record("run-ends", attempt)
        body = f"answer to {attempt}".encode()
        signature = [("X-Response-Signature", f"{attempt}.{len(body):x}")]
        return render("HTTP/1.1 200 OK", echo + self.marks() + signature, body)

    def marks(self):
        load = [("X-Server-Load", f"{self.running},0,{self.slots},100")]
        return load + ([("Server-Leaving", "1")] if self.leaving else [])

    def record(self, event, attempt, **fields):
        self.machine.site.record(event, machine=self.machine.name, endpoint=self.id, attempt=attempt, **fields)

    def beats(self):
        while not self.ended:
            if not self.silent:
                self.beat(*self.next_beat())
            time.sleep(HEARTBEAT_S)

    def next_beat(self):
        """The path and body of the next heartbeat, as they are when it is sent."""
        self.sequence += 1
        host, port = self.machine.address("app")
        state = "draining" if self.leaving else "ready"
        body = {
            "service": self.machine.service,
            "address": f"{host}:{port}",
            "zone": self.machine.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
        }
        return "PUT", f"/api/instances/{self.id}", body

    def beat(self, method, path, body=None, sent_at=None):
        """Delivers a heartbeat or a goodbye to the node; returns when it was acknowledged."""
        connection = http.client.HTTPConnection(*self.machine.address("control"), timeout=1)
        status = None
        try:
            text = None if body is None else json.dumps(body)
            connection.request(method, path, text, {"Content-Type": "application/json"})
            status = connection.getresponse().status
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        what = "goodbye" if body is None else f"beat-{body['state']}-{body['sequence']}"
        late = "" if sent_at is None else f"{now() - sent_at:.2f}"
        self.machine.site.record(what, machine=self.machine.name, endpoint=self.id, status=status, late_s=late)
        return now() if status == 200 else None


# ---------------------------------------------------------------- clients


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


def call(record, machine, method, path, attempt, deadline_ms, work_s, body=b"", host="shop.example"):
    """Sends one client attempt on a new connection; returns the answer, or None without a complete one."""
    record("sent", machine=machine.name, attempt=attempt, method=method, path=path)
    headers = [
        ("Host", host),
        ("X-Attempt-Id", attempt),
        ("X-Deadline-Ms", deadline_ms),
        ("X-Work-S", work_s),
    ]
    answer = None
    try:
        with socket.create_connection(machine.address("outbound"), timeout=1) as connection:
            connection.settimeout(deadline_ms / 1000 + 0.5)
            connection.sendall(render(f"{method} {path} HTTP/1.1", headers, body))
            message = read_message(connection.makefile("rb"))
            if message is not None:
                answer = Answer(int(message.start.split(" ")[1]), message.headers, message.body)
    except (OSError, ValueError):
        pass
    status = "none" if answer is None else answer.status
    reason = "" if answer is None else answer.headers.get("mintridge-reason", "")
    record("answered", machine=machine.name, attempt=attempt, status=status, reason=reason)
    return answer


def configuration(version, rules, services):
    """A configuration of the operator with routes for one host."""
    return {
        "version": version,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "listeners": [
            {
                "host": "shop.example",
                "rules": [
                    {
                        "name": name,
                        "kind": kind,
                        "targetLatencyMs": target_ms,
                        "priority": 1,
                        "match": {"prefix": prefix},
                        "action": {"service": service, "timeoutMs": timeout_ms, "maxAttempts": 2},
                    }
                    for name, kind, prefix, service, target_ms, timeout_ms in rules
                ],
            }
        ],
        "clusters": [
            {"name": name, "healthPath": "/health", "maxConnections": 260, "protocol": "h1", "tls": False}
            for name in services
        ],
    }


def run(case, record_path):
    """Runs a case; its result is the exit code: 1 broken, 0 held, 2 could not run."""
    record = Record(record_path)
    # A script that is ended from outside still ends the processes that it started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = case(record, os.environ.get("TROUBLE", "1"))
    except (CannotRun, OSError) as error:
        record("could-not-run", reason=str(error))
        print(f"could not run: {error}")
        sys.exit(2)
    for line in broken:
        record("BROKEN", what=line)
        print(line)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
