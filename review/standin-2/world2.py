"""Stand-ins for a small deployment of dandeliond-platform on loopback.

The platform's store, the servers, the platform's start of daemons, and clients,
as the users' pages describe them. Standard library only.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import struct
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PREFIX = "X-Dandeliondyke-"
HOST = "shop.example"


class Record:
    """Collects what was sent, answered and run; one line an event."""

    def __init__(self):
        self.started = time.monotonic()
        self.lines = []

    def add(self, *words):
        at = time.monotonic() - self.started
        self.lines.append("%8.3f  %s" % (at, " ".join(str(w) for w in words)))

    def write(self, folder):
        with open(os.path.join(folder, "record.txt"), "w") as out:
            out.write("\n".join(self.lines) + "\n")


async def read_head(reader):
    """Returns the first line and the headers, by lower-case name, as a list."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip().lower(), value.strip()))
    return lines[0], headers


def find(headers, name):
    for key, value in headers:
        if key == name.lower():
            return value
    return None


async def read_chunked(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size == 0:
            while (await reader.readuntil(b"\r\n")) != b"\r\n":
                pass
            return body
        body += await reader.readexactly(size)
        await reader.readexactly(2)


async def read_body(reader, headers):
    if "chunked" in (find(headers, "Transfer-Encoding") or "").lower():
        return await read_chunked(reader)
    return await reader.readexactly(int(find(headers, "Content-Length") or 0))


def http_response(status, body=b"", headers=()):
    lines = ["HTTP/1.1 %d X" % status]
    lines += ["%s: %s" % item for item in headers]
    lines.append("Content-Length: %d" % len(body))
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Store:
    """The platform's metadata store, in the form of a log."""

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.changed = asyncio.Event()
        self.refuse = None

    async def start(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port)

    def topic(self, name):
        return self.topics.setdefault(name, [])

    def put(self, name, key, value):
        self.topic(name).append((key.encode(), value))
        self.changed.set()
        self.changed = asyncio.Event()

    def put_json(self, name, key, value):
        self.put(name, key, json.dumps(value).encode())

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                path, _, query_text = target.partition("?")
                query = dict(p.split("=", 1) for p in query_text.split("&") if p)
                if self.refuse:
                    await self.refuse(path, query)
                writer.write(await self.answer(path, query, body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, path, query, body):
        items = self.topic(query.get("topic", ""))
        if path == "/v1/log-append":
            if "as-of" in query and int(query["as-of"]) != len(items):
                return http_response(
                    412, json.dumps({"end": len(items)}).encode())
            offset = len(items)
            while body:
                (size,) = struct.unpack(">I", body[:4])
                data, body = body[4:4 + size], body[4 + size:]
                self.put(query["topic"], data[1:1 + data[0]].decode(),
                         data[1 + data[0]:])
            return http_response(200, json.dumps(
                {"offset": offset, "end": len(items)}).encode(),
                [("Content-Type", "application/json")])
        if path == "/v1/log-newest":
            newest = {}
            for offset, (key, value) in enumerate(items):
                newest[key] = (value, offset)
            page = [{"key": key.decode(),
                     "value": base64.b64encode(value).decode(),
                     "offset": offset}
                    for key, (value, offset) in sorted(newest.items())
                    if value]
            return http_response(200, json.dumps(
                {"items": page, "has-more": False,
                 "end": len(items)}).encode(),
                [("Content-Type", "application/json")])
        if path == "/v1/log-read":
            start = int(query["from"])
            if start >= len(items) and int(query.get("wait-ms", 0)) > 0:
                try:
                    end = time.monotonic() + int(query["wait-ms"]) / 1000
                    while start >= len(items):
                        await asyncio.wait_for(self.changed.wait(),
                                               end - time.monotonic())
                except asyncio.TimeoutError:
                    pass
            out = struct.pack(">QQ", len(items), 0)
            for key, value in items[start:]:
                data = bytes([len(key)]) + key + value
                out += struct.pack(">I", len(data)) + data
            return http_response(200, out)
        return http_response(404)


class Server:
    """A server of a service. `handle` may be replaced."""

    def __init__(self, world, name, service, ip, port, zone, slots=24):
        self.world = world
        self.name = name
        self.service = service
        self.addr = "%s:%d" % (ip, port)
        self.ip, self.port, self.zone, self.slots = ip, port, zone, slots
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.runs = []
        self.handle = self.answer
        self.work_s = 0.005

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.beats = asyncio.ensure_future(self.beat())

    def entry(self):
        self.seq += 1
        return {"backend": self.service, "addr": self.addr, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": "ready",
                "cold-left-ms": 0, "stage": "mixed", "seq": self.seq,
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "born": self.born}

    async def beat(self):
        while True:
            self.world.store.put_json("keyed.servers", self.name, self.entry())
            await asyncio.sleep(1.2)

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(" ")
                if target == "/v1/report":
                    await read_body(reader, headers)
                    writer.write(http_response(200, json.dumps(
                        {"stage": "mixed", "busy": False, "seq": 0,
                         "queued": 0, "running": 0, "state": "ready"}).encode()))
                    continue
                request_id = find(headers, PREFIX + "Request-Id")
                expected = find(headers, PREFIX + "Expect-Instance")
                if expected not in (None, self.name):
                    writer.write(http_response(421, b"", [
                        (PREFIX + "Instance-Id", self.name)]))
                    return
                if request_id is None:
                    writer.write(http_response(400, b"", [
                        (PREFIX + "Not-Executed", "1")]))
                    return
                go_on = await self.handle(reader, writer, line, headers)
                await writer.drain()
                if not go_on:
                    return
        except (asyncio.IncompleteReadError, ConnectionError, OSError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def ran(self, line, headers, body=b""):
        request_id = find(headers, PREFIX + "Request-Id")
        self.runs.append((request_id, line, headers, body, time.monotonic()))
        self.world.record.add("server", self.name, "runs", request_id,
                              line.rsplit(" ", 1)[0], "%d bytes" % len(body))

    def sealed(self, headers):
        return [(PREFIX + "Request-Id", find(headers, PREFIX + "Request-Id")),
                (PREFIX + "Response-Seal", "seal-%s" % self.name)]

    async def answer(self, reader, writer, line, headers):
        body = await read_body(reader, headers)
        self.ran(line, headers, body)
        await asyncio.sleep(self.work_s)
        writer.write(http_response(200, b"done", self.sealed(headers)))
        return True


def render(template, fields):
    """Fills in the simple placeholders of a settings template."""

    def value_of(path):
        value = fields
        for step in path.split("."):
            if value is None:
                return None
            value = value[int(step)] if isinstance(value, list) \
                else value.get(step)
        return value

    def replace(match):
        path, _, form = match.group(1).partition("|")
        value = value_of(path)
        if form == "json":
            return json.dumps(value)
        return "" if value is None else str(value)

    return re.sub(r"\{\{([^#/^}]+)\}\}", replace, template)


class Daemon:
    """One machine's process of the system."""

    def __init__(self, world, number, zone):
        self.world = world
        self.number = number
        self.zone = zone
        self.ip = world.address(10 + number)
        self.process = None

    def fields(self):
        world = self.world
        return {
            "node": "front-%s-%d" % (self.zone, self.number),
            "zone": self.zone, "ip": self.ip,
            "listen": {"front": self.ip + ":8740", "ready": self.ip + ":8749",
                       "control": self.ip + ":8748"},
            "port-range": [7200, 7215],
            "seeds": [d.ip + ":8748" for d in world.daemons[:3]],
            "limits": {"cpu-share": 0.25, "cores": 1, "ram-mb": 110,
                       "max-fds": 4100, "link-mbps": 1000.0},
            "bounds": world.bounds,
            "provider": {"addr": world.store_addr},
        }

    async def start(self):
        template = open(os.path.join(
            ROOT, "deploy", "settings.json.template")).read()
        path = os.path.join(self.world.folder, "settings-%d" % self.number)
        with open(path, "w") as out:
            out.write(render(template, self.fields()))
        log = open(os.path.join(self.world.folder,
                                "log-%d" % self.number), "ab")
        env = {"PATH": os.environ.get("PATH", ""), "HOME": "/tmp",
               "DANDELIONDYKE_CONFIG": path}
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, "target", "dandeliond-platform"),
            cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL,
            stdout=log, stderr=log)
        log.close()
        self.world.record.add("daemon", self.number, "starts")

    def signal(self, number):
        self.world.record.add("daemon", self.number, "gets signal", number)
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, 8749), 1)
            writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n"
                         b"Connection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return line.split(b" ")[1:2] == [b"200"]
        except (OSError, asyncio.TimeoutError):
            return False

    def alive(self):
        return self.process is not None and self.process.returncode is None


