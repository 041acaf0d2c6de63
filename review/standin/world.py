"""Stand-ins for the platform: its store, servers, clients and daemons.

Everything listens on loopback addresses. The store and the servers follow the
users' pages; a case changes only what its disruption changes.
"""

import asyncio
import base64
import itertools
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "dandeliond-platform")

REQUEST_ID = "X-Dandeliondyke-Request-Id"
SEAL = "X-Dandeliondyke-Response-Seal"
NOT_EXECUTED = "X-Dandeliondyke-Not-Executed"
EXPECT_INSTANCE = "X-Dandeliondyke-Expect-Instance"

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2
CASE_TIMEOUT_S = 110


class CannotRun(Exception):
    """The case could not be brought to the point that it tests."""


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8", errors="replace")
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def line(self, text):
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def close(self):
        self._file.close()


def free_port(address="127.0.0.1"):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


async def read_head(reader):
    """Reads a request's or answer's head. Returns its first line and headers."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class HttpServer:
    """Serves requests one after another on each connection."""

    def __init__(self, address, port):
        self.address = address
        self.port = port
        self._server = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, self.address, self.port, reuse_address=True)

    async def stop(self):
        """Ends like a killed process: its connections are closed."""
        if self._server:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = await reader.readexactly(
                    int(headers.get("content-length", "0")))
                keep = await self.handle(method, target, headers, body, writer)
                if not keep:
                    break
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def handle(self, method, target, headers, body, writer):
        raise NotImplementedError

    @staticmethod
    async def answer(writer, status, body=b"", headers=(), to_head=False):
        if isinstance(body, (dict, list)):
            body = json.dumps(body).encode()
        head = [f"HTTP/1.1 {status} -", f"Content-Length: {len(body)}"]
        head += [f"{name}: {value}" for name, value in headers]
        writer.write("\r\n".join(head).encode("latin-1") + b"\r\n\r\n" +
                     (b"" if to_head else body))
        await writer.drain()
        return True


class Store(HttpServer):
    """The platform's metadata store: keyed topics with one partition each."""

    def __init__(self, record, address, port):
        super().__init__(address, port)
        self._record = record
        self._topics = {}
        self._wake = asyncio.Event()

    def _topic(self, name):
        return self._topics.setdefault(name, {"items": []})

    def put(self, topic, key, value):
        text = json.dumps(value) if value is not None else ""
        self._append(topic, key.encode(), text.encode())

    def _append(self, topic, key, value):
        items = self._topic(topic)["items"]
        items.append((key, value))
        self._wake.set()
        self._wake = asyncio.Event()
        return len(items) - 1

    @staticmethod
    def _query(target):
        path, _, query = target.partition("?")
        return path, dict(
            pair.split("=", 1) for pair in query.split("&") if "=" in pair)

    async def handle(self, method, target, headers, body, writer):
        path, query = self._query(target)
        topic = self._topic(query.get("topic", ""))
        if path == "/v1/log-append":
            first = len(topic["items"])
            while body:
                size = int.from_bytes(body[:4], "big")
                item, body = body[4:4 + size], body[4 + size:]
                key = item[1:1 + item[0]]
                self._append(query["topic"], key, item[1 + item[0]:])
            return await self.answer(
                writer, 200, {"offset": first, "end": len(topic["items"])})
        if path == "/v1/log-newest":
            newest = {}
            for offset, (key, value) in enumerate(topic["items"]):
                newest[key] = (value, offset)
            items = [{"key": key.decode(),
                      "value": base64.b64encode(value).decode(),
                      "offset": offset}
                     for key, (value, offset) in sorted(newest.items())
                     if value]
            return await self.answer(
                writer, 200, {"items": items, "has-more": False,
                              "end": len(topic["items"])})
        if path == "/v1/log-read":
            return await self._read(topic, query, writer)
        return await self.answer(writer, 404)

    async def _read(self, topic, query, writer):
        start = int(query["from"])
        until = time.monotonic() + int(query.get("wait-ms", "0")) / 1000
        while start >= len(topic["items"]) and time.monotonic() < until:
            try:
                await asyncio.wait_for(self._wake.wait(),
                                       until - time.monotonic())
            except asyncio.TimeoutError:
                pass
        out = len(topic["items"]).to_bytes(8, "big") + bytes(8)
        for key, value in topic["items"][start:]:
            out += (1 + len(key) + len(value)).to_bytes(4, "big")
            out += bytes([len(key)]) + key + value
        return await self.answer(writer, 200, out)


