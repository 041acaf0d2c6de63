"""All machines lose power, the seeds for good; the servers come back cold."""

import asyncio
import itertools
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standin"))

import world as w
from app import App

COLD_PER_S = 10
COLD_OVER = 1.5
COLD_SLACK = 5
COLD_S = 5
LIMIT = COLD_PER_S * COLD_OVER + COLD_SLACK
REQUESTS_PER_S = 120
DOWN_S = 1.0
READY_POLL_S = 1.0


def most_in_one_second(server, since, until):
    times = [at for at, _ in server.arrivals if since < at < until]
    return max((sum(1 for at in times if start <= at < start + 1)
                for start in times), default=0)


async def send_traffic(world, daemons, seconds):
    """Sends requests to daemons that are ready, like the balancer."""
    ready = set()

    async def poll(daemon):
        while True:
            (ready.add if await daemon.is_ready() else ready.discard)(daemon)
            await asyncio.sleep(READY_POLL_S)

    polls = [world.spawn(poll(daemon)) for daemon in daemons]
    counts = {}

    async def one(daemon):
        answer = await world.send(daemon, "GET", "/read/x", deadline_ms=1500)
        counts[answer.status] = counts.get(answer.status, 0) + 1

    clients = []
    end = world.record.now() + seconds
    for number in itertools.count():
        if world.record.now() >= end:
            break
        if ready:
            targets = sorted(ready, key=lambda daemon: daemon.name)
            clients.append(world.spawn(one(targets[number % len(targets)])))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*clients)
    for task in polls:
        task.cancel()
    return counts


async def case(world, trouble):
    for zone in "abc":
        world.add_daemon(zone, seed=True)
    others = [world.add_daemon(zone) for zone in "aabbcc"]
    servers = [world.add_server(App, "app", f"i-{zone}", zone, slots=24,
                                work_s=0.005) for zone in "abc"]
    route = w.make_stream_route("app", name="r-read", kind="idempotent",
                                sticky=False)
    route.update({"path-prefix": "/read/", "timeout-ms": 1500,
                  "goal-ms": 100, "max-attempts": 2})
    backend = {"name": "app", "health-path": "/healthz", "max-conns": 252,
               "proto": "h1", "tls": False, "cold-s": COLD_S,
               "cold-per-s": COLD_PER_S}
    await world.start(w.make_config(1, [route], [backend]))
    await world.wait_ready()
    await asyncio.sleep(3)

    for server in servers:
        await server.stop()
    if trouble:
        for daemon in world.daemons:
            daemon.signal(signal.SIGKILL)
        for daemon in world.daemons:
            await daemon.wait()
    await asyncio.sleep(DOWN_S)
    for server in servers:
        old_name = server.name
        server.turn_cold(COLD_S)
        server._begin_incarnation(old_name + "-2")
        server.store.put("keyed.servers", old_name, None)
        await server.start()
        server.write_entry()
        server.note("is back, cold")
    back = world.record.now()
    if trouble:
        for daemon in others:
            await daemon.start()
    counts = await send_traffic(world, others if trouble else world.daemons,
                                COLD_S)
    world.record.line(f"answers: {counts}")
    broken = False
    for server in servers:
        most = most_in_one_second(server, back, back + COLD_S)
        world.record.line(f"server {server.name}: {most} requests in one "
                          f"second while cold, allowed: {LIMIT:.0f}")
        broken = broken or most > LIMIT
    if not trouble and counts.get(200, 0) == 0:
        raise w.CannotRun("nothing was served without the disruption")
    return broken


w.run_case(__file__, case)