class World:
    def __init__(self, daemons=1, zones=("zone-a",), bounds=None):
        self.record = Record()
        self.base = "127.%d.%d." % (random.randrange(20, 250),
                                    random.randrange(1, 250))
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.bounds = {
            "drain-ms": 2000, "config-ms": 2000, "grace-s": 8,
            "strict-revoke": True, "revoke-ms": 5000, "retry-ratio": 0.2,
            "retry-window-s": 10, "retry-slack": 56}
        self.bounds.update(bounds or {})
        self.store = Store(self.record)
        self.store_addr = self.address(2) + ":8742"
        self.daemons = []
        for i in range(daemons):
            self.daemons.append(Daemon(self, i, zones[i % len(zones)]))
        self.servers = []
        self.ids = 0
        self.config = None

    def address(self, number):
        return self.base + str(number)

    def add_server(self, service, **options):
        number = len(self.servers)
        server = Server(self, "i-%08x" % random.getrandbits(32), service,
                        self.address(100 + number), 8080,
                        options.pop("zone", "zone-a"), **options)
        self.servers.append(server)
        return server

    def publish(self, config):
        self.config = config
        self.store.put_json("keyed.op", "config", config)
        self.record.add("operator sends config", config["version"])

    async def start(self, wait=True):
        await self.store.start(*self.store_addr.split(":"))
        for server in self.servers:
            await server.start()
        for daemon in self.daemons:
            await daemon.start()
        if wait:
            await self.until_ready()

    async def until_ready(self, daemons=None, limit=20):
        end = time.monotonic() + limit
        for daemon in daemons or self.daemons:
            while not await daemon.is_ready():
                if time.monotonic() > end:
                    raise RuntimeError("a daemon is not ready in time")
                await asyncio.sleep(0.1)

    async def stop(self):
        for daemon in self.daemons:
            if daemon.alive():
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.kill()
            if daemon.process is not None:
                await daemon.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def new_id(self):
        self.ids += 1
        return "%08x%08x" % (random.getrandbits(32), self.ids)


