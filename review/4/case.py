"""A part of a prompt crashes each engine in the middle of an answer's head."""

import asyncio
import itertools
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standin"))

import world as w
from crashing import (BAD_PART, CONTACT_S, CrashingEngine, arrivals_after,
                      bad_headers, crash_times, send_sound)
from engine import connect

SECONDS = 30
BAD_PER_S = 2
MAX_ARRIVALS = 3


async def case(world, trouble):
    for zone in ("a", "b", "c"):
        world.add_daemon(zone, seed=True)
    engines = [world.add_server(CrashingEngine, "llm", f"i-{number}",
                                "abc"[number % 3], events=10, gap_s=0.05)
               for number in range(6)]
    connect(engines)
    await world.start(w.make_config(
        1, [w.make_stream_route("llm")], [w.make_engine_backend("llm")]))
    await world.wait_ready()
    await asyncio.sleep(2)

    end = world.record.now() + SECONDS
    sound = world.spawn(send_sound(world, 4, end))
    daemons = itertools.cycle(world.daemons)
    clients = []
    while world.record.now() < end:
        if trouble:
            clients.append(world.spawn(world.send(
                next(daemons), "POST", "/draft/x", bad_headers(), b"{}",
                6000)))
        await asyncio.sleep(1 / BAD_PER_S)
    await asyncio.gather(*clients)
    whole, not_whole = await sound

    crashes = crash_times(engines)
    world.record.line(f"{len(crashes)} crashes under {BAD_PART}; sound "
                      f"requests: {whole} whole, {not_whole} not")
    if not trouble:
        if not_whole:
            raise w.CannotRun("requests failed without the disruption")
        return False
    if len(crashes) < 5:
        return False
    late = arrivals_after(engines, crashes[4] + CONTACT_S)
    world.record.line(f"fifth crash at {crashes[4]:.3f}; requests with the "
                      f"part that reached servers later than contact-ms "
                      f"after it: {len(late)}, allowed: {MAX_ARRIVALS}")
    return len(late) > MAX_ARRIVALS


w.run_case(__file__, case)