class Server(HttpServer):
    """A server of a service. It registers itself in the store and beats."""

    BEAT_S = 1.2

    def __init__(self, record, store, service, name, zone, address, port,
                 slots=24):
        super().__init__(address, port)
        self.record = record
        self.store = store
        self.service = service
        self.zone = zone
        self.slots = slots
        self.state = "ready"
        self._cold_until = 0.0
        self._begin_incarnation(name)

    def _begin_incarnation(self, name):
        self.name = name
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.listed = True

    @property
    def endpoint(self):
        return f"{self.address}:{self.port}"

    def turn_cold(self, seconds):
        self._cold_until = time.monotonic() + seconds

    def cold_left_ms(self):
        return max(0, int((self._cold_until - time.monotonic()) * 1000))

    def entry(self):
        self.seq += 1
        return {"backend": self.service, "addr": self.endpoint,
                "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": self.state, "cold-left-ms": self.cold_left_ms(),
                "stage": "mixed", "models": [], "seq": self.seq,
                "born": self.born}

    def write_entry(self):
        self.store.put("keyed.servers", self.name, self.entry())

    async def beat(self):
        while True:
            if self.listed:
                self.write_entry()
            await asyncio.sleep(self.BEAT_S)

    def note(self, text):
        self.record.line(f"server {self.name} {text}")

    def seal(self, headers):
        return [(REQUEST_ID, headers.get(REQUEST_ID.lower(), "")),
                (SEAL, f"{self.name}.{headers.get(REQUEST_ID.lower(), '')}")]

    async def is_other_instance(self, headers, writer):
        """Answers 421 to a request that expects another server."""
        expected = headers.get(EXPECT_INSTANCE.lower())
        if expected and expected != self.name:
            await self.answer(writer, 421, b"",
                              [("X-Dandeliondyke-Instance-Id", self.name)])
            return True
        return False


class Daemon:
    """One process of the system, started as in the deploy file."""

    def __init__(self, world, name, zone, address):
        self.name = name
        self.zone = zone
        self.address = address
        self._world = world
        self._process = None
        self._log = None
        self.settings_path = os.path.join(world.folder, f"{name}.json")

    def _write_settings(self, changes):
        world = self._world
        settings = {
            "host": self.name, "data_centre": self.zone,
            "callers": f"{self.address}:{world.front_port}",
            "readiness": f"{self.address}:{world.ready_port}",
            "metrics": f"{self.address}:{world.metrics_port}",
            "peer_address": f"{self.address}:{world.peer_port}",
            "seeds": world.seeds, "store": world.store.address + ":" +
            str(world.store.port),
            "key_lifetime_ms": 5000, "strict_keys": True,
            "repeat_ratio": 0.2, "repeat_slack": 56, "repeat_window_s": 10,
            "stop_grace_s": 8, "max_descriptors": 4100,
            "processor_share": 0.25, "link_mbps": 1000.0}
        settings.update(changes)
        with open(self.settings_path, "w", encoding="utf-8") as file:
            json.dump(settings, file)

    async def start(self, **changes):
        self._write_settings(changes)
        environment = {"PATH": os.environ.get("PATH", ""),
                       "HOME": self._world.folder, "LANG": "C.UTF-8",
                       "DANDELIONDYKE_CONFIG": self.settings_path}
        self._log = open(os.path.join(self._world.folder,
                                      f"{self.name}.log"), "ab")
        self._process = await asyncio.create_subprocess_exec(
            PROGRAM, cwd=ROOT, env=environment, stdout=self._log,
            stderr=self._log)
        self._world.record.line(f"daemon {self.name} started")

    def signal(self, number):
        if self._process and self._process.returncode is None:
            self._process.send_signal(number)
            self._world.record.line(
                f"daemon {self.name} got {signal.Signals(number).name}")

    async def wait(self):
        if self._process:
            await self._process.wait()

    @property
    def running(self):
        return bool(self._process) and self._process.returncode is None

    @property
    def return_code(self):
        return self._process.returncode if self._process else None

    def resident_mb(self):
        """Memory without mapped files, in MB; 0 once the process has ended."""
        try:
            with open(f"/proc/{self._process.pid}/status",
                      encoding="utf-8") as file:
                for line in file:
                    if line.startswith("RssAnon:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.address, self._world.ready_port),
                1)
            writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n"
                         b"Connection: close\r\n\r\n")
            first, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return " 200 " in first
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


