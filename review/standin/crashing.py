"""Engines that crash under one part of a prompt, and requests with it."""

import asyncio
import itertools
import random

from engine import Engine
from world import REQUEST_ID, SEAL

BAD_PART = "bad0bad0"
BACK_AFTER_S = 3.0
CONTACT_S = 3.0


class CrashingEngine(Engine):
    """Crashes when it begins to write an answer to a prompt with BAD_PART."""

    # Bytes of the answer's head that leave the engine before it crashes.
    HEAD_BYTES = 60

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.crashes = []
        self.bad_arrivals = []
        self._incarnations = itertools.count(2)
        self._first_name = self.name

    @staticmethod
    def has_bad_part(headers):
        parts = headers.get("x-dandeliondyke-prefix-hash", "").split(",")
        return any(part.startswith(BAD_PART) for part in parts[:-1])

    async def _generate(self, headers, writer):
        if not self.has_bad_part(headers):
            return await super()._generate(headers, writer)
        request_id = headers.get(REQUEST_ID.lower(), "")
        self.bad_arrivals.append(self.record.now())
        self.note(f"got the bad part in {request_id}")
        await asyncio.sleep(self.prefill_s)
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                f"{REQUEST_ID}: {request_id}",
                f"{SEAL}: {self.name}.{request_id}",
                "Transfer-Encoding: chunked"]
        text = "\r\n".join(head).encode("latin-1") + b"\r\n\r\n"
        writer.write(text[:self.HEAD_BYTES])
        await asyncio.sleep(0.005)
        await self._crash()
        return False

    async def _crash(self):
        if self._server is None:
            return
        self.crashes.append(self.record.now())
        self.note(f"crashes; {len(self.runs)} other runs are lost")
        self.listed = False
        name = self.name
        await self.stop()
        self.runs.clear()
        asyncio.get_running_loop().create_task(self._return(name))

    async def _return(self, old_name):
        await asyncio.sleep(BACK_AFTER_S)
        self._begin_incarnation(
            f"{self._first_name}-{next(self._incarnations)}")
        await self.start()
        self.store.put("keyed.servers", old_name, None)
        self.write_entry()
        self.note("is back")


def bad_headers():
    return [("X-Dandeliondyke-Model", "m"),
            ("X-Dandeliondyke-Token-Count", "300,40"),
            ("X-Dandeliondyke-Prefix-Hash",
             f"5c1e07a2:100,{BAD_PART}:100,{random.getrandbits(32):08x}:100")]


def sound_headers():
    return [("X-Dandeliondyke-Model", "m"),
            ("X-Dandeliondyke-Token-Count", "300,40"),
            ("X-Dandeliondyke-Prefix-Hash",
             f"5c1e07a2:100,{random.getrandbits(32):08x}:100")]


async def send_sound(world, per_s, until):
    """Sends sound requests until `until`. Returns [whole, not whole]."""
    result = [0, 0]
    daemons = itertools.cycle(world.daemons)

    async def one():
        answer = await world.send(next(daemons), "POST", "/draft/x",
                                  sound_headers(), b"{}", 6000)
        result[0 if answer.status == 200 and answer.complete else 1] += 1

    clients = []
    while world.record.now() < until:
        clients.append(asyncio.create_task(one()))
        await asyncio.sleep(1 / per_s)
    await asyncio.gather(*clients)
    return result


def crash_times(engines):
    return sorted(at for engine in engines for at in engine.crashes)


def arrivals_after(engines, since):
    return sorted(at for engine in engines for at in engine.bad_arrivals
                  if at > since)