def route(name, service, kind, timeout_ms, goal_ms, attempts=1, **more):
    out = {"name": "r-" + name, "host": HOST, "path-prefix": "/%s/" % name,
           "kind": kind, "timeout-ms": timeout_ms, "goal-ms": goal_ms,
           "prio": 1, "backend": service, "max-attempts": attempts,
           "public": False, "sticky": kind == "stream"}
    out.update(more)
    return out


def config(routes, services, version=1, keys=("key-1",), **limits):
    bounds = {"max-header-bytes": 16384, "max-body-bytes": 4194304,
              "header-timeout-ms": 3000, "idle-timeout-ms": 15000}
    bounds.update(limits)
    return {"version": version, "routes": routes, "backends": services,
            "limits": bounds,
            "tenants": [{"name": "tenant-1", "api-keys": list(keys),
                         "prio": 1}]}


def service(name, engine=None, **more):
    out = {"name": name, "health-path": "/healthz", "max-conns": 250,
           "proto": "h1", "tls": False, "cold-s": 0.0, "cold-per-s": 0.0}
    if engine:
        out["engine"] = engine
    out.update(more)
    return out


def request_bytes(method, path, request_id, headers=(), body=b"", key="key-1",
                  deadline_ms=5000, length=True):
    lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + HOST,
             PREFIX + "Request-Id: " + request_id,
             PREFIX + "Deadline-Ms: %d" % deadline_ms]
    if key:
        lines.append("Authorization: Token " + key)
    lines += ["%s: %s" % item for item in headers]
    if length and (body or method != "GET"):
        lines.append("Content-Length: %d" % len(body))
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_response(reader):
    """Returns status, headers and body; raises if it is cut."""
    line, headers = await read_head(reader)
    status = int(line.split(" ")[1])
    body = await read_body(reader, headers)
    return status, headers, body
