"""Engines that answer without a length are drained while they stream."""

import asyncio
import os
import re
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standin"))

import world as w
from engine import Engine, connect

STREAMS = 8
EVENTS = 120


async def case(world, trouble):
    for zone in ("a", "b"):
        world.add_daemon(zone, seed=True)
    engines = [
        world.add_server(Engine, "llm", f"i-{number}", "ab"[number % 2],
                         events=EVENTS, gap_s=0.05, framing="unframed")
        for number in range(3)]
    connect(engines)
    await world.start(w.make_config(
        1, [w.make_stream_route("llm")], [w.make_engine_backend("llm")]))
    await world.wait_ready()
    await asyncio.sleep(1)

    headers = [("X-Dandeliondyke-Model", "m"),
               ("X-Dandeliondyke-Token-Count", f"200,{4 * EVENTS}"),
               ("X-Dandeliondyke-Prefix-Hash", "5c1e07a2:100,91bd3f06:100")]
    clients = [world.spawn(world.send(world.daemons[i % 2], "POST", "/draft/x",
                                      headers, b"{}", 39000))
               for i in range(STREAMS)]
    await asyncio.sleep(2)
    if trouble:
        max(engines, key=lambda engine: len(engine.runs)).drain()
    answers = await asyncio.gather(*clients)

    broken = 0
    whole = 0
    for answer in answers:
        ids = [int(i) for i in re.findall(rb"id: (\d+)\n", answer.body)]
        ended_as_whole = answer.status == 200 and answer.complete
        in_order = ids == list(range(1, len(ids) + 1))
        if ended_as_whole and (len(ids) < EVENTS or not in_order):
            broken += 1
            world.record.line(
                f"a stream ended as complete with {len(ids)} of {EVENTS} "
                f"events, in order: {in_order}")
        whole += ended_as_whole and len(ids) == EVENTS
    world.record.line(f"{broken} streams cut short and ended as complete, "
                      f"{whole} whole, of {STREAMS}")
    if not trouble and whole < STREAMS:
        raise w.CannotRun("streams were lost without the disruption")
    return broken > 0


w.run_case(__file__, case)