class Answer:
    """What a client got for one request."""

    def __init__(self):
        self.request_id = ""
        self.status = 0
        self.headers = {}
        self.body = b""
        # The answer's framing says that it is whole.
        self.complete = False
        self.sent_at = 0.0
        self.ended_at = 0.0
        self.error = ""

    def __str__(self):
        return (f"status={self.status} complete={int(self.complete)} "
                f"bytes={len(self.body)} {self.error}")


class World:
    """A small deployment: a store, servers, daemons and clients."""

    HOST = "app.example"
    KEY = "key-of-one"

    def __init__(self, case_folder):
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="review-")
        # Each run has its own part of the loopback network.
        self._net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self._hosts = itertools.count(1)
        self.front_port = free_port()
        self.ready_port = free_port()
        self.metrics_port = free_port()
        self.peer_port = free_port()
        self.server_port = free_port()
        self.seeds = []
        self.daemons = []
        self.servers = []
        self._tasks = []
        self._client_writers = []
        self._ids = itertools.count(1)
        self.store = Store(self.record, self.next_address(), free_port())

    def next_address(self):
        return f"{self._net}.{next(self._hosts)}"

    def add_daemon(self, zone, seed=False):
        daemon = Daemon(self, f"front-{zone}-{len(self.daemons) + 1}", zone,
                        self.next_address())
        self.daemons.append(daemon)
        if seed:
            self.seeds.append(f"{daemon.address}:{self.peer_port + 1}")
        return daemon

    def add_server(self, kind, service, name, zone, **options):
        server = kind(self.record, self.store, service, name, zone,
                      self.next_address(), self.server_port, **options)
        self.servers.append(server)
        return server

    def spawn(self, task):
        self._tasks.append(asyncio.create_task(task))
        return self._tasks[-1]

    def publish(self, config):
        self.store.put("keyed.op", "config", config)
        self.record.line(f"configuration {config['version']} acknowledged")

    async def start(self, config):
        if not os.path.exists(PROGRAM):
            raise CannotRun(f"{PROGRAM} is not built")
        await self.store.start()
        self.publish(config)
        for server in self.servers:
            await server.start()
            self.spawn(server.beat())
        for daemon in self.daemons:
            await daemon.start()

    async def wait_ready(self, daemons=None, seconds=15):
        end = time.monotonic() + seconds
        for daemon in self.daemons if daemons is None else daemons:
            while not await daemon.is_ready():
                if time.monotonic() > end:
                    raise CannotRun(f"{daemon.name} did not become ready")
                await asyncio.sleep(0.05)
        self.record.line("daemons are ready")

    async def stop(self):
        for daemon in self.daemons:
            daemon.signal(signal.SIGCONT)
            daemon.signal(signal.SIGKILL)
        for daemon in self.daemons:
            await daemon.wait()
        for task in self._tasks:
            task.cancel()
        for writer in self._client_writers:
            writer.transport.abort()
        for server in self.servers:
            await server.stop()
        await self.store.stop()
        kept = os.environ.get("KEEP")
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        await asyncio.sleep(0)
        self.record.close()

    def new_id(self):
        return f"{next(self._ids):08x}{random.getrandbits(32):08x}"

    def request_head(self, method, path, headers, body, deadline_ms,
                     request_id):
        lines = [f"{method} {path} HTTP/1.1", f"Host: {self.HOST}",
                 f"{REQUEST_ID}: {request_id}",
                 f"X-Dandeliondyke-Deadline-Ms: {deadline_ms}",
                 f"Authorization: Token {self.KEY}",
                 f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers]
        return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"

    async def send(self, daemon, method, path, headers=(), body=b"",
                   deadline_ms=6000, request_id=None, kept=None):
        """Sends one request and reads the answer.

        `kept` is a connection from `connect` that stays open; without it the
        request gets one of its own.
        """
        answer = Answer()
        request_id = request_id or self.new_id()
        answer.request_id = request_id
        answer.sent_at = self.record.now()
        self.record.line(f"client sends {request_id} to {daemon.name}")
        writer = None
        try:
            reader, writer = kept or await self.connect(daemon)
            writer.write(self.request_head(method, path, headers, body,
                                           deadline_ms, request_id) + body)
            await asyncio.wait_for(read_answer(reader, answer),
                                   deadline_ms / 1000 + 2)
        except (OSError, ValueError, asyncio.IncompleteReadError) as error:
            answer.error = type(error).__name__
        except asyncio.TimeoutError:
            answer.error = "no answer in time"
        finally:
            if writer and not kept:
                writer.close()
        answer.ended_at = self.record.now()
        self.record.line(f"client got for {request_id}: {answer}")
        return answer

    async def connect(self, daemon):
        connection = await asyncio.wait_for(
            asyncio.open_connection(daemon.address, self.front_port), 1)
        self._client_writers.append(connection[1])
        return connection


