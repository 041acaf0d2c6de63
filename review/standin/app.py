"""A stand-in for an application server with plain requests."""

import asyncio

from world import NOT_EXECUTED, REQUEST_ID, Server


class App(Server):
    """Answers each request after `work_s` with a sealed body."""

    def __init__(self, *args, work_s=0.015, slots=6, queue=24, **options):
        super().__init__(*args, slots=slots, **options)
        self.work_s = work_s
        self._queue_limit = queue
        self._free = asyncio.Semaphore(slots)
        self._waiting = 0
        self.arrivals = []
        self.ran = []

    async def handle(self, method, target, headers, body, writer):
        if target == "/healthz":
            return await self.answer(
                writer, 200 if self.state == "ready" else 503, b"",
                [("X-Dandeliondyke-Instance-Id", self.name)])
        if await self.is_other_instance(headers, writer):
            return True
        request_id = headers.get(REQUEST_ID.lower(), "")
        self.arrivals.append((self.record.now(), request_id))
        return await self.serve(request_id, method, headers, writer)

    async def serve(self, request_id, method, headers, writer):
        if self._waiting >= self._queue_limit:
            return await self.answer(
                writer, 503, b"", [(NOT_EXECUTED, "1"),
                                   (REQUEST_ID, request_id)])
        self._waiting += 1
        try:
            async with self._free:
                self.note(f"runs {request_id}")
                self.ran.append((self.record.now(), request_id))
                await asyncio.sleep(self.work_s)
        finally:
            self._waiting -= 1
        return await self.answer(writer, 200, b"x" * 800,
                                 self.seal(headers), method == "HEAD")
