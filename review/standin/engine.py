"""A stand-in for a model server with streams and moves of KV caches."""

import asyncio
import json

from world import EXPECT_INSTANCE, REQUEST_ID, SEAL, NOT_EXECUTED, Server


class Run:
    """One generation at one engine."""

    def __init__(self, request_id, events, made=0):
        self.request_id = request_id
        self.events = events
        self.made = made
        self.stopped = False
        self.writer = None


class Engine(Server):
    """Streams numbered events, one each `gap_s`, up to the request's limit."""

    # Tokens in one event.
    STRIDE = 4

    def __init__(self, *args, events=100, gap_s=0.05, framing="chunked",
                 prefill_s=0.1, **options):
        super().__init__(*args, **options)
        self.events = events
        self.gap_s = gap_s
        # "chunked", or "unframed": the answer ends with its connection.
        self.framing = framing
        self.prefill_s = prefill_s
        self.runs = {}
        # Copies that lie here, and runs that have stopped here, by handle.
        self.copies = {}
        self.peers = {}
        self._handles = 0
        self.starts = []

    async def handle(self, method, target, headers, body, writer):
        if target == "/v1/report":
            return await self.answer(writer, 200, self.report())
        if target == "/healthz":
            return await self.answer(
                writer, 200 if self.state == "ready" else 503, b"",
                [("X-Dandeliondyke-Instance-Id", self.name)])
        if target == "/v1/kv-move":
            return await self._move(json.loads(body), writer)
        if target.startswith("/v1/kv-handle/"):
            self.copies.pop(target.rsplit("/", 1)[1], None)
            return await self.answer(writer, 200, {})
        if await self.is_other_instance(headers, writer):
            return True
        return await self._generate(headers, writer)

    def report(self):
        return {"stage": "mixed", "models": [], "busy": False, "seq": 1,
                "queued": 0, "running": len(self.runs), "kv-used": 0,
                "kv-total": 34288, "handles": len(self.copies),
                "state": self.state}

    def self_report(self):
        return [] if self.state == "ready" else [("Server-Leaving", "1")]

    async def _move(self, order, writer):
        run = self.runs.get(order["id"])
        target = self.peers.get(order["to"])
        if run is None:
            return await self.answer(writer, 404, {}, self.self_report())
        if target is None or target._server is None:
            return await self.answer(writer, 503, {}, self.self_report())
        if order.get("last"):
            # The run stops first, and its stream is closed without its end.
            run.stopped = True
            self.runs.pop(run.request_id, None)
            self.note(f"stopped {run.request_id} after event {run.made}")
            if run.writer:
                run.writer.close()
        await asyncio.sleep(0.02)
        handle = getattr(run, "handle", None)
        if handle is None:
            self._handles += 1
            handle = run.handle = f"{self.name}-{self._handles}"
        target.copies[handle] = run
        self.copies[handle] = run
        return await self.answer(
            writer, 200, {"handle": handle, "created-rev": run.made},
            self.self_report())

    async def _generate(self, headers, writer):
        request_id = headers.get(REQUEST_ID.lower(), "")
        after = int(headers.get("last-event-id", "0"))
        handle = headers.get("kv-from", "").rpartition("/")[2]
        if handle:
            copy = self.copies.pop(handle, None)
            if copy is None or copy.request_id != request_id:
                return await self.answer(writer, 503, b"",
                                         [(NOT_EXECUTED, "1")])
        self.note(f"runs {request_id} after event {after}"
                  + (f" from copy {handle}" if handle else ""))
        self.starts.append(request_id)
        limit = headers.get("x-dandeliondyke-token-count", "0,0")
        events = int(limit.split(",")[1]) // self.STRIDE or self.events
        run = self.runs[request_id] = Run(request_id, events, after)
        run.writer = writer
        try:
            await asyncio.sleep(0.01 if handle else self.prefill_s)
            head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                    f"{REQUEST_ID}: {request_id}",
                    f"{SEAL}: {self.name}.{request_id}"]
            head += [f"{name}: {value}" for name, value in self.self_report()]
            head.append("Transfer-Encoding: chunked"
                        if self.framing == "chunked" else "Connection: close")
            writer.write("\r\n".join(head).encode("latin-1") + b"\r\n\r\n")
            while run.made < run.events and not run.stopped:
                run.made += 1
                self._write_event(writer, run.made)
                await writer.drain()
                await asyncio.sleep(self.gap_s)
            if run.stopped:
                return False
            if self.framing == "chunked":
                writer.write(b"0\r\n\r\n")
                await writer.drain()
            self.note(f"finished {request_id} at event {run.made}")
            return self.framing == "chunked"
        finally:
            self.runs.pop(request_id, None)

    def _write_event(self, writer, number):
        event = f"id: {number}\ndata: {'x' * 40}\n\n".encode()
        if self.framing == "chunked":
            event = f"{len(event):x}\r\n".encode() + event + b"\r\n"
        writer.write(event)

    def drain(self):
        """Reports that it leaves, as before a planned shutdown."""
        self.state = "draining"
        self.note("reports draining")
        self.write_entry()


def connect(engines):
    """Lets the engines reach each other for moves."""
    for engine in engines:
        engine.peers = {other.endpoint: other for other in engines
                        if other is not engine}