async def read_answer(reader, answer):
    first, answer.headers = await read_head(reader)
    answer.status = int(first.split()[1])
    if answer.headers.get("transfer-encoding") == "chunked":
        while True:
            line = await reader.readline()
            if not line:
                raise asyncio.IncompleteReadError(b"", None)
            size = int(line, 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            answer.body += chunk[:-2]
    elif "content-length" in answer.headers:
        answer.body = await reader.readexactly(
            int(answer.headers["content-length"]))
    else:
        answer.body = await reader.read(-1)
    answer.complete = True


def make_config(version, routes, backends):
    return {"version": version, "routes": routes, "backends": backends,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
            "tenants": [{"name": "one", "api-keys": [World.KEY], "prio": 1}]}


def make_engine_backend(name, **changes):
    backend = {"name": name, "health-path": "/healthz", "max-conns": 252,
               "proto": "h1", "tls": False, "cold-s": 1.0, "cold-per-s": 47.0,
               "engine": {"slots": 24, "kv-cap-tokens": 34288,
                          "kv-token-bytes": 163840, "link-mbps": 24000.0,
                          "moves": True, "backups": True, "stride": 4,
                          "most": 12, "pin-ms": 4000.0, "hold-ms": 2000.0,
                          "handle-s": 5.0, "models": [{"name": "m"}]}}
    backend.update(changes)
    return backend


def make_stream_route(backend, **changes):
    route = {"name": "r-draft", "host": World.HOST, "path-prefix": "/draft/",
             "kind": "stream", "timeout-ms": 39000, "goal-ms": 1800,
             "prio": 1, "backend": backend, "max-attempts": 1,
             "public": False, "sticky": True, "can-resume": False,
             "gap-aim-ms": 180}
    route.update(changes)
    return route


def run_case(case_file, case):
    """Runs `case(world, trouble)` and exits with the code of the result."""
    folder = os.path.dirname(os.path.abspath(case_file))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        world = World(folder)
        running = asyncio.ensure_future(case(world, trouble))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number,
                                                          running.cancel)
        try:
            broken = await asyncio.wait_for(running, CASE_TIMEOUT_S)
            verdict = EXIT_BROKEN if broken else EXIT_HELD
            world.record.line("the rule was broken" if broken
                              else "the rule held")
        except CannotRun as error:
            world.record.line(f"the case could not run: {error}")
            verdict = EXIT_NOT_RUN
        except (asyncio.TimeoutError, asyncio.CancelledError):
            world.record.line("the case could not run: it was ended")
            verdict = EXIT_NOT_RUN
        finally:
            await world.stop()
        return verdict

    sys.exit(asyncio.run(main()))
