"""Eight answers of one server never end. The clients of all servers wait for theirs."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standins2 as s

PROCESSES, CLIENTS, RATE, SECONDS = 10, 100, 5.6, 36
SPOILT = 8  # answers that never end, of one server of three
LATE = 0.5  # seconds after its time, from which on a request without an answer is lost


class Address:
    def __init__(self, name, port):
        self.name, self.port = name, port


async def play(case):
    front, mgmt, lists, *ports = s.free_ports(6)
    servers = [Address(f"s-0000000{n + 1}", port) for n, port in enumerate(ports)]
    for n, server in enumerate(servers):
        s.Program(case, "server", str(server.port), str(SPOILT if n == 0 and s.trouble() else 0))
    discovery = await s.Discovery(case, "discovery", lists, servers).start()
    path = case.write_json("config.json", s.platform_config(front, lists, discovery, s.platform_settings()))
    s.Daemon(case, "n0", case.folder("tmp"), environment={"NODE_CONFIG": path, "NODE_MGMT": f"{s.HOST}:{mgmt}"})
    await s.wait_ready(case, mgmt)
    # Several processes, so that a client that reads much does not slow the others down.
    programs = []
    for first in range(PROCESSES):
        programs.append(
            s.Program(case, "clients", str(front), str(first), str(PROCESSES), str(CLIENTS), str(RATE / PROCESSES),
                      str(SECONDS - first / RATE))
        )
        await asyncio.sleep(1 / RATE)
    end = time.time() + SECONDS
    unanswered = 0
    while time.time() < end:
        asked = time.time()
        try:
            await asyncio.wait_for(s.admin_call(case, mgmt, "readyz", quiet=True), 1)
        except (OSError, asyncio.TimeoutError):
            unanswered += 1
            case.record.write("readyz: no answer within 1 s")
        await asyncio.sleep(max(0, asked + 0.5 - time.time()))
    await asyncio.sleep(1)
    case.record.write(f"{unanswered} calls of readyz had no answer within 1 s")
    lost = 0
    reported = {event["client"]: event for program in programs for event in program.events}
    for number in range(CLIENTS):
        event = reported.get(number)
        if event is None:
            lost += 1
            case.violation(f"client {number} never got an answer")
        elif event["answered"] is None:
            lost += 1
            case.violation(f"client {number}: no answer, {event['line']}")
        elif event["answered"] - event["sent"] > event["wait"] + LATE:
            lost += 1
            case.violation(f"client {number}: answered after {event['answered'] - event['sent']:.2f} s, "
                           f"but it waits {event['wait']} s: {event['line']}")
    case.record.write(f"{CLIENTS} requests, {lost} lost")


s.main(__file__, play)
